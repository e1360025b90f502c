package statechart

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/looplab/fsm"
	"github.com/tailscale/hujson"
)

// Finding is one error in the file of a chart.
type Finding struct {
	// Chart is the name under which the chart was loaded.
	Chart string
	// Line and Column start at 1. The column counts bytes.
	Line    int
	Column  int
	Message string
}

// Error returns the position and the message.
func (f *Finding) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.Chart, f.Line, f.Column, f.Message)
}

// MustLoad is like [Load] for embedded charts but panics on any error.
func MustLoad(name string, data []byte) *Chart {
	chart, err := Load(name, data)
	if err != nil {
		panic(err)
	}
	return chart
}

// Load parses and checks a chart. For a file that is not valid HuJSON it returns the
// parse error. Otherwise the error joins one [*Finding] for each error in the chart,
// in the order of the file. A chart with errors in its structure is not checked for
// unknown or unreachable states.
func Load(name string, data []byte) (*Chart, error) {
	l := &loader{name: name, data: data}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, fmt.Errorf("statechart %s: %w", name, err)
	}
	l.readChart(root)
	if len(l.findings) == 0 {
		l.check()
	}
	if len(l.findings) > 0 {
		return nil, l.findingsError()
	}
	return l.buildChart(), nil
}

// positioned is a string with its position in the file.
type positioned struct {
	text   string
	offset int // in bytes
}

type transition struct {
	event  positioned
	target positioned
}

type stateDecl struct {
	name        positioned
	transitions []transition
}

// loader parses and checks one chart and collects the findings.
type loader struct {
	name     string
	data     []byte
	initial  positioned
	final    []positioned
	states   []stateDecl
	findings []rawFinding
}

// rawFinding is a finding before its offset is converted to a line and a column.
type rawFinding struct {
	offset  int
	message string
}

func (l *loader) report(offset int, format string, args ...any) {
	l.findings = append(l.findings, rawFinding{offset: offset, message: fmt.Sprintf(format, args...)})
}

// findingsError joins the findings in the order of the file.
func (l *loader) findingsError() error {
	slices.SortStableFunc(l.findings, func(a, b rawFinding) int { return a.offset - b.offset })
	errs := make([]error, 0, len(l.findings))
	for _, p := range l.findings {
		before := l.data[:min(p.offset, len(l.data))]
		errs = append(errs, &Finding{
			Chart: l.name, Line: 1 + bytes.Count(before, []byte("\n")),
			Column: len(before) - bytes.LastIndexByte(before, '\n'), Message: p.message,
		})
	}
	return errors.Join(errs...)
}

func (l *loader) readChart(root hujson.Value) {
	for _, m := range l.members(root, "the chart") {
		name := l.memberName(m)
		switch name.text {
		case "initial":
			l.initial = l.readString(m.Value, "initial")
		case "final":
			l.readFinal(m.Value)
		case "states":
			l.readStates(m.Value)
		default:
			l.report(name.offset, "unknown field %q", name.text)
		}
	}
}

// members returns the members of an object. For another value it adds a finding, in
// which what names the value.
func (l *loader) members(v hujson.Value, what string) []hujson.ObjectMember {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		l.report(v.StartOffset, "%s must be an object", what)
		return nil
	}
	return obj.Members
}

func (l *loader) memberName(m hujson.ObjectMember) positioned {
	return l.readString(m.Name, "a name")
}

// readString returns a string. For another value it adds a finding, in which what
// names the value.
func (l *loader) readString(v hujson.Value, what string) positioned {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		l.report(v.StartOffset, "%s must be a string", what)
		return positioned{offset: v.StartOffset}
	}
	return positioned{text: lit.String(), offset: v.StartOffset}
}

func (l *loader) readFinal(v hujson.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		l.report(v.StartOffset, "final must be a list of states")
		return
	}
	for _, e := range arr.Elements {
		l.final = append(l.final, l.readString(e, "a final state"))
	}
}

func (l *loader) readStates(v hujson.Value) {
	for _, m := range l.members(v, "states") {
		decl := stateDecl{name: l.memberName(m)}
		if l.stateIndex(decl.name.text) >= 0 {
			l.report(decl.name.offset, "state %q stands twice", decl.name.text)
		}
		for _, field := range l.members(m.Value, "a state") {
			name := l.memberName(field)
			if name.text != "on" {
				l.report(name.offset, "unknown field %q", name.text)
				continue
			}
			decl.transitions = append(decl.transitions, l.readTransitions(field.Value)...)
		}
		l.states = append(l.states, decl)
	}
}

func (l *loader) readTransitions(v hujson.Value) []transition {
	var list []transition
	for _, m := range l.members(v, "on") {
		t := transition{event: l.memberName(m), target: l.readString(m.Value, "a target state")}
		if slices.ContainsFunc(list, func(o transition) bool { return o.event.text == t.event.text }) {
			l.report(t.event.offset, "event %q stands twice", t.event.text)
		}
		list = append(list, t)
	}
	return list
}

// stateIndex returns the index of a state in the file, or -1 if it is not declared.
func (l *loader) stateIndex(name string) int {
	return slices.IndexFunc(l.states, func(s stateDecl) bool { return s.name.text == name })
}

func (l *loader) buildChart() *Chart {
	c := &Chart{name: l.name, initial: State(l.initial.text)}
	for _, f := range l.final {
		c.final = append(c.final, State(f.text))
	}
	var events []fsm.EventDesc
	for _, s := range l.states {
		c.states = append(c.states, State(s.name.text))
		for _, t := range s.transitions {
			events = append(events, fsm.EventDesc{Name: t.event.text, Src: []string{s.name.text}, Dst: t.target.text})
		}
	}
	c.fsm = fsm.NewFSM(string(c.initial), events, nil)
	return c
}
