package replay

import (
	"math"

	"github.com/hazelworks/hazelworks/core/record"
)

// audit folds shard streams by itself, with plain maps and without forgetting
// anything, so that it shares no code with the ledger that it judges.
type audit struct {
	budgets map[record.BudgetID]*auditedBudget
	bills   map[billKey][]bill
}

type auditedBudget struct {
	prepaid   record.Tokens
	settled   record.Tokens
	available record.Tokens
	granted   map[record.Holder]record.Tokens
	released  map[record.Holder]bool
	topUps    map[string]bool
	// changes are the log times and amounts of top-ups and bills.
	changes []change
}

type change struct {
	at     int64
	amount record.Tokens
}

type billKey struct {
	budget record.BudgetID
	key    record.RequestKey
}

type bill struct {
	at   int64
	cost record.Tokens
	paid record.Tokens
}

// shardAudit is what holds within one shard stream.
type shardAudit struct {
	*audit
	mine    map[record.BudgetID]*auditedBudget
	epoch   record.Offset
	owner   record.Holder
	opened  map[record.Holder]uint64
	grants  map[record.Holder]uint64
	reports map[record.Holder]uint64
	closed  map[record.Holder]bool
	now     int64
}

func newAudit() *audit {
	return &audit{budgets: make(map[record.BudgetID]*auditedBudget), bills: make(map[billKey][]bill)}
}

func (a *audit) budget(id record.BudgetID) *auditedBudget {
	b, ok := a.budgets[id]
	if !ok {
		b = &auditedBudget{granted: make(map[record.Holder]record.Tokens), released: make(map[record.Holder]bool), topUps: make(map[string]bool)}
		a.budgets[id] = b
	}
	return b
}

// budget returns a budget of this shard.
func (s *shardAudit) budget(id record.BudgetID) *auditedBudget {
	b := s.audit.budget(id)
	s.mine[id] = b
	return b
}

// stream folds a whole shard stream.
func (a *audit) stream(entries []record.Entry) {
	s := &shardAudit{
		audit: a, mine: make(map[record.BudgetID]*auditedBudget), opened: make(map[record.Holder]uint64), grants: make(map[record.Holder]uint64),
		reports: make(map[record.Holder]uint64), closed: make(map[record.Holder]bool),
	}
	for _, entry := range entries {
		s.now = max(s.now, entry.TimeMillis)
		batch, err := record.DecodeBatch(entry.Data)
		if err != nil {
			continue
		}
		for i := range batch.Ops {
			s.op(entry.Offset, batch, &batch.Ops[i])
		}
	}
}

func (s *shardAudit) op(at record.Offset, batch *record.Batch, op *record.Op) {
	switch op.Kind {
	case record.KindEpoch:
		if batch.Seq == 0 || batch.Seq > s.opened[batch.Writer] {
			s.opened[batch.Writer] = batch.Seq
			s.epoch, s.owner = at, batch.Writer
		}
	case record.KindTopUp:
		s.topUp(op)
	case record.KindGrant:
		opened := batch.Epoch == s.epoch || (batch.OpensEpoch && s.epoch == at)
		if s.epoch != 0 && opened && batch.Writer == s.owner && op.Holder != nil {
			s.grant(op)
		}
	case record.KindRelease:
		s.release(op)
	case record.KindReport:
		s.report(op)
	}
}

func (s *shardAudit) topUp(op *record.Op) {
	b := s.budget(op.Budget)
	if op.ID == "" || b.topUps[op.ID] {
		return
	}
	b.topUps[op.ID] = true
	amount := max(op.Amount, -b.available)
	b.prepaid += amount
	b.available += amount
	b.changes = append(b.changes, change{at: s.now, amount: amount})
}

func (s *shardAudit) grant(op *record.Op) {
	h := *op.Holder
	b := s.budget(op.Budget)
	if op.Seq <= s.grants[h] || s.closed[h] || b.released[h] || op.Amount <= 0 {
		return
	}
	s.grants[h] = op.Seq
	amount := min(op.Amount, b.available)
	b.available -= amount
	b.granted[h] += amount
}

func (s *shardAudit) release(op *record.Op) {
	for id, b := range s.mine {
		if op.Holder == nil || (op.Budget != "" && op.Budget != id) {
			continue
		}
		b.released[*op.Holder] = true
		b.available += b.granted[*op.Holder]
		b.granted[*op.Holder] = 0
	}
}

func (s *shardAudit) report(op *record.Op) {
	if op.Holder == nil || op.Report == nil || s.closed[*op.Holder] || op.Report.Seq != s.reports[*op.Holder]+1 {
		return
	}
	h := *op.Holder
	s.reports[h]++
	for _, settlement := range op.Report.Settlements {
		s.settle(h, settlement)
	}
	for _, ret := range op.Report.Returns {
		b := s.budget(ret.Budget)
		amount := min(ret.Amount, b.granted[h])
		b.granted[h] -= amount
		b.available += amount
	}
	if op.Report.Closing {
		s.closed[h] = true
		for _, b := range s.mine {
			b.available += b.granted[h]
			b.granted[h] = 0
		}
	}
}

func (s *shardAudit) settle(h record.Holder, settlement record.Settlement) {
	b := s.budget(settlement.Budget)
	key := billKey{settlement.Budget, settlement.Key}
	if len(s.bills[key]) > 0 && settlement.Cost > 0 {
		return
	}
	paid := min(settlement.Cost, b.granted[h])
	if b.released[h] {
		paid = min(settlement.Cost, b.available)
		b.available -= paid
	} else {
		b.granted[h] -= paid
	}
	b.settled += paid
	if paid > 0 || settlement.Cost == 0 {
		s.bills[key] = append(s.bills[key], bill{at: s.now, cost: settlement.Cost, paid: paid})
		b.changes = append(b.changes, change{at: s.now, amount: -paid})
	}
}

// billed returns the cost of the distinct requests that a budget was billed for.
func (a *audit) billed(id record.BudgetID) record.Tokens {
	var sum record.Tokens
	for key, bills := range a.bills {
		if key.budget == id {
			sum += bills[0].paid
		}
	}
	return sum
}

// unspent returns what was prepaid and not billed at a log time.
func (b *auditedBudget) unspent(at int64) record.Tokens {
	var sum record.Tokens
	for _, c := range b.changes {
		if c.at <= at {
			sum += c.amount
		}
	}
	return sum
}

// overspend returns the largest excess of bills over prepaid tokens.
func (a *audit) overspend() float64 {
	var worst record.Tokens
	for _, b := range a.budgets {
		worst = max(worst, b.settled-b.prepaid)
	}
	return float64(worst)
}

// stranded returns the largest share of a budget, in percent, that holders
// outside live hold.
func (a *audit) stranded(live map[record.Holder]bool) float64 {
	worst := 0.0
	for _, b := range a.budgets {
		var held record.Tokens
		for h, amount := range b.granted {
			if !live[h] {
				held += amount
			}
		}
		if b.prepaid > 0 {
			worst = math.Max(worst, 100*float64(held)/float64(b.prepaid))
		}
	}
	return worst
}
