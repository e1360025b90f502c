// Package requestlog extracts from the logs of a fleet the lines that explain one
// request: its own lines, those about its budget and its upstreams around the same
// time, and the last state of the log and the settings on its hosts.
package requestlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	// Source is the log that has the line: a file, or the process that a log
	// collector has written in front of the line.
	Source  string
	Time    time.Time
	Part    string
	Message string
	// Fields are all other fields.
	Fields map[string]any
	// Related marks a line that explains the request but doesn't name it.
	Related bool
}

// Text returns a string field, or "" if it is missing or not a string.
func (l *Line) Text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// Fields that have the same meaning in all log lines.
const (
	fieldRequest  = "request"
	fieldBudget   = "budget"
	fieldAccount  = "account"
	fieldUpstream = "upstream"
)

// maxLineBytes bounds a log line. Hazelworks writes no longer ones; Read skips them.
const maxLineBytes = 1 << 20

// Read reads the lines of a log. It skips and counts lines that are not JSON log
// lines of hazelworks. If a log collector has written a prefix in front of a line,
// the last word of the prefix is the line's source instead of source.
func Read(r io.Reader, source string) (lines []Line, skipped int, err error) {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, long, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return lines, skipped, nil
		}
		if err != nil {
			return nil, 0, fmt.Errorf("story: read %s: %w", source, err)
		}
		line, ok := parse(text, source)
		if long || !ok {
			skipped++
		} else {
			lines = append(lines, line)
		}
		for long && err == nil {
			_, long, err = reader.ReadLine()
		}
	}
}

func parse(text []byte, source string) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	if prefix := strings.Fields(string(text[:start])); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	fields := make(map[string]any)
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, false
	}
	line := Line{Source: source, Fields: fields, Part: "main"}
	if part, ok := fields["part"].(string); ok {
		line.Part = part
	}
	line.Message, _ = fields["msg"].(string)
	timeText, _ := fields["time"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, timeText)
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.Time = parsed
	for _, name := range []string{"time", "part", "msg", "level"} {
		delete(fields, name)
	}
	return line, true
}

const (
	// relatedWindow is how long before a request's first line the related lines of
	// its budget and upstreams start: the longest time that a decision looks back.
	relatedWindow = 2 * time.Second
	// maxRelatedPerMessage bounds the lines with the same source, message, budget and
	// upstream: the decisions on a request depend on the last ones before its end.
	maxRelatedPerMessage = 3
)

// Explain returns the lines that explain a request, in order of time: its own lines
// from all hosts, and the related ones. It returns nil if no line names the request.
func Explain(lines []Line, request string) []Line {
	s := newScope(request)
	for i := range lines {
		if lines[i].Text(fieldRequest) == request {
			s.add(&lines[i])
		}
	}
	if len(s.sources) == 0 {
		return nil
	}
	var out, related []Line
	for _, line := range lines {
		switch {
		case line.Text(fieldRequest) == request:
			out = append(out, line)
		case s.isRelated(&line):
			line.Related = true
			related = append(related, line)
		}
	}
	out = append(out, lastPerMessage(related)...)
	out = append(out, s.hostState(lines)...)
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

// lastPerMessage returns the last maxRelatedPerMessage lines for each source, message,
// budget and upstream. It reorders lines.
func lastPerMessage(lines []Line) []Line {
	slices.SortStableFunc(lines, func(a, b Line) int { return b.Time.Compare(a.Time) })
	count := make(map[string]int)
	return slices.DeleteFunc(lines, func(l Line) bool {
		key := strings.Join([]string{l.Source, l.Message, l.Text(fieldBudget), l.Text(fieldUpstream)}, "/")
		count[key]++
		return count[key] > maxRelatedPerMessage
	})
}

// scope is what the lines of a request name, and the time that they span.
type scope struct {
	request     string
	sources     map[string]bool
	budgets     map[string]bool
	upstreams   map[string]bool
	first, last time.Time
}

func newScope(request string) *scope {
	return &scope{request: request, sources: make(map[string]bool), budgets: make(map[string]bool), upstreams: make(map[string]bool)}
}

func (s *scope) add(l *Line) {
	s.sources[l.Source] = true
	for _, field := range []string{fieldBudget, fieldAccount} {
		if name := l.Text(field); name != "" {
			s.budgets[name] = true
		}
	}
	if id := l.Text(fieldUpstream); id != "" {
		s.upstreams[id] = true
	}
	if s.first.IsZero() || l.Time.Before(s.first) {
		s.first = l.Time
	}
	if l.Time.After(s.last) {
		s.last = l.Time
	}
}

// isRelated reports whether a line names no request, comes from one of the request's
// hosts and is about its budget or one of its upstreams around the same time.
func (s *scope) isRelated(l *Line) bool {
	if l.Text(fieldRequest) != "" || l.Time.Before(s.first.Add(-relatedWindow)) || l.Time.After(s.last) {
		return false
	}
	if !s.sources[l.Source] {
		return false
	}
	return s.budgets[l.Text(fieldBudget)] || s.upstreams[l.Text(fieldUpstream)]
}

// stateMessages are the messages that report the state of what all requests of a host
// depend on. The last of each kind before the end of the request applied to it.
var stateMessages = []string{"Log lost.", "Log regained.", "Stream lost.", "Stream regained.", "Configuration in force.", "Starting.", "Leaving."}

// hostState returns, for each host of the request, the last line about each kind of
// state before the end of the request.
func (s *scope) hostState(lines []Line) []Line {
	type key struct{ source, state, stream string }
	newest := make(map[key]Line)
	for _, l := range lines {
		if !s.sources[l.Source] || l.Time.After(s.last) || !slices.Contains(stateMessages, l.Message) {
			continue
		}
		state, _, _ := strings.Cut(l.Message, " ")
		k := key{l.Source, l.Part + state, l.Text("stream")}
		if old, ok := newest[k]; !ok || !l.Time.Before(old.Time) {
			l.Related = true
			newest[k] = l
		}
	}
	out := make([]Line, 0, len(newest))
	for _, l := range newest {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Source, b.Source), strings.Compare(a.Message, b.Message))
	})
	return out
}

// Write prints the lines of Explain. It marks related lines with ~.
func Write(w io.Writer, lines []Line) error {
	for i := range lines {
		l := &lines[i]
		mark := " "
		if l.Related {
			mark = "~"
		}
		if _, err := fmt.Fprintf(w, "%s %s %s %s: %s%s\n", mark, l.Time.UTC().Format("15:04:05.000"), l.Source, l.Part, l.Message, fieldsText(l)); err != nil {
			return err
		}
	}
	return nil
}

// fieldsText returns the fields as name=value, sorted by name, without the request.
func fieldsText(l *Line) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != fieldRequest {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
