// Package soak has a randomized test with real processes. It starts nodes as separate processes, injects faults by
// signals, by proxies on their connections and by the stand-ins behind them, and checks the guarantees against what
// callers and backend servers observe. See soak_test.go for its flags.
package soak
