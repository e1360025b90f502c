package route

import "time"

// Config tunes a [Pool]. Zero fields take the values of [DefaultConfig].
type Config struct {
	// SubsetSize is the number of upstreams that a host uses for each model and
	// adapter; all are used if there are not more. Negative means all.
	SubsetSize int
	// LoadBound is the ratio to the mean load above which prefix affinity
	// chooses another upstream.
	LoadBound float64
	// PrefixBlocks is the number of leading blocks that affinity hashes.
	PrefixBlocks int
	// ReportTTL is the age at which a load report is no longer used.
	ReportTTL time.Duration
	// SlowStart is the time in which a new upstream's share grows to full.
	SlowStart time.Duration
	// EjectAfter is the number of consecutive failures that eject an upstream.
	EjectAfter int
	// EjectRate is the recent share of failures that ejects an upstream.
	EjectRate float64
	// EjectTime is the first ejection's length; each further one doubles it.
	EjectTime time.Duration
	// EjectTimeMax bounds the length of an ejection.
	EjectTimeMax time.Duration
	// ProbeSuccesses is the number of successes that end the probing state.
	ProbeSuccesses int
	// MinLiveShare is the share of able upstreams that ejection leaves in use.
	MinLiveShare float64
	// HintsPerUpstream bounds the cached blocks remembered for an upstream.
	HintsPerUpstream int
}

// DefaultConfig returns the values used for fields that are not set.
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
