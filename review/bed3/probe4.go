package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	// What is left of a prepaid amount after the processes of all machines were killed once.
	cases["probe4"] = func(trouble bool) bool {
		s := newSystem()
		cfg := baseConfig(1)
		prepaid := 400000
		cfg["tenants"] = []object{{"name": "acme", "api_keys": []string{"key-a"}, "priority": 1, "prepaid": prepaid}}
		s.configure(cfg)
		for i := range 3 {
			s.addWorker(fmt.Sprint("i-llm", i), "llm", events(30, 2*time.Millisecond))
		}
		hosts := int(number(os.Getenv("HOSTS")))
		for range hosts {
			s.addHost(s.store.addr())
		}
		for _, h := range s.hosts {
			h.awaitReady()
		}
		time.Sleep(2 * time.Second)
		var spent, n, denied, refused, other atomic.Int64
		var firstDenied atomic.Int64
		const in, out = 1400, 90
		var seq atomic.Int64
		killAt := int64(prepaid) * int64(number(os.Getenv("AT"))) / 100
		phase := func(until int64, limit time.Duration, rate time.Duration) {
			end := time.Now().Add(limit)
			var wg sync.WaitGroup
			for spent.Load() < until && time.Now().Before(end) {
				i := seq.Add(1)
				wg.Go(func() {
					h := s.hosts[int(i)%len(s.hosts)]
					a := h.send(request("POST", "/chat/x", fmt.Sprint("r", i), "key-a", fmt.Sprintf("Deadline-Ms: 6000\r\nModel: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: a:700,b%d:700\r\n", in, out, i), "hello"), 8*time.Second)
					n.Add(1)
					switch a.status {
					case 200:
						spent.Add(in + out)
					case 402:
						denied.Add(1)
						firstDenied.CompareAndSwap(0, spent.Load())
					case 503:
						refused.Add(1)
					default:
						other.Add(1)
					}
				})
				time.Sleep(rate)
			}
			wg.Wait()
			note("spent %d of %d (%d%%); %d requests, %d got 402, %d 503, %d other; first 402 after %d", spent.Load(), prepaid, spent.Load()*100/int64(prepaid), n.Load(), denied.Load(), refused.Load(), other.Load(), firstDenied.Load())
		}
		phase(killAt, 30*time.Second, 40*time.Millisecond)
		for range number(os.Getenv("TIMES")) {
			for _, h := range s.hosts {
				h.signal(syscall.SIGKILL)
			}
			for _, h := range s.hosts {
				<-h.done
				h.start()
			}
			for _, h := range s.hosts {
				h.awaitReady()
			}
			time.Sleep(3500 * time.Millisecond)
			phase(spent.Load()+20000, 10*time.Second, 40*time.Millisecond)
		}
		phase(int64(prepaid)*97/100-in-out, 12*time.Second, 40*time.Millisecond)
		fmt.Println(s.store.newest("keyed.budgets"))
		return denied.Load() > 5+n.Load()/500
	}
}
