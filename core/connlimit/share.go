package connlimit

// Resources are what a process may use. A value of zero is not known and sets no bound.
type Resources struct {
	Descriptors int
	MemoryBytes int64
}

// Limits are the largest numbers of open connections at the ports of a host. Zero means no bound.
type Limits struct {
	// Callers is for requests of callers, Hosts for those of other hosts, and Checks for each
	// port of short queries.
	Callers, Hosts, Checks int
}

const (
	// reservedDescriptors are kept for files by the platform.
	reservedDescriptors = 200
	// connBytes is the memory of a connection: its goroutine, buffers and a head in progress.
	connBytes = 64 << 10
	// memoryShare is the part of the memory, as a divisor, that connections of callers may take.
	memoryShare = 4
	// checksShare is the part of that number, as a divisor, for each port of checks. Their heads are small,
	// and those who ask may keep their connections.
	checksShare = 4
	// minChecks leaves room for the checks of a small host.
	minChecks = 8
)

// Shares returns the limits of a host with these resources. The descriptors that remain are for
// its own connections.
func Shares(r Resources) Limits {
	callers := 0
	if r.Descriptors > 0 {
		callers = max(1, (r.Descriptors-reservedDescriptors)/2)
	}
	if r.MemoryBytes > 0 {
		byMemory := max(1, int(r.MemoryBytes/memoryShare/connBytes))
		if callers == 0 || byMemory < callers {
			callers = byMemory
		}
	}
	if callers == 0 {
		return Limits{}
	}
	return Limits{Callers: callers, Hosts: max(minChecks, callers), Checks: max(minChecks, callers/checksShare)}
}
