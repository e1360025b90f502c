package jsontree

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hazelworks/hazelworks/core/findings"
)

// ExtensionPrefix is the prefix of members that are kept in the tree but not
// decoded.
const ExtensionPrefix = "x-"

// Decode stores the value in dst, a non-nil pointer, and adds a finding to list for
// every unknown name, wrong type, invalid duration and value out of bounds; path is
// the path of n in those findings. Valid parts are stored even if others are not.
// Fields of dst that the document does not name keep their values; maps are merged,
// slices are replaced.
//
// A struct field is named by its json tag. Numbers and durations may have the tags
// min and max, strings the tag oneof with a comma-separated list. Durations are
// strings such as "2s". Names that start with [ExtensionPrefix] are skipped.
func (n *Node) Decode(path string, dst any, list *findings.List) {
	d := decoder{list}
	d.value(n, path, reflect.ValueOf(dst).Elem(), "")
}

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
	nodeType            = reflect.TypeFor[*Node]()
)

type decoder struct {
	list *findings.List
}

func (d *decoder) value(n *Node, path string, dst reflect.Value, tag reflect.StructTag) {
	if dst.Type() == nodeType {
		dst.Set(reflect.ValueOf(n))
		return
	}
	if dst.Kind() == reflect.Pointer {
		target := reflect.New(dst.Type().Elem())
		d.value(n, path, target.Elem(), tag)
		dst.Set(target)
		return
	}
	if dst.Addr().Type().Implements(textUnmarshalerType) {
		d.textValue(n, path, dst)
		return
	}
	if dst.Type() == durationType {
		d.duration(n, path, dst, tag)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.structValue(n, path, dst)
	case reflect.Map:
		d.mapValue(n, path, dst)
	case reflect.Slice:
		d.slice(n, path, dst, tag)
	default:
		d.scalar(n, path, dst, tag)
	}
}

// expectKind reports whether n has the given kind and adds a finding if not.
func (d *decoder) expectKind(n *Node, path string, kind Kind) bool {
	if n.Kind != kind {
		d.list.Addf(n.At, path, "want %v, got %v", kind, n.Kind)
		return false
	}
	return true
}

func (d *decoder) structValue(n *Node, path string, dst reflect.Value) {
	if !d.expectKind(n, path, Object) {
		return
	}
	fields := fieldsOf(dst.Type())
	for _, m := range n.Members {
		if strings.HasPrefix(m.Name, ExtensionPrefix) {
			continue
		}
		memberPath := JoinPath(path, m.Name)
		f, ok := fields[m.Name]
		if !ok {
			d.list.Addf(m.Value.At, memberPath, "unknown name%s", suggest(m.Name, fields))
			continue
		}
		d.value(m.Value, memberPath, dst.FieldByIndex(f.Index), f.Tag)
	}
}

// fieldTable maps the names used in documents to the fields of a struct.
type fieldTable map[string]reflect.StructField

var fieldTables sync.Map // of reflect.Type to fieldTable

// fieldsOf returns the fields that have a json name, including those of embedded
// structs. The result is cached.
func fieldsOf(t reflect.Type) fieldTable {
	if cached, ok := fieldTables.Load(t); ok {
		return cached.(fieldTable)
	}
	table := make(fieldTable)
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			table[name] = f
		}
	}
	fieldTables.Store(t, table)
	return table
}

func (d *decoder) mapValue(n *Node, path string, dst reflect.Value) {
	if !d.expectKind(n, path, Object) {
		return
	}
	merged := reflect.MakeMapWithSize(dst.Type(), dst.Len()+len(n.Members))
	for _, key := range dst.MapKeys() {
		merged.SetMapIndex(key, dst.MapIndex(key))
	}
	dst.Set(merged)
	for _, m := range n.Members {
		if strings.HasPrefix(m.Name, ExtensionPrefix) {
			continue
		}
		element := reflect.New(dst.Type().Elem()).Elem()
		d.value(m.Value, JoinPath(path, m.Name), element, "")
		dst.SetMapIndex(reflect.ValueOf(m.Name).Convert(dst.Type().Key()), element)
	}
}

func (d *decoder) slice(n *Node, path string, dst reflect.Value, tag reflect.StructTag) {
	if !d.expectKind(n, path, Array) {
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(n.Elements), len(n.Elements)))
	for i, e := range n.Elements {
		d.value(e, fmt.Sprintf("%s[%d]", path, i), dst.Index(i), tag)
	}
}

