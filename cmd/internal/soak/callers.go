package soak

import (
	"context"
	"encoding/json"
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

// Callers' habits.
const (
	callerCount = 12
	// pause is the mean time between requests of a caller.
	pause = 25 * time.Millisecond
	// patience is how long a caller waits for an answer.
	patience = 4 * time.Second
	// leaveShare is the part of the requests whose caller leaves early.
	leaveShare = 0.03
	input      = 600
	mostOutput = 40
	// eventTokens is the most tokens of an event, as the configuration says.
	eventTokens = 3
	goodKey     = "key-a"
	lostKey     = "key-lost"
)

// kind is a kind of request.
type kind struct {
	name, method, path string
	// once is true if it must not run twice, stream if the answer has events.
	once, stream bool
}

var kinds = []kind{
	{name: "chat", method: http.MethodPost, path: "/chat/1", once: true, stream: true},
	{name: "resume", method: http.MethodPost, path: "/resume/1", stream: true},
	{name: "book", method: http.MethodPost, path: "/book/1", once: true},
	{name: "look", method: http.MethodGet, path: "/look/1"},
}

// outcome is what a caller got for one attempt.
type outcome struct {
	id     string
	kind   *kind
	host   *host
	key    string
	sentAt time.Time
	took   time.Duration
	status int
	seal   string
	body   string
	err    error
}

// callers send requests and keep what they got.
type callers struct {
	w    *world
	seed uint64

	mu       sync.Mutex
	next     int
	outcomes []outcome
}

// run sends requests until ctx ends.
func (c *callers) run(ctx context.Context) {
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { c.call(ctx, rand.New(rand.NewPCG(c.seed, uint64(i)))) })
	}
	group.Wait()
}

// call is one caller. It keeps to a connection until that is closed.
func (c *callers) call(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	h := c.w.anyHost(rng)
	for ctx.Err() == nil {
		o := c.ask(client, h, &kinds[rng.IntN(len(kinds))], goodKey, rng.Float64() < leaveShare)
		if o.err != nil || o.status != http.StatusOK {
			h = c.resolve(rng, h)
		}
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(pause)))
	}
}

// resolve asks the directory of some host for another one.
func (c *callers) resolve(rng *rand.Rand, old *host) *host {
	asked := c.w.anyHost(rng)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	url := fmt.Sprintf("http://%s:%d/-/resolve?name=h.example&region=r1&zone=z1", asked.ip, standin.DirectoryPort)
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil) // a constant form
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return c.w.anyHost(rng)
	}
	defer func() { _ = resp.Body.Close() }()
	if json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return c.w.anyHost(rng)
	}
	pick := answer.Addresses[rng.IntN(len(answer.Addresses))]
	for _, h := range c.w.hosts {
		if strings.HasPrefix(pick, h.ip+":") {
			return h
		}
	}
	return old
}

// ask makes one attempt and keeps its outcome.
func (c *callers) ask(client *http.Client, h *host, k *kind, key string, leave bool) outcome {
	c.mu.Lock()
	c.next++
	o := outcome{id: fmt.Sprintf("r%d", c.next), kind: k, host: h, key: key, sentAt: time.Now()}
	c.mu.Unlock()
	limit := patience
	if leave {
		limit = 2 * eventInterval
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	o.status, o.seal, o.body, o.err = send(ctx, client, &o)
	o.took = time.Since(o.sentAt)
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	return o
}

func send(ctx context.Context, client *http.Client, o *outcome) (status int, seal, body string, err error) {
	var content io.Reader
	if o.kind.method == http.MethodPost {
		content = strings.NewReader("content of " + o.id)
	}
	url := fmt.Sprintf("http://%s:%d%s", o.host.ip, standin.CallerPort, o.kind.path)
	req, err := http.NewRequestWithContext(ctx, o.kind.method, url, content)
	if err != nil {
		return 0, "", "", err
	}
	req.Host = "h.example"
	req.GetBody = nil // the client must not send it again by itself
	standin.SetCallerHeaders(req, o.id, o.key, patience)
	if o.kind.stream {
		standin.SetTokenHeaders(req, input, mostOutput, "aa:400,bb:200")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, standin.ResponseSeal(resp), string(data), err
}

// all returns what was got so far.
func (c *callers) all() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}

// wholeBody is the answer that a worker makes of a request.
func wholeBody(o *outcome) string {
	if !o.kind.stream {
		return "answer to " + o.id
	}
	return eventsUpTo(streamEvents)
}

func eventsUpTo(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString("id: " + strconv.Itoa(i+1) + "\ndata: piece " + strconv.Itoa(i+1) + "\n\n")
	}
	return b.String()
}
