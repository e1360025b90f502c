// Package quarantine decides which requests upstreams must not get because requests like
// them crash whatever upstream runs them. It finds what the crashes have in common, from
// reports of all hosts: an upstream that crashes takes all its running requests with it, and
// only the one that is in every crash is at fault.
package quarantine

import (
	"maps"

	"slices"
	"strconv"
	"time"
)

// Kind is the kind of a [Subject]. The numbers are sent to other hosts and kept in the log.
type Kind uint8

// Kinds of subjects.
const (
	// PromptPart is a part that the prompts of different requests share.
	PromptPart Kind = 1
	// Request is one request of one client account that comes again.
	Request Kind = 2
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case PromptPart:
		return "prompt part"
	case Request:
		return "request"
	}
	return "kind " + strconv.Itoa(int(k))
}

// Subject is something that requests have in common and that may crash upstreams.
type Subject struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	ID   uint64
}

// Suspect is a subject of a request that an upstream had begun to run when it crashed.
type Suspect struct {
	_       struct{} `cbor:",toarray"`
	Subject Subject
	// Request is the same for all attempts of one request, and for its repeats by the caller.
	Request uint64
	// Account is a hash of the client account, see [AccountHash].
	Account uint64
}

// String returns the kind and the ID, in hexadecimal.
func (s Subject) String() string { return s.Kind.String() + " " + strconv.FormatUint(s.ID, 16) }

const (
	// crashesToBlame is the number of crashes after which a subject is quarantined. For a
	// prompt part it is also the number of different requests in them: one that is repeated
	// elsewhere may be in several crashes by chance.
	crashesToBlame = 3
	// othersAnswered is, for a prompt part, the number of answers to other requests of the
	// service that it takes since the first of these crashes: while a service is down, a part
	// that all requests share has no answers either.
	othersAnswered = 20
	// lonelyCrashes is the number of crashes after which a part is quarantined although the
	// service has answered no other requests.
	lonelyCrashes = 5
	// tiedCrashes is the number of crashes after which subjects that no crash tells apart
	// are quarantined together.
	tiedCrashes = crashesToBlame + 2
	// commonFactor is how many times as many requests a subject must be in as another one
	// with the same number of crashes to count as one that is in them by chance.
	commonFactor = 4
	// provenCrashes and provenOthersAnswered are the same numbers for a subject that was in
	// an answered request before.
	provenCrashes        = crashesToBlame + 1
	provenOthersAnswered = 30
	// sameCause is the time within which several crashes count as one against a prompt part:
	// hosts and switches that fail take several upstreams with them. A request runs at one
	// upstream at a time.
	sameCause = 100 * time.Millisecond
	// oneCrash is the time within which hosts report the same crash. Upstreams are back after
	// some seconds.
	oneCrash = 2 * time.Second
	// evidenceTTL is how long crashes and answers are remembered.
	evidenceTTL = 10 * time.Minute
	// firstTerm is the duration of a subject's first quarantine. Each further one lasts
	// twice as long, at most maxTerm.
	firstTerm = 5 * time.Minute
	maxTerm   = time.Hour
)

// Bounds on what is remembered. The oldest is forgotten first; of quarantines, the one that
// ends first.
const (
	maxCrashes     = 64
	maxSubjects    = 128 // of one crash
	maxRequests    = 8   // of one subject in one crash
	maxQuarantines = 256
	maxAnswered    = 4096 // of one kind
)

// Quarantine is the state of a subject that upstreams do not get.
type Quarantine struct {
	Subject Subject
	// Until is the end of the quarantine.
	Until time.Time
	// Since is the time of the first crash that counts against the subject.
	Since time.Time
	// Terms is the number of the subject's quarantines, including this one.
	Terms int
	// Account is the only account whose requests are concerned, or zero if all are. No account
	// can bring quarantines upon the requests of others by itself.
	Account uint64
}

// concerns reports whether the quarantine is in force for requests of an account.
func (q *Quarantine) concerns(account uint64, now time.Time) bool {
	return now.Before(q.Until) && (q.Account == 0 || q.Account == account)
}

// Upstream identifies an upstream that has crashed.
type Upstream struct {
	// Hash differs between the starts of an upstream, unless Restarts is set.
	Hash uint64
	// Restarts is true if it is not known which start of the upstream has crashed. Reports
	// within oneCrash are then on the same one.
	Restarts bool
}

// crash is the end of one start of an upstream.
type crash struct {
	upstream Upstream
	service  string
	at       time.Time
	// answers is the number of answers of the service up to then.
	answers uint64
	// requests are the requests of each subject.
	requests map[Subject][]origin
}

// origin is a request and its account.
type origin struct{ request, account uint64 }

// Tracker is one host's view of crashes, answers and quarantines. It is not safe for
// concurrent use.
type Tracker struct {
	crashes []*crash // oldest first
	// answered holds the answered subjects of each kind: requests must not displace the
	// much fewer parts.
	answered map[Kind]*answerLog
	// answers counts the answers of each service.
	answers     map[string]uint64
	quarantines map[Subject]*Quarantine
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{answered: make(map[Kind]*answerLog), answers: make(map[string]uint64), quarantines: make(map[Subject]*Quarantine)}
}

// Find returns the quarantine of the first of the subjects that is quarantined for requests of
// an account.
func (t *Tracker) Find(subjects []Subject, account uint64, now time.Time) (Quarantine, bool) {
	if len(t.quarantines) == 0 {
		return Quarantine{}, false
	}
	for _, s := range subjects {
		if q, ok := t.quarantines[s]; ok && q.concerns(account, now) {
			return *q, true
		}
	}
	return Quarantine{}, false
}

