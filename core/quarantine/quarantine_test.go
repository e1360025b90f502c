package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func parts(ids ...uint64) []Subject {
	var out []Subject
	for _, id := range ids {
		out = append(out, Subject{Kind: PromptPart, ID: id})
	}
	return out
}

const (
	testAccount  = 1
	otherAccount = 2
)

// answer records an answer of a service to a request with the subjects.
func answer(t *Tracker, subjects []Subject, now time.Time) {
	t.CountAnswer("llm")
	t.Answered(subjects, now)
}

// suspects returns suspects of one request.
func suspects(request uint64, ids ...uint64) []Suspect {
	var out []Suspect
	for _, s := range parts(ids...) {
		out = append(out, Suspect{Subject: s, Request: request, Account: testAccount})
	}
	return out
}

// crashEach reports a crash per second, each of another upstream and with another request that
// has the subjects. Other requests are answered meanwhile.
func crashEach(t *Tracker, now time.Time, n int, subjects ...uint64) (time.Time, []Quarantine) {
	var begun []Quarantine
	for range n {
		now = now.Add(time.Second)
		change := t.Crashed(Upstream{Hash: uint64(now.UnixNano())}, "llm", suspects(uint64(now.UnixNano()), subjects...), now)
		begun = append(begun, change.Begun...)
		for range othersAnswered {
			t.CountAnswer("llm")
		}
	}
	return now, begun
}

func TestSubjectOfThreeCrashesIsQuarantined(t *testing.T) {
	tracker := NewTracker()
	now := start
	for i, others := range [][]uint64{{1, 2}, {1, 3}, {4}} {
		now = now.Add(time.Second)
		begun := tracker.Crashed(Upstream{Hash: uint64(i)}, "llm", suspects(uint64(i), append(others, 9)...), now).Begun
		for range othersAnswered {
			tracker.CountAnswer("llm")
		}
		if i < 2 {
			require.Empty(t, begun)
			continue
		}
		require.Len(t, begun, 1)
		require.Equal(t, parts(9)[0], begun[0].Subject)
		require.Equal(t, start.Add(time.Second), begun[0].Since)
	}
	q, ok := tracker.Find(parts(1, 9, 5), testAccount, now)
	require.True(t, ok)
	require.Equal(t, now.Add(firstTerm), q.Until)
	_, ok = tracker.Find(parts(1, 2, 3, 4, 5), testAccount, now)
	require.False(t, ok)
}

// A request that is lost and repeated is in every crash by chance.
func TestOneRepeatedRequestBlamesNothing(t *testing.T) {
	tracker := NewTracker()
	for i := range uint64(20) {
		tracker.CountAnswer("llm")
		require.Empty(t, tracker.Crashed(Upstream{Hash: i}, "llm", suspects(1, 1, 2), start.Add(time.Duration(i)*time.Second)).Begun)
	}
}

// A service gets no requests but those that crash it.
func TestPartOfTheOnlyRequestsIsQuarantinedLater(t *testing.T) {
	tracker := NewTracker()
	for i := range uint64(lonelyCrashes) {
		begun := tracker.Crashed(Upstream{Hash: i}, "llm", suspects(i, 1), start.Add(time.Duration(i)*time.Second)).Begun
		require.Len(t, begun, int(i+1)/lonelyCrashes)
	}
}

// Two hosts report the same crash, each with its own requests: it counts once.
func TestReportsOfOneCrashAreJoined(t *testing.T) {
	tracker := NewTracker()
	for range 5 {
		require.Empty(t, tracker.Crashed(Upstream{Hash: 7}, "llm", suspects(1, 1), start).Begun)
		require.Empty(t, tracker.Crashed(Upstream{Hash: 7}, "llm", suspects(2, 2), start).Begun)
	}
}

// The starts of an upstream can't be told apart: reports close to each other are on one crash.
func TestCrashesOfAnUpstreamThatRestartsCountEach(t *testing.T) {
	tracker := NewTracker()
	for i, after := range []time.Duration{0, time.Second, 5 * time.Second, 10 * time.Second} {
		tracker.CountAnswer("llm")
		change := tracker.Crashed(Upstream{Hash: 7, Restarts: true}, "desk", []Suspect{requestSuspect(9)}, start.Add(after))
		require.Len(t, change.Begun, i/3)
	}
}

// A switch fails and takes five upstreams with it, at which requests with the same new part
// begin.
func TestCrashesAtTheSameMomentCountOnce(t *testing.T) {
	tracker := NewTracker()
	for i := range uint64(5) {
		tracker.CountAnswer("llm")
		require.Empty(t, tracker.Crashed(Upstream{Hash: i}, "llm", suspects(i, 1), start.Add(time.Duration(i)*10*time.Millisecond)).Begun)
	}
}

