// Package jsontree represents JSON documents as trees whose nodes record their
// position in the source file. It parses JSON with comments, strictly decodes trees
// into Go values and reports all findings together, and compares and edits trees by
// path.
package jsontree

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/hazelworks/hazelworks/core/findings"
)

// Kind is the JSON type of a node.
type Kind uint8

// Kinds of node.
const (
	Null Kind = iota
	Bool
	Number
	String
	Array
	Object
)

// String returns the name used in findings, with its article.
func (k Kind) String() string {
	return [...]string{"null", "a boolean", "a number", "a string", "an array", "an object"}[k]
}

// Node is a value of a JSON document. Nodes are immutable once built.
type Node struct {
	Kind Kind
	// Text is the value of a string, or the literal of a number or boolean. It is
	// empty for other kinds.
	Text string
	// Members are the members of an object, sorted by name.
	Members []Member
	// Elements are the elements of an array.
	Elements []*Node
	// At is the position in the source file, or zero if there is none.
	At findings.Position
}

// Member is a named value of an object.
type Member struct {
	Name  string
	Value *Node
}

// NewObject returns an empty object.
func NewObject() *Node {
	return &Node{Kind: Object}
}

func (n *Node) search(name string) (int, bool) {
	return slices.BinarySearchFunc(n.Members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
}

// Get returns the value of the named member, or nil if n is no object or has no
// such member.
func (n *Node) Get(name string) *Node {
	if n == nil || n.Kind != Object {
		return nil
	}
	i, found := n.search(name)
	if !found {
		return nil
	}
	return n.Members[i].Value
}

// Find returns the node at a path, or nil. The names of a path are separated by
// slashes; the empty path is n itself.
func (n *Node) Find(path string) *Node {
	for _, name := range SplitPath(path) {
		n = n.Get(name)
	}
	return n
}

// SplitPath returns the names of a path.
func SplitPath(path string) []string {
	if path == "" {
		return nil
	}
	return strings.Split(path, "/")
}

// JoinPath appends a name to a path.
func JoinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

// Set returns a copy of n with the value at path replaced, or removed if value is
// nil. It does not change n. A parent that is missing or not an object becomes an
// object if a value is set; a removal creates none. An object whose last member is
// removed is kept.
func (n *Node) Set(path string, value *Node) *Node {
	return n.set(SplitPath(path), value)
}

func (n *Node) set(names []string, value *Node) *Node {
	if len(names) == 0 {
		return value
	}
	parent := n
	if parent == nil || parent.Kind != Object {
		if value == nil {
			return n
		}
		parent = NewObject()
	}
	child := parent.Get(names[0]).set(names[1:], value)
	return parent.withMember(names[0], child)
}

func (n *Node) withMember(name string, value *Node) *Node {
	i, found := n.search(name)
	copied := &Node{Kind: Object, At: n.At}
	switch {
	case value == nil && !found:
		return n
	case value == nil:
		copied.Members = slices.Concat(n.Members[:i], n.Members[i+1:])
	case found:
		copied.Members = slices.Clone(n.Members)
		copied.Members[i].Value = value
	default:
		copied.Members = slices.Concat(n.Members[:i], []Member{{name, value}}, n.Members[i:])
	}
	return copied
}

// Equal reports whether two nodes have the same value. Positions are ignored.
func Equal(a, b *Node) bool {
	if a == b {
		return true
	}
	if a == nil || b == nil || a.Kind != b.Kind || a.Text != b.Text {
		return false
	}
	equalMembers := func(x, y Member) bool { return x.Name == y.Name && Equal(x.Value, y.Value) }
	return slices.EqualFunc(a.Members, b.Members, equalMembers) && slices.EqualFunc(a.Elements, b.Elements, Equal)
}

// Measure returns the total size of all names and texts in bytes, and the number of
// levels of nesting. A value without children has one level.
func (n *Node) Measure() (size, depth int) {
	size = len(n.Text)
	for _, m := range n.Members {
		s, d := m.Value.Measure()
		size += len(m.Name) + s
		depth = max(depth, d)
	}
	for _, e := range n.Elements {
		s, d := e.Measure()
		size += s
		depth = max(depth, d)
	}
	return size, depth + 1
}

// AppendJSON appends the value to dst as compact JSON. Equal nodes give equal bytes.
func (n *Node) AppendJSON(dst []byte) []byte {
	switch n.Kind {
	case Null:
		return append(dst, "null"...)
	case String:
		return appendString(dst, n.Text)
	case Array:
		return n.appendArray(dst)
	case Object:
		return n.appendObject(dst)
	default:
		return append(dst, n.Text...)
	}
}

func (n *Node) appendArray(dst []byte) []byte {
	dst = append(dst, '[')
	for i, e := range n.Elements {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = e.AppendJSON(dst)
	}
	return append(dst, ']')
}

func (n *Node) appendObject(dst []byte) []byte {
	dst = append(dst, '{')
	for i, m := range n.Members {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = append(appendString(dst, m.Name), ':')
		dst = m.Value.AppendJSON(dst)
	}
	return append(dst, '}')
}

func appendString(dst []byte, s string) []byte {
	quoted, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings can always be encoded
	}
	return append(dst, quoted...)
}

// MarshalJSON implements json.Marshaler.
func (n *Node) MarshalJSON() ([]byte, error) {
	return n.AppendJSON(nil), nil
}
