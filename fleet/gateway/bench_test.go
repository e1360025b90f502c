package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/dispatch"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

// tokensServer returns an engine that answers at once with a number of tokens. Each
// is one event and one write.
func tokensServer(tokens int, pace time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Hazel-Request-Id")
		w.Header().Set("Content-Type", "text/event-stream")
		out := http.NewResponseController(w)
		for i := range tokens {
			_, _ = fmt.Fprintf(w, `id: %d
data: {"id":%q,"object":"chat.completion.chunk","created":1764000000,"model":"cut","choices":[{"index":0,"delta":{"content":" word%d"},"finish_reason":null}]}

`, i, id, i)
			_ = out.Flush()
			time.Sleep(pace)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", tokens)
	})
}

// benchGateway serves a gateway on loopback in front of an engine.
func benchGateway(b *testing.B, upstream http.Handler) (direct, through string, g *Gateway) {
	b.Helper()
	engine := httptest.NewServer(upstream)
	set := testSettings()
	set.Services[0].Upstreams = set.Services[0].Upstreams[:1]
	set.Services[0].Upstreams[0].URL = engine.URL
	set.Services[0].MaxOutput = 1 << 16
	picker := &fakePicker{transports: map[string]*http.Transport{"e0": {
		DialContext:         dispatch.CountWrites((&net.Dialer{}).DialContext),
		MaxIdleConnsPerHost: 4096,
		ReadBufferSize:      dispatch.BufferBytes,
		WriteBufferSize:     dispatch.BufferBytes,
		DisableCompression:  true,
	}}}
	budget := newFakeBank(1 << 60)
	self := record.Holder{Host: "h0"}
	g = New(Options{
		Self: self, Settings: fakeSource{set}, Reserver: budget, Claimer: claimer{budget, self},
		Picker: picker, Logger: logr.Discard(),
	})
	front := httptest.NewUnstartedServer(nil)
	front.Config = newServer(g.Handler())
	front.Start()
	b.Cleanup(func() {
		front.CloseClientConnections()
		front.Close()
		engine.CloseClientConnections()
		engine.Close()
	})
	return engine.URL, front.URL, g
}

// ask streams one answer and returns the time to its first event and the number
// of events.
func ask(b *testing.B, client *http.Client, url string) (time.Duration, int) {
	req, err := http.NewRequest(http.MethodPost, url+chatPath, strings.NewReader(chatBody("1", true)))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Hazel-Request-Id", testAccount+":x")
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	var first time.Duration
	events := 0
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return first, events
		}
		if bytes.HasPrefix(line, []byte("data: ")) {
			if events == 0 {
				first = time.Since(began)
			}
			events++
		}
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStreamFirstEvent compares the time to the first event through the
// gateway with that of the engine alone, one stream at a time.
func BenchmarkStreamFirstEvent(b *testing.B) {
	direct, through, _ := benchGateway(b, tokensServer(3, 0))
	for _, way := range []struct{ name, url string }{{"direct", direct}, {"gateway", through}} {
		b.Run(way.name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			ask(b, client, way.url)
			b.ReportAllocs()
			var first time.Duration
			for b.Loop() {
				f, _ := ask(b, client, way.url)
				first += f
			}
			b.ReportMetric(float64(first.Microseconds())/float64(b.N), "us-first-event")
		})
	}
}

// pacedStreams streams run at once; each sends an event every pace.
const (
	pacedStreams = 50
	pace         = 5 * time.Millisecond
)

// BenchmarkStreamTokens compares the CPU time of paced streams in which each event
// is one write. It measures the whole process, so the cost of the gateway is the
// difference between the two variants.
func BenchmarkStreamTokens(b *testing.B) {
	for _, tokens := range []int{50, 100, 200} {
		direct, through, _ := benchGateway(b, tokensServer(tokens, pace))
		for _, way := range []struct{ name, url string }{{"direct", direct}, {"gateway", through}} {
			b.Run(fmt.Sprintf("%s/tokens=%d", way.name, tokens), func(b *testing.B) {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pacedStreams}}
				defer client.CloseIdleConnections()
				b.ReportAllocs()
				events := 0
				cpu := cpuTime()
				for b.Loop() {
					events += askAtOnce(b, client, way.url)
				}
				cpu = cpuTime() - cpu
				b.ReportMetric(float64(cpu.Nanoseconds())/float64(events)/1000, "cpu-us/event")
			})
		}
	}
}

func askAtOnce(b *testing.B, client *http.Client, url string) int {
	var events atomic.Int64
	var all sync.WaitGroup
	for range pacedStreams {
		all.Go(func() {
			_, n := ask(b, client, url)
			events.Add(int64(n))
		})
	}
	all.Wait()
	return int(events.Load())
}

// BenchmarkStreamMemory reports the memory of open streams after some tokens. The
// callers and the engine run in the same process; the memory of as many streams
// read directly from the engine is subtracted to exclude them.
func BenchmarkStreamMemory(b *testing.B) {
	for _, open := range []int{250, 500, 1000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			for b.Loop() {
				hold := make(chan struct{})
				direct, through, _ := benchGateway(b, holdingServer(100, hold))
				alone := memoryOf(b, direct, open)
				both := memoryOf(b, through, open)
				close(hold)
				b.ReportMetric((both-alone)/float64(open)/1024, "KiB/stream")
			}
		})
	}
}

// holdingServer sends tokens and keeps the stream open until hold is closed.
func holdingServer(tokens int, hold <-chan struct{}) http.Handler {
	inner := tokensServer(tokens, 0)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		inner.ServeHTTP(withoutEnd{w}, r)
		select {
		case <-hold:
		case <-r.Context().Done():
		}
	})
}

// withoutEnd leaves out the event that ends a stream.
type withoutEnd struct{ http.ResponseWriter }

func (w withoutEnd) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w withoutEnd) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(stream.Done)) {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

// memoryOf opens streams, reads 100 events of each and returns the growth of
// heap and stacks in bytes.
func memoryOf(b *testing.B, url string, open int) float64 {
	before := memory()
	ctx, cancel := context.WithCancel(b.Context())
	client := &http.Client{Transport: &http.Transport{}}
	responses := make([]*http.Response, open)
	for i := range responses {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+chatPath, strings.NewReader(chatBody("1", true)))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set("Hazel-Request-Id", testAccount+":x")
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		responses[i] = resp
		r := stream.NewReader(resp.Body)
		for range 100 {
			if _, err := r.Next(); err != nil {
				b.Fatal(err)
			}
		}
	}
	used := memory() - before
	cancel()
	for _, resp := range responses {
		_ = resp.Body.Close()
	}
	client.CloseIdleConnections()
	return used
}

func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
