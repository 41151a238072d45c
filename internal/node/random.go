package node

import (
	cryptorand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// uniqueBytes is the size of the random part of a response id; it makes collisions on one node improbable.
const uniqueBytes = 8

// random is the random source of a node. With a seed its sequence is reproducible if the order of the calls is.
type random struct {
	seeded bool

	mu     sync.Mutex
	source *rand.Rand
}

// newRandom returns the random source of a node; seed 0 means a random seed. Nodes with the same seed get different
// sequences.
func newRandom(seed uint64, node string) *random {
	initial := seed
	if seed == 0 {
		initial = rand.Uint64()
	}
	return &random{seeded: seed != 0, source: rand.New(rand.NewPCG(initial, xxhash.Sum64String(node)))}
}

// fork returns a separate source, without a lock, for a component that serializes its own use of it.
func (r *random) fork() *rand.Rand { return rand.New(rand.NewPCG(r.uint64(), r.uint64())) }

func (r *random) uint64() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Uint64()
}

func (r *random) float64() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Float64()
}

func (r *random) perm(n int) []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.Perm(n)
}

// uniqueSuffix returns the part of a response id that differs for each response of the node. Without a seed it cannot
// be guessed.
func (r *random) uniqueSuffix() string {
	var b [uniqueBytes]byte
	if r.seeded {
		binary.BigEndian.PutUint64(b[:], r.uint64())
	} else {
		_, _ = cryptorand.Read(b[:]) // never returns an error, see crypto/rand
	}
	return hex.EncodeToString(b[:])
}
