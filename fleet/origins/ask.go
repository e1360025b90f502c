package origins

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hazelworks/hazelworks/core/origin"
	"github.com/hazelworks/hazelworks/core/roster"
)

// askTimeout bounds the time in which other hosts are asked for the origin of a stream. They
// are a few milliseconds away.
const askTimeout = 150 * time.Millisecond

// askOthers asks the hosts that should know the origin of a stream, all at once. The first
// record of the stream decides; without one, a sole version that a host names.
func (k *Keeper) askOthers(ctx context.Context, q Query) origin.Version {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	holders, _ := roster.StreamHolders(k.opt.Self, k.opt.Peers(), k.opt.Alive(), uint64(q.Key))
	answers := make(chan Answer, len(holders))
	for _, h := range holders {
		k.asked.Inc(1)
		go func() {
			answer, err := k.opt.Ask(ctx, h, q)
			if err != nil {
				k.log.Info("Host did not tell the origin of a stream.", "host", h.ID, "error", err.Error())
			}
			answers <- answer
		}()
	}
	sole := origin.Unknown
	for range holders {
		answer := <-answers
		if answer.Recorded != origin.Unknown {
			k.record(q.Key, answer.Recorded)
			return answer.Recorded
		}
		if answer.Sole != origin.Unknown {
			sole = answer.Sole
		}
	}
	return sole
}

// Path is the HTTP path of a host's knowledge of one stream.
const Path = "/origins/v1/stream"

const (
	paramKey     = "key"
	paramService = "service"
)

// NewAsker returns a function that asks other hosts over HTTP.
func NewAsker(client *http.Client) func(context.Context, roster.Host, Query) (Answer, error) {
	return func(ctx context.Context, h roster.Host, q Query) (Answer, error) {
		query := url.Values{paramKey: {strconv.FormatUint(uint64(q.Key), 16)}, paramService: {q.Service}}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Peer.String()+Path+"?"+query.Encode(), nil)
		if err != nil {
			return Answer{}, fmt.Errorf("origins: %w", err)
		}
		resp, err := client.Do(req)
		if err != nil {
			return Answer{}, fmt.Errorf("origins: %w", err)
		}
		defer func() { _ = resp.Body.Close() }()
		var answer Answer
		if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || resp.StatusCode != http.StatusOK {
			return Answer{}, fmt.Errorf("origins: status %d: %w", resp.StatusCode, err)
		}
		return answer, nil
	}
}

// ServeHTTP answers other hosts at [Path].
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, err := strconv.ParseUint(r.URL.Query().Get(paramKey), 16, 64)
	if err != nil {
		http.Error(w, paramKey+" is not a hexadecimal number", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The error is ignored: a host that has left needs no answer.
	_ = json.NewEncoder(w).Encode(k.local(Query{Key: origin.Key(key), Service: r.URL.Query().Get(paramService)}))
}
