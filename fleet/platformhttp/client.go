// Package platformhttp implements the platform's interfaces over the JSON
// protocol that docs/INTERFACES.md describes. Another protocol would get a package of
// its own.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hazelworks/hazelworks/core/platform"
	"github.com/hazelworks/hazelworks/core/record"
)

const (
	// callTimeout bounds a call, in addition to the time that the call asks the
	// server to wait.
	callTimeout     = 10 * time.Second
	maxReplyBytes   = 64 << 20
	maxErrorBytes   = 4 << 10
	contentTypeData = "application/octet-stream"
)

// Client calls the platform's services. It is safe for concurrent use. Its methods
// return [platform.ErrThrottled], [platform.ErrTrimmed] and [platform.ErrUnavailable],
// which the server reports by status 429, 410 and 503. ErrUnavailable is also returned
// if the connection could not be opened. After any other error the call may have taken
// effect.
type Client struct {
	baseURLs []string
	http     *http.Client
	// current is the index in baseURLs to try first: the last one that was not
	// unavailable.
	current atomic.Int32
}

var (
	_ platform.Log         = (*Client)(nil)
	_ platform.HostList    = (*Client)(nil)
	_ platform.WeightStore = (*Client)(nil)
)

// New returns a client for one or more base URLs, such as http://10.0.0.9:7000,
// that serve the same services. A call goes to the URL that answered last. It is
// sent to the next one, in order, only if it certainly had no effect.
func New(client *http.Client, baseURLs ...string) *Client {
	c := &Client{http: client}
	for _, base := range baseURLs {
		c.baseURLs = append(c.baseURLs, strings.TrimRight(base, "/"))
	}
	return c
}

type appendReply struct {
	Offset record.Offset `json:"offset"`
}

type readReply struct {
	Records []struct {
		Offset     record.Offset `json:"offset"`
		TimeMillis int64         `json:"time_ms"`
		Data       []byte        `json:"data"`
	} `json:"records"`
}

type boundsReply struct {
	First record.Offset `json:"first"`
	Head  record.Offset `json:"head"`
}

type acquireReply struct {
	TransferMillis int64 `json:"transfer_ms"`
}

// Append appends one record to a stream and returns its offset.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (record.Offset, error) {
	var out appendReply
	path := "/v1/streams/" + url.PathEscape(stream) + "/records"
	err := c.call(ctx, http.MethodPost, path, data, 0, &out)
	return out.Offset, err
}

// Read returns at most limit records of a stream, from the offset from on. If there
// are none, the server waits for up to wait.
func (c *Client) Read(ctx context.Context, stream string, from record.Offset, limit int, wait time.Duration) ([]record.Entry, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(uint64(from), 10))
	query.Set("limit", strconv.Itoa(limit))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var out readReply
	path := "/v1/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	if err := c.call(ctx, http.MethodGet, path, nil, wait, &out); err != nil {
		return nil, err
	}
	entries := make([]record.Entry, 0, len(out.Records))
	for _, r := range out.Records {
		entries = append(entries, record.Entry{Offset: r.Offset, TimeMillis: r.TimeMillis, Data: r.Data})
	}
	return entries, nil
}

// Bounds returns the range of offsets that a stream keeps.
func (c *Client) Bounds(ctx context.Context, stream string) (platform.Bounds, error) {
	var out boundsReply
	err := c.call(ctx, http.MethodGet, "/v1/streams/"+url.PathEscape(stream), nil, 0, &out)
	return platform.Bounds{First: out.First, Head: out.Head}, err
}

// Hosts returns the host list as soon as its version is higher than after, or the
// current list after wait.
func (c *Client) Hosts(ctx context.Context, after uint64, wait time.Duration) (platform.Hosts, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var out platform.Hosts
	err := c.call(ctx, http.MethodGet, "/v1/hosts?"+query.Encode(), nil, wait, &out)
	return out, err
}

// Acquire asks the weight store for permission to load a model version. It returns
// the expected duration of the transfer, as the store reports it.
func (c *Client) Acquire(ctx context.Context, model, version string) (time.Duration, error) {
	path := "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version) + "/acquire"
	var out acquireReply
	err := c.call(ctx, http.MethodPost, path, nil, 0, &out)
	return time.Duration(out.TransferMillis) * time.Millisecond, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration, out any) error {
	err := fmt.Errorf("%w: no address", platform.ErrUnavailable)
	start := int(c.current.Load())
	for i := range c.baseURLs {
		index := (start + i) % len(c.baseURLs)
		err = c.callBaseURL(ctx, c.baseURLs[index], method, path, body, wait, out)
		if !errors.Is(err, platform.ErrUnavailable) || ctx.Err() != nil {
			c.current.Store(int32(index))
			return err
		}
	}
	return err
}

func (c *Client) callBaseURL(ctx context.Context, base, method, path string, body []byte, wait time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("platform: %s: %w", path, err)
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", contentTypeData)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return callError(path, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return statusError(path, response)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes))
	if err := decoder.Decode(out); err != nil {
		return fmt.Errorf("platform: %s: decode reply: %w", path, err)
	}
	return nil
}

// callError wraps a failure to connect in [platform.ErrUnavailable], as the call had
// no effect. Once connected, a failed call may have taken effect.
func callError(path string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %s: %w", platform.ErrUnavailable, path, err)
	}
	return fmt.Errorf("platform: %s: %w", path, err)
}

// statusError returns the error for a response whose status is not 200.
func statusError(path string, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	detail := strings.TrimSpace(string(text))
	switch response.StatusCode {
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s: %s", platform.ErrThrottled, path, detail)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s: %s", platform.ErrUnavailable, path, detail)
	case http.StatusGone:
		return fmt.Errorf("%w: %s: %s", platform.ErrTrimmed, path, detail)
	default:
		return fmt.Errorf("platform: %s: status %d: %s", path, response.StatusCode, detail)
	}
}
