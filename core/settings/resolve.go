package settings

import (
	"slices"
	"strings"

	"github.com/hazelworks/hazelworks/core/findings"
	"github.com/hazelworks/hazelworks/core/jsontree"
	"github.com/hazelworks/hazelworks/core/record"
)

// Resolve validates a tree and fills in every inherited value. All findings are
// returned together as a [*findings.Error]. [Fold] uses the same code, so that
// every host accepts or rejects a change alike.
func Resolve(root *jsontree.Node, version record.Offset) (*Resolved, error) {
	r := resolver{root: root, out: &Resolved{Version: version}, keys: make(map[KeyHash]string)}
	r.checkSize()
	r.decodeRoot()
	for _, m := range entries(root.Get("firms")) {
		r.resolveFirm(m.Name, m.Value)
	}
	r.out.Index()
	r.checkReferences()
	if err := r.list.Err(); err != nil {
		return nil, err
	}
	return r.out, nil
}

// resolver collects the resolved entries of a tree and its findings.
type resolver struct {
	root *jsontree.Node
	out  *Resolved
	list findings.List
	// keys maps a key hash to the path of the account that declares it first.
	keys map[KeyHash]string
}

// location is the path and node of a declared entry.
type location struct {
	path string
	node *jsontree.Node
}

// addf adds a finding for the named value of an entry. Its position is that of the
// entry if the value is not declared.
func (r *resolver) addf(s location, name, format string, args ...any) {
	at := s.node.At
	if n := s.node.Get(name); n != nil {
		at = n.At
	}
	path := s.path
	if name != "" {
		path = jsontree.JoinPath(path, name)
	}
	r.list.Addf(at, path, format, args...)
}

// entries returns the members of an object without extensions.
func entries(n *jsontree.Node) []jsontree.Member {
	if n == nil {
		return nil
	}
	if !slices.ContainsFunc(n.Members, isExtension) {
		return n.Members
	}
	return slices.DeleteFunc(slices.Clone(n.Members), isExtension)
}

func isExtension(m jsontree.Member) bool {
	return strings.HasPrefix(m.Name, jsontree.ExtensionPrefix)
}

// checkSize checks the size of the whole tree.
func (r *resolver) checkSize() {
	size, depth := r.root.Measure()
	if size > MaxTreeBytes {
		r.list.Addf(r.root.At, "", "the tree has %d bytes, at most %d are allowed", size, MaxTreeBytes)
	}
	if depth > jsontree.MaxDepth {
		r.list.Addf(r.root.At, "", "the tree has %d levels, at most %d are allowed", depth, jsontree.MaxDepth)
	}
}

// decodeRoot sets the values declared at the root, and reports findings of the
// defaults of the co-operative and of the firms.
func (r *resolver) decodeRoot() {
	var ignored findings.List
	var spec rootSpec
	builtin.Decode("", &spec, &ignored)
	r.root.Decode("", &spec, &r.list)
	if spec.Schema > SupportedSchema {
		r.addf(location{"", r.root}, "schema", "%d is newer than %d, the newest that this program knows", spec.Schema, SupportedSchema)
	}
	r.out.Shards = spec.Shards
}

func (r *resolver) resolveFirm(name string, n *jsontree.Node) {
	if !r.checkName(location{"firms/" + name, n}, name) {
		return
	}
	r.resolveBudgets(name, n.Get("budgets"))
	r.resolveServices(name, n.Get("services"))
	r.resolveAccounts(name, n.Get("accounts"))
}

func (r *resolver) checkName(s location, name string) bool {
	if namePattern.MatchString(name) {
		return true
	}
	r.list.Addf(s.node.At, s.path, "name %q: %s", name, nameRule)
	return false
}

// locateEntry returns the location of an entry. It reports false if the name of the
// entry is not valid.
func (r *resolver) locateEntry(s scope, m jsontree.Member) (location, bool) {
	at := location{jsontree.JoinPath(s.path(), m.Name), m.Value}
	return at, r.checkName(at, m.Name)
}

func (r *resolver) resolveBudgets(firm string, n *jsontree.Node) {
	s := scope{section: sectionBudget, firm: firm}
	var inherited budgetValues
	s.decodeInherited(r.root, &inherited)
	for _, m := range entries(n) {
		at, ok := r.locateEntry(s, m)
		if !ok {
			continue
		}
		values := inherited
		m.Value.Decode(at.path, &values, &r.list)
		r.out.Budgets = append(r.out.Budgets, Budget{
			ID:     record.BudgetID(firm + "/" + m.Name),
			Firm:   firm,
			Policy: BudgetPolicy(values),
		})
	}
}

func (r *resolver) resolveAccounts(firm string, n *jsontree.Node) {
	s := scope{section: sectionAccount, firm: firm}
	var inherited accountValues
	s.decodeInherited(r.root, &inherited)
	for _, m := range entries(n) {
		at, ok := r.locateEntry(s, m)
		if !ok {
			continue
		}
		spec := accountSpec{accountValues: inherited}
		m.Value.Decode(at.path, &spec, &r.list)
		r.out.Accounts = append(r.out.Accounts, Account{
			ID:       firm + "/" + m.Name,
			Firm:     firm,
			Name:     m.Name,
			Budget:   r.accountBudget(at, firm, spec.Budget),
			Keys:     r.keyHashes(at, spec.Keys),
			Weight:   spec.Weight,
			Services: qualify(firm, spec.Services),
		})
	}
}

func (r *resolver) accountBudget(at location, firm, name string) record.BudgetID {
	if name == "" {
		r.addf(at, "budget", "missing: name a budget of the firm")
		return ""
	}
	if r.root.Find("firms/"+firm+"/budgets/"+name) == nil {
		r.addf(at, "budget", "firm %s has no budget %q", firm, name)
	}
	return record.BudgetID(firm + "/" + name)
}

func (r *resolver) keyHashes(at location, specs []keySpec) []KeyHash {
	hashes := make([]KeyHash, 0, len(specs))
	for _, spec := range specs {
		hash := KeyHash(spec)
		if hash == (KeyHash{}) {
			continue // decoding has reported the invalid hash
		}
		if first, duplicate := r.keys[hash]; duplicate {
			r.addf(at, "keys", "a key is declared twice, first by %s", first)
			continue
		}
		r.keys[hash] = at.path
		hashes = append(hashes, hash)
	}
	return hashes
}

// qualify prefixes service names that name no firm with firm.
func qualify(firm string, services []string) []string {
	qualified := make([]string, len(services))
	for i, name := range services {
		if !strings.Contains(name, "/") {
			name = firm + "/" + name
		}
		qualified[i] = name
	}
	return qualified
}
