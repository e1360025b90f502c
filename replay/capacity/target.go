package main

// Target size and load of the fleet.
const (
	hosts                = 620.0
	upstreams            = 2200.0
	requestsPerSecond    = 10_000.0
	budgets              = 15_000.0
	accounts             = 1300.0
	settingChangesPerDay = 1900.0
	settingEntries       = 17_000.0
	hostFailuresPerDay   = 43.0
	hostRestartsPerDay   = 1000.0
	failureDomains       = 15.0
	regions              = 5.0
)

// Limits of a host's control work, and of the log's appends.
const (
	maxCores            = 0.017
	maxMemoryBytes      = 64 << 20
	maxBytesPerSecond   = 2048.0
	maxAppendsPerSecond = 300.0 // the target says "several hundred"
)

const (
	secondsPerDay = 86_400.0
	nanosPerSec   = 1e9
)

// Assumptions that no benchmark measures.
const (
	// hostsPerBudget is the mean number of hosts that spend from a budget. Entry
	// answers keep nine in ten callers of an account on its first two hosts.
	hostsPerBudget = 1.5
	// callersPerAccount is the number of callers of an account. Each requests an
	// entry answer once per entryTTLSeconds.
	callersPerAccount = 20.0
	entryTTLSeconds   = 30.0
	// changeBytes is the size of a settings change.
	changeBytes = 400.0
	// operationBytes is the size of an operation in a record without settlements.
	operationBytes = 90.0
	// upstreamsPerHost is the size of the subset of upstreams that a host sends to.
	// The host polls the load of each once per loadPollSeconds.
	upstreamsPerHost    = 20.0
	loadPollSeconds     = 15.0
	loadPollBytes       = 450.0
	settingsPollSeconds = 20.0
	shardPollSeconds    = 2.0
	listBytesPerSec     = 800.0
	// allShardAppendsPerSecond is the log's append rate that all shards share.
	allShardAppendsPerSecond = 250.0
	settlementRecords        = 40.0 // settlements per record in BenchmarkFold
)

// plan is a set of settings to compare.
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
