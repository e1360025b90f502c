package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// check looks for broken promises in what callers got and workers did. Each finding
// is told once.
func check(w *world, outcomes []outcome) []string {
	var found []string
	tell := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	asked := make(map[string]*outcome, len(outcomes))
	for i := range outcomes {
		asked[outcomes[i].id] = &outcomes[i]
		checkAnswer(&outcomes[i], tell)
	}
	checkRuns(w, asked, tell)
	checkBudget(w, outcomes, tell)
	for _, h := range w.hosts {
		if h.endedByItself() {
			tell("%s ended by itself", h.name)
		}
	}
	return found
}

// checkAnswer checks that a success is the worker's own and whole, and that an answer
// which broke off doesn't look whole.
func checkAnswer(o *outcome, tell func(string, ...any)) {
	if o.status != http.StatusOK {
		return
	}
	whole := wholeBody(o)
	switch {
	case o.seal != standin.ExpectedSeal(o.id):
		tell("%s (%s): answered with the mark %q", o.id, o.kind.name, o.seal)
	case o.err == nil && o.body != whole:
		tell("%s (%s): an answer of %d bytes of %d that looks whole", o.id, o.kind.name, len(o.body), len(whole))
	case o.err != nil && !strings.HasPrefix(whole, o.body):
		tell("%s (%s): a part of another answer", o.id, o.kind.name)
	}
}

// checkRuns checks what workers ran: only what was asked, for its account, by its
// service, and no more than once where that is promised.
func checkRuns(w *world, asked map[string]*outcome, tell func(string, ...any)) {
	runs := make(map[string]int)
	for _, r := range w.books.Runs("") {
		o, ok := asked[r.ID()]
		if !ok {
			continue // its caller has no outcome yet
		}
		runs[o.id]++
		account, keyPassedOn := r.Account()
		want := "desk"
		if o.kind.stream {
			want = "llm"
		}
		switch {
		case account != "acme" || keyPassedOn:
			tell("%s: ran for account %q, key passed on: %v", o.id, account, keyPassedOn)
		case r.Service != want:
			tell("%s (%s): ran at service %s", o.id, o.kind.name, r.Service)
		case o.kind.method == http.MethodPost && r.Body != "content of "+o.id:
			tell("%s: ran with another body", o.id)
		}
	}
	for id, n := range runs {
		o := asked[id]
		if o.kind.once && n > 1 {
			tell("%s (%s): ran %d times", id, o.kind.name, n)
		}
		promised := o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests
		if promised && o.kind.once {
			tell("%s (%s): answered %d and ran", id, o.kind.name, o.status)
		}
	}
}

// checkBudget checks that callers got no more than was ever prepaid.
func checkBudget(w *world, outcomes []outcome, tell func(string, ...any)) {
	spent := int64(0)
	for i := range outcomes {
		o := &outcomes[i]
		events := int64(strings.Count(o.body, "\n\n"))
		if o.kind.stream && o.status == http.StatusOK && events > 0 {
			spent += input + min(mostOutput, events*eventTokens)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if spent > w.prepaid {
		tell("the account got %d tokens of %d", spent, w.prepaid)
	}
}

// checkCalm checks, once all trouble has been over for a while, that each host serves
// again by the newest configuration.
func checkCalm(w *world, c *callers) []string {
	var found []string
	for _, h := range w.hosts {
		for i := range kinds {
			o := c.ask(http.DefaultClient, h, &kinds[i], goodKey, false)
			if o.status != http.StatusOK || o.err != nil {
				found = append(found, fmt.Sprintf("%s: %s is answered %d (%v) after all trouble", h.name, o.kind.name, o.status, o.err))
			}
		}
		if o := c.ask(http.DefaultClient, h, &kinds[len(kinds)-1], lostKey, false); o.status != http.StatusUnauthorized {
			found = append(found, fmt.Sprintf("%s: a key that was taken away is answered %d", h.name, o.status))
		}
	}
	return found
}
