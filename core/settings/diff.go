package settings

import (
	"slices"

	"github.com/hazelworks/hazelworks/core/jsontree"
)

// Difference is a path whose value differs between two trees.
type Difference struct {
	Path string `json:"path"`
	// Old and New are nil if the value is absent.
	Old *jsontree.Node `json:"old,omitempty"`
	New *jsontree.Node `json:"new,omitempty"`
}

// Diff returns the differences between two trees, ordered by path. Objects that
// are in both trees are compared member by member; a value that is in only one of
// them is one difference with all its content. Arrays are compared as a whole.
func Diff(before, after *jsontree.Node) []Difference {
	return diff(nil, "", before, after)
}

func diff(out []Difference, path string, before, after *jsontree.Node) []Difference {
	if jsontree.Equal(before, after) {
		return out
	}
	if before == nil || after == nil || before.Kind != jsontree.Object || after.Kind != jsontree.Object {
		return append(out, Difference{path, before, after})
	}
	for _, name := range memberNames(before, after) {
		out = diff(out, jsontree.JoinPath(path, name), before.Get(name), after.Get(name))
	}
	return out
}

func memberNames(a, b *jsontree.Node) []string {
	names := make([]string, 0, len(a.Members)+len(b.Members))
	for _, m := range a.Members {
		names = append(names, m.Name)
	}
	for _, m := range b.Members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Edits returns the edits that turn before into after.
func Edits(before, after *jsontree.Node) []Edit {
	var edits []Edit
	for _, d := range Diff(before, after) {
		e := Edit{Path: d.Path}
		if d.New != nil {
			e.Value = d.New.AppendJSON(nil)
		}
		edits = append(edits, e)
	}
	return edits
}

// Plan lists the effects of a change to the tree.
type Plan struct {
	// Declared lists the declared values that change.
	Declared []Difference `json:"declared"`
	// Inherited lists the values of entries that change because a level above
	// changes.
	Inherited []Difference `json:"inherited"`
}

// NewPlan returns the effects of replacing before by after.
func NewPlan(before, after *jsontree.Node) Plan {
	plan := Plan{Declared: Diff(before, after)}
	for _, d := range Diff(Effective(before), Effective(after)) {
		if !plan.declares(d.Path) {
			plan.Inherited = append(plan.Inherited, d)
		}
	}
	return plan
}

func (p *Plan) declares(path string) bool {
	return slices.ContainsFunc(p.Declared, func(d Difference) bool { return PathsOverlap(d.Path, path) })
}

// Empty reports whether no declared value changes.
func (p *Plan) Empty() bool {
	return len(p.Declared) == 0
}

// Effective returns a tree without defaults, in which every entry contains the
// values that it inherits.
func Effective(root *jsontree.Node) *jsontree.Node {
	out := jsontree.NewObject()
	out = out.Set("schema", getOrBuiltin(root, "schema"))
	out = out.Set("shards", getOrBuiltin(root, "shards"))
	firms := jsontree.NewObject()
	for _, m := range entries(root.Get("firms")) {
		firms.Members = append(firms.Members, jsontree.Member{Name: m.Name, Value: effectiveFirm(root, m)})
	}
	return out.Set("firms", firms)
}

func getOrBuiltin(root *jsontree.Node, name string) *jsontree.Node {
	if n := root.Get(name); n != nil {
		return n
	}
	return builtin.Get(name)
}

func effectiveFirm(root *jsontree.Node, firm jsontree.Member) *jsontree.Node {
	out := jsontree.NewObject()
	for _, s := range []section{sectionAccount, sectionBudget, sectionService} {
		out = out.Set(s.collection(), effectiveEntries(root, scope{section: s, firm: firm.Name}, firm.Value))
	}
	return out
}

// effectiveEntries returns the entries of a scope with their inherited values.
// The entries are members of parent.
func effectiveEntries(root *jsontree.Node, s scope, parent *jsontree.Node) *jsontree.Node {
	inherited := jsontree.NewObject()
	for _, l := range s.levels(root) {
		inherited = overlay(inherited, l.node)
	}
	out := jsontree.NewObject()
	for _, m := range entries(parent.Get(s.section.collection())) {
		value := overlay(inherited, m.Value)
		if s.section == sectionService {
			upstreams := scope{section: sectionUpstream, firm: s.firm, service: m.Name}
			value = value.Set("defaults", nil)
			value = value.Set("upstreams", effectiveEntries(root, upstreams, m.Value))
		}
		out.Members = append(out.Members, jsontree.Member{Name: m.Name, Value: value})
	}
	return out
}
