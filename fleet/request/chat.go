package request

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/hazelworks/hazelworks/core/findings"
)

// Bounds of a chat completion request.
const (
	maxModelBytes = 256
	maxMessages   = 4096
	maxChoices    = 8
	// MaxOutputCap is the largest cap on output tokens that a caller may set.
	MaxOutputCap = 1 << 20
)

// Upper bounds of the prompt tokens that come on top of the bytes of the body.
const (
	// requestOverheadTokens covers the chat template around all messages.
	requestOverheadTokens = 64
	// messageOverheadTokens covers the chat template around one message or part.
	messageOverheadTokens = 16
	// mediaPartTokens covers one image, audio or file part of a message.
	mediaPartTokens = 16384
)

// Names of the fields that the gateway reads or sets.
const (
	fieldModel         = "model"
	fieldMessages      = "messages"
	fieldStream        = "stream"
	fieldStreamOptions = "stream_options"
	fieldMaxTokens     = "max_tokens"
	fieldMaxCompletion = "max_completion_tokens"
	fieldChoices       = "n"
	fieldBestOf        = "best_of"
)

// Chat is a parsed chat completion request.
type Chat struct {
	// Model is the model name. In the body the adapter follows it after a colon.
	Model   string
	Adapter string
	Stream  bool
	// IncludeUsage is true if the caller asked for usage in the stream.
	IncludeUsage bool
	// OutputCap is the least cap on output tokens that the body names, or zero.
	OutputCap int64
	// Choices is the number of choices that are asked for.
	Choices int64
	// PromptBound is an upper bound of the number of prompt tokens.
	PromptBound int64
	// PrefixHash holds a hash of each leading block of the messages.
	PrefixHash []uint64
	// MessageHash holds a hash of each message.
	MessageHash []uint64

	fields map[string]json.RawMessage
}

// ParseChat parses the body of a chat completion request. Its error is a
// *[findings.Error] that lists all findings.
func ParseChat(body []byte) (*Chat, error) {
	p := chatParser{chat: &Chat{Choices: 1}}
	if err := json.Unmarshal(body, &p.chat.fields); err != nil {
		p.addFinding("", "%s", describeJSON(err))
		return nil, p.findings.Err()
	}
	if p.chat.fields == nil {
		p.addFinding("", "an object is wanted, not null")
		return nil, p.findings.Err()
	}
	p.model()
	p.messages()
	p.outputCaps()
	p.choices()
	p.streaming()
	p.otherFields()
	if err := p.findings.Err(); err != nil {
		return nil, err
	}
	p.chat.PrefixHash = prefixHashes(p.chat.fields[fieldModel], p.chat.fields[fieldMessages])
	return p.chat, nil
}

// UpstreamBody returns the body for an upstream. It sets the cap on output tokens,
// and for a stream it asks the upstream to report usage.
func (c *Chat) UpstreamBody(outputCap int64, stream bool) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+3)
	for name, value := range c.fields {
		fields[name] = value
	}
	limit := json.RawMessage(fmt.Sprint(outputCap))
	if _, ok := fields[fieldMaxCompletion]; ok {
		fields[fieldMaxCompletion] = limit
	}
	fields[fieldMaxTokens] = limit
	delete(fields, fieldStreamOptions)
	if stream {
		fields[fieldStream] = json.RawMessage("true")
		fields[fieldStreamOptions] = json.RawMessage(`{"include_usage":true}`)
	} else {
		delete(fields, fieldStream)
	}
	return json.Marshal(fields)
}

// TextOnly reports whether the answer is text only. The events of its stream can
// then be joined into one answer without loss.
func (c *Chat) TextOnly() bool {
	for _, name := range []string{"tools", "functions", "logprobs", "top_logprobs", "modalities", "audio", "response_format"} {
		if _, ok := c.fields[name]; ok {
			return false
		}
	}
	return true
}

// chatParser fills a Chat from the fields of a body and collects the findings.
type chatParser struct {
	chat     *Chat
	findings findings.List
}

func (p *chatParser) addFinding(path, format string, args ...any) {
	p.findings.Addf(findings.Position{}, path, format, args...)
}

// readField decodes a field into dst. It returns false if the field is missing or
// null, and also adds a finding if the field has another type.
func (p *chatParser) readField(name, wanted string, dst any) bool {
	raw, ok := p.chat.fields[name]
	if !ok || isNull(raw) {
		return false
	}
	if err := json.Unmarshal(raw, dst); err != nil {
		p.addFinding(name, "%s is wanted", wanted)
		return false
	}
	return true
}

