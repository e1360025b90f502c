package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"
)

// blame quarantines the subjects that explain crashes which no quarantine explains yet.
func (t *Tracker) blame(now time.Time) Change {
	var out Change
	for {
		found := t.mostBlamed(now)
		if len(found) == 0 {
			return out
		}
		for _, s := range found {
			out.Begun = append(out.Begun, t.start(s, now))
		}
		for _, s := range t.explainedBy(found) {
			delete(t.quarantines, s)
			out.Lifted = append(out.Lifted, s)
		}
	}
}

// explainedBy returns the other quarantined subjects that were in no crash without one of the
// given subjects.
func (t *Tracker) explainedBy(subjects []Subject) []Subject {
	var out []Subject
	for s := range t.quarantines {
		if slices.Contains(subjects, s) {
			continue
		}
		known, alone := false, false
		for _, c := range t.crashes {
			if _, ok := c.requests[s]; !ok {
				continue
			}
			known = true
			alone = alone || !slices.ContainsFunc(subjects, func(o Subject) bool { _, ok := c.requests[o]; return ok })
		}
		if known && !alone {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, compareSubjects)
	return out
}

// explains reports whether a quarantined subject explains a crash to subjects of a kind. What
// else ran at an upstream that it has crashed is not blamed. A request does not explain a crash
// to its own parts: they may be what makes it crash upstreams.
func (t *Tracker) explains(c *crash, kind Kind, now time.Time) bool {
	for s := range c.requests {
		q, ok := t.quarantines[s]
		if ok && (s.Kind == PromptPart || kind == Request) && (now.Before(q.Until) || !c.at.After(q.Until)) {
			return true
		}
	}
	return false
}

// suspicion counts the crashes since the last answer with a subject, and the requests in them.
type suspicion struct {
	crashes  int
	requests map[uint64]struct{}
	lastAt   time.Time
	first    *crash
}

// mostBlamed returns the subjects with the most crashes, if these are enough and tell them
// apart from the others.
func (t *Tracker) mostBlamed(now time.Time) []Subject {
	for _, kind := range []Kind{PromptPart, Request} {
		if found := t.mostBlamedOf(kind, now); len(found) > 0 {
			return found
		}
	}
	return nil
}

func (t *Tracker) mostBlamedOf(kind Kind, now time.Time) []Subject {
	suspects := t.suspects(kind, now)
	maps.DeleteFunc(suspects, func(s Subject, x *suspicion) bool { return !t.enough(s, x) })
	most := 0
	for _, x := range suspects {
		most = max(most, x.crashes)
	}
	maps.DeleteFunc(suspects, func(_ Subject, x *suspicion) bool { return x.crashes < most })
	// Of several, one that was answered before is blamed last, and one that many requests have
	// after one that few have: it is in each crash by chance.
	found := slices.Collect(maps.Keys(suspects))
	if unproven := slices.DeleteFunc(slices.Clone(found), t.proven); len(unproven) > 0 {
		found = unproven
	}
	fewest := math.MaxInt
	for _, s := range found {
		fewest = min(fewest, len(suspects[s].requests))
	}
	found = slices.DeleteFunc(found, func(s Subject) bool { return len(suspects[s].requests) > commonFactor*fewest })
	if len(found) > 1 && most < tiedCrashes && !slices.ContainsFunc(found, func(s Subject) bool { return t.onProbation(s, now) }) {
		return nil
	}
	slices.SortFunc(found, compareSubjects)
	return found
}

// suspects returns the subjects of a kind in the crashes that no quarantine explains.
func (t *Tracker) suspects(kind Kind, now time.Time) map[Subject]*suspicion {
	out := make(map[Subject]*suspicion)
	for _, c := range t.crashes {
		if t.explains(c, kind, now) {
			continue
		}
		for s, requests := range c.requests {
			if s.Kind != kind {
				continue
			}
			if at, ok := t.lastAnswer(s); ok && !at.Before(c.at) {
				continue
			}
			x := out[s]
			if x == nil {
				x = &suspicion{first: c, requests: make(map[uint64]struct{})}
				out[s] = x
			}
			for _, r := range requests {
				x.requests[r.request] = struct{}{}
			}
			if x.crashes == 0 || kind == Request || c.at.Sub(x.lastAt) >= sameCause {
				x.crashes++
				x.lastAt = c.at
			}
		}
	}
	return out
}

// enough reports whether the crashes suffice to blame a subject.
func (t *Tracker) enough(s Subject, x *suspicion) bool {
	if q, ok := t.quarantines[s]; ok && x.first.at.After(q.Until) {
		return true // it has crashed an upstream right after its quarantine
	}
	others := t.answers[x.first.service] - x.first.answers
	switch {
	case s.Kind == PromptPart && len(x.requests) < crashesToBlame:
		return false
	case t.proven(s):
		return x.crashes >= provenCrashes && others >= provenOthersAnswered
	case s.Kind == Request:
		return x.crashes >= crashesToBlame
	}
	return x.crashes >= crashesToBlame && others >= othersAnswered || x.crashes >= lonelyCrashes
}

// proven reports whether a request with the subject was answered before.
func (t *Tracker) proven(s Subject) bool {
	_, ok := t.lastAnswer(s)
	return ok
}

// onProbation reports whether the subject's last quarantine has ended.
func (t *Tracker) onProbation(s Subject, now time.Time) bool {
	q, ok := t.quarantines[s]
	return ok && !now.Before(q.Until)
}

// start begins a quarantine.
func (t *Tracker) start(s Subject, now time.Time) Quarantine {
	q := &Quarantine{Subject: s, Since: now, Terms: 1}
	if old, ok := t.quarantines[s]; ok {
		q.Terms = old.Terms + 1
	}
	accounts := make(map[uint64]struct{})
	for _, c := range t.crashes {
		for _, r := range c.requests[s] {
			accounts[r.account] = struct{}{}
			q.Since = minTime(q.Since, c.at)
		}
	}
	if len(accounts) == 1 {
		q.Account = slices.Collect(maps.Keys(accounts))[0]
	}
	q.Until = now.Add(term(q.Terms))
	t.put(q)
	return *q
}
