package limit

import (
	"math"
	"sync/atomic"
)

func loadFloat(a *atomic.Uint64) float64     { return math.Float64frombits(a.Load()) }
func storeFloat(a *atomic.Uint64, v float64) { a.Store(math.Float64bits(v)) }
