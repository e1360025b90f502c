package main

import "math"

// cost is what a role costs a node.
type cost struct {
	role      string
	mechanism string
	// messages is the number of calls a second, in and out.
	messages float64
	core     float64
	memory   float64
	bytes    float64
}

// model works out the costs of a plan.
type model struct {
	plan   plan
	slopes slopeSet
}

// requestsPerNode is the rate of requests of one node.
func (m model) requestsPerNode() float64 { return requests / nodes }

// pairs is the number of budgets that a node holds grants of.
func (m model) pairs() float64 { return budgets * hostsPerBudget / nodes }

// shardsPerNode is the number of shards that those budgets are spread over.
func (m model) shardsPerNode() float64 {
	s := m.plan.shards
	return s * (1 - math.Pow(1-1/s, m.pairs()))
}

// reports is the rate of reports that a node sends: one for each shard that it
// has settled in since the last one.
func (m model) reports() float64 {
	d, f := m.shardsPerNode(), m.plan.flushSeconds
	return d * (1 - math.Exp(-m.requestsPerNode()*f/d)) / f
}

// grants is the rate of grants that a node asks for: one when half of a slice
// is used, and at most one for each request.
func (m model) grants() float64 {
	return m.pairs() * min(m.requestsPerNode()/m.pairs(), 2/m.plan.sliceSeconds)
}

func (m model) holder() cost {
	calls := m.reports() + m.grants()
	settlement := m.slopes[reportBytes].perUnit
	return cost{
		role:      "holder of grants",
		mechanism: "grants fetched ahead, settlements reported together",
		messages:  calls,
		core:      calls * m.slopes[callNanos].at(1) / 2 / nanosPerSec,
		memory:    m.pairs() * 1024,
		bytes:     calls*m.slopes[callBytes].at(1) + m.requestsPerNode()*settlement,
	}
}

// shardsOwned is the number of shards that an owner has.
func (m model) shardsOwned() float64 { return math.Ceil(m.plan.shards / nodes) }

// appends is the rate of appends of one shard.
func (m model) appends() float64 {
	arrivals := nodes * (m.reports() + m.grants()) / m.plan.shards
	return min(arrivals, appendsAllShards/m.plan.shards)
}

func (m model) owner() cost {
	s := m.shardsOwned()
	calls := s * nodes * (m.reports() + m.grants()) / m.plan.shards
	settled := s * requests / m.plan.shards
	settlement := m.slopes[reportBytes].perUnit
	records := s * m.appends()
	logBytes := 2*(settled*settlement+calls*operationBytes) + (records*2+s/shardPoll)*m.slopes[readBytes].at(0)
	return cost{
		role:      "shard owner",
		mechanism: "group commit at the shard's part of the log's rate",
		messages:  calls + 2*records + s/shardPoll,
		core:      (calls*m.slopes[callNanos].at(1)/2 + settled*m.slopes[foldNanos].at(budgets/m.plan.shards)/settlementRecords) / nanosPerSec,
		memory:    s * (m.slopes[budgetHeap].at(budgets/m.plan.shards) + m.slopes[keyHeap].at(m.keys())),
		bytes:     calls*m.slopes[callBytes].at(1) + settled*settlement + logBytes,
	}
}

// keys is the number of requests that a shard remembers.
func (m model) keys() float64 { return requests / m.plan.shards * m.plan.windowSeconds }

func (m model) snapshotWriter() cost {
	size := m.slopes[budgetSnapshot].at(budgets/m.plan.shards) + m.slopes[keySnapshot].at(m.keys())
	s := m.shardsOwned()
	return cost{
		role:      "snapshot writer",
		mechanism: "the owner, paced by time and records",
		messages:  s / m.plan.snapshotSeconds,
		memory:    s * size,
		bytes:     s * size / m.plan.snapshotSeconds,
	}
}

func (m model) settingsReader() cost {
	changes := settingChanges / secondsPerDay
	return cost{
		role:      "settings reader",
		mechanism: "long poll of the log, snapshot at start",
		messages:  1/settingsPoll + changes,
		core:      changes * m.slopes[treeApply].at(settingEntries) / nanosPerSec,
		memory:    2 * m.slopes[treeHeap].at(settingEntries),
		bytes:     m.slopes[readBytes].at(0)/settingsPoll + changes*changeBytes,
	}
}

func (m model) membership() cost {
	bytes := m.slopes[controlBytes].at(nodes)
	return cost{
		role:      "membership",
		mechanism: "ring probes with news on them; the list at 800 B/s",
		messages:  bytes / 100,
		core:      bytes / 100 * m.slopes[callNanos].at(1) / 2 / nanosPerSec,
		memory:    nodes * 1024,
		bytes:     bytes + listBytesPerSec,
	}
}

func (m model) entry() cost {
	answers := accounts * callersPerAccount / entryTTLSeconds / nodes
	changes := (hostFailures + 2*hostRestarts + settingChanges) / secondsPerDay
	return cost{
		role:      "entry",
		mechanism: "rendezvous order, planned at each change of hosts or settings",
		messages:  answers,
		core:      (answers*m.slopes[entryNanos].at(nodes) + changes*m.slopes[planNanos].at(nodes)) / nanosPerSec,
		memory:    accounts * 64,
	}
}

func (m model) router() cost {
	polls := watchedWorkers / watchSeconds
	return cost{
		role:      "router",
		mechanism: "a subset of the workers, load on response headers, slow polls",
		messages:  polls,
		core:      (m.requestsPerNode()*m.slopes[decideNanos].at(watchedWorkers) + polls*100_000) / nanosPerSec,
		memory:    watchedWorkers * 4096,
		bytes:     polls * watchBytes,
	}
}

// costs returns the costs of all roles.
func (m model) costs() []cost {
	return []cost{
		m.holder(), m.owner(), m.snapshotWriter(), m.settingsReader(),
		m.membership(), m.entry(), m.router(),
	}
}

func sum(costs []cost) cost {
	total := cost{role: "all roles on one node"}
	for _, c := range costs {
		total.messages += c.messages
		total.core += c.core
		total.memory += c.memory
		total.bytes += c.bytes
	}
	return total
}

// fleetAppends is the rate of appends of all streams.
func (m model) fleetAppends() float64 {
	snapshots := m.plan.shards / m.plan.snapshotSeconds
	return m.plan.shards*m.appends() + snapshots + settingChanges/secondsPerDay
}

// strandedSeconds is the spend, as time at a host's recent rate, that a dead
// host holds of each budget: a slice and the reports under way.
func (m model) strandedSeconds() float64 {
	return m.plan.sliceSeconds + m.plan.flushSeconds
}
