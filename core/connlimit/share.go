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

// Buffers are the sizes, in bytes, of the kernel's buffers of a host's connections, for what is unread. Zero
// leaves them to the kernel.
type Buffers struct{ Callers, Hosts, Checks, Upstreams int }

const (
	// bufferShare is the part of the memory, as a divisor, for unread bytes of callers. The kernel counts its own
	// overhead besides, up to as much.
	bufferShare = 8
	// hostsBufferShare, checksBufferShare and upstreamsBufferShare are the parts of a caller's buffer, as
	// divisors, for connections of other hosts, which are near, for queries without a body, and for
	// connections to upstreams, which are near too.
	hostsBufferShare     = 2
	checksBufferShare    = 4
	upstreamsBufferShare = 2
)

// KernelBuffers returns the sizes with which bytes that were received and not yet read fit the memory of a host,
// whatever callers do on all the connections that [Shares] allows. A caller has 32 KiB at least: twice what a new
// connection sends before the first acknowledgement, and a body of 4 MiB takes some 130 round trips.
//
// The load that it answers: callers who go on to send while the host reads nothing, behind a request whose
// answer takes long. By default the kernel holds some 100 KiB of each, and megabytes after a fast upload.
func KernelBuffers(r Resources) Buffers {
	if r.MemoryBytes <= 0 {
		return Buffers{}
	}
	callers := int(r.MemoryBytes / bufferShare / int64(Shares(r).Callers))
	return Buffers{Callers: callers, Hosts: callers / hostsBufferShare, Checks: callers / checksBufferShare, Upstreams: callers / upstreamsBufferShare}
}
