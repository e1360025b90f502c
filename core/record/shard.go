package record

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ShardID is the number of a shard, from 0. Budgets and claims are distributed over the
// shards by hash.
type ShardID uint32

// ShardOf returns the shard of a budget, given the number of shards.
func ShardOf(budget BudgetID, count uint32) ShardID {
	return ShardID(xxhash.Sum64String(string(budget)) % uint64(count))
}

// KeyOf returns the key of a client account's request.
func KeyOf(account, requestID string) RequestKey {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(account)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(requestID)
	return RequestKey(d.Sum64())
}

// Stream names of the log service.
const (
	// StreamSettings has the changes and snapshots of the settings tree.
	StreamSettings = "settings"
	// StreamSettingsSnapshots has complete settings trees.
	StreamSettingsSnapshots = "settings-snapshots"
)

// StreamOfShard returns the name of the stream of a shard's batches.
func StreamOfShard(shard ShardID) string {
	return fmt.Sprintf("shard-%03d", uint32(shard))
}

// StreamOfShardSnapshots returns the name of the stream of a shard's snapshots.
func StreamOfShardSnapshots(shard ShardID) string {
	return fmt.Sprintf("shard-%03d-snapshots", uint32(shard))
}

// StreamOfPlacement returns the name of the stream of a service's placement epochs and
// orders.
func StreamOfPlacement(service string) string {
	return "placement-" + service
}
