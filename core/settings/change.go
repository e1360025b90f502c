package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
)

// ChangeKind is the kind of a record in the settings stream. Readers skip unknown
// kinds, so a new kind may be written only under a new schema.
type ChangeKind uint8

// KindEdit is the kind of a change that edits values of the tree.
const KindEdit ChangeKind = 1

// Change is a record of the settings stream. Its version is its offset.
type Change struct {
	Kind ChangeKind `cbor:"1,keyasint"`
	// ID makes the change idempotent: only the first record with an ID is applied.
	ID string `cbor:"2,keyasint"`
	// Base is the version that the change was made against.
	Base record.Offset `cbor:"3,keyasint"`
	// By is the operator's name.
	By string `cbor:"4,keyasint,omitempty"`
	// Message gives the reason for the change.
	Message string `cbor:"5,keyasint,omitempty"`
	Edits   []Edit `cbor:"6,keyasint"`
}

// Edit sets or removes the value at a path.
type Edit struct {
	Path string `cbor:"1,keyasint" json:"path"`
	// Value is the new value as JSON; nil removes the value at Path.
	Value []byte `cbor:"2,keyasint,omitempty" json:"value,omitempty"`
}

// Limits of a change.
const (
	MaxEdits            = 10_000
	MaxIDBytes          = 64
	MaxTextBytes        = 1024
	maxPathBytes        = 512
	maxPlainRecordBytes = 16 << 20
)

var errInvalidChange = errors.New("settings: invalid change record")

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 18,
		MaxMapPairs:      1 << 8,
		MaxNestedLevels:  8,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// EncodeChange encodes c for the log. It fails if the record is too large.
func EncodeChange(c *Change) ([]byte, error) {
	data, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("settings: encode change: %w", err)
	}
	return packRecord(data)
}

// DecodeChange decodes a change from the log. Unknown fields are skipped.
func DecodeChange(data []byte) (*Change, error) {
	plain, err := unpack(data)
	if err != nil {
		return nil, err
	}
	var c Change
	if err := decMode.Unmarshal(plain, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidChange, err)
	}
	return &c, nil
}

// Validate checks the change itself, without the tree that it edits. All findings
// are returned together as a [*findings.Error].
func (c *Change) Validate() error {
	var list findings.List
	if c.Kind != KindEdit {
		list.Addf(findings.Position{}, "", "change kind %d is not known", c.Kind)
	}
	c.parseEdits(&list)
	return list.Err()
}

// parseEdits returns the value of each edit, nil for a removal. It adds the
// findings of the change itself to list.
func (c *Change) parseEdits(list *findings.List) []*jsontree.Node {
	if c.ID == "" || len(c.ID) > MaxIDBytes || len(c.By) > MaxTextBytes || len(c.Message) > MaxTextBytes {
		list.Addf(findings.Position{}, "", "a change needs an ID of at most %d bytes, and texts of at most %d", MaxIDBytes, MaxTextBytes)
	}
	if len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		list.Addf(findings.Position{}, "", "a change has 1 to %d edits, got %d", MaxEdits, len(c.Edits))
		return nil
	}
	values := make([]*jsontree.Node, len(c.Edits))
	for i, e := range c.Edits {
		if e.Path == "" || len(e.Path) > maxPathBytes || len(jsontree.SplitPath(e.Path)) > jsontree.MaxDepth {
			list.Addf(findings.Position{}, "", "edit %d: not a path", i)
			continue
		}
		if e.Value != nil {
			values[i] = parseValue(e, list)
		}
	}
	return values
}

func parseValue(e Edit, list *findings.List) *jsontree.Node {
	var valueFindings findings.List
	value := jsontree.ParsePlain(e.Value, &valueFindings)
	for _, f := range valueFindings.Sorted() {
		list.Addf(findings.Position{}, strings.TrimSuffix(e.Path+"/"+f.Path, "/"), "%s", f.Message)
	}
	return value
}

// PathsOverlap reports whether two paths are equal or one contains the other.
func PathsOverlap(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	if b[:len(a)] != a {
		return false
	}
	return len(a) == len(b) || a == "" || b[len(a)] == '/'
}
