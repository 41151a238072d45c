package backend

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of one block of prompt text in the prefix hash chain.
const PrefixBlockBytes = 256

// PrefixBlocks appends the chained hashes of the complete blocks of a prompt to dst. The hash of block i covers blocks 0
// to i, so equal hashes mean equal prefixes. Model and adapter seed the chain, since KV caches are not shared between
// different models or adapters.
func PrefixBlocks(dst []uint64, model, adapter, prompt string) []uint64 {
	var buf [8]byte
	previous := xxhash.Sum64String(model + "\x00" + adapter)
	var digest xxhash.Digest
	for len(prompt) >= PrefixBlockBytes {
		digest.Reset()
		binary.LittleEndian.PutUint64(buf[:], previous)
		_, _ = digest.Write(buf[:])
		_, _ = digest.WriteString(prompt[:PrefixBlockBytes])
		previous = digest.Sum64()
		dst = append(dst, previous)
		prompt = prompt[PrefixBlockBytes:]
	}
	return dst
}
