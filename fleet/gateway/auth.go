package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/settings"
	"github.com/hazelworks/hazelworks/fleet/problem"
)

// maxKeyBytes bounds a key, so that hashing it is cheap.
const maxKeyBytes = 512

// notReadyRetryAfter is the Retry-After time of a host that has no settings yet.
const notReadyRetryAfter = time.Second

// caller is an authenticated caller with the settings in effect when its request
// started.
type caller struct {
	account  *settings.Account
	settings *settings.Resolved
	// forwarded is true if another host authenticated the caller and forwarded
	// its request.
	forwarded bool
}

type callerHandler func(w http.ResponseWriter, r *http.Request, c caller)

// authenticated wraps a handler that needs a client account.
func (g *Gateway) authenticated(next callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, p := g.authenticate(r)
		if p != nil {
			g.refuse(w, r, p)
			return
		}
		next(w, r, c)
	}
}

func (g *Gateway) authenticate(r *http.Request) (caller, *problem.Problem) {
	set := g.opts.Settings.Current()
	if set == nil {
		p := problem.New(http.StatusServiceUnavailable, problem.CodeNotReady, "no settings are known yet")
		return caller{}, p.WithRetryAfter(notReadyRetryAfter)
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyBytes {
		return caller{}, problem.New(http.StatusUnauthorized, problem.CodeUnauthorized, "an account key is wanted as a bearer token")
	}
	acct, ok := accountByKey(set, key)
	if !ok {
		return caller{}, problem.New(http.StatusUnauthorized, problem.CodeUnauthorized, "the account key is not known")
	}
	return caller{account: acct, settings: set}, nil
}

// accountByKey finds the account by the hash of its key. The time of the map
// lookup depends only on the hash of the presented key, which reveals nothing
// about other keys; the hashes are then compared in constant time.
func accountByKey(set *settings.Resolved, key string) (*settings.Account, bool) {
	hash := settings.KeyHash(sha256.Sum256([]byte(key)))
	acct, ok := set.AccountByKey(hash)
	if !ok {
		return nil, false
	}
	match := 0
	for i := range acct.Keys {
		match |= subtle.ConstantTimeCompare(acct.Keys[i][:], hash[:])
	}
	return acct, match == 1
}

// refuse writes a problem for a request that has not started. It closes the
// connection of a request with a body, a part of which may be unread.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, p *problem.Problem) {
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	g.metrics.refused.Inc(1)
	p.Write(w)
}
