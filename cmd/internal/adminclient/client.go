// Package adminclient calls the operators' API of a host.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/hazelworks/hazelworks/cmd/internal/cli"
)

const (
	defaultAdminURL = "http://127.0.0.1:7002"
	secretEnv       = "HAZEL_OPERATOR_SECRET"
	maxReplyBytes   = 64 << 20
	callTimeout     = 60 * time.Second
)

// Client calls the operators' API of one host. Errors of the connection have the
// exit code cli.ExitUnreachable; answers other than success are a *StatusError.
type Client struct {
	baseURL    string
	secretFile string
	http       *http.Client
}

// AddFlags adds the flags for the admin address and the operator secret to a command
// and its subcommands, and returns the client that uses their values.
func AddFlags(cmd *cobra.Command) *Client {
	c := &Client{http: &http.Client{Timeout: callTimeout}}
	flags := cmd.PersistentFlags()
	flags.StringVar(&c.baseURL, "admin", defaultAdminURL, "admin address of any host")
	flags.StringVar(&c.secretFile, "secret-file", "", "file with the operator secret; default is the environment variable "+secretEnv)
	return c
}

// StatusError is an answer of the operators' API with a status of 300 or more.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status and the answer's text.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, strings.TrimSpace(string(e.Body)))
}

// Get requests a resource and decodes the answer, JSON, into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// GetOpen is Get at an address that asks for no secret; none is sent.
func (c *Client) GetOpen(ctx context.Context, path string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(c.baseURL, "/")+path, nil)
	if err != nil {
		return cli.Exit(cli.ExitUsage, fmt.Errorf("address: %w", err))
	}
	return c.do(request, out)
}

// Post sends in as JSON and decodes the answer into out. Both may be nil.
func (c *Client) Post(ctx context.Context, path string, in, out any) error {
	return c.call(ctx, http.MethodPost, path, in, out)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	secret, err := c.secret()
	if err != nil {
		return cli.Exit(cli.ExitUsage, err)
	}
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(c.baseURL, "/")+path, body)
	if err != nil {
		return cli.Exit(cli.ExitUsage, fmt.Errorf("admin address: %w", err))
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Content-Type", "application/json")
	return c.do(request, out)
}

func (c *Client) do(request *http.Request, out any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return cli.Exit(cli.ExitUnreachable, fmt.Errorf("call %s: %w", request.URL.Path, err))
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response, out)
}

func decode(response *http.Response, out any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return cli.Exit(cli.ExitUnreachable, fmt.Errorf("read answer: %w", err))
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{Status: response.StatusCode, Body: data}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func (c *Client) secret() (string, error) {
	if c.secretFile != "" {
		data, err := os.ReadFile(c.secretFile)
		if err != nil {
			return "", fmt.Errorf("operator secret: %w", err)
		}
		return strings.TrimSpace(string(data)), nil
	}
	if secret := os.Getenv(secretEnv); secret != "" {
		return secret, nil
	}
	return "", errors.New("operator secret: set --secret-file or " + secretEnv)
}
