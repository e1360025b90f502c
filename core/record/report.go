package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// reportWire is the encoded form of a Report. Each budget is listed once and referred
// to by index, which makes a settlement about 14 bytes long.
type reportWire struct {
	_           struct{} `cbor:",toarray"`
	Seq         uint64
	Budgets     []BudgetID
	Settlements []settlementWire
	Returns     []returnWire
	Closing     bool
}

type settlementWire struct {
	_      struct{} `cbor:",toarray"`
	Budget uint32
	Key    RequestKey
	Cost   Tokens
}

type returnWire struct {
	_      struct{} `cbor:",toarray"`
	Budget uint32
	Amount Tokens
}

// budgetTable assigns an index to each budget of a report.
type budgetTable struct {
	ids   []BudgetID
	index map[BudgetID]uint32
}

func (t *budgetTable) indexOf(id BudgetID) uint32 {
	if i, ok := t.index[id]; ok {
		return i
	}
	i := uint32(len(t.ids))
	t.ids = append(t.ids, id)
	t.index[id] = i
	return i
}

// MarshalCBOR encodes the report.
func (r Report) MarshalCBOR() ([]byte, error) {
	table := budgetTable{index: make(map[BudgetID]uint32)}
	wire := reportWire{Seq: r.Seq, Closing: r.Closing}
	for _, s := range r.Settlements {
		wire.Settlements = append(wire.Settlements, settlementWire{Budget: table.indexOf(s.Budget), Key: s.Key, Cost: s.Cost})
	}
	for _, ret := range r.Returns {
		wire.Returns = append(wire.Returns, returnWire{Budget: table.indexOf(ret.Budget), Amount: ret.Amount})
	}
	wire.Budgets = table.ids
	return cbor.Marshal(wire)
}

// UnmarshalCBOR decodes a report. It returns an error for a budget index out of range.
func (r *Report) UnmarshalCBOR(data []byte) error {
	var wire reportWire
	if err := decMode.Unmarshal(data, &wire); err != nil {
		return err
	}
	*r = Report{Seq: wire.Seq, Closing: wire.Closing}
	for _, s := range wire.Settlements {
		id, err := budgetAt(wire.Budgets, s.Budget)
		if err != nil {
			return err
		}
		r.Settlements = append(r.Settlements, Settlement{Budget: id, Key: s.Key, Cost: s.Cost})
	}
	for _, ret := range wire.Returns {
		id, err := budgetAt(wire.Budgets, ret.Budget)
		if err != nil {
			return err
		}
		r.Returns = append(r.Returns, Return{Budget: id, Amount: ret.Amount})
	}
	return nil
}

func budgetAt(budgets []BudgetID, index uint32) (BudgetID, error) {
	if int(index) >= len(budgets) {
		return "", fmt.Errorf("record: decode report: reference to budget %d of %d", index, len(budgets))
	}
	return budgets[index], nil
}
