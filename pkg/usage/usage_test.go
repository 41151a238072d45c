package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against counts that are added twice or lost when messages are repeated or reordered or a node restarts.
func TestTotalsAreCorrectAfterRepeatsAndRestarts(t *testing.T) {
	c := New("a@1", time.Second)
	at := time.Unix(100, 5)
	c.CountStarted("w", at)
	number := c.WindowNumber(at)
	c.Merge("b@1", []Window{{Number: number, Counts: map[string]int64{"w": 5, "x": 1}}})
	c.Merge("b@1", []Window{{Number: number, Counts: map[string]int64{"w": 3}}})
	c.Merge("b@1", []Window{{Number: number, Counts: map[string]int64{"w": 5}}})
	c.Merge("b@2", []Window{{Number: number, Counts: map[string]int64{"w": 2}}})
	assert.DeepEqual(t, c.Total(number), map[string]int64{"w": 8, "x": 1})
	assert.Equal(t, c.WindowEnd(number), time.Unix(101, 0))
}

// Guards against memory use that grows with uptime.
func TestOldWindowsAreDropped(t *testing.T) {
	c := New("a@1", time.Second)
	for i := range int64(100) {
		c.CountStarted("w", time.Unix(i, 0))
	}
	assert.Equal(t, len(c.OwnWindows(0)), maxWindows)
}
