// Command overload compares policies for placing and shedding requests at
// multiples of the usual load. It simulates engines that prefill prompts in
// chunks, prints a Markdown table and optionally draws a plot:
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
	hosts := flag.Int("hosts", 7, "number of hosts that place requests")
	engines := flag.Int("engines", 9, "number of engines")
	length := flag.Duration("length", 30*time.Second, "period during which requests arrive")
	seed := flag.Uint64("seed", 1, "seed of the random load")
	plot := flag.String("plot", "", "file to write the plot to; its extension selects SVG or PNG")
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

// loads are the simulated multiples of the usual load.
var loads = []float64{1, 1.5, 2, 2.5, 3, 4, 6}

// compare runs each policy at each load.
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
