package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// checkOutcomes checks the guarantees against the outcomes of callers and the runs of
// upstreams, and returns the violations.
func checkOutcomes(tb *testbed, outcomes []outcome) []string {
	var findings []string
	report := func(format string, args ...any) { findings = append(findings, fmt.Sprintf(format, args...)) }
	byID := make(map[string]*outcome, len(outcomes))
	for i := range outcomes {
		byID[outcomes[i].id] = &outcomes[i]
		checkAnswer(&outcomes[i], report)
	}
	checkRuns(tb, byID, report)
	checkVersions(tb, outcomes, report)
	checkBudget(tb, outcomes, report)
	for _, h := range tb.hosts {
		if h.exitedUnexpectedly() {
			report("%s ended by itself", h.name)
		}
	}
	return findings
}

// checkAnswer checks that a successful answer is complete and is the upstream's answer to
// this request, and that an interrupted answer is a prefix of it.
func checkAnswer(o *outcome, report func(string, ...any)) {
	if o.status != http.StatusOK {
		return
	}
	complete := completeBody(o)
	switch {
	case o.seal != standin.ExpectedSeal(o.id):
		report("%s (%s): answered with the mark %q", o.id, o.kind.name, o.seal)
	case o.err == nil && o.body != complete:
		report("%s (%s): an answer of %d bytes of %d that looks whole", o.id, o.kind.name, len(o.body), len(complete))
	case o.err != nil && !strings.HasPrefix(complete, o.body):
		report("%s (%s): a part of another answer", o.id, o.kind.name)
	}
}

// checkRuns checks the runs of upstreams: each has the request's account, service and
// body, an at-most-once request ran at most once, and one that was answered as not run did not
// run.
func checkRuns(tb *testbed, byID map[string]*outcome, report func(string, ...any)) {
	runs := make(map[string]int)
	for _, r := range tb.recorder.Runs("") {
		o, ok := byID[r.ID()]
		if !ok {
			continue // the caller has no outcome yet
		}
		runs[o.id]++
		account, keyPassedOn := r.Account()
		want := "desk"
		if o.kind.stream {
			want = "llm"
		}
		switch {
		case account != "acme" || keyPassedOn:
			report("%s: ran for account %q, key passed on: %v", o.id, account, keyPassedOn)
		case r.Service != want:
			report("%s (%s): ran at service %s", o.id, o.kind.name, r.Service)
		case o.kind.method == http.MethodPost && r.Body != o.content():
			report("%s: ran with another body", o.id)
		}
	}
	for id, n := range runs {
		o := byID[id]
		if o.kind.atMostOnce && n > 1 {
			report("%s (%s): ran %d times", id, o.kind.name, n)
		}
		if slices.Contains(notRunStatuses, o.status) && o.kind.atMostOnce {
			report("%s (%s): answered %d and ran", id, o.kind.name, o.status)
		}
	}
}

// checkVersions checks that streams go on at the software version that began them, over all
// requests of their callers. A run from the start replaces one of which nothing was passed on.
func checkVersions(tb *testbed, outcomes []outcome, report func(string, ...any)) {
	began := make(map[string]string, len(outcomes))
	for i := range outcomes {
		began[outcomes[i].id] = cmp.Or(outcomes[i].first, outcomes[i].id)
	}
	versions, exempt := make(map[string]string), tb.streamsOfLacking(outcomes)
	for _, r := range tb.recorder.Runs("") {
		first, ok := began[r.ID()]
		if !ok || r.Events == 0 || r.Service != "llm" || exempt[first] {
			continue
		}
		if !r.GoesOn() {
			versions[first] = r.Version
		} else if v := versions[first]; v != r.Version {
			report("%s: a stream of %s went on at %s", first, v, r.Version)
		}
	}
}

// checkBudget checks that callers received no more tokens than were prepaid.
func checkBudget(tb *testbed, outcomes []outcome, report func(string, ...any)) {
	spent := int64(0)
	for i := range outcomes {
		o := &outcomes[i]
		events := int64(strings.Count(o.body, "\n\n"))
		if o.kind.stream && o.status == http.StatusOK && events > 0 {
			spent += inputTokens + min(maxOutputTokens, events*maxEventTokens)
		}
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if spent > tb.prepaid {
		report("the account got %d tokens of %d", spent, tb.prepaid)
	}
}

// checkRecovery checks that each host serves requests with the newest configuration
// recoveryWait after the last fault has ended: the valid key is accepted and the revoked
// key is rejected.
func checkRecovery(tb *testbed, c *callers) []string {
	var findings []string
	for _, h := range tb.hosts {
		for i := range requestKinds {
			o := c.attempt(http.DefaultClient, h, outcome{kind: &requestKinds[i], key: validKey}, false)
			if o.status != http.StatusOK || o.err != nil {
				findings = append(findings, fmt.Sprintf("%s: %s is answered %d (%v) after all trouble", h.name, o.kind.name, o.status, o.err))
			}
		}
		if o := c.attempt(http.DefaultClient, h, outcome{kind: &requestKinds[len(requestKinds)-1], key: revokedKey}, false); o.status != http.StatusUnauthorized {
			findings = append(findings, fmt.Sprintf("%s: a key that was taken away is answered %d", h.name, o.status))
		}
	}
	return findings
}

// Bounds on the requests to an upstream that has stated a limit.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// checkLimits checks that the limited upstream got no more requests than its limit allows in
// any window since a time.
func checkLimits(tb *testbed, since time.Time) []string {
	allowed := int(limitFactor*statedLimit*limitWindow.Seconds()) + limitSlack
	var at []time.Time
	for _, r := range tb.recorder.Runs("") {
		if r.UpstreamID == tb.upstreams[limitedUpstream].ID && r.StartedAt.After(since) {
			at = append(at, r.StartedAt)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	first := 0
	for last := range at {
		for at[last].Sub(at[first]) > limitWindow {
			first++
		}
		if n := last - first + 1; n > allowed {
			return []string{fmt.Sprintf("an upstream with a limit of %g a second got %d requests in %v", statedLimit, n, limitWindow)}
		}
	}
	return nil
}

// maxFalls is the number of times that the brittle upstream may fall over in calm times.
const maxFalls = 2

// checkFalls checks that hosts have not overrun the brittle upstream since a time. Nothing else
// makes upstreams crash in calm times.
func (tb *testbed) checkFalls(since time.Time) []string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	falls := 0
	for _, at := range tb.crashes["desk"] {
		if at.After(since) {
			falls++
		}
	}
	if falls > maxFalls && !tb.lacks(tb.lacking, LacksBrittle) {
		return []string{fmt.Sprintf("a brittle upstream fell over %d times", falls)}
	}
	return nil
}
