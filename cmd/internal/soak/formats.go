package soak

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// The parts of the formats and statuses that upstreams and callers seldom use. They are left out
// beside another build, which may not know them.

// eventForms are the forms in which the model upstreams send events, in turn.
var eventForms = []standin.Behaviour{
	{LineEnd: "\n", Burst: 1},
	{LineEnd: "\r\n", Burst: 4},
	{LineEnd: "\r", Burst: 2, Comments: true},
}

// setEventForm sets the form in which an upstream sends events.
func (tb *testbed) setEventForm(b *standin.Behaviour, i int) {
	if tb.lacking == "" {
		form := eventForms[i%len(eventForms)]
		b.LineEnd, b.Burst, b.Comments = form.LineEnd, form.Burst, form.Comments
	}
}

// events returns a stream with LF as line ends and without comments. A part of it that ends between
// two lines stays a part of it.
func events(body string) string {
	body = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(body)
	var out strings.Builder
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, ":") {
			out.WriteString(line)
		}
	}
	return out.String()
}

// notRunStatuses tell callers that a request has not run and never will.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

const (
	// refusalEvery is the number of other faults for one of refuseAfterRun.
	refusalEvery = 3
	// maxRefusalTime bounds the duration of refuseAfterRun.
	maxRefusalTime = 2 * time.Second
)

// refuseAfterRun has an upstream run requests and answer them as if it had not, without stating it,
// for a random time.
func (tb *testbed) refuseAfterRun(rng *rand.Rand) {
	upstream := tb.upstreams[rng.IntN(len(tb.upstreams))]
	b := upstream.defaultBehaviour
	b.Status, b.NamesItself = notRunStatuses[rng.IntN(len(notRunStatuses))], true
	upstream.SetBehaviour(b)
	duration := time.Duration(rng.Float64() * float64(maxRefusalTime))
	tb.goFault(func() {
		time.Sleep(duration)
		upstream.SetBehaviour(upstream.defaultBehaviour)
	})
}

// unlimitedEvery is the number of a caller's requests of which one states no limit on its answer.
const unlimitedEvery = 40

// outputLimit returns the most output tokens that a request states.
func (tb *testbed) outputLimit(unlimited bool) int64 {
	if unlimited && tb.lacking == "" {
		return math.MaxInt64
	}
	return maxOutputTokens
}
