package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// Markers around the measured section of the page.
const (
	beginMark = "<!-- measured: begin -->"
	endMark   = "<!-- measured: end -->"
)

// replaceMeasured replaces the section of a page between the markers.
func replaceMeasured(path, text string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	before, rest, ok := strings.Cut(string(data), beginMark)
	_, after, ok2 := strings.Cut(rest, endMark)
	if !ok || !ok2 {
		return errors.New("page has no markers around its measured section")
	}
	page := before + beginMark + "\n\n" + text + "\n" + endMark + after
	return os.WriteFile(path, []byte(page), 0o644)
}

func render(slopes slopeSet) string {
	var b strings.Builder
	renderSlopes(&b, slopes)
	for _, p := range plans {
		renderPlan(&b, model{plan: p, slopes: slopes})
	}
	renderFailures(&b, slopes)
	return b.String()
}

func renderSlopes(b *strings.Builder, slopes slopeSet) {
	b.WriteString("### Slopes\n\n| measured | points (size: value) | fit | worst deviation |\n|---|---|---|---|\n")
	for _, q := range quantities {
		s := slopes[q.key]
		var points []string
		for _, p := range s.points {
			points = append(points, fmt.Sprintf("%.0f: %s", p.size, number(p.value)))
		}
		fmt.Fprintf(b, "| %s | %s | %s + %s x | %.0f%% |\n", q.label, strings.Join(points, ", "), number(s.base), number(s.perUnit), 100*s.maxDeviation)
	}
	b.WriteString("\n")
}

func renderPlan(b *strings.Builder, m model) {
	p := m.plan
	fmt.Fprintf(b, "### At target size with the %s settings\n\n", p.name)
	fmt.Fprintf(b, "%.0f shards, reports every %.0f s, grants of %.0f s of spend, requests remembered for %.0f s, snapshots every %.0f s.\n\n",
		p.shards, p.flushSeconds, p.sliceSeconds, p.windowSeconds, p.snapshotSeconds)
	b.WriteString("| role of a node | mechanism | messages/s | of a core | memory | control bytes/s |\n|---|---|---|---|---|---|\n")
	costs := m.costs()
	for _, c := range append(costs, sum(costs)) {
		fmt.Fprintf(b, "| %s | %s | %.2f | %.3f%% | %s | %.0f |\n", c.role, c.mechanism, c.messagesPerSecond, 100*c.cores, megabytes(c.memoryBytes), c.bytesPerSecond)
	}
	total := sum(costs)
	fmt.Fprintf(b, "| limit | | | %.1f%% | %s | %.0f |\n", 100*maxCores, megabytes(maxMemoryBytes), maxBytesPerSecond)
	fmt.Fprintf(b, "| verdict | | | %s | %s | %s |\n\n", verdict(total.cores, maxCores), verdict(total.memoryBytes, maxMemoryBytes), verdict(total.bytesPerSecond, maxBytesPerSecond))
	fmt.Fprintf(b, "A node holds %.0f budgets in %.0f shards. Appends of the whole fleet: %.0f/s (%s of %.0f/s). "+
		"A grant that was not fetched ahead waits up to %.1f s for its shard's turn. A dead host strands %.0f s of its spend.\n\n",
		m.budgetsPerHost(), m.shardsPerHost(), m.fleetAppendRate(), verdict(m.fleetAppendRate(), maxAppendsPerSecond), maxAppendsPerSecond,
		p.shards/allShardAppendsPerSecond, m.strandedSeconds())
}

func verdict(value, limit float64) string {
	factor := limit / value
	if factor >= 1 {
		return fmt.Sprintf("holds, fails at %.1f times", factor)
	}
	return fmt.Sprintf("OVER by %.1f times", value/limit)
}

func renderFailures(b *strings.Builder, slopes slopeSet) {
	m := model{plan: plans[len(plans)-1], slopes: slopes}
	tokensPerSecond := 4.1e6 / hosts
	b.WriteString("### Bad days, with the proposed settings\n\n| event | appends | stranded | moved callers | time to recover |\n|---|---|---|---|---|\n")
	strandedTokens := m.strandedSeconds() * tokensPerSecond
	fmt.Fprintf(b, "| 43 host failures a day | %.0f takeovers | %.0f M tokens until released | %.2f%% of callers at each | 3 s to move callers |\n",
		hostFailuresPerDay*m.shardsPerOwner(), hostFailuresPerDay*strandedTokens/1e6, 100/hosts)
	tree := slopes[treeSnapshot].at(settingEntries)
	fmt.Fprintf(b, "| 1,000 restarts a day | %.0f closing reports | none after a graceful stop | %.2f%% at each | %.0f KB of settings read at start |\n",
		hostRestartsPerDay*m.shardsPerHost(), 100/hosts, tree/1024)
	lostHosts := hosts / failureDomains
	fmt.Fprintf(b, "| a failure domain of %.0f hosts is lost | %.0f takeovers, %.0f s at the log's rate | %.0f M tokens | %.1f%% | 3 s to move callers |\n",
		lostHosts, lostHosts*m.shardsPerOwner(), lostHosts*m.shardsPerOwner()/allShardAppendsPerSecond, lostHosts*strandedTokens/1e6, 100/failureDomains)
	isolatedHosts := hosts / regions
	fmt.Fprintf(b, "| a region of %.0f hosts is cut off from the log for an hour | %.0f reports at its return, %.0f s at the log's rate | spends its %.0f s of grants, then refuses as held out of reach | none | as long as the reports take |\n",
		isolatedHosts, isolatedHosts*m.shardsPerHost(), isolatedHosts*m.shardsPerHost()/allShardAppendsPerSecond, m.strandedSeconds())
	b.WriteString("\n")
}

func number(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

func megabytes(bytes float64) string {
	return fmt.Sprintf("%.2f MB", bytes/(1<<20))
}