func TestAnswerClearsASubject(t *testing.T) {
	tracker := NewTracker()
	now, begun := crashEach(tracker, start, 2, 1)
	require.Empty(t, begun)
	answer(tracker, parts(1), now)
	_, begun = crashEach(tracker, now, 2, 1)
	require.Empty(t, begun)
}

// Requests that never crash anything share a part with those that do, and run beside them
// until they are answered elsewhere.
func TestOtherRequestsAtCrashedUpstreamsAreNotBlamedLater(t *testing.T) {
	tracker := NewTracker()
	now, _ := crashEach(tracker, start, 2, 1, 2)
	now, begun := crashEach(tracker, now, 1, 2)
	require.Len(t, begun, 1)
	require.Equal(t, parts(2)[0], begun[0].Subject)
	// The crashes that part 2 explains do not count against part 1.
	_, begun = crashEach(tracker, now, 2, 1)
	require.Empty(t, begun)
}

// While a service is down none of its requests is answered, also not those with the part that
// all of them share.
func TestPartOfAllRequestsIsNotBlamedWhileAServiceIsDown(t *testing.T) {
	tracker := NewTracker()
	for i := range uint64(50) {
		answer(tracker, parts(1, 100+i), start)
	}
	now := start
	for i := range uint64(30) { // each request has another part of its own kind
		now = now.Add(time.Second)
		require.Empty(t, tracker.Crashed(Upstream{Hash: i}, "llm", suspects(i, 1, 1000+i), now).Begun)
	}
	var begun []Quarantine
	for i := range uint64(crashesToBlame) {
		now = now.Add(time.Second)
		begun = tracker.Crashed(Upstream{Hash: 100 + i}, "llm", suspects(100+i, 1, 9), now).Begun
		for range othersAnswered {
			answer(tracker, parts(1), now)
		}
	}
	require.Len(t, begun, 1)
	require.Equal(t, parts(9)[0], begun[0].Subject)
	_, ok := tracker.Find(parts(1), testAccount, now)
	require.False(t, ok)
}

// A part that was answered before begins to crash upstreams, for example after a change of
// their software.
func TestPartThatWasAnsweredBeforeIsBlamedOnceOthersAreServed(t *testing.T) {
	tracker := NewTracker()
	answer(tracker, parts(1, 9), start)
	now := start
	for i := range uint64(provenCrashes) {
		now = now.Add(time.Second)
		require.Empty(t, tracker.Crashed(Upstream{Hash: i}, "llm", suspects(i, 1, 9), now).Begun)
	}
	for range provenOthersAnswered {
		answer(tracker, parts(1), now)
	}
	_, begun := crashEach(tracker, now, 1, 1, 9)
	require.Len(t, begun, 1)
	require.Equal(t, parts(9)[0], begun[0].Subject)
}

// A part that was in the first crashes by chance is quarantined first, and released once the
// crashes go on without it.
func TestQuarantineIsLiftedOnceAnotherExplainsItsCrashes(t *testing.T) {
	tracker := NewTracker()
	now := start
	for i := range uint64(crashesToBlame) {
		now = now.Add(time.Second)
		for range othersAnswered {
			tracker.CountAnswer("llm")
		}
		found := suspects(i, 5, 9)
		for r := range uint64(commonFactor) {
			found = append(found, suspects(100*(r+1)+i, 9)...)
		}
		tracker.Crashed(Upstream{Hash: i}, "llm", found, now)
	}
	q, ok := tracker.Find(parts(5, 9), testAccount, now)
	require.True(t, ok)
	require.Equal(t, parts(5)[0], q.Subject, "the part of fewer requests")
	var change Change
	for i := range uint64(crashesToBlame) {
		now = now.Add(time.Second)
		change = tracker.Crashed(Upstream{Hash: 10 + i}, "llm", suspects(1000+i, 9), now)
		for range othersAnswered {
			tracker.CountAnswer("llm")
		}
	}
	require.Len(t, change.Begun, 1)
	require.Equal(t, parts(9)[0], change.Begun[0].Subject)
	require.Equal(t, parts(5), change.Lifted)
	_, ok = tracker.Find(parts(5), testAccount, now)
	require.False(t, ok)
}

// Two parts that only ever come together can't be told apart.
func TestPartsThatNoCrashTellsApartAreQuarantinedTogether(t *testing.T) {
	tracker := NewTracker()
	now, begun := crashEach(tracker, start, tiedCrashes-1, 8, 9)
	require.Empty(t, begun)
	_, begun = crashEach(tracker, now, 1, 8, 9)
	require.Len(t, begun, 2)
}

