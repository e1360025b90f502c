package claim

import "flag"

// init sets a fixed seed for the random tests, so that results are reproducible. The
// flag -rapid.seed overrides it; 0 selects a random seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
