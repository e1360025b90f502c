package gateway

import "flag"

// init fixes the seed of the random tests, so that their results are
// reproducible. The flag -rapid.seed overrides it; 0 selects a random seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
