package gossip

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/hazelworks/hazelworks/core/knownfault"
)

// addedField is where [knownfault.AddMessageField] adds a field.
const addedField = 2

func encodeMessage(m *Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil || !knownfault.AddMessageField {
		return data, err
	}
	var fields []cbor.RawMessage
	if err := cbor.Unmarshal(data, &fields); err != nil {
		return nil, err
	}
	return cbor.Marshal(slices.Insert(fields, addedField, cbor.RawMessage{0}))
}

var errOtherLength = errors.New("gossip: message with another number of fields")

func decodeMessage(data []byte, m *Message) error {
	if knownfault.AddMessageField {
		var fields []cbor.RawMessage
		if err := cbor.Unmarshal(data, &fields); err != nil || len(fields) != messageFields+1 {
			return errors.Join(errOtherLength, err)
		}
		var err error
		if data, err = cbor.Marshal(slices.Delete(fields, addedField, addedField+1)); err != nil {
			return err
		}
	}
	return cbor.Unmarshal(data, m)
}

// messageFields is the number of fields of a [Message].
const messageFields = 8
