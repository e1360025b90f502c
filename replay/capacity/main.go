// Command capacity estimates the cost of each role of a host at the target fleet
// size. It reads the output of the project's benchmarks from standard input, fits a
// line to each measured quantity and updates the tables of docs/CAPACITY.md:
//
//	tools/measure.sh | go run ./replay/capacity -page docs/CAPACITY.md
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
)

func main() {
	page := flag.String("page", "", "page whose measured section is replaced; if empty, the tables are printed")
	flag.Parse()
	if err := run(os.Stdin, os.Stdout, *page); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer, page string) error {
	results, err := parseResults(in)
	if err != nil {
		return err
	}
	slopes, err := fitAll(results)
	if err != nil {
		return err
	}
	text := render(slopes)
	if page == "" {
		_, err := io.WriteString(out, text)
		return err
	}
	return replaceMeasured(page, text)
}
