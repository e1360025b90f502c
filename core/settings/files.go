package settings

import (
	"path"
	"slices"
	"strings"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
)

// File is a declaration file. Its name, without extension, is the path of its
// content in the tree; the file "co-operative" holds the root. So
// firms/a/services/s.jsonc declares the service s of the firm a.
type File struct {
	// Name is relative to the folder, with slashes.
	Name string
	// DisplayName is the name used in findings.
	DisplayName string
	Data        []byte
}

// RootFile is the name, without extension, of the file that holds the root.
const RootFile = "co-operative"

// extensions of declaration files.
var extensions = []string{".jsonc", ".hujson", ".json"}

// IsDeclaration reports whether a file of this name is part of a tree.
func IsDeclaration(name string) bool {
	return slices.Contains(extensions, path.Ext(name)) && !strings.HasPrefix(path.Base(name), ".")
}

// Parse reads declaration files into one tree and adds their faults to list. It
// returns the tree read so far, for further checks.
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

// Load parses declaration files and resolves them, with all findings together.
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

// merger joins the contents of several files.
type merger struct {
	root *jsontree.Node
	list *findings.List
}

// merge adds a value at a path. Objects are merged; a value may be given once.
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