// An account crashes upstreams on purpose, with a part that others use too. Its own requests are
// rejected; another account's are too only once one of them has been in a crash.
func TestQuarantineConcernsTheAccountsOfTheCrashes(t *testing.T) {
	tracker := NewTracker()
	now, begun := crashEach(tracker, start, crashesToBlame, 9)
	require.Len(t, begun, 1)
	require.EqualValues(t, testAccount, begun[0].Account)
	_, ok := tracker.Find(parts(9), testAccount, now)
	require.True(t, ok)
	_, ok = tracker.Find(parts(9), otherAccount, now)
	require.False(t, ok)
	change := tracker.Crashed(Upstream{Hash: 100}, "llm", []Suspect{{Subject: parts(9)[0], Request: 77, Account: otherAccount}}, now)
	require.Len(t, change.Begun, 1)
	require.Zero(t, change.Begun[0].Account)
	_, ok = tracker.Find(parts(9), otherAccount, now)
	require.True(t, ok)
	// What two hosts have begun for different accounts concerns all.
	other := NewTracker()
	for _, account := range []uint64{testAccount, otherAccount} {
		require.True(t, other.Apply(Quarantine{Subject: parts(9)[0], Since: now, Until: now.Add(time.Minute), Terms: 1, Account: account}, now))
	}
	_, ok = other.Find(parts(9), 3, now)
	require.True(t, ok)
}

// A quarantine ends by itself. A subject that crashes an upstream again is quarantined at once
// and for longer; one that is answered is cleared.
func TestQuarantineEndsByItself(t *testing.T) {
	for _, guilty := range []bool{true, false} {
		tracker := NewTracker()
		now, begun := crashEach(tracker, start, crashesToBlame, 9)
		require.Len(t, begun, 1)
		now = now.Add(firstTerm)
		_, ok := tracker.Find(parts(9), testAccount, now)
		require.False(t, ok)
		if !guilty {
			answer(tracker, parts(9), now)
		}
		now, begun = crashEach(tracker, now, 1, 1, 9)
		if !guilty {
			require.Empty(t, begun)
			continue
		}
		require.Len(t, begun, 1)
		require.Equal(t, now.Add(2*firstTerm), begun[0].Until)
		require.Equal(t, 2, begun[0].Terms)
	}
	require.Equal(t, maxTerm, term(50))
}

func TestAnswerSinceTheCrashesRefutesAQuarantine(t *testing.T) {
	tracker := NewTracker()
	q := Quarantine{Subject: parts(9)[0], Since: start, Until: start.Add(time.Minute), Terms: 1}
	answer(tracker, parts(9), start.Add(time.Second))
	require.False(t, tracker.Apply(q, start.Add(2*time.Second)))
	_, ok := tracker.Find(parts(9), testAccount, start.Add(2*time.Second))
	require.False(t, ok)
	q.Since = start.Add(1500 * time.Millisecond)
	require.True(t, tracker.Apply(q, start.Add(2*time.Second)))
	require.True(t, tracker.Lift(q.Subject, start.Add(3*time.Second)))
	require.False(t, tracker.Lift(q.Subject, start.Add(3*time.Second)))
}

// All that a host can remember are long quarantines. A new one replaces the one that ends first.
func TestNewQuarantineReplacesAnother(t *testing.T) {
	tracker := NewTracker()
	for i := range uint64(maxQuarantines) {
		until := start.Add(maxTerm - time.Duration(i)*time.Second)
		require.True(t, tracker.Apply(Quarantine{Subject: parts(100 + i)[0], Since: start, Until: until, Terms: 5}, start))
	}
	now, begun := crashEach(tracker, start, crashesToBlame, 9)
	require.Len(t, begun, 1)
	_, ok := tracker.Get(parts(9)[0], now)
	require.True(t, ok)
	_, ok = tracker.Get(parts(100 + maxQuarantines - 1)[0], now)
	require.False(t, ok)
}

// What a caller who sends ever new parts can make a host remember is bounded.
func TestMemoryIsBounded(t *testing.T) {
	tracker := NewTracker()
	now := start
	for i := range uint64(5_000) {
		now = now.Add(10 * time.Millisecond)
		answer(tracker, parts(i), now)
		tracker.Crashed(Upstream{Hash: i}, "llm", suspects(i, 1<<32|i, 1<<33|i), now)
		tracker.Apply(Quarantine{Subject: parts(1<<40 | i)[0], Since: now, Until: now.Add(time.Minute + time.Duration(i)), Terms: 1}, now)
	}
	require.LessOrEqual(t, len(tracker.crashes), maxCrashes)
	require.LessOrEqual(t, len(tracker.answered[PromptPart].young)+len(tracker.answered[PromptPart].old), maxAnswered)
	require.LessOrEqual(t, len(tracker.quarantines), maxQuarantines)
	_, ok := tracker.Find(parts(1<<40|4_999), testAccount, now)
	require.True(t, ok, "the latest is kept")
	many := make([]uint64, 1000)
	for i := range many {
		many[i] = uint64(i)
	}
	for r := range uint64(100) {
		tracker.Crashed(Upstream{Hash: 1 << 50}, "llm", suspects(r, many...), now)
	}
	requests := tracker.crashes[len(tracker.crashes)-1].requests
	require.Len(t, requests, maxSubjects)
	require.Len(t, requests[parts(1)[0]], maxRequests)
}

