// Package shard keeps this host's copies of shard streams and writes to them.
//
// Each shard has one owner at a time, picked by rendezvous hash over the live
// hosts. The owner groups the operations of all hosts into batches, appends
// them to the shard's stream and answers each operation only after its record
// has been read back. The log decides: an owner that has been superseded learns
// from the fold that its epoch-bound operations are void.
package shard
