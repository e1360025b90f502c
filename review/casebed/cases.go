package main

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// Figures of the cases.
const (
	readyLimit  = 10 * time.Second
	settleTime  = 2 * time.Second
	eventTokens = 3
	memory      = 374509
	// refusedPause is the pause of a client after a refusal.
	refusedPause = 150 * time.Millisecond
)

// noLimit has a tenant spend its prepaid amount, with some requests in flight at all times. One request
// then states the largest 64-bit integer as the most tokens that it may generate.
func noLimit(record *recordFile, trouble bool) (bool, error) {
	const (
		prepaid = 60000
		// wide and input are the prompt tokens of the request without a limit and of the others.
		wide, input, output = 9190, 900, 90
		clients             = 6
		wideAt, length      = 6 * time.Second, 12 * time.Second
	)
	config := standin.BaseConfig(1)
	config.SetPrepaid(prepaid)
	b, err := newBed(config, record)
	if err != nil {
		return false, err
	}
	defer b.close()
	for range 3 {
		if err := b.addWorker(&worker{service: "llm", slots: 64, eventTokens: eventTokens, memory: memory, lineEnd: "\n", burst: 1, gap: 10 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	for range 3 {
		if err := b.addHost(); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(readyLimit); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	var consumed, served, refused atomic.Int64
	var group sync.WaitGroup
	began := time.Now()
	for k := range clients {
		group.Go(func() {
			h := b.hosts[k%len(b.hosts)]
			for i := 0; time.Since(began) < length; i++ {
				a := b.ask(h.caller(), request{id: fmt.Sprintf("usual-%d-%d", k, i), method: "POST", path: "/chat/1", key: "key-a",
					usage: fmt.Sprintf("%d,%d", input, output), prefix: fmt.Sprintf("%x:%d", 1000+k, input), deadline: 6 * time.Second, body: "usual"})
				if a.status == 200 && len(a.events) > 0 {
					served.Add(1)
					consumed.Add(input + eventTokens*int64(len(a.events)))
				} else {
					refused.Add(1)
					time.Sleep(refusedPause)
				}
			}
		})
	}
	time.Sleep(wideAt)
	record.line("so far %d requests were served and %d refused; the tenant has consumed %d of %d tokens", served.Load(), refused.Load(), consumed.Load(), prepaid)
	if trouble {
		b.ask(b.hosts[0].caller(), request{id: "wide", method: "POST", path: "/chat/1", key: "key-a", usage: fmt.Sprintf("%d,%d", wide, int64(math.MaxInt64)),
			prefix: "5c1e07a2:6300,91bd3f06:2890", deadline: 6 * time.Second, body: "wide"})
	}
	group.Wait()
	record.line("the tenant has prepaid %d tokens; %d requests were served and %d refused; it has consumed %d tokens", prepaid, served.Load(), refused.Load(), consumed.Load())
	if served.Load() == 0 {
		return false, errors.New("no request was served")
	}
	return consumed.Load() <= prepaid, nil
}

// crlf has a worker crash in streams that may be resumed, whose events come a few at a time and whose
// lines end with CR LF.
func crlf(record *recordFile, trouble bool) (bool, error) {
	const streams, workers, crashes = 6, 8, 2
	config := standin.BaseConfig(1)
	b, err := newBed(config, record)
	if err != nil {
		return false, err
	}
	defer b.close()
	for range workers {
		w := &worker{service: "llm", slots: 64, eventTokens: eventTokens, memory: memory, lineEnd: "\r\n", burst: 4, gap: 20 * time.Millisecond}
		if trouble {
			w.breakOff = func(id string) int { return 8 }
		}
		if err := b.addWorker(w); err != nil {
			return false, err
		}
	}
	for range 2 {
		if err := b.addHost(); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(readyLimit); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	held, served := true, 0
	for i := range streams {
		if i == crashes && trouble {
			break
		}
		a := b.ask(b.hosts[i%len(b.hosts)].caller(), request{id: fmt.Sprintf("stream-%d", i), method: "POST", path: "/resume/1", key: "key-a", usage: "900,60",
			prefix: fmt.Sprintf("%x:900", 1000+i), deadline: 6 * time.Second, body: "stream"})
		if a.whole && a.status == 200 {
			served++
		}
		for k, n := range a.events {
			if n != k+1 {
				record.line("ORDER: event %d of stream %d has the id %d", k+1, i, n)
				held = false
				break
			}
		}
	}
	if held && served == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return held, nil
}

// own503 has one worker of a plain service fail some of its requests after it has run them, with a 503
// that does not state that the request was not run.
func own503(record *recordFile, trouble bool) (bool, error) {
	const workers, requests = 8, 80
	b, err := newBed(standin.BaseConfig(1), record)
	if err != nil {
		return false, err
	}
	defer b.close()
	for i := range workers {
		w := &worker{service: "desk", slots: 6, work: 15 * time.Millisecond}
		if trouble && i == 0 {
			w.fails = func(n int) bool { return n%9 < 4 } // four of nine: 0.44
		}
		if err := b.addWorker(w); err != nil {
			return false, err
		}
	}
	for range 2 {
		if err := b.addHost(); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(readyLimit); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	held, served := true, 0
	for i := range requests {
		id := fmt.Sprintf("book-%d", i)
		a := b.ask(b.hosts[i%len(b.hosts)].caller(), request{id: id, method: "POST", path: "/book/1", key: "key-a", deadline: 600 * time.Millisecond, body: "slab " + id})
		runs := 0
		for _, w := range b.workers {
			runs += w.runsOf(id)
		}
		switch {
		case a.status == 200:
			served++
		case (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) && runs > 0:
			record.line("REFUSED: %s was answered %d and has run", id, a.status)
			held = false
		}
	}
	if served == 0 {
		return false, errors.New("no request was served")
	}
	return held, nil
}
