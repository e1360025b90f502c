package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/hazelworks/hazelworks/platform/standin"
)

// Sizes and times of the case of lost budgets: a small deployment, and a day of it.
const (
	budgetHosts    = 7
	budgetWorkers  = 9
	budgetTenants  = 3
	generationRate = 30 // a second, of all tenants together
	inputTokens    = 2000
	maxOutput      = 300
	meanEvents     = 30
	tokensPerEvent = 3
	// prepaidFactor is the prepaid total against what the whole day's requests need.
	prepaidFactor = 1.3
	firstKill     = 1 * time.Second
	killGap       = 1500 * time.Millisecond
	kills         = 15
	restartAfter  = 500 * time.Millisecond
	killAllAt     = 24 * time.Second
	allBackAfter  = 1 * time.Second
	recovery      = 12 * time.Second
	dayLength     = 41 * time.Second
)

var errNotReady = errors.New("the hosts were not ready in time")

// zones are the failure domains.
var zones = []string{"midrand", "germiston", "roodepoort", "centurion"}

// spent is what one tenant has consumed: the input of each request that ran, once, and the output that was
// delivered.
type spent struct {
	mu     sync.Mutex
	tokens [budgetTenants]int
	// most counts requests in flight at their most.
	inFlight [budgetTenants]int
}

// lostBudgets kills single hosts again and again, then all at once, and looks whether the requests of
// tenants who have most of what they paid for left are served again.
func lostBudgets(binary string, trouble bool, record *Record) (int, error) {
	perTenant := int(prepaidFactor * dayLength.Seconds() * generationRate * (inputTokens + meanEvents*tokensPerEvent) / budgetTenants)
	config := standin.BaseConfig(1)
	config.SetPrepaid(int64(perTenant))
	for i := 1; i < budgetTenants; i++ {
		config.AddAccount(fmt.Sprintf("tenant-%d", i), fmt.Sprintf("key-%d", i))
	}
	engine := config["services"].([]standin.Config)[0]["engine"].(standin.Config)
	engine["slots"], engine["kv_tokens"] = 64, 374509
	bed, err := NewBed(binary, config)
	if err != nil {
		return couldNot, err
	}
	defer bed.Close()
	for i := range budgetWorkers {
		if err := bed.AddWorker("llm", zones[i%len(zones)], 64, record); err != nil {
			return couldNot, err
		}
	}
	for i := range budgetHosts {
		if _, err := bed.AddHost(zones[i%len(zones)], nil); err != nil {
			return couldNot, err
		}
	}
	if !bed.AwaitReady(10 * time.Second) {
		return couldNot, errNotReady
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	until := func(t time.Duration) { time.Sleep(time.Until(began.Add(t))) }
	record.Sayf("traffic begins; each of %d tenants has prepaid %d tokens", budgetTenants, perTenant)
	go func() {
		if !trouble {
			return
		}
		for i := range kills {
			until(firstKill + time.Duration(i)*killGap)
			h := bed.Hosts[rand.IntN(budgetHosts)]
			record.Logf("SIGKILL to %s", h.Name)
			h.Signal(syscall.SIGKILL)
			h.Wait(time.Second)
			time.Sleep(restartAfter)
			_ = h.Start()
		}
		until(killAllAt)
		record.Logf("SIGKILL to all hosts")
		for _, h := range bed.Hosts {
			h.Signal(syscall.SIGKILL)
		}
		for _, h := range bed.Hosts {
			h.Wait(time.Second)
		}
		time.Sleep(allBackAfter)
		for _, h := range bed.Hosts {
			_ = h.Start()
		}
		record.Logf("all hosts are started again")
	}()
	return judgeBudgets(bed, record, began, perTenant)
}

// sums are the numbers of first attempts that were sent and served in a part of the day, and of those
// that were refused with status 402 although the tenant had the tokens.
type sums struct{ sent, served, denied int }

func judgeBudgets(bed *Bed, record *Record, began time.Time, prepaid int) (int, error) {
	var all spent
	var mu sync.Mutex
	var before, after sums
	directories := make([]*Directory, len(zones))
	for i, z := range zones {
		directories[i] = &Directory{bed: bed, zone: z}
	}
	var wg sync.WaitGroup
	total := int(dayLength.Seconds() * generationRate)
	for n := range total {
		at := time.Duration(n) * time.Second / generationRate
		time.Sleep(time.Until(began.Add(at)))
		wg.Go(func() {
			tenant := n % budgetTenants
			served, denied := generate(n, tenant, prepaid, directories[n%len(zones)], &all, record)
			mu.Lock()
			defer mu.Unlock()
			part := &before
			switch {
			case at >= killAllAt+allBackAfter+recovery:
				part = &after
			case at >= killAllAt:
				return
			}
			part.sent++
			if served {
				part.served++
			}
			if denied {
				part.denied++
			}
		})
	}
	wg.Wait()
	for i, t := range all.tokens {
		record.Sayf("tenant %d has consumed %d of %d tokens, %.0f%%", i, t, prepaid, 100*float64(t)/float64(prepaid))
	}
	record.Sayf("before the final fault: %d of %d requests served, %d refused with 402 that fit", before.served, before.sent, before.denied)
	record.Sayf("later than %v after the hosts were back: %d of %d requests served, %d refused with 402 that fit", recovery, after.served, after.sent, after.denied)
	if 4*before.served >= before.sent && 4*after.served < after.sent {
		return broken, nil
	}
	return held, nil
}

// owedShare is the share of the prepaid total into which a request has to fit.
const owedShare = 0.97

// generate sends one request, and once more after a refusal or a lost connection. It reports whether it was served, and whether it
// was refused with 402 although it fits into the tenant's prepaid total.
func generate(n, tenant, prepaid int, d *Directory, all *spent, record *Record) (served, denied bool) {
	key := "key-a"
	if tenant > 0 {
		key = fmt.Sprintf("key-%d", tenant)
	}
	for try := range 2 {
		addrs := d.Addresses()
		if len(addrs) == 0 {
			record.Logf("request %d: no address", n)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		g := Generation{ID: fmt.Sprintf("%06x%02x", n, try), Key: key, Path: "/chat/x", Input: inputTokens, MaxOut: maxOutput,
			Event: 1 + rand.IntN(2*meanEvents), Deadline: 6 * time.Second}
		all.mu.Lock()
		fits := float64(all.tokens[tenant]+all.inFlight[tenant]+g.Input+g.MaxOut) <= owedShare*float64(prepaid)
		all.inFlight[tenant] += g.Input + g.MaxOut
		all.mu.Unlock()
		addr := addrs[rand.IntN(len(addrs))]
		a := g.Send(addr)
		all.mu.Lock()
		all.inFlight[tenant] -= g.Input + g.MaxOut
		if events, ran := record.delivered(g.ID); ran {
			all.tokens[tenant] += g.Input + tokensPerEvent*int(events)
		}
		all.mu.Unlock()
		record.Logf("request %s of tenant %d to %s: status %d, %d events, error %v", g.ID, tenant, addr, a.Status, a.Events, a.Err)
		switch {
		case a.Status == 200:
			return true, false
		case a.Status == 402:
			return false, fits
		}
		time.Sleep(min(a.RetryAfter, 2*time.Second))
	}
	return false, false
}
