package placer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/hazelworks/hazelworks/core/placement"
	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/core/route"
	"github.com/hazelworks/hazelworks/fleet/upstream"
)

const (
	pathPlacement    = "/v1/placement"
	maxResponseBytes = 64 << 10
)

// placementBody is the body of an order, and of a worker's report of what it serves.
type placementBody struct {
	Models   []string      `json:"models"`
	Version  string        `json:"version,omitempty"`
	Adapters []string      `json:"adapters,omitempty"`
	Role     string        `json:"role,omitempty"`
	Fencing  record.Offset `json:"fencing,omitempty"`
	Drain    bool          `json:"drain,omitempty"`
	Loading  bool          `json:"loading,omitempty"`
}

func (b placementBody) target() placement.Target {
	t := placement.Target{Version: b.Version, Adapters: b.Adapters, Role: b.Role}
	if len(b.Models) == 1 {
		t.Model = b.Models[0]
	}
	if t.Role == route.RoleAny {
		t.Role = ""
	}
	return t
}

func newPlacementBody(t placement.Target, fencing record.Offset) placementBody {
	role := t.Role
	if role == "" {
		role = route.RoleAny
	}
	return placementBody{Models: []string{t.Model}, Version: t.Version, Adapters: t.Adapters, Role: role, Fencing: fencing}
}

// client calls workers.
type client struct {
	http *http.Client
}

// read returns a worker's report of what it serves, and its load.
func (c client) read(ctx context.Context, url string) (placementBody, upstream.LoadResponse, error) {
	var body placementBody
	var load upstream.LoadResponse
	if err := c.get(ctx, url+pathPlacement, &body); err != nil {
		return body, load, err
	}
	err := c.get(ctx, url+upstream.PathLoad, &load)
	return body, load, err
}

func (c client) get(ctx context.Context, url string, out any) error {
	return c.call(ctx, http.MethodGet, url, nil, out)
}

// put sends an order.
func (c client) put(ctx context.Context, url string, body placementBody) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPut, url+pathPlacement, data, nil)
}

func (c client) call(ctx context.Context, method, url string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("placer: %s %s: status %d", method, url, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
