package balance

// Load is what an upstream states of its load at the moment of an answer.
type Load struct {
	// Known is true if the upstream states its load.
	Known bool
	// Running and Waiting are the numbers of requests that it runs and that wait there, and
	// Slots is the number that it runs at once.
	Running, Waiting, Slots int
	// Percent is how long work takes there now, where 100 is as usual, or zero if that is
	// not stated.
	Percent float64
}