func (p *chatParser) model() {
	var name string
	if !p.readField(fieldModel, "a string", &name) || name == "" {
		if _, ok := p.chat.fields[fieldModel]; !ok || name == "" {
			p.addFinding(fieldModel, "the name of a model is wanted")
		}
		return
	}
	if len(name) > maxModelBytes {
		p.addFinding(fieldModel, "longer than %d bytes", maxModelBytes)
		return
	}
	p.chat.Model, p.chat.Adapter, _ = strings.Cut(name, ":")
}

// messageHash returns a cryptographic hash of a message, cut to 64 bits.
func messageHash(raw json.RawMessage) uint64 {
	sum := sha256.Sum256(raw)
	return binary.BigEndian.Uint64(sum[:])
}

type message struct {
	Role    string
	Content json.RawMessage
}

func (p *chatParser) messages() {
	var all []json.RawMessage
	if !p.readField(fieldMessages, "an array", &all) {
		if _, ok := p.chat.fields[fieldMessages]; !ok {
			p.addFinding(fieldMessages, "at least one message is wanted")
		}
		return
	}
	if len(all) == 0 || len(all) > maxMessages {
		p.addFinding(fieldMessages, "1 to %d messages are wanted, not %d", maxMessages, len(all))
		return
	}
	p.chat.PromptBound = requestOverheadTokens
	for i, raw := range all {
		p.chat.MessageHash = append(p.chat.MessageHash, messageHash(raw))
		p.message(fmt.Sprintf("%s/%d", fieldMessages, i), raw)
	}
}

func (p *chatParser) message(path string, raw json.RawMessage) {
	var m message
	if isNull(raw) || json.Unmarshal(raw, &m) != nil {
		p.addFinding(path, "an object with role and content is wanted")
		return
	}
	if m.Role == "" {
		p.addFinding(path+"/role", "a string is wanted")
	}
	p.chat.PromptBound += messageOverheadTokens
	if len(m.Content) > 0 && m.Content[0] == '[' {
		p.parts(path+"/content", raw, m.Content)
		return
	}
	// The text has at most one token per byte, and its JSON form is never shorter
	// than the text.
	p.chat.PromptBound += int64(len(raw))
}

type part struct {
	Type string
	Text json.RawMessage
}

func (p *chatParser) parts(path string, whole, content json.RawMessage) {
	var parts []part
	if err := json.Unmarshal(content, &parts); err != nil {
		p.addFinding(path, "a string or an array of parts is wanted")
		return
	}
	p.chat.PromptBound += int64(len(whole) - len(content))
	for _, part := range parts {
		p.chat.PromptBound += messageOverheadTokens
		if part.Type == "text" {
			p.chat.PromptBound += int64(len(part.Text))
			continue
		}
		p.chat.PromptBound += mediaPartTokens
	}
}

func (p *chatParser) outputCaps() {
	for _, name := range []string{fieldMaxTokens, fieldMaxCompletion} {
		limit, ok := p.integer(name, 1, MaxOutputCap)
		if ok && (p.chat.OutputCap == 0 || limit < p.chat.OutputCap) {
			p.chat.OutputCap = limit
		}
	}
}

func (p *chatParser) choices() {
	if n, ok := p.integer(fieldChoices, 1, maxChoices); ok {
		p.chat.Choices = n
	}
	// With best_of above 1, the upstream discards samples that would use budget
	// beyond the cap.
	p.integer(fieldBestOf, 1, 1)
}

// integer reads an integer field between low and high. It returns false if the
// field is missing, null or invalid.
func (p *chatParser) integer(name string, low, high int64) (int64, bool) {
	var f float64
	if !p.readField(name, "a number", &f) {
		return 0, false
	}
	if f != math.Trunc(f) || f < float64(low) || f > float64(high) {
		p.addFinding(name, "a whole number from %d to %d is wanted", low, high)
		return 0, false
	}
	return int64(f), true
}

func (p *chatParser) streaming() {
	p.readField(fieldStream, "true or false", &p.chat.Stream)
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if p.readField(fieldStreamOptions, "an object", &options) {
		p.chat.IncludeUsage = options.IncludeUsage
	}
}

// otherFields adds every other field to the prompt bound, since fields such as
// tools and schemas become part of the prompt.
func (p *chatParser) otherFields() {
	for name, raw := range p.chat.fields {
		if name != fieldMessages {
			p.chat.PromptBound += int64(len(raw))
		}
	}
}

func isNull(raw json.RawMessage) bool {
	return bytes.Equal(raw, []byte("null"))
}

// describeJSON returns the text of a decoding error without names of Go types.
func describeJSON(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("not JSON at byte %d: %s", syntax.Offset, syntax.Error())
	}
	return "an object is wanted"
}
