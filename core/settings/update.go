package settings

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/record"
)

// Update is sent by a host to another one that lacks changes. It contains a
// snapshot, the log entries after an offset, or both.
type Update struct {
	Snapshot *Snapshot      `cbor:"1,keyasint,omitempty"`
	Entries  []record.Entry `cbor:"2,keyasint,omitempty"`
}

// EncodeUpdate encodes u for the exchange between hosts.
func EncodeUpdate(u *Update) ([]byte, error) {
	data, err := cbor.Marshal(u)
	if err != nil {
		return nil, fmt.Errorf("settings: encode update: %w", err)
	}
	return pack(data)
}

// DecodeUpdate reverses EncodeUpdate. Unknown fields are skipped.
func DecodeUpdate(data []byte) (*Update, error) {
	plain, err := unpack(data)
	if err != nil {
		return nil, err
	}
	var u Update
	if err := decMode.Unmarshal(plain, &u); err != nil {
		return nil, fmt.Errorf("settings: decode update: %w", err)
	}
	return &u, nil
}
