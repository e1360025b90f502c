package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// Number, timing and requests of the callers.
const (
	callerCount = 12
	// meanPause is the mean time between two requests of a caller.
	meanPause = 25 * time.Millisecond
	// requestTimeout is the time for which a caller waits for an answer.
	requestTimeout = 4 * time.Second
	// disconnectShare is the share of requests whose caller disconnects early.
	disconnectShare = 0.03
	inputTokens     = 600
	maxOutputTokens = 40
	// maxEventTokens is the maximum of tokens per event, as in the configuration.
	maxEventTokens = 3
	validKey       = "key-a"
	revokedKey     = "key-lost"
)

// requestKind is a kind of request.
type requestKind struct {
	name, method, path string
	// atMostOnce is true if the request must not run twice; stream is true if the
	// answer is a stream of events, and resumable if that can go on elsewhere.
	atMostOnce, stream, resumable bool
	// timeout is the time for which a caller waits for an answer; zero means requestTimeout.
	timeout time.Duration
}

func (k *requestKind) limit() time.Duration { return cmp.Or(k.timeout, requestTimeout) }

var requestKinds = []requestKind{
	{name: "chat", method: http.MethodPost, path: "/chat/1", atMostOnce: true, stream: true},
	{name: "resume", method: http.MethodPost, path: "/resume/1", stream: true, resumable: true},
	{name: "book", method: http.MethodPost, path: "/book/1", atMostOnce: true},
	{name: "look", method: http.MethodGet, path: "/look/1"},
}

// outcome is the result of one attempt of a caller.
type outcome struct {
	id       string
	kind     *requestKind
	host     *host
	key      string
	sentAt   time.Time
	duration time.Duration
	status   int
	seal     string
	body     string
	err      error
	// first is the request that began the stream, and events the number of its events that the
	// caller had before. They are zero for requests that take up no stream.
	first  string
	events int
	// unlimited is true if the request states no limit on its answer.
	unlimited bool
	// padding is the number of bytes by which the body is longer than others.
	padding int
	// build is the program that the host ran.
	build string
}

// callers send requests and record the outcomes.
type callers struct {
	tb   *testbed
	seed uint64

	mu       sync.Mutex
	lastID   int
	outcomes []outcome
}

// start sends requests until the returned function is called, which waits for the last ones.
func (c *callers) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// run sends requests until ctx ends.
func (c *callers) run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { c.runCaller(ctx, rand.New(rand.NewPCG(c.seed, uint64(i))), i%loyalEvery == 0) })
	}
	group.Wait()
}

// runCaller sends requests to one host over one connection, which it reuses until it is
// closed. After an attempt that fails or is not answered with 200 it resolves the next
// host, a loyal one only after an attempt that fails.
func (c *callers) runCaller(ctx context.Context, rng *rand.Rand, loyal bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	h := c.tb.randomHost(rng)
	for n := 1; ctx.Err() == nil; n++ {
		disconnects := rng.Float64() < disconnectShare
		o := c.attempt(client, h, outcome{kind: &requestKinds[rng.IntN(len(requestKinds))], key: validKey, unlimited: n%unlimitedEvery == 0}, disconnects)
		if o.err != nil || o.status != http.StatusOK && !loyal {
			h = c.resolve(rng, h)
		}
		for range maxTakeUps {
			if disconnects || !o.brokenOff() {
				break
			}
			o = c.attempt(client, h, o.takeUp(), false)
			h = c.resolve(rng, h)
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanPause)))
	}
}

// maxTakeUps is how often a caller takes up one stream.
const maxTakeUps = 2

// brokenOff reports whether the answer is a part of a stream that can be taken up.
func (o *outcome) brokenOff() bool {
	return o.kind.resumable && o.err != nil && o.events+strings.Count(o.body, "\n\n") > 0
}

// takeUp returns the request that takes up the stream of an answer that broke off.
func (o *outcome) takeUp() outcome {
	return outcome{kind: o.kind, key: o.key, first: cmp.Or(o.first, o.id), events: o.events + strings.Count(o.body, "\n\n")}
}

// resolve returns a host that the directory of a random host lists. If the directory
// doesn't answer or lists none, it returns a random host; if the address is unknown, it
// returns old.
func (c *callers) resolve(rng *rand.Rand, old *host) *host {
	directory := c.tb.randomHost(rng)
	addresses, err := lookUp(directory)
	if err != nil || len(addresses) == 0 {
		return c.tb.randomHost(rng)
	}
	address := addresses[rng.IntN(len(addresses))]
	for _, h := range c.tb.hosts {
		if strings.HasPrefix(address, h.ip+":") {
			return h
		}
	}
	return old
}

// attempt sends one request to a host and records its outcome. A caller that disconnects
// leaves after two event intervals.
func (c *callers) attempt(client *http.Client, h *host, o outcome, disconnect bool) outcome {
	c.mu.Lock()
	c.lastID++
	o.id, o.host, o.build, o.sentAt = fmt.Sprintf("r%d", c.lastID), h, h.build(), time.Now()
	if o.kind.method == http.MethodPost && c.lastID%longBodyEvery == 0 {
		o.padding = c.lastID * pieceBytes / 5 % maxBodyBytes
	}
	c.mu.Unlock()
	limit := o.kind.limit()
	if disconnect {
		limit = 2 * eventInterval
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	o.status, o.seal, o.body, o.err = send(ctx, client, &o, c.tb.outputLimit(o.unlimited))
	if o.kind.stream {
		o.body = events(o.body)
	}
	o.duration = time.Since(o.sentAt)
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	return o
}

// send sends a request, which states the most output tokens if its answer is a stream.
func send(ctx context.Context, client *http.Client, o *outcome, maxOutput int64) (status int, seal, body string, err error) {
	var content io.Reader
	if o.kind.method == http.MethodPost {
		content = strings.NewReader(o.content())
	}
	if o.padding > 0 {
		content = pieces{content}
	}
	url := fmt.Sprintf("http://%s:%d%s", o.host.ip, standin.CallerPort, o.kind.path)
	req, err := http.NewRequestWithContext(ctx, o.kind.method, url, content)
	if err != nil {
		return 0, "", "", err
	}
	req.Host = "h.example"
	if o.padding%2 == 0 && content != nil {
		req.ContentLength = int64(len(o.content())) // others are sent in chunks
	}
	req.GetBody = nil // the client must not retry the request by itself
	standin.SetCallerHeaders(req, o.id, o.key, o.kind.limit())
	if o.kind.stream {
		standin.SetTokenHeaders(req, inputTokens, maxOutput, "aa:400,bb:200")
	}
	if o.first != "" {
		standin.SetResumeHeaders(req, o.first, o.events)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, standin.ResponseSeal(resp), string(data), err
}

// recorded returns a copy of the outcomes so far.
func (c *callers) recorded() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}

// completeBody returns the complete answer of an upstream to a request.
func completeBody(o *outcome) string {
	if !o.kind.stream {
		return "answer to " + o.id
	}
	return strings.TrimPrefix(streamBody(streamEvents), streamBody(o.events))
}

// streamBody returns the first n events of a stream.
func streamBody(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString("id: " + strconv.Itoa(i+1) + "\ndata: piece " + strconv.Itoa(i+1) + "\n\n")
	}
	return b.String()
}
