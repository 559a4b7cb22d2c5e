package ownership

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// hashBits is the width of a key hash in bits.
const hashBits = 64

// HashKey returns the xxHash64 of a request key.
func HashKey(key []byte) ident.KeyHash { return ident.KeyHash(xxhash.Sum64(key)) }

// rangeIndex returns the index of the hash range that contains h. The top bits of
// the hash select one of count equal ranges; count is a power of two.
func rangeIndex(h ident.KeyHash, count uint32) uint32 {
	width := bits.TrailingZeros32(count)
	return uint32(uint64(h) >> (hashBits - width))
}

func hashHost(h ident.Host) uint64 { return xxhash.Sum64String(string(h)) }

// hashMember ignores the incarnation, so that all members of one host are in the
// same shard of a shardMap.
func hashMember(m ident.Member) uint64 { return hashHost(m.Host) }
