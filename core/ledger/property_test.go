package ledger

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// defaultChecks is the number of random histories that CI checks.
const defaultChecks = "2000"

// TestMain sets a fixed seed, so that results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": defaultChecks} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

var steps = flag.Int("steps", 400, "largest number of steps of a random history")

// TestHistories checks the ledger's invariants over random histories. To run more and
// longer ones:
// go test ./core/ledger -run TestHistories -rapid.seed 0 -rapid.checks 100000 -steps 1000
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorkload(t)
		for range rapid.IntRange(*steps/2, *steps).Draw(t, "steps") {
			w.step()
			w.check()
		}
	})
}
