package settings

import (
	"path"
	"slices"
	"strings"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
)

// File is a declaration file. Its name without extension is the path of its
// content in the tree: firms/a/services/s.jsonc declares service s of firm a. The
// file "co-operative" declares the root.
type File struct {
	// Name is the path relative to the folder, separated by slashes.
	Name string
	// DisplayName is the file name shown in findings.
	DisplayName string
	Data        []byte
}

// RootFile is the name, without extension, of the file that declares the root.
const RootFile = "co-operative"

// extensions lists the extensions of declaration files.
var extensions = []string{".jsonc", ".hujson", ".json"}

// IsDeclaration reports whether name is that of a declaration file: it has one of
// the known extensions and is not hidden.
func IsDeclaration(name string) bool {
	return slices.Contains(extensions, path.Ext(name)) && !strings.HasPrefix(path.Base(name), ".")
}

// Parse merges declaration files into one tree and adds findings to list. With
// findings, the tree contains what could be read, so that it can be checked further.
func Parse(files []File, list *findings.List) *jsontree.Node {
	m := merger{root: jsontree.NewObject(), list: list}
	for _, file := range files {
		content := jsontree.Parse(file.DisplayName, file.Data, list)
		if content == nil {
			continue
		}
		treePath := strings.TrimSuffix(file.Name, path.Ext(file.Name))
		if treePath == RootFile {
			treePath = ""
		}
		m.merge(treePath, content)
	}
	return m.root
}

// Load parses and resolves declaration files. Findings of both steps are returned
// together as a [*findings.Error].
func Load(files []File) (*jsontree.Node, *Resolved, error) {
	var list findings.List
	root := Parse(files, &list)
	resolved, err := Resolve(root, 0)
	list.AddError(err)
	if err := list.Err(); err != nil {
		return nil, nil, err
	}
	return root, resolved, nil
}

// merger merges the contents of several files into one tree.
type merger struct {
	root *jsontree.Node
	list *findings.List
}

// merge adds a value at a path. Objects are merged; any other value that is
// declared twice is a finding.
func (m *merger) merge(treePath string, value *jsontree.Node) {
	existing := m.root.Find(treePath)
	if existing == nil {
		m.root = m.root.Set(treePath, value)
		return
	}
	if existing.Kind != jsontree.Object || value.Kind != jsontree.Object {
		m.list.Addf(value.At, treePath, "given twice, first at %s", existing.At)
		return
	}
	for _, member := range value.Members {
		m.merge(jsontree.JoinPath(treePath, member.Name), member.Value)
	}
}
