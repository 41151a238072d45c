package placement

import (
	"time"

	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// assumedCacheTTL is how long a part is assumed to stay cached after its last use.
	assumedCacheTTL = 30 * time.Second
	// maxCacheEntries is the approximate maximum number of parts tracked per server.
	maxCacheEntries = 2000
)

// promptCache holds the time at which this node last sent each prompt part to a server, by part id.
type promptCache map[string]time.Time

func newPromptCache() promptCache { return promptCache{} }

// add records all parts of a prompt as used now.
func (c promptCache) add(prompt []serving.PromptPart, now time.Time) {
	if len(c) > maxCacheEntries {
		for id, at := range c {
			if now.Sub(at) > assumedCacheTTL || len(c) > maxCacheEntries {
				delete(c, id)
			}
		}
	}
	for i := range prompt {
		c[prompt[i].ID] = now
	}
}

// tokens returns the tokens of the cached prefix: a part counts only if all parts before it are cached.
func (c promptCache) tokens(prompt []serving.PromptPart, now time.Time) float64 {
	sum := 0
	for i := range prompt {
		if at, ok := c[prompt[i].ID]; !ok || now.Sub(at) > assumedCacheTTL {
			break
		}
		sum += prompt[i].Tokens
	}
	return float64(sum)
}
