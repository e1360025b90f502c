// Command overload compares ways to place requests and to turn them away, at
// multiples of the usual load, against a model of engines that read prompts in
// chunks. It prints a table and can draw a plot:
//
//	go run ./replay/overload -plot docs/overload.svg
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	hosts := flag.Int("hosts", 7, "number of hosts that decide")
	engines := flag.Int("engines", 9, "number of engines")
	length := flag.Duration("length", 30*time.Second, "time for which requests arrive")
	seed := flag.Uint64("seed", 1, "seed of the load")
	plot := flag.String("plot", "", "file that gets the plot, as SVG or PNG by its name")
	flag.Parse()
	results := compare(Experiment{Hosts: *hosts, Engines: *engines, Length: *length, Seed: *seed}, loads)
	err := writeTable(os.Stdout, results)
	if err == nil && *plot != "" {
		err = drawPlot(*plot, results)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "overload:", err)
		os.Exit(1)
	}
}

// loads are the multiples of the usual load that are played.
var loads = []float64{1, 1.5, 2, 2.5, 3, 4, 6}

// compare plays all policies at each load.
func compare(base Experiment, loads []float64) []Result {
	var out []Result
	for _, p := range policies() {
		for _, load := range loads {
			x := base
			x.Policy, x.Load = p, load
			out = append(out, Run(x))
		}
	}
	return out
}
