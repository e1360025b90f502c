package main

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the case slow-reader. An answer has the largest number of events and the largest event
// of the small deployment.
const (
	slowReaders   = 8
	answerEvents  = 231
	eventBytes    = 250
	receiveBuffer = 16 << 10
	readPause     = 7 * time.Second
	slowDeadline  = 12 * time.Second
	graceTime     = 8 * time.Second
)

func init() {
	// Callers pause while they read an answer; the machine that took their requests gets SIGTERM. Without
	// the trouble they read on at once.
	cases["slow-reader"] = func(trouble bool) bool {
		s := newSystem()
		s.configure(baseConfig(1))
		s.addWorker("i-llm1", "llm", manyEvents(answerEvents, eventBytes, 5*time.Millisecond))
		s.addWorker("i-llm2", "llm", manyEvents(answerEvents, eventBytes, 5*time.Millisecond))
		for range 3 {
			s.addHost(s.store.addr())
		}
		for _, h := range s.hosts {
			h.awaitReady()
		}
		time.Sleep(4500 * time.Millisecond) // calm for stable_window_ms, 4,000 at the site that the claim names
		h := s.hosts[0]
		var wg sync.WaitGroup
		var mu sync.Mutex
		lost := 0
		for i := range slowReaders {
			wg.Go(func() {
				id := fmt.Sprintf("slow-%d", i+1)
				c, err := h.dialSmall(receiveBuffer)
				check(err)
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(slowDeadline))
				sent := time.Now()
				_, err = io.WriteString(c, request("POST", "/chat/x", id, "key-a",
					fmt.Sprintf("Deadline-Ms: %d\r\nModel: m\r\nToken-Usage: 543,693\r\nPrompt-Prefix: a1:172,b%d:371\r\n", slowDeadline.Milliseconds(), i), "hello"))
				check(err)
				note("client: %s sent to %s", id, h.name)
				br := bufio.NewReaderSize(c, 1<<10)
				_, err = br.Peek(1)
				check(err)
				if trouble {
					time.Sleep(readPause)
				}
				a := readAnswer(br, "POST")
				note("client: %s answered after %.1f s: %v", id, time.Since(sent).Seconds(), a)
				// The rule: a process has read a whole request, passed it on, and the connection ends without a
				// complete answer, from the SIGTERM until 1 s after grace_s. The worker neither broke off nor is
				// at work in the last sixth of grace_s, and no deadline is reached.
				if a.err != nil && time.Since(sent) < graceTime+time.Second {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		h.signal(syscall.SIGTERM)
		wg.Wait()
		note("%d of %d requests that the machine had read and passed on have no complete answer", lost, slowReaders)
		return lost > 0
	}
}
