package request

import "github.com/cespare/xxhash/v2"

// Size and number of the leading blocks of a prompt that are hashed to find
// upstreams with a warm prefix cache.
const (
	prefixBlockBytes = 512
	maxPrefixBlocks  = 16
)

// prefixHashes returns a hash for each leading block of the messages; each hash
// covers all blocks up to its own. The model is part of every hash, since models
// do not share caches.
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
