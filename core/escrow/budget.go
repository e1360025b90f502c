package escrow

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/hazelworks/hazelworks/core/record"
)

const (
	// maxNameBytes is the length up to which an account's name is its budget's ID. A key of the log
	// has 255 bytes at most, and a claim's key has the host's name as well. The IDs of shorter names
	// must not change: a claim under another key would be forgotten.
	maxNameBytes = 230
	// hashBytes is the length of the hash that stands for the rest of a longer name.
	hashBytes = 16
)

// BudgetOf returns the ID of an account's budget: the account's name, or the start of a long one and
// its hash. The log would take no claim on the long name, nor any other claim in the same write.
func BudgetOf(account string) record.BudgetID {
	if len(account) <= maxNameBytes {
		return record.BudgetID(account)
	}
	hash := sha256.Sum256([]byte(account))
	return record.BudgetID(account[:maxNameBytes-2*hashBytes] + hex.EncodeToString(hash[:hashBytes]))
}
