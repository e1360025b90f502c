// Package intake decides which request bodies a host holds in memory, and which have to yield when their
// sum nears its limit. It has no clock and does no I/O.
package intake

import (
	"time"
)

const (
	// usualRate is the rate, in bytes per second, at which a body usually arrives.
	usualRate = 4 << 20
	// usualDelay is how much longer than by usualRate a body may usually take.
	usualDelay = 250 * time.Millisecond
	// standstill is the time after which a body that doesn't go on to arrive yields first. It is longer
	// than a link is silent that callers outlast.
	standstill = 5 * time.Second
)

// Verdict is the decision on bytes that a body asks for.
type Verdict int

const (
	// Granted means that the bytes are the body's now.
	Granted Verdict = iota
	// Wait means that the bytes are free as soon as the bodies that have to yield have ended.
	Wait
	// Yield means that the body itself has to yield, or to end.
	Yield
)

// state is how far a body has come.
type state int

const (
	arriving state = iota
	// whole means that the body has arrived whole.
	whole
	yielding
)

// Body is the memory of one request's body.
type Body struct {
	account *account
	began   time.Time
	// asked is when it last asked for bytes.
	asked  time.Time
	number uint64
	held   int64
	state  state
}

// Held returns the bytes that the body holds.
func (x *Body) Held() int64 { return x.held }

// Yields reports whether the body has to yield.
func (x *Body) Yields() bool { return x.state == yielding }

// sum is what several bodies hold, in bytes: all of them, and those that are large.
type sum struct{ all, large int64 }

// grow changes the sum by a body that grows from a size to another one.
func (s *sum) grow(from, to int64) {
	s.all += to - from
	s.large += largePart(to) - largePart(from)
}

// plus returns the sum of both.
func (s sum) plus(o sum) sum { return sum{s.all + o.all, s.large + o.large} }

// largePart returns the size of a body as far as it counts as large.
func largePart(size int64) int64 {
	if size > SmallBytes {
		return size
	}
	return 0
}

// bodies is the sum of the bodies of one account, or of all, and those parts of it that are arriving and
// that are about to be given back.
type bodies struct{ held, arriving, yielding sum }

// grow changes the sums by a body of a state that grows from a size to another one.
func (b *bodies) grow(s state, from, to int64) {
	b.held.grow(from, to)
	switch s {
	case arriving:
		b.arriving.grow(from, to)
	case yielding:
		b.yielding.grow(from, to)
	}
}

// account is what the bodies of one client account hold.
type account struct {
	name  string
	count int
	bodies
}

// Budget is the memory for the bodies of all requests of a host. A body asks for bytes as they arrive,
// never for what it announces. It is not safe for concurrent use.
//
// If bytes don't fit, a body that has not arrived whole yields: it has not been sent to any upstream, so
// that its refusal is true. Bodies that are whole never yield; their number is bounded by the time of
// their answers. Small bodies may take all that is free, large ones leave a part to them. No account takes
// the whole part of the large bodies, or all of the budget. The loads that this answers:
//
//   - Many bodies that stop short of their end, or drip, beside ordinary requests and callers on slow
//     links: those yield that are late for their size and don't go on.
//   - The same with the keys of several accounts: those yield first that stand still, whatever their account.
//   - One account, or strangers without a key, who send more than all others together: theirs yield.
//   - Many large bodies at full speed: the newest yields, so that those before it are completed.
type Budget struct {
	limits   Limits
	accounts map[string]*account
	// arriving are the bodies that may have to yield.
	arriving map[*Body]struct{}
	last     uint64
	all      bodies
}

// New returns a budget.
func New(l Limits) *Budget {
	return &Budget{limits: l, accounts: make(map[string]*account), arriving: make(map[*Body]struct{})}
}

// SetLimits changes the limits. Bodies keep what they hold.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// Held returns the sum of all bodies, in bytes.
func (b *Budget) Held() int64 { return b.all.held.all }

// Begin adds a body of a client account. Requests without one share the empty name.
func (b *Budget) Begin(name string, now time.Time) *Body {
	a := b.accounts[name]
	if a == nil {
		a = &account{name: name}
		b.accounts[name] = a
	}
	a.count++
	b.last++
	x := &Body{account: a, began: now, asked: now, number: b.last}
	b.arriving[x] = struct{}{}
	return x
}

// Take asks for n more bytes, of which the first has arrived. It returns the bodies that have to yield
// from now on; each is returned once.
func (b *Budget) Take(x *Body, n int64, now time.Time) (Verdict, []*Body) {
	x.asked = now
	if x.state == yielding {
		return Yield, nil
	}
	if b.fits(x, n, bodies{}, bodies{}) {
		b.grow(x, n)
		return Granted, nil
	}
	if all, own := b.othersYield(x); !b.fits(x, n, all, own) {
		b.setState(x, yielding)
		return Yield, nil
	}
	var victims []*Body
	for !b.fits(x, n, b.all, x.account.bodies) {
		victim := b.choose(x, n, now)
		if victim == x {
			for _, y := range victims {
				b.setState(y, arriving)
			}
			b.setState(x, yielding)
			return Yield, nil
		}
		b.setState(victim, yielding)
		victims = append(victims, victim)
	}
	return Wait, victims
}

