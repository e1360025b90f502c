package intake

const (
	// memoryShare is the share of the machine's memory that the bodies of requests may take.
	memoryShare = 1.0 / 8
	// defaultMemory is the machine's memory, in bytes, where it is not known.
	defaultMemory = 256 << 20
	// SmallBytes is the size up to which a body is small.
	SmallBytes = 64 << 10
	// smallShare is the share of the budget that large bodies leave to small ones.
	smallShare = 1.0 / 4
	// accountShare is the share of the large bodies' part that one account may take.
	accountShare = 3.0 / 4
	// otherShare is the share of the budget that one account leaves to others.
	otherShare = 1.0 / 16
	// accountBodies is the number of bodies at the limit that one account may always have, as far
	// as the large bodies' part holds them.
	accountBodies = 2
)

// Limits bound the memory of bodies, in bytes.
type Limits struct {
	// Total bounds all bodies together, Large all large ones, Account the large ones of one
	// account, and AccountTotal all of one account.
	Total        int64
	Large        int64
	Account      int64
	AccountTotal int64
}

// LimitsFor returns the limits on a machine with memory bytes, or zero if that is not known, where one
// body has at most maxBody bytes, or zero if that is not bounded. A single body of that size fits beside
// the part of the small ones.
//
// The load that it answers: strangers who send as much as they are allowed to, on as many connections as
// they like, to a process whose machine has a hundred megabytes.
func LimitsFor(memory, maxBody int64) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	const largeShare = 1 - smallShare
	total := max(int64(memoryShare*float64(memory)), int64(float64(maxBody)/largeShare)+1)
	return limitsOf(total, int64(largeShare*float64(total)), maxBody)
}

// LimitsWithin returns the limits for bodies of at most maxBody bytes that may take total bytes together.
func LimitsWithin(total, maxBody int64) Limits {
	return limitsOf(total, min(total, max(int64((1-smallShare)*float64(total)), maxBody)), maxBody)
}

// Body returns the size up to which a single body fits while there are no others. A larger one never does.
func (l Limits) Body() int64 { return min(l.Total, l.Large, l.Account, l.AccountTotal) }

func limitsOf(total, large, maxBody int64) Limits {
	account := min(large, max(int64(accountShare*float64(large)), accountBodies*maxBody))
	return Limits{Total: total, Large: large, Account: account, AccountTotal: max(account, int64((1-otherShare)*float64(total)))}
}
