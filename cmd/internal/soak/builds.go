package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// Features that an earlier build may lack. What follows from their absence is not checked where
// that build serves.
const (
	LacksVersions = "versions"
	LacksBrittle  = "brittle"
	// LacksEmptied is for emptied failure domains and cold upstreams.
	LacksEmptied = "emptied"
	// LacksLate is for the rejection of requests that may outlast a host that stops.
	LacksLate = "late"
)

const (
	// replaceGap is the time between two replacements of hosts by the other build.
	replaceGap = 200 * time.Millisecond
	// listedWait is the time within which the directory of each host must list all hosts, after
	// the rest: two missed heartbeats and the wait of a read of the log.
	listedWait = 3 * time.Second
)

// chooseBuilds sets the build with which the hosts begin: the other one with even seeds.
func (tb *testbed) chooseBuilds(opt Options) {
	if tb.other = opt.OtherBinary; tb.other != "" && opt.Seed%2 == 0 {
		tb.binary, tb.other = tb.other, tb.binary
	}
	tb.otherLacks = opt.OtherLacks
	tb.lacking = opt.OtherBinary
}

// flip has the host's next process run the build that its present one does not.
func (h *host) flip() {
	if h.tb.other == "" {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.binary == h.tb.binary {
		h.binary = h.tb.other
	} else {
		h.binary = h.tb.binary
	}
}

// build returns the program of the host's present process.
func (h *host) build() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.binary
}

// rollBuilds replaces hosts one after the other by the other build, and then back, until the
// returned function is called. Both builds run when that returns.
func (tb *testbed) rollBuilds(ctx context.Context, opt Options) (stop func()) {
	if tb.other == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ctx.Err() == nil || !tb.mixed(); {
			h := tb.hosts[i%len(tb.hosts)]
			if h.claimRestart() {
				tb.replace(h, opt)
				i++
			}
			time.Sleep(replaceGap)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// mixed reports whether hosts run both builds.
func (tb *testbed) mixed() bool {
	for _, h := range tb.hosts {
		if h.build() != tb.hosts[0].build() {
			return true
		}
	}
	return len(tb.hosts) == 1
}

// replace stops a host as planned and starts it with the other build.
func (tb *testbed) replace(h *host, opt Options) {
	h.signal(syscall.SIGTERM)
	h.waitOrKill(grace + 3*time.Second)
	h.flip()
	if opt.Out != nil {
		_, _ = fmt.Fprintf(opt.Out, "  %s %s replaced by %s\n", time.Now().UTC().Format("15:04:05.000"), h.name, h.build())
	}
	h.startAgain()
}

// lacks reports whether a build lacks a feature.
func (tb *testbed) lacks(build, feature string) bool {
	return build == tb.lacking && slices.Contains(tb.otherLacks, feature)
}

// streamsOfLacking returns the streams that a host without software versions has served, by their
// first request.
func (tb *testbed) streamsOfLacking(outcomes []outcome) map[string]bool {
	out := make(map[string]bool)
	for i := range outcomes {
		if o := &outcomes[i]; tb.lacks(o.build, LacksVersions) {
			out[cmp.Or(o.first, o.id)] = true
		}
	}
	return out
}

// checkDirectories checks that the directory of each host lists all hosts: each hears the
// heartbeats of all others.
func (tb *testbed) checkDirectories() []string {
	var findings []string
	deadline := time.Now().Add(listedWait)
	for _, h := range tb.hosts {
		missing := tb.unlisted(h)
		for len(missing) > 0 && time.Now().Before(deadline) {
			time.Sleep(replaceGap)
			missing = tb.unlisted(h)
		}
		if len(missing) > 0 {
			findings = append(findings, fmt.Sprintf("the directory of %s does not list %s after all trouble", h.name, strings.Join(missing, ", ")))
		}
	}
	return findings
}

// unlisted returns the hosts that the directory of a host does not list.
func (tb *testbed) unlisted(directory *host) []string {
	addresses, err := lookUp(directory)
	if err != nil {
		return []string{err.Error()}
	}
	var missing []string
	for _, h := range tb.hosts {
		if address := fmt.Sprintf("%s:%d", h.ip, standin.CallerPort); !slices.Contains(addresses, address) && len(tb.hosts) <= maxListed {
			missing = append(missing, h.name)
		}
	}
	return missing
}

// maxListed is the number of hosts up to which a directory lists all.
const maxListed = 64

// lookUp returns the addresses that the directory of a host lists.
func lookUp(directory *host) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	url := fmt.Sprintf("http://%s:%d/-/resolve?name=h.example&region=r1&zone=z1", directory.ip, standin.DirectoryPort)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, err
}
