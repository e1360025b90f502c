package balancer

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/balance"
)

// ObserveOutput records the number of output tokens of a complete answer.
func (l *Lease) ObserveOutput(work *balance.Work, tokens int64) {
	l.balancer.mu.Lock()
	defer l.balancer.mu.Unlock()
	if s, ok := l.balancer.services[l.service]; ok {
		s.pool.ObserveOutput(work, tokens)
	}
}

// Speeds returns the slowness of each upstream of a service: how long work takes there, as a
// factor on the service's usual time.
func (b *Balancer) Speeds(service string) []balance.Slowness {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.services[service]
	if !ok {
		return nil
	}
	return s.pool.Speeds(time.Now())
}

// registerSpeeds registers gauges of the slowness of a service's upstreams: the least, the mean
// and the highest. They are computed when they are read.
func (b *Balancer) registerSpeeds(service string) {
	for name, of := range map[string]func(least, mean, highest float64) float64{
		"min":  func(least, _, _ float64) float64 { return least },
		"mean": func(_, mean, _ float64) float64 { return mean },
		"max":  func(_, _, highest float64) float64 { return highest },
	} {
		_ = b.opt.Metrics.Register("upstream_slowness_"+name+"."+service, metrics.NewFunctionalGaugeFloat64(func() float64 {
			return of(summarize(b.Speeds(service)))
		}))
	}
}

func summarize(speeds []balance.Slowness) (least, mean, highest float64) {
	for i, s := range speeds {
		if i == 0 || s.Factor < least {
			least = s.Factor
		}
		highest = max(highest, s.Factor)
		mean += s.Factor / float64(len(speeds))
	}
	return least, mean, highest
}
