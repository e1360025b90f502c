package route

import "time"

// Config configures a [Pool]. Zero fields take the values of [DefaultConfig].
type Config struct {
	// SubsetSize is the number of upstreams that a host uses for each model and
	// adapter. If there are no more than that, or it is negative, it uses all.
	SubsetSize int
	// LoadBound is the ratio to the mean load above which prefix affinity chooses
	// another upstream.
	LoadBound float64
	// PrefixBlocks is the number of leading blocks that prefix affinity hashes.
	PrefixBlocks int
	// ReportTTL is the age from which a load report is ignored.
	ReportTTL time.Duration
	// SlowStart is the time in which the share of a new upstream ramps up to 1.
	SlowStart time.Duration
	// EjectAfter is the number of consecutive failures that eject an upstream.
	EjectAfter int
	// EjectRate is the recent failure rate above which an upstream is ejected.
	EjectRate float64
	// EjectTime is the length of the first ejection. Each further one doubles it.
	EjectTime time.Duration
	// EjectTimeMax is the maximum length of an ejection.
	EjectTimeMax time.Duration
	// ProbeSuccesses is the number of successes that end the probing state.
	ProbeSuccesses int
	// MinLiveShare is the share of the eligible upstreams that must stay in use when
	// one is ejected.
	MinLiveShare float64
	// HintsPerUpstream is the maximum number of cached blocks remembered per upstream.
	HintsPerUpstream int
}

// DefaultConfig returns the values of fields that are not set.
func DefaultConfig() Config {
	return Config{
		SubsetSize:       20,
		LoadBound:        1.25,
		PrefixBlocks:     4,
		ReportTTL:        time.Second,
		SlowStart:        20 * time.Second,
		EjectAfter:       5,
		EjectRate:        0.5,
		EjectTime:        5 * time.Second,
		EjectTimeMax:     2 * time.Minute,
		ProbeSuccesses:   3,
		MinLiveShare:     0.5,
		HintsPerUpstream: 4096,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.SubsetSize, d.SubsetSize)
	setDefault(&c.LoadBound, d.LoadBound)
	setDefault(&c.PrefixBlocks, d.PrefixBlocks)
	setDefault(&c.ReportTTL, d.ReportTTL)
	setDefault(&c.SlowStart, d.SlowStart)
	setDefault(&c.EjectAfter, d.EjectAfter)
	setDefault(&c.EjectRate, d.EjectRate)
	setDefault(&c.EjectTime, d.EjectTime)
	setDefault(&c.EjectTimeMax, d.EjectTimeMax)
	setDefault(&c.ProbeSuccesses, d.ProbeSuccesses)
	setDefault(&c.MinLiveShare, d.MinLiveShare)
	setDefault(&c.HintsPerUpstream, d.HintsPerUpstream)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
