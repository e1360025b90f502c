package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Result summarizes one experiment.
type Result struct {
	Experiment
	// Credit is the earned share of the credit that all requests could earn, from
	// 0 to 1. Goodput is the earned credit per second of arrivals.
	Credit  float64
	Goodput float64
	Kinds   []KindResult
	// ReadTokens counts prefilled prompt tokens. RereadTokens counts tokens of
	// prompt parts that were not cached although some engine had prefilled them
	// before.
	ReadTokens, RereadTokens int64
	// Retried counts the requests that were shed and came back, RetriedServed those of them with
	// a complete answer.
	Retried, RetriedServed int
}

// KindResult counts the requests of one kind.
type KindResult struct {
	Name                           string
	Requests, InTime, Late, Failed int
	// FirstEvent and FirstEvent99 are the median and the 99th percentile of the time to the first
	// event of the completed requests, Pause99 that of their longest pauses.
	FirstEvent, FirstEvent99, Pause99 time.Duration
}

// Served returns the share of requests with a complete answer, from 0 to 1.
func (k KindResult) Served() float64 { return float64(k.InTime+k.Late) / float64(max(1, k.Requests)) }

func summarize(x Experiment, requests []*Request, engines []*engine) Result {
	out := Result{Experiment: x}
	byKind := make(map[string]*KindResult)
	firstEvents, pauses := make(map[string][]time.Duration), make(map[string][]time.Duration)
	possible := 0.0
	for _, r := range requests {
		k, ok := byKind[r.Kind.Name]
		if !ok {
			k = &KindResult{Name: r.Kind.Name}
			byKind[r.Kind.Name] = k
		}
		k.Requests++
		possible += r.Kind.Credit
		if r.retried {
			out.Retried++
			if r.doneAt > 0 {
				out.RetriedServed++
			}
		}
		switch {
		case r.doneAt == 0:
			k.Failed++
			continue
		case r.firstAt-r.Arrived <= r.Kind.Objective && (r.Kind.Pause == 0 || r.pause <= r.Kind.Pause):
			k.InTime++
			out.Credit += r.Kind.Credit
		default:
			k.Late++
			out.Credit += r.Kind.LateCredit
		}
		pauses[r.Kind.Name] = append(pauses[r.Kind.Name], r.pause)
		firstEvents[r.Kind.Name] = append(firstEvents[r.Kind.Name], r.firstAt-r.Arrived)
	}
	out.Goodput = out.Credit / x.Length.Seconds()
	out.Credit /= possible
	for _, kind := range x.kinds() {
		if k, ok := byKind[kind.Name]; ok {
			if f := firstEvents[kind.Name]; len(f) > 0 {
				g := pauses[kind.Name]
				slices.Sort(f)
				slices.Sort(g)
				k.FirstEvent, k.FirstEvent99, k.Pause99 = f[len(f)/2], f[len(f)*99/100], g[len(g)*99/100]
			}
			out.Kinds = append(out.Kinds, *k)
		}
	}
	for _, e := range engines {
		out.ReadTokens += e.readTokens
		out.RereadTokens += e.rereadTokens
	}
	return out
}

// writeTable writes the results as a Markdown table.
func writeTable(w io.Writer, results []Result) error {
	var b strings.Builder
	b.WriteString("| policy | load | credit | goodput /s | in time, late, failed (of 100) by kind | shared tokens read again |\n")
	b.WriteString("|---|---:|---:|---:|---|---:|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %.1f | %.3f | %.1f | ", r.Policy.Name, r.Load, r.Credit, r.Goodput)
		for i, k := range r.Kinds {
			if i > 0 {
				b.WriteString("; ")
			}
			n := float64(max(1, k.Requests)) / 100
			fmt.Fprintf(&b, "%s %.0f, %.0f, %.0f", k.Name, float64(k.InTime)/n, float64(k.Late)/n, float64(k.Failed)/n)
		}
		fmt.Fprintf(&b, " | %dk |\n", r.RereadTokens/1000)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
