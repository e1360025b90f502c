package formats

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// modules hold all types that are sent or written.
var modules = []string{"../../core", "../../fleet"}

// jsonTypes are the types that hosts send each other or write to the log as JSON.
var jsonTypes = []string{"roster.Host", "quarantine.logRecord", "origins.note", "origins.Answer", "reach.answer"}

// The list in testdata/shapes.txt has each array with its fields in order, and each numbered or
// named field of a map. No line of it may ever change or go: earlier builds read these. Fields of
// maps may be added, with numbers that were never used. A new array needs a line, and a message
// around it that earlier builds skip.
func TestShapesStayAsReleased(t *testing.T) {
	var arrays, fields []string
	for _, module := range modules {
		require.NoError(t, filepath.WalkDir(module, func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil || d.IsDir() || strings.HasSuffix(path, "_test.go"):
				return err
			case strings.HasSuffix(path, ".proto"):
				fields = append(fields, protoFields(t, path)...)
			case strings.HasSuffix(path, ".go"):
				a, f := shapes(t, path)
				arrays, fields = append(arrays, a...), append(fields, f...)
			}
			return nil
		}))
	}
	if os.Getenv("WRITE_FORMS") != "" {
		text := strings.Join(slices.Sorted(slices.Values(slices.Concat(arrays, fields))), "\n") + "\n"
		require.NoError(t, os.WriteFile("testdata/shapes.txt", []byte(text), 0o600))
	}
	text, err := os.ReadFile("testdata/shapes.txt")
	require.NoError(t, err)
	released := strings.Split(strings.TrimSpace(string(text)), "\n")
	require.Subset(t, slices.Concat(arrays, fields), released, "a released form has changed")
	require.Subset(t, released, arrays, "an array is new or has changed")
}

var cborKey = regexp.MustCompile(`^(\d+),keyasint`)

// shapes returns a line for each array and each field of a map in a file.
func shapes(t *testing.T, path string) (arrays, fields []string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	require.NoError(t, err)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		s, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		name := file.Name.Name + "." + spec.Name.Name
		isArray, all := false, []string{}
		for _, f := range s.Fields.List {
			tag := reflect.StructTag("")
			if f.Tag != nil {
				tag = reflect.StructTag(strings.Trim(f.Tag.Value, "`"))
			}
			isArray = isArray || strings.Contains(tag.Get("cbor"), "toarray")
			for _, id := range f.Names {
				field := types.ExprString(f.Type)
				if id.Name != "_" {
					all = append(all, id.Name+" "+field)
				}
				if key := cborKey.FindStringSubmatch(tag.Get("cbor")); key != nil {
					fields = append(fields, fmt.Sprintf("map %s %s %s", name, key[1], field))
				}
				if key := tag.Get("json"); key != "" && key != "-" && slices.Contains(jsonTypes, name) {
					fields = append(fields, fmt.Sprintf("json %s %s %s", name, strings.Split(key, ",")[0], field))
				}
			}
		}
		if isArray {
			arrays = append(arrays, fmt.Sprintf("array %s: %s", name, strings.Join(all, ", ")))
		}
		return true
	})
	return arrays, fields
}

var protoLine = regexp.MustCompile(`^(?:message (\w+)|\s+((?:repeated )?[\w<>, ]+ \w+ = \d+);)`)

// protoFields returns a line for each field of the messages in a file.
func protoFields(t *testing.T, path string) []string {
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	var out []string
	message := ""
	for line := range strings.Lines(string(text)) {
		if m := protoLine.FindStringSubmatch(line); m != nil && m[1] != "" {
			message = m[1]
		} else if m != nil {
			out = append(out, fmt.Sprintf("proto %s %s", message, m[2]))
		}
	}
	return out
}
