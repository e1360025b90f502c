package lending

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
)

// fixedLender lends the same amount, whatever is asked for.
type fixedLender record.Tokens

// Lend implements Lender.
func (l fixedLender) Lend(context.Context, record.BudgetID, record.Tokens) record.Tokens {
	return record.Tokens(l)
}

// TestLoanOutOfRangeIsIgnored guards against a host whose answer creates or destroys tokens here.
func TestLoanOutOfRangeIsIgnored(t *testing.T) {
	for lent, want := range map[record.Tokens]record.Tokens{640: 640, 100: 100, 0: 0, 641: 0, -1: 0, math.MinInt64: 0, math.MaxInt64: 0} {
		server := httptest.NewServer(Handler(fixedLender(lent)))
		host := roster.Host{ID: "h2", Peer: netip.MustParseAddrPort(server.Listener.Addr().String())}
		client := NewClient(http.DefaultClient, func() []roster.Host { return []roster.Host{host} }, logr.Discard(), metrics.NewRegistry())
		require.Equal(t, want, client.Borrow(t.Context(), "acme", 640), lent)
		server.Close()
	}
}
