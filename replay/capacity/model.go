package main

import "math"

// cost is what a role costs a node.
type cost struct {
	role      string
	mechanism string
	// messagesPerSecond is the number of calls a second, in and out.
	messagesPerSecond float64
	cores             float64
	memoryBytes       float64
	bytesPerSecond    float64
}

// model works out the costs of a plan.
type model struct {
	plan   plan
	slopes slopeSet
}

// requestsPerHost is the rate of requests of one node.
func (m model) requestsPerHost() float64 { return requestsPerSecond / hosts }

// budgetsPerHost is the number of budgets that a node holds grants of.
func (m model) budgetsPerHost() float64 { return budgets * hostsPerBudget / hosts }

// shardsPerHost is the number of shards that those budgets are spread over.
func (m model) shardsPerHost() float64 {
	s := m.plan.shards
	return s * (1 - math.Pow(1-1/s, m.budgetsPerHost()))
}

// reportRate is the rate of reportRate that a node sends: one for each shard that it
// has settled in since the last one.
func (m model) reportRate() float64 {
	d, f := m.shardsPerHost(), m.plan.flushSeconds
	return d * (1 - math.Exp(-m.requestsPerHost()*f/d)) / f
}

// grantRate is the rate of grantRate that a node asks for: one when half of a slice
// is used, and at most one for each request.
func (m model) grantRate() float64 {
	return m.budgetsPerHost() * min(m.requestsPerHost()/m.budgetsPerHost(), 2/m.plan.sliceSeconds)
}

func (m model) grantHolder() cost {
	calls := m.reportRate() + m.grantRate()
	settlement := m.slopes[reportBytes].perUnit
	return cost{
		role:              "holder of grants",
		mechanism:         "grants fetched ahead, settlements reported together",
		messagesPerSecond: calls,
		cores:             calls * m.slopes[callNanos].at(1) / 2 / nanosPerSec,
		memoryBytes:       m.budgetsPerHost() * 1024,
		bytesPerSecond:    calls*m.slopes[callBytes].at(1) + m.requestsPerHost()*settlement,
	}
}

// shardsPerOwner is the number of shards that an owner has.
func (m model) shardsPerOwner() float64 { return math.Ceil(m.plan.shards / hosts) }

// appendRate is the rate of appendRate of one shard.
func (m model) appendRate() float64 {
	arrivals := hosts * (m.reportRate() + m.grantRate()) / m.plan.shards
	return min(arrivals, allShardAppendsPerSecond/m.plan.shards)
}

func (m model) shardOwner() cost {
	s := m.shardsPerOwner()
	calls := s * hosts * (m.reportRate() + m.grantRate()) / m.plan.shards
	settled := s * requestsPerSecond / m.plan.shards
	settlement := m.slopes[reportBytes].perUnit
	records := s * m.appendRate()
	logBytes := 2*(settled*settlement+calls*operationBytes) + (records*2+s/shardPollSeconds)*m.slopes[readBytes].at(0)
	return cost{
		role:              "shard owner",
		mechanism:         "group commit at the shard's part of the log's rate",
		messagesPerSecond: calls + 2*records + s/shardPollSeconds,
		cores:             (calls*m.slopes[callNanos].at(1)/2 + settled*m.slopes[foldNanos].at(budgets/m.plan.shards)/settlementRecords) / nanosPerSec,
		memoryBytes:       s * (m.slopes[budgetHeap].at(budgets/m.plan.shards) + m.slopes[keyHeap].at(m.keysPerShard())),
		bytesPerSecond:    calls*m.slopes[callBytes].at(1) + settled*settlement + logBytes,
	}
}

// keysPerShard is the number of requests that a shard remembers.
func (m model) keysPerShard() float64 {
	return requestsPerSecond / m.plan.shards * m.plan.windowSeconds
}

func (m model) snapshotWriter() cost {
	size := m.slopes[budgetSnapshot].at(budgets/m.plan.shards) + m.slopes[keySnapshot].at(m.keysPerShard())
	s := m.shardsPerOwner()
	return cost{
		role:              "snapshot writer",
		mechanism:         "the owner, paced by time and records",
		messagesPerSecond: s / m.plan.snapshotSeconds,
		memoryBytes:       s * size,
		bytesPerSecond:    s * size / m.plan.snapshotSeconds,
	}
}

func (m model) settingsReader() cost {
	changes := settingChangesPerDay / secondsPerDay
	return cost{
		role:              "settings reader",
		mechanism:         "long poll of the log, snapshot at start",
		messagesPerSecond: 1/settingsPollSeconds + changes,
		cores:             changes * m.slopes[treeApply].at(settingEntries) / nanosPerSec,
		memoryBytes:       2 * m.slopes[treeHeap].at(settingEntries),
		bytesPerSecond:    m.slopes[readBytes].at(0)/settingsPollSeconds + changes*changeBytes,
	}
}

func (m model) membership() cost {
	bytes := m.slopes[controlBytes].at(hosts)
	return cost{
		role:              "membership",
		mechanism:         "ring probes with news on them; the list at 800 B/s",
		messagesPerSecond: bytes / 100,
		cores:             bytes / 100 * m.slopes[callNanos].at(1) / 2 / nanosPerSec,
		memoryBytes:       hosts * 1024,
		bytesPerSecond:    bytes + listBytesPerSec,
	}
}

func (m model) entry() cost {
	answers := accounts * callersPerAccount / entryTTLSeconds / hosts
	changes := (hostFailuresPerDay + 2*hostRestartsPerDay + settingChangesPerDay) / secondsPerDay
	return cost{
		role:              "entry",
		mechanism:         "rendezvous order, planned at each change of hosts or settings",
		messagesPerSecond: answers,
		cores:             (answers*m.slopes[entryNanos].at(hosts) + changes*m.slopes[planNanos].at(hosts)) / nanosPerSec,
		memoryBytes:       accounts * 64,
	}
}

func (m model) router() cost {
	polls := upstreamsPerHost / loadPollSeconds
	return cost{
		role:              "router",
		mechanism:         "a subset of the workers, load on response headers, slow polls",
		messagesPerSecond: polls,
		cores:             (m.requestsPerHost()*m.slopes[decideNanos].at(upstreamsPerHost) + polls*100_000) / nanosPerSec,
		memoryBytes:       upstreamsPerHost * 4096,
		bytesPerSecond:    polls * loadPollBytes,
	}
}

// costs returns the costs of all roles.
func (m model) costs() []cost {
	return []cost{
		m.grantHolder(), m.shardOwner(), m.snapshotWriter(), m.settingsReader(),
		m.membership(), m.entry(), m.router(),
	}
}

func sum(costs []cost) cost {
	total := cost{role: "all roles on one node"}
	for _, c := range costs {
		total.messagesPerSecond += c.messagesPerSecond
		total.cores += c.cores
		total.memoryBytes += c.memoryBytes
		total.bytesPerSecond += c.bytesPerSecond
	}
	return total
}

// fleetAppendRate is the rate of appends of all streams.
func (m model) fleetAppendRate() float64 {
	snapshots := m.plan.shards / m.plan.snapshotSeconds
	return m.plan.shards*m.appendRate() + snapshots + settingChangesPerDay/secondsPerDay
}

// strandedSeconds is the spend, as time at a host's recent rate, that a dead
// host holds of each budget: a slice and the reports under way.
func (m model) strandedSeconds() float64 {
	return m.plan.sliceSeconds + m.plan.flushSeconds
}
