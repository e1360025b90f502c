package main

import "math"

// cost is the cost of one role on one host.
type cost struct {
	role      string
	mechanism string
	// messagesPerSecond counts incoming and outgoing calls.
	messagesPerSecond float64
	// cores is the CPU time in cores.
	cores       float64
	memoryBytes float64
	// bytesPerSecond is the control traffic.
	bytesPerSecond float64
}

// model estimates the costs of a plan from the measured slopes.
type model struct {
	plan   plan
	slopes slopeSet
}

// requestsPerHost returns the requests per second of one host.
func (m model) requestsPerHost() float64 { return requestsPerSecond / hosts }

// budgetsPerHost returns the number of budgets of which a host has grants.
func (m model) budgetsPerHost() float64 { return budgets * hostsPerBudget / hosts }

// shardsPerHost returns the expected number of distinct shards of a host's budgets.
func (m model) shardsPerHost() float64 {
	s := m.plan.shards
	return s * (1 - math.Pow(1-1/s, m.budgetsPerHost()))
}

// reportRate returns the reports per second that a host sends. Each flush sends one
// report for each shard with a settlement since the last flush.
func (m model) reportRate() float64 {
	d, f := m.shardsPerHost(), m.plan.flushSeconds
	return d * (1 - math.Exp(-m.requestsPerHost()*f/d)) / f
}

// grantRate returns the grants per second that a host requests: one whenever half of
// a slice is used, and at most one for each request.
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

// shardsPerOwner returns the number of shards that one host owns.
func (m model) shardsPerOwner() float64 { return math.Ceil(m.plan.shards / hosts) }

// appendRate returns the log appends per second of one shard. Group commit keeps it
// within the shard's part of the log's rate.
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

// keysPerShard returns the number of requests that a shard remembers.
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

// costs returns the cost of each role.
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

// fleetAppendRate returns the log appends per second of all streams.
func (m model) fleetAppendRate() float64 {
	snapshots := m.plan.shards / m.plan.snapshotSeconds
	return m.plan.shards*m.appendRate() + snapshots + settingChangesPerDay/secondsPerDay
}

// strandedSeconds returns the amount of each budget that stays reserved on a failed
// host, in seconds of spend at the host's recent rate: one slice and the settlements
// of one flush interval that are not yet reported.
func (m model) strandedSeconds() float64 {
	return m.plan.sliceSeconds + m.plan.flushSeconds
}
