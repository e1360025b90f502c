// Package shard keeps this host's replicas of shard streams and writes to them.
//
// Each shard has one owner at a time, selected by rendezvous hash over the live
// hosts. The owner groups the operations of all hosts into batches, appends
// them to the shard's stream and answers each operation only after its record
// has been read back. The order of the log decides: if an owner has been superseded,
// the fold rejects its epoch-bound operations as stale.
package shard
