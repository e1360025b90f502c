package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/hazelworks/hazelworks/core/record"
	"github.com/hazelworks/hazelworks/fleet/problem"
	"github.com/hazelworks/hazelworks/fleet/stream"
)

// joinedChunk has the fields of an event that are joined into one answer.
type joinedChunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Role      string `json:"role"`
			Content   string `json:"content"`
			Reasoning string `json:"reasoning_content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
	Hazel json.RawMessage `json:"hazel"`
}

// completion is a complete chat completion.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
	Hazel   json.RawMessage    `json:"hazel,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason *string           `json:"finish_reason"`
}

type completionMessage struct {
	Role      string `json:"role"`
	Content   string `json:"content"`
	Reasoning string `json:"reasoning_content,omitempty"`
}

// joinedChoice collects the text of one choice.
type joinedChoice struct {
	index     int
	role      string
	content   strings.Builder
	reasoning strings.Builder
	finish    *string
}

// joiner joins the events of a stream into one answer.
type joiner struct {
	whole   completion
	choices []*joinedChoice
}

func (j *joiner) add(event []byte) error {
	var c joinedChunk
	if err := json.Unmarshal(event, &c); err != nil {
		return err
	}
	if j.whole.ID == "" {
		j.whole = completion{ID: c.ID, Object: "chat.completion", Created: c.Created, Model: c.Model}
	}
	for _, part := range c.Choices {
		choice := j.choice(part.Index)
		choice.role = cmp.Or(part.Delta.Role, choice.role)
		choice.content.WriteString(part.Delta.Content)
		choice.reasoning.WriteString(part.Delta.Reasoning)
		if part.FinishReason != nil {
			choice.finish = part.FinishReason
		}
	}
	if len(c.Usage) > 0 {
		j.whole.Usage = c.Usage
	}
	if len(c.Hazel) > 0 {
		j.whole.Hazel = c.Hazel
	}
	return nil
}

func (j *joiner) choice(index int) *joinedChoice {
	for _, c := range j.choices {
		if c.index == index {
			return c
		}
	}
	c := &joinedChoice{index: index, role: "assistant"}
	j.choices = append(j.choices, c)
	return c
}

func (j *joiner) result() ([]byte, error) {
	slices.SortFunc(j.choices, func(a, b *joinedChoice) int { return a.index - b.index })
	for _, c := range j.choices {
		j.whole.Choices = append(j.whole.Choices, completionChoice{
			Index:        c.index,
			Message:      completionMessage{Role: c.role, Content: c.content.String(), Reasoning: c.reasoning.String()},
			FinishReason: c.finish,
		})
	}
	return json.Marshal(&j.whole)
}

// writeJoined sends the events of a stream as one answer.
func (aw *answerWriter) writeJoined(ctx context.Context) {
	var j joiner
	for {
		var status stream.Status
		aw.event, status = aw.cursor.Next(aw.event[:0])
		switch status {
		case stream.Available:
			if err := j.add(aw.event); err != nil {
				p := problem.New(http.StatusBadGateway, problem.CodeUpstreamFailed, "the answer cannot be read: %v", err)
				p.WithOutcome(outcomeUnknown).WithRequestID(aw.req.ID).Write(aw.w)
				return
			}
		case stream.Pending:
			if !aw.wait(ctx) {
				return
			}
		case stream.Trimmed:
			aw.writeTrimmed()
			return
		case stream.Ended:
			aw.endJoin(&j)
			return
		}
	}
}

func (aw *answerWriter) endJoin(j *joiner) {
	end, _ := aw.req.Answer.Ended()
	if end.Problem != nil {
		aw.writeProblem()
		return
	}
	body, err := j.result()
	if err != nil {
		aw.writeProblem()
		return
	}
	h := aw.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(problem.HeaderOutcome, record.OutcomeAnswered.String())
	_, _ = aw.w.Write(body)
}
