package settings

import (
	"slices"
	"strings"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
)

// section names the kinds of entry that inherit values.
type section string

const (
	sectionService  section = "service"
	sectionUpstream section = "upstream"
	sectionAccount  section = "account"
	sectionBudget   section = "budget"
)

// collection names the object that holds the entries of a section.
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

// level is a place from which entries take values.
type level struct {
	name string
	path string
	node *jsontree.Node
}

// scope is the part of the tree whose entries of one section inherit alike.
type scope struct {
	section section
	firm    string
	// service is set for upstreams.
	service string
}

// path returns the place of the scope's entries.
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

// decodeInherited decodes the values that an entry of the scope has if it declares none
// itself. Faults are not reported here but where the values are declared.
func (s scope) decodeInherited(root *jsontree.Node, dst any) {
	var ignored findings.List
	for _, l := range s.levels(root) {
		l.node.Decode(l.path, dst, &ignored)
	}
}

// overlay returns base with the values of top over it. Objects are merged name
// by name; anything else replaces what was there.
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
