package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// EncodeOp returns an operation in CBOR, as hosts submit it to a shard's owner.
func EncodeOp(op *Op) ([]byte, error) {
	data, err := cbor.Marshal(op)
	if err != nil {
		return nil, fmt.Errorf("record: encode operation: %w", err)
	}
	return data, nil
}

// DecodeOp parses an operation encoded by [EncodeOp].
func DecodeOp(data []byte) (Op, error) {
	var op Op
	if err := decMode.Unmarshal(data, &op); err != nil {
		return Op{}, fmt.Errorf("record: decode operation: %w", err)
	}
	return op, nil
}
