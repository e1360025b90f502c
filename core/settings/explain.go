package settings

import (
	"slices"
	"strings"

	"github.com/hazelworks/hazelworks/core/jsontree"
)

// Origin describes where a value is declared.
type Origin struct {
	Path  string         `json:"path"`
	Value *jsontree.Node `json:"value"`
	Level string         `json:"level"`
	// DeclaredAt is the path at which the level declares it.
	DeclaredAt string `json:"declared_at"`
	// Overridden lists the weaker levels that declare the value too, strongest
	// first.
	Overridden []Override `json:"overridden,omitempty"`
}

// Override is a value that a stronger level replaces.
type Override struct {
	Level      string         `json:"level"`
	DeclaredAt string         `json:"declared_at"`
	Value      *jsontree.Node `json:"value"`
}

// Explain returns the origin of each value at or below a path, such as
// firms/a/services/s/max_output. It returns nil if there is no value at path.
func Explain(root *jsontree.Node, path string) []Origin {
	value := Effective(root).Find(path)
	if value == nil {
		return nil
	}
	var origins []Origin
	leaves(path, value, func(leafPath string, leaf *jsontree.Node) {
		origins = append(origins, explainLeaf(root, leafPath, leaf))
	})
	return origins
}

// leaves calls visit for n or, if n is an object with members, for each leaf below
// it.
func leaves(path string, n *jsontree.Node, visit func(string, *jsontree.Node)) {
	if n.Kind != jsontree.Object || len(n.Members) == 0 {
		visit(path, n)
		return
	}
	for _, m := range n.Members {
		leaves(jsontree.JoinPath(path, m.Name), m.Value, visit)
	}
}

func explainLeaf(root *jsontree.Node, path string, leaf *jsontree.Node) Origin {
	origin := Origin{Path: path, Value: leaf}
	for _, l := range slices.Backward(sourcesOf(root, path)) {
		if l.node == nil {
			continue
		}
		if origin.Level == "" {
			origin.Level, origin.DeclaredAt = l.name, l.path
			continue
		}
		origin.Overridden = append(origin.Overridden, Override{l.name, l.path, l.node})
	}
	return origin
}

// sourcesOf returns the levels that can declare the value at path, weakest first.
// A level's node is nil if it does not declare the value.
func sourcesOf(root *jsontree.Node, path string) []level {
	s, entry, subpath, ok := splitEntryPath(path)
	if !ok {
		return []level{
			{LevelBuiltin, path, builtin.Find(path)},
			{LevelCooperative, path, root.Find(path)},
		}
	}
	var sources []level
	for _, l := range s.levels(root) {
		declaredAt := joinSubpath(l.path, subpath)
		sources = append(sources, level{l.name, declaredAt, l.node.Find(subpath)})
	}
	entryPath := joinSubpath(s.path()+"/"+entry, subpath)
	return append(sources, level{LevelEntry, entryPath, root.Find(entryPath)})
}

func joinSubpath(path, subpath string) string {
	if subpath == "" {
		return path
	}
	return path + "/" + subpath
}

// splitEntryPath splits the path of an entry's value into the entry's scope, its
// name and the path within the entry. ok is false if path is not within an entry.
func splitEntryPath(path string) (s scope, name, subpath string, ok bool) {
	names := jsontree.SplitPath(path)
	const firmParts, upstreamParts = 4, 6
	if len(names) < firmParts || names[0] != "firms" {
		return scope{}, "", "", false
	}
	s = scope{section: section(strings.TrimSuffix(names[2], "s")), firm: names[1]}
	parts := firmParts
	if s.section == sectionService && len(names) >= upstreamParts && names[4] == "upstreams" {
		s = scope{section: sectionUpstream, firm: names[1], service: names[3]}
		parts = upstreamParts
	}
	return s, names[parts-1], strings.Join(names[parts:], "/"), true
}