// Get returns the quarantine of a subject that has not ended.
func (t *Tracker) Get(s Subject, now time.Time) (Quarantine, bool) {
	q, ok := t.quarantines[s]
	if !ok || !now.Before(q.Until) {
		return Quarantine{}, false
	}
	return *q, true
}

// Active returns the quarantines that have not ended, ordered by subject.
func (t *Tracker) Active(now time.Time) []Quarantine {
	var out []Quarantine
	for _, q := range t.quarantines {
		if now.Before(q.Until) {
			out = append(out, *q)
		}
	}
	slices.SortFunc(out, func(a, b Quarantine) int { return compareSubjects(a.Subject, b.Subject) })
	return out
}

// CountAnswer records that an upstream of a service has answered a request.
func (t *Tracker) CountAnswer(service string) { t.answers[service]++ }

// Answered records that a request with the subjects was answered, which clears them of earlier
// crashes.
func (t *Tracker) Answered(subjects []Subject, now time.Time) {
	for _, s := range subjects {
		t.recordAnswer(s, now)
		if q, ok := t.quarantines[s]; ok && !now.Before(q.Until) {
			delete(t.quarantines, s)
		}
	}
}

// Change is what new evidence changes.
type Change struct {
	Begun []Quarantine
	// Lifted are subjects whose crashes others explain.
	Lifted []Subject
}

// Crashed records that one start of an upstream has crashed, and the suspects. Reports of
// several hosts on the same start are joined.
func (t *Tracker) Crashed(upstream Upstream, service string, suspects []Suspect, now time.Time) Change {
	t.dropOld(now)
	i := slices.IndexFunc(t.crashes, func(c *crash) bool {
		return c.upstream == upstream && (!upstream.Restarts || now.Sub(c.at) < oneCrash)
	})
	if i < 0 {
		t.crashes = append(t.crashes, &crash{
			upstream: upstream, service: service, at: now, answers: t.answers[service], requests: make(map[Subject][]origin),
		})
		i = len(t.crashes) - 1
	}
	c := t.crashes[i]
	for _, s := range suspects {
		c.add(s)
	}
	if len(t.crashes) > maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, len(t.crashes)-maxCrashes)
	}
	change := t.blame(now)
	change.Begun = append(t.widen(suspects, now), change.Begun...)
	return change
}

// widen extends the quarantines of one account whose subjects were in a crash with another
// account's request to all accounts, and returns them.
func (t *Tracker) widen(suspects []Suspect, now time.Time) []Quarantine {
	var out []Quarantine
	for _, s := range suspects {
		q, ok := t.quarantines[s.Subject]
		if ok && now.Before(q.Until) && q.Account != 0 && q.Account != s.Account {
			q.Account = 0
			out = append(out, *q)
		}
	}
	return out
}

func (t *Tracker) recordAnswer(s Subject, now time.Time) {
	log, ok := t.answered[s.Kind]
	if !ok {
		log = newAnswerLog()
		t.answered[s.Kind] = log
	}
	log.add(s, now)
}

// lastAnswer returns when a request with the subject was last answered, if that is remembered.
func (t *Tracker) lastAnswer(s Subject) (time.Time, bool) {
	log, ok := t.answered[s.Kind]
	if !ok {
		return time.Time{}, false
	}
	return log.last(s)
}

func (c *crash) add(s Suspect) {
	requests, ok := c.requests[s.Subject]
	from := origin{request: s.Request, account: s.Account}
	if !ok && len(c.requests) >= maxSubjects || len(requests) >= maxRequests || slices.Contains(requests, from) {
		return
	}
	c.requests[s.Subject] = append(requests, from)
}

func (t *Tracker) dropOld(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) >= evidenceTTL })
	for _, log := range t.answered {
		log.dropOld(now)
	}
	maps.DeleteFunc(t.quarantines, func(_ Subject, q *Quarantine) bool { return now.Sub(q.Until) >= maxTerm })
}

// term returns the duration of a subject's nth quarantine.
func term(n int) time.Duration {
	d := firstTerm
	for ; n > 1 && d < maxTerm; n-- {
		d *= 2
	}
	return min(d, maxTerm)
}

func (t *Tracker) put(q *Quarantine) {
	t.quarantines[q.Subject] = q
	if len(t.quarantines) <= maxQuarantines {
		return
	}
	var first *Quarantine
	for _, other := range t.quarantines {
		if other != q && (first == nil || other.Until.Before(first.Until)) {
			first = other
		}
	}
	delete(t.quarantines, first.Subject)
}

// Apply applies a quarantine that another host has begun or extended. It returns false if it is refuted:
// a request with the subject was answered after the first of the crashes. The quarantine then
// has no effect, and the other hosts should be told with [Tracker.Lift]. Of two
// on one subject the later end holds, and all accounts that either concerns.
func (t *Tracker) Apply(q Quarantine, now time.Time) bool {
	if at, ok := t.lastAnswer(q.Subject); ok && at.After(q.Since) {
		return false
	}
	q.Until = minTime(q.Until, now.Add(maxTerm))
	old, ok := t.quarantines[q.Subject]
	switch {
	case !now.Before(q.Until):
		return true
	case ok && now.Before(old.Until):
		if old.Account != q.Account {
			q.Account = 0
		}
		q.Until, q.Terms = maxTime(q.Until, old.Until), max(q.Terms, old.Terms)
	}
	t.put(&q)
	return true
}

// Lift ends a quarantine because a request with the subject was answered, or at the word of
// an operator. It reports whether there was one.
func (t *Tracker) Lift(s Subject, now time.Time) bool {
	t.recordAnswer(s, now)
	q, ok := t.quarantines[s]
	delete(t.quarantines, s)
	return ok && now.Before(q.Until)
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func compareSubjects(a, b Subject) int {
	if a.Kind != b.Kind {
		return int(a.Kind) - int(b.Kind)
	}
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}
