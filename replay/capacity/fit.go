package main

import (
	"errors"
	"fmt"
	"sort"
)

// quantity is a measured quantity, with the benchmark and the metric unit that give
// it. The page prints label.
type quantity struct {
	key       slopeKey
	label     string
	benchmark string
	unit      string
	// perItem reports whether the benchmark has already divided the value by the size.
	perItem bool
}

// slopeKey identifies a quantity's slope in a slopeSet.
type slopeKey string

// Slopes that the model uses.
const (
	foldNanos      slopeKey = "fold"
	budgetHeap     slopeKey = "budget-heap"
	budgetSnapshot slopeKey = "budget-snapshot"
	keyHeap        slopeKey = "key-heap"
	keySnapshot    slopeKey = "key-snapshot"
	reportBytes    slopeKey = "report-bytes"
	callBytes      slopeKey = "call-bytes"
	callNanos      slopeKey = "call-ns"
	readBytes      slopeKey = "read-bytes"
	treeHeap       slopeKey = "tree-heap"
	treeApply      slopeKey = "tree-apply"
	treeSnapshot   slopeKey = "tree-snapshot"
	decideNanos    slopeKey = "decide"
	entryNanos     slopeKey = "entry"
	planNanos      slopeKey = "plan"
	controlBytes   slopeKey = "control"
)

var quantities = []quantity{
	{foldNanos, "fold of a record of 40 settlements, by budgets, ns", "Fold/budgets", "ns/op", false},
	{budgetHeap, "heap of a shard's fold, by budgets, bytes", "Memory/budgets", "heap-B/item", true},
	{budgetSnapshot, "snapshot of a shard, by budgets, bytes", "Memory/budgets", "snapshot-B/item", true},
	{keyHeap, "heap of a shard's fold, by remembered requests, bytes", "Memory/keys", "heap-B/item", true},
	{keySnapshot, "snapshot of a shard, by remembered requests, bytes", "Memory/keys", "snapshot-B/item", true},
	{reportBytes, "record with a report, by settlements, bytes", "Report/settlements", "record-B", false},
	{callBytes, "call between hosts, both directions, by operations, bytes", "Submit/ops", "wire-B", false},
	{callNanos, "call between hosts, both ends, by operations, ns", "Submit/ops", "ns/op", false},
	{readBytes, "read of the log that finds nothing, bytes", "EmptyRead", "wire-B", false},
	{treeHeap, "memory of the settings, by entries, bytes", "Apply/entries", "kept-B", false},
	{treeApply, "fold of one settings change, by entries, ns", "Apply/entries", "ns/op", false},
	{treeSnapshot, "snapshot of the settings, by entries, bytes", "Snapshot/entries", "record-B", false},
	{decideNanos, "routing decision with prefixes, by candidates, ns", "Decide/candidates/prefix=true", "ns/op", false},
	{entryNanos, "entry answer, by hosts, ns", "Order/hosts", "ns/op", false},
	{planNanos, "plan of entry answers for 1,300 accounts, by hosts, ns", "NewPlan/hosts", "ns/op", false},
	{controlBytes, "membership traffic of a host, by hosts, B/s", controlBenchmark, "B/s", false},
}

// point is the value measured at a size.
type point struct {
	size  float64
	value float64
}

// slope is a line fitted to measurements: base + perUnit * size.
type slope struct {
	quantity quantity
	points   []point
	base     float64
	perUnit  float64
	// maxDeviation is the largest relative deviation of the line from a point.
	maxDeviation float64
}

// at returns the line's value at a size.
func (s slope) at(size float64) float64 {
	return s.base + s.perUnit*size
}

type slopeSet map[slopeKey]slope

// fitAll fits a line to each quantity. The error lists all quantities without a
// result.
func fitAll(results []result) (slopeSet, error) {
	set := make(slopeSet)
	var errs []error
	for _, q := range quantities {
		points := pointsOf(results, q)
		if len(points) == 0 {
			errs = append(errs, fmt.Errorf("no result of Benchmark%s with unit %s", q.benchmark, q.unit))
			continue
		}
		set[q.key] = fit(q, points)
	}
	return set, errors.Join(errs...)
}

// pointsOf returns the points of q, ordered by size.
func pointsOf(results []result, q quantity) []point {
	var points []point
	for _, r := range results {
		value, ok := r.values[q.unit]
		if !ok || r.benchmark != q.benchmark {
			continue
		}
		if q.perItem {
			value *= r.size
		}
		points = append(points, point{r.size, value})
	}
	sort.Slice(points, func(i, j int) bool { return points[i].size < points[j].size })
	return points
}

// fit fits a line to the points by least squares. A single point gives a constant. A
// negative slope is set to zero: it comes from noise in a quantity that is constant.
func fit(q quantity, points []point) slope {
	s := slope{quantity: q, points: points}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.size
		sumY += p.value
		sumXX += p.size * p.size
		sumXY += p.size * p.value
	}
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		s.perUnit = max(0, (n*sumXY-sumX*sumY)/spread)
	}
	s.base = (sumY - s.perUnit*sumX) / n
	for _, p := range points {
		deviation := (s.at(p.size) - p.value) / p.value
		s.maxDeviation = max(s.maxDeviation, deviation, -deviation)
	}
	return s
}
