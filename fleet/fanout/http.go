package fanout

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/roster"
)

const (
	// Path is the HTTP path of the stream on each host.
	Path = "/fanout/v1/records"
	// headerAge is the time since the page was read from the log, in milliseconds.
	headerAge = "Hazelworks-Read-Age-Ms"
	// askTimeout bounds the time of an answer beyond the wait for records. A reader may
	// send several megabytes to dozens of hosts at once.
	askTimeout = 700 * time.Millisecond
	// lateAskTimeout is that time while packets wait at this host's link, for about a second each way.
	lateAskTimeout = 2500 * time.Millisecond
	// maxPageBytes bounds the decompressed size of an answer.
	maxPageBytes = 64 << 20
	// maxWait bounds the wait that another host may request.
	maxWait = 5 * time.Second
)

// ServeHTTP answers another host. Pages are compressed because settings are text.
func (s *Stream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	era, err2 := strconv.ParseUint(r.URL.Query().Get("era"), 10, 64)
	waitMS, err3 := strconv.ParseUint(r.URL.Query().Get("wait_ms"), 10, 32)
	if err := errors.Join(err, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	from := platform.Position{Era: platform.Era(era), Offset: record.Offset(offset)}
	page, err := s.Page(r.Context(), from, min(maxWait, time.Duration(waitMS)*time.Millisecond))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	data, err := s.encoded.get(from, page.Page)
	if err != nil {
		s.log.Error(err, "Page could not be encoded.")
		http.Error(w, "encoding failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerAge, strconv.FormatInt(page.Age.Milliseconds(), 10))
	// The error is ignored: a host that has disconnected needs no answer.
	_, _ = w.Write(data)
}

// get returns the encoded form of a page that starts at a position.
func (e *encodedPage) get(from platform.Position, page *Page) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.data != nil && e.from == from && e.next == page.Next {
		return e.data, nil
	}
	data, err := encode(page)
	if err != nil {
		return nil, err
	}
	e.from, e.next, e.data = from, page.Next, data
	return data, nil
}

func encode(page *Page) ([]byte, error) {
	plain, err := cbor.Marshal(page)
	if err != nil {
		return nil, fmt.Errorf("fanout: encode: %w", err)
	}
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("fanout: compress: %w", err)
	}
	if _, err := z.Write(plain); err != nil {
		return nil, fmt.Errorf("fanout: compress: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("fanout: compress: %w", err)
	}
	return out.Bytes(), nil
}

func decode(body io.Reader) (*Page, error) {
	z, err := gzip.NewReader(body)
	if err != nil {
		return nil, fmt.Errorf("fanout: decompress: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(z, maxPageBytes))
	if err != nil {
		return nil, fmt.Errorf("fanout: decompress: %w", err)
	}
	var page Page
	if err := cbor.Unmarshal(plain, &page); err != nil {
		return nil, fmt.Errorf("fanout: decode: %w", err)
	}
	return &page, nil
}

// NewAsker returns a function for Options.Ask that reads the stream over HTTP. late reports whether this
// host was late in the time before now.
func NewAsker(client *http.Client, late func(time.Duration) bool) func(context.Context, roster.Host, platform.Position, time.Duration) (*Answer, error) {
	return func(ctx context.Context, h roster.Host, from platform.Position, wait time.Duration) (*Answer, error) {
		timeout := askTimeout
		if late(wait + askTimeout) {
			timeout = lateAskTimeout
		}
		ctx, cancel := context.WithTimeout(ctx, wait+timeout)
		defer cancel()
		query := url.Values{"from": {strconv.FormatUint(uint64(from.Offset), 10)}, "era": {strconv.FormatUint(uint64(from.Era), 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Peer.String()+Path+"?"+query.Encode(), nil)
		if err != nil {
			return nil, fmt.Errorf("fanout: %w", err)
		}
		resp, err := client.Do(req)
		if err != nil {
			return nil, fmt.Errorf("fanout: %w", err)
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("%w: status %d", errNotReading, resp.StatusCode)
		}
		page, err := decode(resp.Body)
		if err != nil {
			return nil, err
		}
		answer := &Answer{Page: page, Age: maxReadAge} // builds that don't state it answer no later
		if ms, err := strconv.ParseInt(resp.Header.Get(headerAge), 10, 64); err == nil {
			answer.Age = time.Duration(ms) * time.Millisecond
		}
		return answer, nil
	}
}
