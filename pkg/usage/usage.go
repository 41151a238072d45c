// Package usage counts the started requests of each workspace per window of wall-clock time, on one node and over all
// nodes.
//
// The counts of a node only increase, so the highest one received is the current one, even if messages are lost,
// repeated or reordered. Every node receives the counts of all others; any of them can report a window.
package usage

import (
	"maps"
	"sync"
	"time"
)

// maxWindows is the number of windows that are kept per node, the current one included.
const maxWindows = 6

// Window holds the counts of one node in one window, by workspace.
type Window struct {
	// Number is the start of the window, as time since the Unix epoch, divided by the length of a window.
	Number int64
	Counts map[string]int64
}

// Counter holds the counts of all nodes that are known to one node. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	length time.Duration
	nodes  map[string]map[int64]map[string]int64
	self   string
}

// New returns a Counter for the node self with windows of the given length. A node must have another name after a
// restart, since its counts start at 0 again.
func New(self string, length time.Duration) *Counter {
	return &Counter{length: length, self: self, nodes: map[string]map[int64]map[string]int64{}}
}

// WindowNumber returns the number of the window that contains a time.
func (c *Counter) WindowNumber(at time.Time) int64 { return at.UnixNano() / int64(c.length) }

// WindowEnd returns the end of a window.
func (c *Counter) WindowEnd(number int64) time.Time { return time.Unix(0, (number+1)*int64(c.length)) }

// CountStarted counts a request that started to run on this node.
func (c *Counter) CountStarted(workspace string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window(c.self, c.WindowNumber(at))[workspace]++
}

// Merge merges the counts of another node: of two counts the higher one is kept.
func (c *Counter) Merge(node string, windows []Window) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range windows {
		counts := c.window(node, w.Number)
		for workspace, n := range w.Counts {
			counts[workspace] = max(counts[workspace], n)
		}
	}
}

// OwnWindows returns copies of this node's windows with at least the given number, in no particular order.
func (c *Counter) OwnWindows(from int64) []Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Window
	for number, counts := range c.nodes[c.self] {
		if number >= from {
			out = append(out, Window{Number: number, Counts: maps.Clone(counts)})
		}
	}
	return out
}

// Total returns the sums over all nodes in a window, by workspace. Workspaces without requests are missing.
func (c *Counter) Total(number int64) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := map[string]int64{}
	for _, windows := range c.nodes {
		for workspace, n := range windows[number] {
			total[workspace] += n
		}
	}
	return total
}

func (c *Counter) window(node string, number int64) map[string]int64 {
	windows := c.nodes[node]
	if windows == nil {
		windows = map[int64]map[string]int64{}
		c.nodes[node] = windows
	}
	counts := windows[number]
	if counts == nil {
		counts = map[string]int64{}
		windows[number] = counts
		for old := range windows {
			if old <= number-maxWindows {
				delete(windows, old)
			}
		}
	}
	return counts
}