// requestSuspect returns the suspect of a request that is blamed itself.
func requestSuspect(id uint64) Suspect {
	return Suspect{Subject: Subject{Kind: Request, ID: id}, Request: id, Account: testAccount}
}

func TestRequestsDifferByEachOfTheirParts(t *testing.T) {
	base := RequestSubject("acme", "GET", "h", "/a", []byte("b"))
	require.Equal(t, base, RequestSubject("acme", "GET", "h", "/a", []byte("b")))
	for _, other := range []Subject{
		RequestSubject("other", "GET", "h", "/a", []byte("b")), RequestSubject("acme", "PUT", "h", "/a", []byte("b")),
		RequestSubject("acme", "GET", "g", "/a", []byte("b")), RequestSubject("acme", "GET", "h", "/ab", nil),
		RequestSubject("acme", "GET", "h", "/a", []byte("c")),
	} {
		require.NotEqual(t, base, other)
	}
}

// One request comes again and again; others run beside it and are repeated once elsewhere.
func TestRequestOfThreeCrashesIsQuarantined(t *testing.T) {
	tracker := NewTracker()
	var change Change
	for i := range uint64(3) {
		found := []Suspect{requestSuspect(9), requestSuspect(100 + i), requestSuspect(101 + i)}
		change = tracker.Crashed(Upstream{Hash: i}, "desk", found, start.Add(time.Duration(i)*time.Second))
		require.Len(t, change.Begun, int(i)/2)
	}
	require.Equal(t, requestSuspect(9).Subject, change.Begun[0].Subject)
}

// Two requests were in the same three crashes; the next one tells.
func TestRequestsOfTheSameCrashesWaitForAnother(t *testing.T) {
	tracker := NewTracker()
	for i := range uint64(3) {
		change := tracker.Crashed(Upstream{Hash: i}, "desk", []Suspect{requestSuspect(8), requestSuspect(9)}, start.Add(time.Duration(i)*time.Second))
		require.Empty(t, change.Begun)
	}
	change := tracker.Crashed(Upstream{Hash: 3}, "desk", []Suspect{requestSuspect(9)}, start.Add(4*time.Second))
	require.Len(t, change.Begun, 1)
	require.Equal(t, requestSuspect(9).Subject, change.Begun[0].Subject)
	change = tracker.Crashed(Upstream{Hash: 4}, "desk", []Suspect{requestSuspect(8)}, start.Add(5*time.Second))
	require.Empty(t, change.Begun, "its other crashes are explained")
}

// Callers ask for the same thing all the time. While the service is down it is not answered,
// and neither is anything else.
func TestRequestThatWasAnsweredIsNotBlamedWhileAServiceIsDown(t *testing.T) {
	tracker := NewTracker()
	tracker.Answered([]Subject{requestSuspect(9).Subject}, start)
	for i := range uint64(20) {
		change := tracker.Crashed(Upstream{Hash: i}, "desk", []Suspect{requestSuspect(9)}, start.Add(time.Duration(i+1)*time.Second))
		require.Empty(t, change.Begun)
	}
	for range provenOthersAnswered {
		tracker.CountAnswer("desk")
	}
	change := tracker.Crashed(Upstream{Hash: 20}, "desk", []Suspect{requestSuspect(9)}, start.Add(30*time.Second))
	require.Len(t, change.Begun, 1)
}

// A request with a part that crashes upstreams is repeated and quarantined. The part is still
// found.
func TestQuarantinedRequestDoesNotHideItsPart(t *testing.T) {
	tracker := NewTracker()
	now := start
	crash := func(i, request uint64) Change {
		now = now.Add(time.Second)
		for range othersAnswered {
			tracker.CountAnswer("llm")
		}
		return tracker.Crashed(Upstream{Hash: i}, "llm", append(suspects(request, 9), requestSuspect(request)), now)
	}
	for i := range uint64(3) {
		change := crash(i, 1)
		require.Len(t, change.Begun, int(i)/2)
	}
	require.Empty(t, crash(10, 2).Begun)
	change := crash(11, 3)
	require.Len(t, change.Begun, 1)
	require.Equal(t, parts(9)[0], change.Begun[0].Subject)
	require.Equal(t, []Subject{requestSuspect(1).Subject}, change.Lifted, "the part explains its crashes")
}
