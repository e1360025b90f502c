package jsontree

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/hazelworks/hazelworks/core/findings"
)

// Limits of a document: its size in bytes and its levels of nesting.
const (
	MaxBytes = 8 << 20
	MaxDepth = 24
)

// Parse parses a document in JSON with comments and adds findings to list. It
// returns nil if the document is too large, too deep or not valid JSON. Of members
// with the same name, the first is used and each further one is a finding.
func Parse(file string, data []byte, list *findings.List) *Node {
	if len(data) > MaxBytes {
		list.Addf(findings.Position{File: file}, "", "document has %d bytes, at most %d are allowed", len(data), MaxBytes)
		return nil
	}
	p := parser{file: file, lineOffsets: lineStarts(data), list: list}
	if at, ok := tooDeep(data); ok {
		list.Addf(p.position(at), "", "nested deeper than %d levels", MaxDepth)
		return nil
	}
	value, err := hujson.Parse(data)
	if err != nil {
		p.addSyntaxError(err)
		return nil
	}
	return p.node(&value, "")
}

// ParsePlain is like [Parse] for a document that is not a file: its nodes and
// findings have no position.
func ParsePlain(data []byte, list *findings.List) *Node {
	var parseFindings findings.List
	n := Parse("", data, &parseFindings)
	for _, f := range parseFindings.Sorted() {
		list.Addf(findings.Position{}, f.Path, "%s", f.Message)
	}
	n.clearPositions()
	return n
}

func (n *Node) clearPositions() {
	if n == nil {
		return
	}
	n.At = findings.Position{}
	for _, m := range n.Members {
		m.Value.clearPositions()
	}
	for _, e := range n.Elements {
		e.clearPositions()
	}
}

type parser struct {
	file string
	// lineOffsets are the offsets of the first byte of each line.
	lineOffsets []int
	list        *findings.List
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for i, c := range data {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

func (p *parser) position(offset int) findings.Position {
	line := sort.SearchInts(p.lineOffsets, offset+1)
	return findings.Position{
		File:   p.file,
		Line:   int32(line),
		Column: int32(offset - p.lineOffsets[line-1] + 1),
	}
}

// addSyntaxError adds an error of the hujson parser to the findings. That parser
// stops at the first error.
func (p *parser) addSyntaxError(err error) {
	at := findings.Position{File: p.file}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &at.Line, &at.Column); scanErr != nil {
		p.list.Addf(at, "", "%v", err)
		return
	}
	p.list.Addf(at, "", "%v", errors.Unwrap(err))
}

func (p *parser) node(v *hujson.Value, path string) *Node {
	at := p.position(v.StartOffset)
	switch value := v.Value.(type) {
	case *hujson.Object:
		return p.object(value, at, path)
	case *hujson.Array:
		n := &Node{Kind: Array, At: at}
		for i := range value.Elements {
			n.Elements = append(n.Elements, p.node(&value.Elements[i], fmt.Sprintf("%s[%d]", path, i)))
		}
		return n
	case hujson.Literal:
		return literal(value, at)
	default:
		panic(fmt.Sprintf("jsontree: unexpected value %T", value))
	}
}

func (p *parser) object(o *hujson.Object, at findings.Position, path string) *Node {
	n := &Node{Kind: Object, At: at}
	seen := make(map[string]findings.Position, len(o.Members))
	for i := range o.Members {
		m := &o.Members[i]
		name := literalText(m.Name.Value.(hujson.Literal))
		namePath := JoinPath(path, name)
		nameAt := p.position(m.Name.StartOffset)
		if first, repeated := seen[name]; repeated {
			p.list.Addf(nameAt, namePath, "given twice, first on line %d", first.Line)
			continue
		}
		seen[name] = nameAt
		n.Members = append(n.Members, Member{name, p.node(&m.Value, namePath)})
	}
	slices.SortFunc(n.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return n
}

func literal(l hujson.Literal, at findings.Position) *Node {
	n := &Node{At: at, Text: literalText(l)}
	switch l.Kind() {
	case 'n':
		n.Kind, n.Text = Null, ""
	case 't', 'f':
		n.Kind = Bool
	case '"':
		n.Kind = String
	default:
		n.Kind = Number
	}
	return n
}

func literalText(l hujson.Literal) string {
	if l.Kind() == '"' {
		return l.String()
	}
	return string(bytes.Clone(l))
}

// tooDeep returns the offset of the first bracket that opens a level beyond
// [MaxDepth]. It protects the recursive parser from deeply nested input.
func tooDeep(data []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = skipString(data, i)
		case '/':
			i = skipComment(data, i)
		case '{', '[':
			depth++
			if depth > MaxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string that starts at
// i, or an offset past the data if the string is not closed.
func skipString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment that starts at i,
// the length of data if the comment is not closed, or i if there is no comment.
func skipComment(data []byte, i int) int {
	rest := data[i:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		if end := bytes.IndexByte(rest, '\n'); end >= 0 {
			return i + end
		}
		return len(data)
	case bytes.HasPrefix(rest, []byte("/*")):
		if end := bytes.Index(rest[2:], []byte("*/")); end >= 0 {
			return i + end + 3
		}
		return len(data)
	default:
		return i
	}
}
