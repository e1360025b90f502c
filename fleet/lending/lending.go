// Package lending lets hosts lend parts of prepaid budgets to each other when the
// platform's log can't help: while it is unreachable, and when all of a budget is
// claimed.
package lending

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb"
	"github.com/hazelworks/hazelworks/fleet/peer/peerpb/peerpbconnect"
)

const (
	// callTimeout bounds one call. The latency between hosts is about 1 ms, and a
	// lender that claims first makes several calls to the log.
	callTimeout = 130 * time.Millisecond
	// maxHostsAsked bounds the hosts that one Borrow asks.
	maxHostsAsked = 8
	// failureTTL is the time for which an amount that the other hosts could not lend,
	// or a larger one, is not asked for again.
	failureTTL = 300 * time.Millisecond
)

// Lender lends from this host's allocations.
type Lender interface {
	// Lend takes up to an amount, in tokens, out of the host's allocation of a budget,
	// claims more if needed, and returns the amount taken.
	Lend(ctx context.Context, budget record.BudgetID, amount record.Tokens) record.Tokens
}

type server struct {
	lender Lender
}

// Handler returns the handler of the lending service for other hosts.
func Handler(lender Lender) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewLendingServiceHandler(server{lender}))
	return mux
}

// Lend implements peerpbconnect.LendingServiceHandler.
func (s server) Lend(ctx context.Context, r *connect.Request[peerpb.LendRequest]) (*connect.Response[peerpb.LendResponse], error) {
	amount := s.lender.Lend(ctx, record.BudgetID(r.Msg.Budget), record.Tokens(r.Msg.Amount))
	return connect.NewResponse(&peerpb.LendResponse{Amount: int64(amount)}), nil
}

// Client borrows from other hosts.
type Client struct {
	http  *http.Client
	alive func() []roster.Host
	log   logr.Logger
	calls metrics.Counter

	mu       sync.Mutex
	failures map[record.BudgetID]failure
}

// failure is an amount that no other host could lend.
type failure struct {
	amount record.Tokens
	until  time.Time
}

// CounterCalls is the name of the counter of calls to other hosts.
const CounterCalls = "budget_loan_calls"

// NewClient returns a client that borrows from the hosts returned by alive.
func NewClient(client *http.Client, alive func() []roster.Host, logger logr.Logger, registry metrics.Registry) *Client {
	return &Client{http: client, alive: alive, log: logger.WithName("lending"), calls: metrics.GetOrRegisterCounter(CounterCalls, registry),
		failures: make(map[record.BudgetID]failure)}
}

// Borrow asks one host after the other, in the order of [roster.Lenders], until they have
// lent the amount. It returns the amount borrowed, in tokens.
func (c *Client) Borrow(ctx context.Context, budget record.BudgetID, amount record.Tokens) record.Tokens {
	if c.recentlyFailed(budget, amount) {
		return 0
	}
	hosts := roster.Lenders(c.alive(), rand.Shuffle)
	got := record.Tokens(0)
	for _, h := range hosts[:min(len(hosts), maxHostsAsked)] {
		if got >= amount || ctx.Err() != nil {
			break
		}
		got += c.borrowFrom(ctx, h, budget, amount-got)
	}
	if got < amount {
		c.mu.Lock()
		c.failures[budget] = failure{amount: amount - got, until: time.Now().Add(failureTTL)}
		c.mu.Unlock()
	}
	return got
}

func (c *Client) recentlyFailed(budget record.BudgetID, amount record.Tokens) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.failures[budget]
	return ok && amount >= f.amount && time.Now().Before(f.until)
}

// borrowFrom returns the amount lent by one host. If its answer is lost, so is the
// amount: the lender counts it as spent.
func (c *Client) borrowFrom(ctx context.Context, h roster.Host, budget record.BudgetID, amount record.Tokens) record.Tokens {
	c.calls.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := peerpbconnect.NewLendingServiceClient(c.http, "http://"+h.Peer.String())
	resp, err := client.Lend(ctx, connect.NewRequest(&peerpb.LendRequest{Budget: string(budget), Amount: int64(amount)}))
	if err != nil {
		c.log.Info("Host did not lend.", "host", h.ID, "budget", budget, "error", err.Error())
		return 0
	}
	lent := record.Tokens(resp.Msg.Amount)
	if lent < 0 || lent > amount {
		c.log.Info("Loan out of range ignored.", "host", h.ID, "budget", budget, "asked", amount, "lent", lent)
		return 0
	}
	return lent
}
