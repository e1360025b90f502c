package main

// The size that the fleet has to carry.
const (
	hosts                = 620.0
	upstreams            = 2200.0
	requestsPerSecond    = 10_000.0 // a second
	budgets              = 15_000.0
	accounts             = 1300.0
	settingChangesPerDay = 1900.0 // a day
	settingEntries       = 17_000.0
	hostFailuresPerDay   = 43.0   // a day
	hostRestartsPerDay   = 1000.0 // a day
	failureDomains       = 15.0
	regions              = 5.0
)

// What a node may spend on control, and what the log takes.
const (
	maxCores            = 0.017 // of a core
	maxMemoryBytes      = 64 << 20
	maxBytesPerSecond   = 2048.0 // a second
	maxAppendsPerSecond = 300.0  // a second, "several hundred"
)

const (
	secondsPerDay = 86_400.0
	nanosPerSec   = 1e9
)

// Assumptions that no measurement gives.
const (
	// hostsPerBudget is on how many hosts a budget is drawn on, as entry answers
	// keep nine in ten callers of an account on its first two hosts.
	hostsPerBudget = 1.5
	// callersPerAccount ask for an entry answer once in its time to live.
	callersPerAccount = 20.0
	entryTTLSeconds   = 30.0
	// changeBytes is the size of a settings change.
	changeBytes = 400.0
	// operationBytes is the size of an operation in a record, settlements aside.
	operationBytes = 90.0
	// upstreamsPerHost is the subset of workers that a host sends to.
	upstreamsPerHost         = 20.0
	loadPollSeconds          = 15.0
	loadPollBytes            = 450.0
	settingsPollSeconds      = 20.0 // seconds
	shardPollSeconds         = 2.0  // seconds
	listBytesPerSec          = 800.0
	allShardAppendsPerSecond = 250.0
	settlementRecords        = 40.0 // settlements in the record of the fold's benchmark
)

// plan is a choice of settings.
type plan struct {
	name            string
	shards          float64
	flushSeconds    float64
	sliceSeconds    float64
	windowSeconds   float64
	snapshotSeconds float64
}

var plans = []plan{
	{name: "default", shards: 128, flushSeconds: 12, sliceSeconds: 3, windowSeconds: 3600, snapshotSeconds: 600},
	{name: "proposed", shards: 620, flushSeconds: 12, sliceSeconds: 300, windowSeconds: 900, snapshotSeconds: 900},
}
