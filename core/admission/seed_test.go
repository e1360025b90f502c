package admission

import "flag"

// init fixes the seed of the rapid tests, so that their results are reproducible.
// The flag -rapid.seed overrides it; with 0, rapid chooses a random seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
