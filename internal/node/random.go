package node

import (
	cryptorand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// uniqueBytes makes the ids of two responses of one node differ.
const uniqueBytes = 8

// random makes the random choices of a node. With a seed they repeat from run to run, as far as the order of the
// calls does.
type random struct {
	seeded bool

	mu     sync.Mutex
	source *rand.Rand
}

// newRandom returns the choices of a node; seed 0 draws a seed. Nodes with the same seed choose differently.
func newRandom(seed uint64, node string) *random {
	first := seed
	if seed == 0 {
		first = rand.Uint64()
	}
	return &random{seeded: seed != 0, source: rand.New(rand.NewPCG(first, xxhash.Sum64String(node)))}
}

// fork returns a source for a part that serializes its own draws.
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

// unique returns the part of a response id that differs for each response of the node. Without a seed it cannot be
// guessed.
func (r *random) unique() string {
	var b [uniqueBytes]byte
	if r.seeded {
		binary.BigEndian.PutUint64(b[:], r.uint64())
	} else {
		_, _ = cryptorand.Read(b[:]) // never fails, see crypto/rand
	}
	return hex.EncodeToString(b[:])
}
