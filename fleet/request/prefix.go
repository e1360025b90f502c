package request

import "github.com/cespare/xxhash/v2"

// Blocks of a prompt that are hashed to find upstreams with a warm cache.
const (
	prefixBlockBytes = 512
	maxPrefixBlocks  = 16
)

// prefixHashes returns a hash of each leading block of the messages. The model
// is part of every hash, since caches are not shared between models.
func prefixHashes(model, messages []byte) []uint64 {
	count := min(len(messages)/prefixBlockBytes, maxPrefixBlocks)
	if count == 0 {
		return nil
	}
	hashes := make([]uint64, count)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(model)
	for i := range hashes {
		_, _ = d.Write(messages[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		hashes[i] = d.Sum64()
	}
	return hashes
}
