package balance

import "time"

const (
	// slownessTime is the time constant with which the answers of an upstream lose weight in its
	// learned slowness. Upstreams of a large service answer a few times in a minute.
	slownessTime = 30 * time.Second
	// slownessPrior is the weight, in usual answers, of the prior assumption that an upstream is
	// as fast as its service.
	slownessPrior = 8.0
	// minSlowness and maxSlowness bound the slowness. An answer counts with at most
	// maxAnswerSlowness times the present slowness, so that a single one says little.
	minSlowness       = 0.25
	maxSlowness       = 6.0
	maxAnswerSlowness = 3.0
	// statedTime is the time constant of the filter of stated slowness, which moves many times a
	// second, and statedLife that of its loss of weight with age, in favour of its mean, which
	// statedMeanTime averages.
	statedTime     = 200 * time.Millisecond
	statedLife     = 800 * time.Millisecond
	statedMeanTime = 20 * time.Second
)

// speed estimates how long work takes at an upstream, as a factor on the estimates for its
// service. The factor is the product of what the upstream states of the moment and of what its
// answers show beyond that, to this host and to all that tell it of theirs. A statement that is
// wrong in the mean is thereby corrected.
type speed struct {
	// took and expected are sums over the answers, in multiples of the usual answer and weighted
	// by age: how long they took, and how long at the service's usual speed.
	took, expected float64
	updatedAt      time.Time
	// stated and statedMean are the filtered statement, as of statedAt, and its mean; both are
	// zero if there was none.
	stated, statedMean float64
	statedAt           time.Time
}

// observe records an answer that took a time that was expected to be expected at the usual speed
// of the service. usual is the usual time of an answer.
func (s *speed) observe(took, expected, usual time.Duration, now time.Time) {
	if took <= 0 || expected <= 0 || usual <= 0 {
		return
	}
	factor := decay(now.Sub(s.updatedAt), slownessTime)
	s.took, s.expected, s.updatedAt = s.took*factor, s.expected*factor, now
	weight := expected.Seconds() / usual.Seconds() * s.momentary(now)
	s.expected += weight
	s.took += min(took.Seconds()/usual.Seconds(), weight*s.learned()*maxAnswerSlowness)
}

// state records a stated percentage, of which 100 is usual. Zero states nothing.
func (s *speed) state(percent float64, now time.Time) {
	if percent <= 0 {
		return
	}
	stated := min(max(percent/100, minSlowness), maxSlowness)
	if s.statedAt.IsZero() {
		s.stated, s.statedMean, s.statedAt = stated, 1, now
		return
	}
	age := now.Sub(s.statedAt)
	s.stated += (1 - decay(age, statedTime)) * (stated - s.stated)
	s.statedMean += (1 - decay(age, statedMeanTime)) * (stated - s.statedMean)
	s.statedAt = now
}

// momentary returns what the upstream states, or probably would.
func (s *speed) momentary(now time.Time) float64 {
	if s.statedAt.IsZero() {
		return 1
	}
	return s.statedMean + decay(now.Sub(s.statedAt), statedLife)*(s.stated-s.statedMean)
}

func (s *speed) learned() float64 {
	return (slownessPrior + s.took) / (slownessPrior + s.expected)
}

// present returns the learned part, which loses weight against the prior without answers.
func (s *speed) present(now time.Time) float64 {
	factor, _ := s.presentAndKnown(now)
	return factor
}

// presentAndKnown returns the learned part, and how much of it is from answers, from 0 to 1.
func (s *speed) presentAndKnown(now time.Time) (present, known float64) {
	if s.expected == 0 {
		return 1, 0
	}
	factor := decay(now.Sub(s.updatedAt), slownessTime)
	answers := factor * s.expected
	return (slownessPrior + factor*s.took) / (slownessPrior + answers), answers / (answers + 1)
}

// mean returns the slowness without what is stated of the moment.
func (s *speed) mean(now time.Time) float64 {
	if s.statedAt.IsZero() {
		return s.present(now)
	}
	return s.present(now) * s.statedMean
}

// Slowness is the present factor of an upstream on the estimates of its service.
type Slowness struct {
	Upstream string
	Factor   float64
}

// Speeds returns the slowness of each upstream.
func (p *Pool) Speeds(now time.Time) []Slowness {
	out := make([]Slowness, 0, len(p.ordered))
	for _, u := range p.ordered {
		out = append(out, Slowness{Upstream: u.up.ID, Factor: p.slowness(u, now)})
	}
	return out
}

// UseUsualSpeeds makes the pool take all upstreams for equally fast. Simulations compare with that.
func (p *Pool) UseUsualSpeeds() { p.usualSpeeds = true }

// slowness returns the factor of an upstream on the estimates of its service, which are those of
// the mean upstream.
func (p *Pool) slowness(u *upstreamState, now time.Time) float64 {
	if p.usualSpeeds {
		return 1
	}
	if p.meanSlowness == 0 || now.Sub(p.meanSlownessAt) > meanSlownessInterval {
		sum := 0.0
		for _, u := range p.ordered {
			sum += min(max(u.speed.mean(now), minSlowness), maxSlowness)
		}
		p.meanSlowness, p.meanSlownessAt = sum/float64(len(p.ordered)), now
	}
	// An upstream that has hardly answered counts as the mean, not as the prior.
	factor, known := u.speed.presentAndKnown(now)
	if known == 0 {
		return 1
	}
	factor *= u.speed.momentary(now) / p.meanSlowness
	return min(max(significant(1+known*(factor-1)), minSlowness), maxSlowness)
}

// insignificantSlowness is how far the slowness of an upstream may be from that of its service, as
// a factor, to count as equal: so far apart are the means of equal upstreams by chance.
const insignificantSlowness = 1.15

// significant takes what is insignificant from a factor.
func significant(factor float64) float64 {
	return factor / min(max(factor, 1/insignificantSlowness), insignificantSlowness)
}

// meanSlownessInterval is the time between two updates of the mean slowness.
const meanSlownessInterval = 250 * time.Millisecond
