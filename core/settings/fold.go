package settings

import (
	"errors"
	"fmt"
	"slices"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
)

// Errors of the fold.
var (
	// ErrGap means that entries before this one are missing. The fold needs a
	// snapshot.
	ErrGap = errors.New("settings: entries are missing")
	// ErrUnsupported means that the tree has a newer schema than this program
	// supports. The fold keeps its last settings.
	ErrUnsupported = errors.New("settings: the tree needs a newer program")
)

// Fold is a deterministic state machine that applies the settings stream in offset
// order: two folds that have applied the same entries have the same tree. It is
// not safe for concurrent use.
type Fold struct {
	// position is the offset of the last entry applied.
	position record.Offset
	tree     *jsontree.Node
	resolved *Resolved
	history  *history
	// frozen is set by an entry with an unsupported schema. No entry is applied
	// until a snapshot is restored.
	frozen bool
}

// NewFold returns an empty fold, at offset zero.
func NewFold() *Fold {
	return &Fold{tree: jsontree.NewObject(), history: newHistory(nil, 0)}
}

// Position returns the offset of the last entry applied.
func (f *Fold) Position() record.Offset {
	return f.position
}

// Current returns the settings in force, or nil before the first accepted change.
func (f *Fold) Current() *Resolved {
	return f.resolved
}

// Version returns the offset of the newest accepted change, or zero before the
// first.
func (f *Fold) Version() record.Offset {
	if f.resolved == nil {
		return 0
	}
	return f.resolved.Version
}

// Tree returns the declared tree in force. It must not be changed.
func (f *Fold) Tree() *jsontree.Node {
	return f.tree
}

// Decision returns the decision on the change with the given ID, if the history
// still has it.
func (f *Fold) Decision(id string) (*Decision, bool) {
	d, ok := f.history.byID[id]
	return d, ok
}

// History returns at most limit decisions, newest first.
func (f *Fold) History(limit int) []*Decision {
	newest := f.history.decisions[max(0, len(f.history.decisions)-limit):]
	newest = slices.Clone(newest)
	slices.Reverse(newest)
	return newest
}

// ChangeResult is the result of applying an entry.
type ChangeResult struct {
	Status Status
	// Decision is the decision on the change; for a repeated change it is the one
	// on the first record. It is nil if the entry was skipped or is unsupported.
	Decision *Decision
	// Err is ErrGap or ErrUnsupported if the entry was not applied.
	Err error
}

// Apply applies the next entry of the settings stream. An entry that was applied
// before has no effect.
func (f *Fold) Apply(e record.Entry) ChangeResult {
	switch {
	case f.frozen:
		return ChangeResult{Status: StatusUnsupported, Err: ErrUnsupported}
	case e.Offset <= f.position:
		return ChangeResult{Status: StatusSkipped}
	case e.Offset > f.position+1:
		return ChangeResult{Status: StatusSkipped, Err: fmt.Errorf("%w: %d after %d", ErrGap, e.Offset, f.position)}
	}
	change, err := DecodeChange(e.Data)
	if err != nil || change.Kind != KindEdit {
		f.position = e.Offset
		return ChangeResult{Status: StatusSkipped}
	}
	return f.decide(e, change)
}

func (f *Fold) decide(e record.Entry, c *Change) ChangeResult {
	if first, ok := f.history.byID[c.ID]; ok {
		f.position = e.Offset
		return ChangeResult{Status: StatusRepeated, Decision: first}
	}
	d := &Decision{
		Offset:     e.Offset,
		ID:         c.ID,
		Base:       c.Base,
		By:         c.By,
		Message:    c.Message,
		TimeMillis: e.TimeMillis,
	}
	tree, resolved, err := f.evaluate(e.Offset, c, d)
	if errors.Is(err, ErrUnsupported) {
		f.frozen = true
		return ChangeResult{Status: StatusUnsupported, Err: ErrUnsupported}
	}
	if d.Status == StatusAccepted {
		f.tree, f.resolved = tree, resolved
	}
	f.position = e.Offset
	if c.ID != "" && len(c.ID) <= MaxIDBytes {
		f.history.add(d)
	}
	return ChangeResult{Status: d.Status, Decision: d}
}

// evaluate sets the decision's status and returns the changed tree if the change
// is accepted. The only error is [ErrUnsupported].
func (f *Fold) evaluate(offset record.Offset, c *Change, d *Decision) (*jsontree.Node, *Resolved, error) {
	var list findings.List
	values := c.parseEdits(&list)
	if c.Base >= offset {
		list.Addf(findings.Position{}, "", "the base version %d lies ahead", c.Base)
	}
	if !list.Empty() {
		d.reject(list.Sorted())
		return nil, nil, nil
	}
	paths := editedPaths(c.Edits)
	if conflict := f.history.findConflict(c.Base, paths); conflict != nil {
		d.Status, d.Conflict = StatusConflict, conflict
		return nil, nil, nil
	}
	tree := apply(f.tree, c.Edits, values)
	resolved, err := f.validate(tree, offset)
	if errors.Is(err, ErrUnsupported) {
		return nil, nil, err
	}
	if err != nil {
		list.AddError(err)
		d.reject(list.Sorted())
		return nil, nil, nil
	}
	d.Status, d.Paths = StatusAccepted, paths
	return tree, resolved, nil
}

// validate resolves a tree that is to replace the one in force. The number of
// shards must stay the same, since budgets would move between streams.
func (f *Fold) validate(tree *jsontree.Node, version record.Offset) (*Resolved, error) {
	if schemaOf(tree) > SupportedSchema {
		return nil, ErrUnsupported
	}
	resolved, err := Resolve(tree, version)
	if err != nil {
		return nil, err
	}
	if f.resolved != nil && f.resolved.Shards != resolved.Shards {
		var list findings.List
		list.Addf(findings.Position{}, "shards", "cannot change from %d: budgets would move between streams", f.resolved.Shards)
		return nil, list.Err()
	}
	return resolved, nil
}

// schemaOf returns the declared schema, or 1 if it is missing or not readable.
func schemaOf(tree *jsontree.Node) int {
	var ignored findings.List
	schema := 1
	if n := tree.Get("schema"); n != nil {
		n.Decode("schema", &schema, &ignored)
	}
	return schema
}

func (d *Decision) reject(list []findings.Finding) {
	d.Status = StatusInvalid
	for _, f := range list[:min(len(list), maxDecisionFindings)] {
		d.Findings = append(d.Findings, f.String())
	}
}

func apply(tree *jsontree.Node, edits []Edit, values []*jsontree.Node) *jsontree.Node {
	for i, e := range edits {
		tree = tree.Set(e.Path, values[i])
	}
	return tree
}

// editedPaths returns the paths of edits, or their common parent if there are
// more than maxDecisionPaths.
func editedPaths(edits []Edit) []string {
	paths := make([]string, len(edits))
	for i, e := range edits {
		paths[i] = e.Path
	}
	if len(paths) > maxDecisionPaths {
		return []string{commonParent(paths)}
	}
	return paths
}

func commonParent(paths []string) string {
	common := jsontree.SplitPath(paths[0])
	for _, path := range paths[1:] {
		names := jsontree.SplitPath(path)
		i := 0
		for i < len(common) && i < len(names) && common[i] == names[i] {
			i++
		}
		common = common[:i]
	}
	parent := ""
	for _, name := range common {
		parent = jsontree.JoinPath(parent, name)
	}
	return parent
}
