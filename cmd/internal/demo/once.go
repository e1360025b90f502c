package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/entry"
	"github.com/hazelworks/hazelworks/fleet/grants/budgetadmin"
)

const (
	settleTimeout      = 10 * time.Second
	settlePollInterval = 50 * time.Millisecond
	plainPrice         = record.Tokens(5)
	bookingID          = "demo-booking"
	maxResponseBytes   = 1 << 20
)

// runOnce sends a model request and a booking twice, and checks their cost.
func (d *Demo) runOnce(ctx context.Context) error {
	before, err := d.budget(ctx)
	if err != nil {
		return err
	}
	d.printf("budget before: prepaid %d, settled %d\n", before.Prepaid, before.Settled)
	base, err := d.lookUpEntry(ctx)
	if err != nil {
		return err
	}
	used, err := d.chat(ctx, base)
	if err != nil {
		return err
	}
	if err := d.book(ctx, base); err != nil {
		return err
	}
	want := before.Settled + used + plainPrice
	after, err := d.awaitSettled(ctx, want)
	if err != nil {
		return err
	}
	d.printf("budget after: prepaid %d, settled %d, as expected\n", after.Prepaid, after.Settled)
	return nil
}

// lookUpEntry asks the first host for a host to use and returns its URL.
func (d *Demo) lookUpEntry(ctx context.Context) (string, error) {
	var answer entry.Answer
	if err := d.getJSON(ctx, d.hosts[0].caller+entry.Path, accountKey, &answer); err != nil {
		return "", fmt.Errorf("ask for an entry: %w", err)
	}
	if len(answer.Hosts) == 0 {
		return "", errors.New("the entry answer names no host")
	}
	first := answer.Hosts[0]
	d.printf("entry: use %s at %s\n", first.ID, first.Address)
	return "http://" + first.Address, nil
}

// chat sends a streamed model request and returns the tokens that it used.
func (d *Demo) chat(ctx context.Context, base string) (record.Tokens, error) {
	body := `{"model":"` + modelName + `","stream":true,"max_tokens":12,"stream_options":{"include_usage":true},` +
		`"messages":[{"role":"user","content":"Write a cut sheet."}]}`
	response, err := d.post(ctx, base+"/v1/chat/completions", "demo-chat", body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, used, err := readStream(response.Body)
	if err != nil {
		return 0, err
	}
	d.printf("model answer (%d tokens used): %s\n", used, text)
	if text == "" || used == 0 {
		return 0, errors.New("the model's answer is empty")
	}
	return used, nil
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens record.Tokens `json:"total_tokens"`
	} `json:"usage"`
}

// readStream returns the text of a streamed answer and the tokens that it used.
func readStream(body io.Reader) (string, record.Tokens, error) {
	var text strings.Builder
	var used record.Tokens
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), used, nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return "", 0, fmt.Errorf("read the stream: %w", err)
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
		if c.Usage != nil {
			used = c.Usage.TotalTokens
		}
	}
	return "", 0, fmt.Errorf("the stream ended early: %w", errors.Join(lines.Err(), io.ErrUnexpectedEOF))
}

// book sends the same booking twice; it must take effect once.
func (d *Demo) book(ctx context.Context, base string) error {
	var answers []string
	for range 2 {
		response, err := d.post(ctx, base+"/v1/services/demo/bookings/slabs", bookingID, `{"slab":17}`)
		if err != nil {
			return err
		}
		data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		_ = response.Body.Close()
		if err != nil {
			return fmt.Errorf("read the booking's answer: %w", err)
		}
		answers = append(answers, string(data))
	}
	d.printf("booking: %s", answers[0])
	if answers[0] != answers[1] {
		return fmt.Errorf("the repeated booking got another answer: %s", answers[1])
	}
	if n := len(d.standins.plain.Effects()); n != 1 {
		return fmt.Errorf("the booking took effect %d times", n)
	}
	return nil
}

func (d *Demo) post(ctx context.Context, url, requestID, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	request.Header.Set("Idempotency-Key", requestID)
	request.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, responseError(response)
	}
	return response, nil
}

// awaitSettled waits until the budget has settled want tokens, for settleTimeout at
// most.
func (d *Demo) awaitSettled(ctx context.Context, want record.Tokens) (budgetadmin.Budget, error) {
	deadline := time.Now().Add(settleTimeout)
	for {
		b, err := d.budget(ctx)
		if err != nil || b.Settled == want {
			return b, err
		}
		if time.Now().After(deadline) {
			return b, fmt.Errorf("settled %d, want %d", b.Settled, want)
		}
		time.Sleep(settlePollInterval)
	}
}

func (d *Demo) budget(ctx context.Context) (budgetadmin.Budget, error) {
	var b budgetadmin.Budget
	err := d.getJSON(ctx, d.hosts[0].admin+"/v1/budgets/"+url.PathEscape(string(budgetID)), operatorSecret, &b)
	return b, err
}

func (d *Demo) topUp(ctx context.Context) error {
	body, err := json.Marshal(budgetadmin.TopUpRequest{ID: "demo", Amount: prepaid, By: "demo"})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.hosts[0].admin+"/v1/budgets/"+url.PathEscape(string(budgetID))+"/topup", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorSecret)
	response, err := d.client.Do(request)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	return response.Body.Close()
}

func (d *Demo) getJSON(ctx context.Context, url, secret string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := d.client.Do(request)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(out)
}

func responseError(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return fmt.Errorf("%s: status %d: %s", response.Request.URL, response.StatusCode, strings.TrimSpace(string(data)))
}

func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.opts.Out, format, args...)
}
