package replay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/fleet/entry"
)

// entryAge is how long a caller keeps an entry answer.
const entryAge = 20 * time.Second

// maxReplyBytes bounds a reply that is read whole.
const maxReplyBytes = 4 << 20

// caller sends the requests of one account as its programs would: it asks the
// fleet which hosts to use and retries under the same request ID.
type caller struct {
	account string
	spec    CallerSpec
	client  *http.Client
	// known are the addresses that the caller was configured with.
	known []string

	// asking holds a value while the entry is asked for. A mutex would stop the
	// virtual clock.
	asking  chan struct{}
	order   []string
	fetched time.Time
	// first is the index of the known address that is asked first.
	first int
}

// distrust makes the caller ask another host than the one that gave order.
func (c *caller) distrust(order []string) {
	c.asking <- struct{}{}
	defer func() { <-c.asking }()
	if len(order) > 0 && len(c.order) > 0 && &order[0] == &c.order[0] {
		c.fetched = time.Time{}
		c.first++
	}
}

// addresses returns the hosts to use, best first.
func (c *caller) addresses(ctx context.Context) []string {
	c.asking <- struct{}{}
	defer func() { <-c.asking }()
	if time.Since(c.fetched) < entryAge && len(c.order) > 0 {
		return c.order
	}
	for i := range c.known {
		order, err := c.askEntry(ctx, c.known[(c.first+i)%len(c.known)])
		if err == nil && len(order) > 0 {
			c.order, c.fetched = order, time.Now()
			return order
		}
	}
	if len(c.order) > 0 {
		return c.order
	}
	return c.known
}

func (c *caller) askEntry(ctx context.Context, address string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+entry.Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+accountKey(c.account))
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer entry.Answer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, err
	}
	order := make([]string, 0, len(answer.Hosts))
	for _, h := range answer.Hosts {
		order = append(order, h.Address)
	}
	return order, nil
}

// run sends a request until it is answered, refused for good or given up.
func (c *caller) run(ctx context.Context, r *request, e *Event, fixed []string) {
	r.started = time.Now()
	defer func() { r.ended = time.Now() }()
	for i := range c.spec.Tries {
		order := fixed
		if len(order) == 0 {
			order = c.addresses(ctx)
		}
		a := c.try(ctx, r, e, order[i%len(order)])
		r.attempts = append(r.attempts, a)
		if a.verdict == verdictAnswered || a.code == "budget-spent" {
			return
		}
		if len(fixed) == 0 && i%len(order) == len(order)-1 {
			c.distrust(order)
		}
		if !pause(ctx, max(time.Duration(c.spec.Wait), a.retryAfter)) {
			return
		}
	}
}

// pause waits and reports whether ctx goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// try sends a request once. It gives up when no byte arrives for its patience.
func (c *caller) try(ctx context.Context, r *request, e *Event, address string) (a attempt) {
	a = attempt{host: address, at: time.Now(), verdict: verdictBroken}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := time.Duration(c.spec.Patience)
	watch := time.AfterFunc(patience, cancel)
	defer watch.Stop()
	req, err := c.build(ctx, r, e, address)
	if err != nil {
		a.code = err.Error()
		return a
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.code = err.Error()
		a.cutOff = !errors.Is(err, syscall.ECONNREFUSED) && ctx.Err() == nil
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	defer func() { a.cutOff = a.verdict == verdictBroken && ctx.Err() == nil }()
	body := &watchedBody{reader: resp.Body, watch: watch, patience: patience}
	switch {
	case resp.StatusCode != http.StatusOK:
		a.readProblem(resp, body)
	case r.plain:
		a.readPlain(resp, body)
	default:
		a.readStream(body)
	}
	return a
}

func (c *caller) build(ctx context.Context, r *request, e *Event, address string) (*http.Request, error) {
	url, body := "http://"+address+"/v1/services/"+e.Service+"/book", []byte(`{"slab":1}`)
	if !r.plain {
		url = "http://" + address + "/v1/chat/completions"
		body = fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"stream_options":{"include_usage":true},`+
			`"messages":[{"role":"user","content":"tokens=%d"}]}`, e.Model, max(e.MaxTokens, e.Tokens), e.Tokens)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+accountKey(c.account))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", r.id)
	return req, nil
}

// watchedBody restarts the caller's patience with each read that brings bytes.
type watchedBody struct {
	reader   io.Reader
	watch    *time.Timer
	patience time.Duration
}

// Read reads from the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if n > 0 {
		b.watch.Reset(b.patience)
	}
	return n, err
}

// problem is the part of a problem document that callers act on.
type problem struct {
	Type    string `json:"type"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

func (a *attempt) readProblem(resp *http.Response, body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxReplyBytes))
	if err != nil {
		return
	}
	var p problem
	_ = json.Unmarshal(data, &p)
	a.tell(p)
	if outcome := resp.Header.Get("Hazel-Outcome"); outcome != "" {
		a.verdict = verdict(outcome)
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
}

func (a *attempt) tell(p problem) {
	a.verdict = verdictUnknown
	if p.Outcome != "" {
		a.verdict = verdict(p.Outcome)
	}
	a.code = p.Type[strings.LastIndexAny(p.Type, "/:")+1:]
	a.text = p.Detail
}

func (a *attempt) readPlain(resp *http.Response, body io.Reader) {
	a.firstByte = time.Now()
	data, err := io.ReadAll(io.LimitReader(body, maxReplyBytes))
	if err != nil {
		return
	}
	a.text = string(data)
	a.verdict = verdict(resp.Header.Get("Hazel-Outcome"))
}

// chunk is an event of a streamed answer.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Hazel *struct {
		Outcome string   `json:"outcome"`
		Problem *problem `json:"problem"`
	} `json:"hazel"`
}

// readStream reads server-sent events up to the one that tells the outcome.
func (a *attempt) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxReplyBytes)
	var text strings.Builder
	outcome := verdictBroken
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.verdict = outcome
			break
		}
		var c chunk
		if json.Unmarshal([]byte(data), &c) != nil {
			continue
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
		if text.Len() > 0 && a.firstByte.IsZero() {
			a.firstByte = time.Now()
		}
		if c.Hazel != nil && c.Hazel.Problem != nil {
			a.tell(*c.Hazel.Problem)
			outcome = a.verdict
		}
		if c.Hazel != nil && c.Hazel.Outcome != "" {
			outcome = verdict(c.Hazel.Outcome)
			a.verdict = outcome
		}
	}
	if a.text == "" {
		a.text = text.String()
	}
}