func (d *decoder) textValue(n *Node, path string, dst reflect.Value) {
	if !d.expectKind(n, path, String) {
		return
	}
	if err := dst.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(n.Text)); err != nil {
		d.list.Addf(n.At, path, "%v", err)
	}
}

func (d *decoder) duration(n *Node, path string, dst reflect.Value, tag reflect.StructTag) {
	if n.Kind != String {
		d.list.Addf(n.At, path, `want a duration such as "2s", got %v`, n.Kind)
		return
	}
	value, err := time.ParseDuration(n.Text)
	if err != nil {
		d.list.Addf(n.At, path, `want a duration such as "2s", got %q`, n.Text)
		return
	}
	if limit, ok := tag.Lookup("min"); ok && value < mustDuration(limit) {
		d.list.Addf(n.At, path, "must be at least %s, got %s", limit, n.Text)
	}
	if limit, ok := tag.Lookup("max"); ok && value > mustDuration(limit) {
		d.list.Addf(n.At, path, "must be at most %s, got %s", limit, n.Text)
	}
	dst.SetInt(int64(value))
}

func (d *decoder) scalar(n *Node, path string, dst reflect.Value, tag reflect.StructTag) {
	switch dst.Kind() {
	case reflect.Bool:
		if d.expectKind(n, path, Bool) {
			dst.SetBool(n.Text == "true")
		}
	case reflect.String:
		if d.expectKind(n, path, String) {
			d.oneOf(n, path, tag)
			dst.SetString(n.Text)
		}
	case reflect.Float64, reflect.Float32:
		d.float(n, path, dst, tag)
	default:
		d.integer(n, path, dst, tag)
	}
}

func (d *decoder) oneOf(n *Node, path string, tag reflect.StructTag) {
	choices, ok := tag.Lookup("oneof")
	if ok && !slices.Contains(strings.Split(choices, ","), n.Text) {
		d.list.Addf(n.At, path, "must be one of %s, got %q", strings.ReplaceAll(choices, ",", ", "), n.Text)
	}
}

func (d *decoder) integer(n *Node, path string, dst reflect.Value, tag reflect.StructTag) {
	if !d.expectKind(n, path, Number) {
		return
	}
	value, err := strconv.ParseInt(n.Text, 10, 64)
	if err != nil {
		d.list.Addf(n.At, path, "want a whole number, got %s", n.Text)
		return
	}
	if !d.inBounds(n, path, float64(value), tag) {
		return
	}
	if dst.CanUint() {
		if value < 0 || dst.OverflowUint(uint64(value)) {
			d.list.Addf(n.At, path, "%s is out of range", n.Text)
			return
		}
		dst.SetUint(uint64(value))
		return
	}
	if dst.OverflowInt(value) {
		d.list.Addf(n.At, path, "%s is out of range", n.Text)
		return
	}
	dst.SetInt(value)
}

func (d *decoder) float(n *Node, path string, dst reflect.Value, tag reflect.StructTag) {
	if !d.expectKind(n, path, Number) {
		return
	}
	value, err := strconv.ParseFloat(n.Text, 64)
	if err != nil {
		d.list.Addf(n.At, path, "%s is out of range", n.Text)
		return
	}
	if d.inBounds(n, path, value, tag) {
		dst.SetFloat(value)
	}
}

func (d *decoder) inBounds(n *Node, path string, value float64, tag reflect.StructTag) bool {
	if limit, ok := tag.Lookup("min"); ok && value < mustFloat(limit) {
		d.list.Addf(n.At, path, "must be at least %s, got %s", limit, n.Text)
		return false
	}
	if limit, ok := tag.Lookup("max"); ok && value > mustFloat(limit) {
		d.list.Addf(n.At, path, "must be at most %s, got %s", limit, n.Text)
		return false
	}
	return true
}

func mustDuration(text string) time.Duration {
	value, err := time.ParseDuration(text)
	if err != nil {
		panic(err) // tags are constants
	}
	return value
}

func mustFloat(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err) // tags are constants
	}
	return value
}

// minSharedPrefix is the number of leading bytes that a suggested name must share
// with the unknown one.
const minSharedPrefix = 3

// suggest returns a hint with the field name that shares the longest prefix with
// name, or the empty string if none shares enough.
func suggest(name string, fields fieldTable) string {
	best, bestLength := "", minSharedPrefix-1
	for _, f := range slices.Sorted(maps.Keys(fields)) {
		if length := commonPrefixLen(name, f); length > bestLength {
			best, bestLength = f, length
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}

func commonPrefixLen(a, b string) int {
	i := 0
	for i < len(a) && i < len(b) && a[i] == b[i] {
		i++
	}
	return i
}
