package record

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// ShardID numbers the shards that budgets and claims are spread over, from 0.
type ShardID uint32

// ShardOf returns the shard of a budget among count shards.
func ShardOf(budget BudgetID, count uint32) ShardID {
	return ShardID(xxhash.Sum64String(string(budget)) % uint64(count))
}

// KeyOf returns the key of a request of a client account.
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
	// StreamSettings carries the settings tree's changes and snapshots.
	StreamSettings = "settings"
	// StreamSettingsSnapshots carries whole settings trees.
	StreamSettingsSnapshots = "settings-snapshots"
)

// StreamOfShard names the stream of a shard's batches.
func StreamOfShard(shard ShardID) string {
	return fmt.Sprintf("shard-%03d", uint32(shard))
}

// StreamOfShardSnapshots names the stream of a shard's snapshots.
func StreamOfShardSnapshots(shard ShardID) string {
	return fmt.Sprintf("shard-%03d-snapshots", uint32(shard))
}

// StreamOfPlacement names the stream of a service's placement epochs and orders.
func StreamOfPlacement(service string) string {
	return "placement-" + service
}
