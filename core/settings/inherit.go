package settings

import (
	"slices"
	"strings"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
)

// section is a kind of entry that inherits values.
type section string

const (
	sectionService  section = "service"
	sectionUpstream section = "upstream"
	sectionAccount  section = "account"
	sectionBudget   section = "budget"
)

// collection returns the name of the object that contains the section's entries.
func (s section) collection() string {
	return string(s) + "s"
}

// Names of the levels, weakest first.
const (
	LevelBuiltin     = "built-in"
	LevelCooperative = "co-operative"
	LevelFirm        = "firm"
	LevelService     = "service"
	LevelEntry       = "entry"
)

// level is a node from which an entry takes values.
type level struct {
	name string
	path string
	node *jsontree.Node
}

// scope identifies the entries of one section that inherit the same values: all
// of a firm's entries or, for upstreams, all of a service's.
type scope struct {
	section section
	firm    string
	// service is set for upstreams.
	service string
}

// path returns the path of the object that contains the scope's entries.
func (s scope) path() string {
	parts := []string{"firms", s.firm}
	if s.section == sectionUpstream {
		parts = append(parts, "services", s.service)
	}
	return strings.Join(append(parts, s.section.collection()), "/")
}

// levels returns the levels above the scope's entries, weakest first.
func (s scope) levels(root *jsontree.Node) []level {
	suffix := "defaults/" + string(s.section)
	firm := "firms/" + s.firm + "/"
	candidates := []level{
		{LevelBuiltin, suffix, builtin.Find(suffix)},
		{LevelCooperative, suffix, root.Find(suffix)},
		{LevelFirm, firm + suffix, root.Find(firm + suffix)},
	}
	if s.section == sectionUpstream {
		path := firm + "services/" + s.service + "/" + suffix
		candidates = append(candidates, level{LevelService, path, root.Find(path)})
	}
	return slices.DeleteFunc(candidates, func(l level) bool { return l.node == nil })
}

// decodeInherited stores in dst the values that an entry of the scope inherits.
// Findings are ignored: [resolver.decodeRoot] reports those of defaults, and the
// decoding of a service reports those of its own defaults.
func (s scope) decodeInherited(root *jsontree.Node, dst any) {
	var ignored findings.List
	for _, l := range s.levels(root) {
		l.node.Decode(l.path, dst, &ignored)
	}
}

// overlay returns base with the values of top applied. Objects are merged
// recursively; any other value of top replaces the one of base.
func overlay(base, top *jsontree.Node) *jsontree.Node {
	if base == nil || base.Kind != jsontree.Object || top.Kind != jsontree.Object {
		return top
	}
	merged := base
	for _, m := range top.Members {
		merged = merged.Set(m.Name, overlay(merged.Get(m.Name), m.Value))
	}
	return merged
}
