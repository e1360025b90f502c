package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// Requests that crash upstreams: those with a part in their prompts, no two alike, and one with
// a body, which comes again.
const (
	crashPart = "dead"
	crashBody = "content that crashes"
	// crashGap is the time between two such requests, and upstreamDowntime the time from a
	// crash to the next start.
	crashGap         = 250 * time.Millisecond
	upstreamDowntime = 800 * time.Millisecond
	// crashTime is how long they are sent in calm times.
	crashTime = 9 * time.Second
	// learnTime is the time after the fifth crash, or the third of one request, from which at
	// most maxLateCrashing such requests may reach upstreams.
	learnTime       = 3 * time.Second
	maxLateCrashing = 3
)

// crashed refuses connections to an upstream that has crashed, and starts it again.
func (tb *testbed) crashed(u *upstream) {
	tb.mu.Lock()
	tb.crashes[u.Service] = append(tb.crashes[u.Service], time.Now())
	tb.mu.Unlock()
	u.proxy.close()
	tb.goFault(func() {
		time.Sleep(upstreamDowntime)
		l, err := net.Listen("tcp", u.proxy.target)
		if err == nil {
			u.Restart(l)
			err = u.proxy.reopen()
		}
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.recordError(err)
	})
}

// sendCrashing sends a request that crashes upstreams of a service, and returns the status, or
// zero if there was no answer.
func (tb *testbed) sendCrashing(h *host, service string, n int) int {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	path, body := "/look/1", crashBody
	if service == "llm" {
		path, body = "/chat/1", "content"
	}
	url := fmt.Sprintf("http://%s:%d%s", h.ip, standin.CallerPort, path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	standin.SetCallerHeaders(req, fmt.Sprintf("crash-%s-%d", service, n), validKey, requestTimeout)
	if service == "llm" {
		standin.SetTokenHeaders(req, inputTokens, 3, fmt.Sprintf("aa:400,%s:100,%x:100", crashPart, 1000+n))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// crashUpstreams sends some requests that crash upstreams, in the midst of other faults.
func crashUpstreams(tb *testbed, rng *rand.Rand) func() {
	service := []string{"llm", "desk"}[rng.IntN(2)]
	for range 1 + rng.IntN(3) {
		h, n := tb.randomHost(rng), rng.IntN(1<<30)
		go tb.sendCrashing(h, service, n)
	}
	return nil
}

// checkCrashes sends requests that crash upstreams in calm times, to all hosts in turn. They must
// not reach upstreams for long, and not after all hosts were killed either.
func (tb *testbed) checkCrashes() []string {
	var findings []string
	tb.topUpHosts()
	before := time.Now()
	var sent sync.WaitGroup
	for i := range int(crashTime / crashGap) {
		for _, service := range []string{"llm", "desk"} {
			sent.Go(func() { tb.sendCrashing(tb.hosts[i%len(tb.hosts)], service, i) })
		}
		time.Sleep(crashGap)
	}
	sent.Wait()
	for service, crashes := range map[string]int{"llm": 5, "desk": 3} {
		if late := tb.lateCrashing(service, before, crashes); late > maxLateCrashing {
			findings = append(findings, fmt.Sprintf("%s: requests that crash upstreams have reached them %d times later than %v after crash %d", service, late, learnTime, crashes))
		}
	}
	tb.restartAll()
	for i, h := range tb.hosts {
		for _, service := range []string{"llm", "desk"} {
			if status := tb.sendCrashing(h, service, 1<<31+i); status != http.StatusServiceUnavailable {
				findings = append(findings, fmt.Sprintf("%s, killed and started again, answers a request that crashes upstreams of %s with %d", h.name, service, status))
			}
		}
	}
	return findings
}

// lateCrashing counts the runs of crashing requests later than learnTime after the nth crash of a
// service since a time.
func (tb *testbed) lateCrashing(service string, since time.Time, n int) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, at := range tb.crashes[service] {
		if !at.After(since) {
			continue
		}
		if n--; n > 0 {
			continue
		}
		late := 0
		for _, r := range tb.recorder.Runs("") {
			crashing := r.Body == crashBody || standin.HasPart(r.Request, crashPart)
			if r.Service == service && crashing && r.StartedAt.After(at.Add(learnTime)) {
				late++
			}
		}
		return late
	}
	return 0
}

// restartAll kills all hosts at once, starts them again, with the other build if there is one, and waits until they serve.
func (tb *testbed) restartAll() {
	for _, h := range tb.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range tb.hosts {
		h.waitOrKill(time.Second)
		h.flip()
		h.startAgain()
	}
	tb.topUpHosts()
}

// topUpHosts raises the budget by what each host needs, and waits until that is in force.
func (tb *testbed) topUpHosts() {
	tb.changeConfig(func(cfg standin.Config) {
		tb.prepaid += max(prepaidTokens, int64(len(tb.hosts))*recoveryTokens)
		cfg.SetPrepaid(tb.prepaid)
	})
	time.Sleep(applyWait)
}
