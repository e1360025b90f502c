package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/record"
)

var errNegative = errors.New("must not be negative")

// maxLineBytes bounds a line of a trace.
const maxLineBytes = 1 << 20

// Names of the sides of a cut that are no hosts or upstreams.
const (
	sideLog     = "log"
	sideCallers = "callers"
)

// parser collects the mistakes of a trace.
type parser struct {
	name  string
	list  findings.List
	trace Trace
	// sides are the names that a cut may use.
	sides map[string]bool
}

// Parse reads a trace. The error lists all mistakes with their lines.
func Parse(name string, r io.Reader) (*Trace, error) {
	p := &parser{name: name, sides: map[string]bool{sideLog: true, sideCallers: true}}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	line, seen := 0, false
	for scanner.Scan() {
		line++
		text := bytes.TrimSpace(scanner.Bytes())
		switch {
		case len(text) == 0 || bytes.HasPrefix(text, []byte("//")):
		case !seen:
			seen = true
			p.header(line, text)
		default:
			p.event(line, text)
		}
	}
	if err := scanner.Err(); err != nil {
		p.addf(line+1, "", "%v", err)
	}
	if !seen {
		p.addf(1, "", "the trace has no header")
	}
	if err := p.list.Err(); err != nil {
		return nil, err
	}
	slices.SortStableFunc(p.trace.Events, func(a, b Event) int { return int(a.At - b.At) })
	return &p.trace, nil
}

func (p *parser) addf(line int, path, format string, args ...any) {
	at := findings.Position{File: p.name, Line: int32(line), Column: 1}
	p.list.Addf(at, path, format, args...)
}

// decode reads one line strictly.
func (p *parser) decode(line int, text []byte, out any) bool {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		p.addf(line, "", "%v", err)
		return false
	}
	return true
}

func (p *parser) header(line int, text []byte) {
	h := &p.trace.Header
	if !p.decode(line, text, h) {
		return
	}
	p.need(line, "trace", h.Trace != "")
	p.need(line, "duration", h.Duration > 0)
	p.need(line, "hosts", len(h.Hosts) > 0)
	p.need(line, "outcomes", len(h.Outcomes) > 0)
	for i, host := range h.Hosts {
		path := fmt.Sprintf("hosts/%d", i)
		p.need(line, path+"/id", host.ID != "")
		p.need(line, path+"/failure_domain", host.FailureDomain != "")
		if p.sides[string(host.ID)] {
			p.addf(line, path+"/id", "%q stands twice", host.ID)
		}
		p.sides[string(host.ID)] = true
	}
	for i, o := range h.Outcomes {
		path := fmt.Sprintf("outcomes/%d", i)
		if !slices.Contains(Measures(), o.Measure) {
			p.addf(line, path+"/measure", "unknown measure %q", o.Measure)
		}
		if !slices.Contains([]Comparison{Equal, AtMost, AtLeast}, o.Comparison) {
			p.addf(line, path+"/comparison", "must be ==, <= or >=, not %q", o.Comparison)
		}
	}
	p.setDefaults()
	p.settings(line)
}

func (p *parser) need(line int, path string, ok bool) {
	if !ok {
		p.addf(line, path, "is missing")
	}
}

func (p *parser) setDefaults() {
	c := &p.trace.Callers
	if c.Tries == 0 {
		c.Tries = 8
	}
	if c.Patience == 0 {
		c.Patience = Duration(12 * time.Second)
	}
	if c.Wait == 0 {
		c.Wait = Duration(time.Second)
	}
}

// settings checks the tree and notes the names of its upstreams.
func (p *parser) settings(line int) {
	tree, err := fillSettings(p.trace.Settings)
	if err != nil {
		p.addf(line, "settings", "%v", err)
		return
	}
	for _, s := range tree.resolved.Services {
		for _, u := range s.Upstreams {
			p.sides[u.ID] = true
		}
	}
}

func (p *parser) event(line int, text []byte) {
	e := Event{line: line}
	if !p.decode(line, text, &e) {
		return
	}
	p.checkEvent(line, &e)
	p.trace.Events = append(p.trace.Events, e)
}

func (p *parser) checkEvent(line int, e *Event) {
	if e.At > p.trace.Duration {
		p.addf(line, "at", "lies after the trace's end")
	}
	switch e.Event {
	case EventTopUp:
		p.need(line, "budget", e.Budget != "")
		p.need(line, "amount", e.Amount != 0)
	case EventLoad:
		p.need(line, "account", e.Account != "")
		p.need(line, "rate", e.Rate > 0)
		p.need(line, "for", e.For > 0)
		p.need(line, "model or service", (e.Model == "") != (e.Service == ""))
		p.need(line, "tokens", e.Model == "" || e.Tokens > 0)
		p.checkHosts(line, "entry", e.Entry)
	case EventCut, EventHeal, EventSilence:
		p.checkSides(line, "from", e.From)
		p.checkSides(line, "to", e.To)
	case EventKill, EventStart, EventStop, EventPause, EventWake, EventRelease:
		p.checkSides(line, "host", []string{string(e.Host)})
	case EventLostReplies:
		if e.Share < 0 || e.Share > 1 {
			p.addf(line, "share", "must lie between 0 and 1")
		}
	case EventLeave:
		p.checkSides(line, "upstream", []string{e.Upstream})
	case EventLogDown, EventLogUp, EventSlowAppends:
	default:
		p.addf(line, "event", "unknown event %q", e.Event)
	}
}

func (p *parser) checkSides(line int, path string, names []string) {
	p.need(line, path, len(names) > 0)
	for _, name := range names {
		if !p.sides[name] {
			p.addf(line, path, "%q is no host, upstream, \"log\" or \"callers\"", name)
		}
	}
}

func (p *parser) checkHosts(line int, path string, ids []record.HostID) {
	for _, id := range ids {
		if !p.sides[string(id)] {
			p.addf(line, path, "%q is no host", id)
		}
	}
}
