package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// result is one line of benchmark output.
type result struct {
	// benchmark and size come from the name: Fold/budgets=120 is the benchmark
	// Fold/budgets at size 120.
	benchmark string
	size      float64
	// values has the metrics by unit, such as ns/op.
	values map[string]float64
}

var (
	sizePattern    = regexp.MustCompile(`^Benchmark([^/\s]+/[a-z]+)=(\d+)((?:/[^\s]*?)?)(?:-\d+)?$`)
	plainPattern   = regexp.MustCompile(`^Benchmark([^/\s]+?)(?:-\d+)?$`)
	controlPattern = regexp.MustCompile(`(\d+) hosts: (\d+) B/s sent and received by each host, (\d+) B/s with IP and TCP headers`)
)

// controlBenchmark is the name given to the measurement of membership traffic, which
// is a test's log line and not a benchmark.
const controlBenchmark = "ControlTraffic"

// parseResults parses benchmark output and skips all other lines. Input without any
// result is an error.
func parseResults(in io.Reader) ([]result, error) {
	var results []result
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		if r, ok := parseControl(lines.Text()); ok {
			results = append(results, r)
			continue
		}
		r, ok, err := parseBenchmark(lines.Text())
		if err != nil {
			return nil, err
		}
		if ok {
			results = append(results, r)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read results: %w", err)
	}
	if len(results) == 0 {
		return nil, errors.New("no benchmark results in the input")
	}
	return results, nil
}

func parseControl(line string) (result, bool) {
	match := controlPattern.FindStringSubmatch(line)
	if match == nil {
		return result{}, false
	}
	hosts, _ := strconv.ParseFloat(match[1], 64)
	payload, _ := strconv.ParseFloat(match[2], 64)
	return result{benchmark: controlBenchmark, size: hosts, values: map[string]float64{"B/s": payload}}, true
}

func parseBenchmark(line string) (result, bool, error) {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return result{}, false, nil
	}
	r := result{values: make(map[string]float64)}
	if match := sizePattern.FindStringSubmatch(fields[0]); match != nil {
		r.benchmark = match[1] + match[3]
		size, err := strconv.ParseFloat(match[2], 64)
		if err != nil {
			return result{}, false, fmt.Errorf("parse size of %s: %w", fields[0], err)
		}
		r.size = size
	} else if match := plainPattern.FindStringSubmatch(fields[0]); match != nil {
		r.benchmark = match[1]
	} else {
		return result{}, false, nil
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return result{}, false, fmt.Errorf("parse value of %s: %w", fields[0], err)
		}
		r.values[fields[i+1]] = value
	}
	return r, true, nil
}