// Complete states that a body has arrived whole. It returns false if the body has to yield.
func (b *Budget) Complete(x *Body) bool {
	if x.state == yielding {
		return false
	}
	b.setState(x, whole)
	return true
}

// End gives back all that a body holds.
func (b *Budget) End(x *Body) {
	b.grow(x, -x.held)
	delete(b.arriving, x)
	if x.account.count--; x.account.count == 0 {
		delete(b.accounts, x.account.name)
	}
}

// grow adds n bytes to a body.
func (b *Budget) grow(x *Body, n int64) {
	b.all.grow(x.state, x.held, x.held+n)
	x.account.grow(x.state, x.held, x.held+n)
	x.held += n
}

func (b *Budget) setState(x *Body, s state) {
	held := x.held
	b.grow(x, -held)
	x.state = s
	b.grow(x, held)
	if s == arriving {
		b.arriving[x] = struct{}{}
	} else {
		delete(b.arriving, x)
	}
}

// fits reports whether n more bytes of a body fit, once what yields of all bodies and of its account has
// been given back.
func (b *Budget) fits(x *Body, n int64, all, own bodies) bool {
	return b.all.held.all-all.yielding.all+n <= b.limits.Total && b.fitsLarge(x, n, all) && b.fitsAccount(x, n, own)
}

func (b *Budget) fitsLarge(x *Body, n int64, all bodies) bool {
	growth := largePart(x.held+n) - largePart(x.held)
	return growth == 0 || b.all.held.large-all.yielding.large+growth <= b.limits.Large
}

func (b *Budget) fitsAccount(x *Body, n int64, own bodies) bool {
	return b.fitsAccountLarge(x, n, own) && x.account.held.all-own.yielding.all+n <= b.limits.AccountTotal
}

func (b *Budget) fitsAccountLarge(x *Body, n int64, own bodies) bool {
	growth := largePart(x.held+n) - largePart(x.held)
	return growth == 0 || x.account.held.large-own.yielding.large+growth <= b.limits.Account
}

// othersYield returns the sums as if all other bodies that are arriving had to yield.
func (b *Budget) othersYield(x *Body) (all, own bodies) {
	all, own = b.all, x.account.bodies
	for _, s := range []*bodies{&all, &own} {
		s.arriving.grow(x.held, 0)
		s.yielding = s.yielding.plus(s.arriving)
	}
	return all, own
}

// choose returns the body that yields so that n more bytes of x fit. It is x if no other may.
func (b *Budget) choose(x *Body, n int64, now time.Time) *Body {
	candidate := func(*Body) bool { return true }
	switch {
	case !b.fitsAccountLarge(x, n, x.account.bodies):
		candidate = func(y *Body) bool { return y.account == x.account && largePart(y.held) > 0 }
	case !b.fitsAccount(x, n, x.account.bodies):
		candidate = func(y *Body) bool { return y.account == x.account }
	case !b.fitsLarge(x, n, b.all):
		candidate = func(y *Body) bool { return largePart(y.held) > 0 }
	}
	victim := x
	for y := range b.arriving {
		if y.held > 0 && candidate(y) && yieldsBefore(y, victim, now) {
			victim = y
		}
	}
	return victim
}

// yieldsBefore reports whether x yields rather than y.
func yieldsBefore(x, y *Body, now time.Time) bool {
	if sx, sy := x.standsStill(now), y.standsStill(now); sx != sy {
		return sx
	}
	if x.account != y.account {
		if x.account.arriving.all != y.account.arriving.all {
			return x.account.arriving.all > y.account.arriving.all
		}
		return x.account.name > y.account.name
	}
	if cx, cy := x.cost(now), y.cost(now); cx != cy {
		return cx > cy
	}
	return x.number > y.number
}

// standsStill reports whether nothing of the body has arrived for long.
func (x *Body) standsStill(now time.Time) bool { return now.Sub(x.asked) >= standstill }

// cost returns the bytes that a body holds times the seconds by which it is late for its size. A body that
// goes on to arrive is not late, however slow its link is.
func (x *Body) cost(now time.Time) float64 {
	usual := usualDelay + time.Duration(float64(x.held)/usualRate*float64(time.Second))
	late := min(now.Sub(x.began)-usual, now.Sub(x.asked)-usualDelay)
	return float64(x.held) * max(0, late.Seconds())
}
