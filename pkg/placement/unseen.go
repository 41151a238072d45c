package placement

import "time"

const (
	// unreportedTolerance is the number of unreported requests per server up to which reported loads are accurate enough.
	unreportedTolerance = 0.5
	// jitterPerUnreported is the range of the random time added to an engine's score for each unreported request,
	// maxJitter the upper bound of the random part of any score.
	jitterPerUnreported = 100 * time.Millisecond
	maxJitter           = 500 * time.Millisecond
	// minSample is the minimum number of engines that are compared.
	minSample = 3
)

// SetUnreported sets the average number of requests that the other nodes send to one server of a service before they
// report them to this node.
//
// Load pattern: many nodes choose by the same loads, which are as old as the interval between their messages. If they
// all chose the server with the lowest load, its queue would fill up while others are idle. A node therefore compares
// only a random subset of the servers, which is smaller the more requests are unreported, and adds a random time to each
// score.
func (b *Board) SetUnreported(service string, requests float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreported[service] = max(0, requests-unreportedTolerance)
}

// inSample reports whether an engine is compared for a request, given the number of those already compared. Engines that
// are expected to have parts of the prompt cached always are.
func (b *Board) inSample(service string, holdsPrompt bool, compared int) bool {
	return holdsPrompt || compared < minSample || b.random.Float64() < 1/(1+b.unreported[service])
}

// engineJitter returns the random part of an engine's score.
func (b *Board) engineJitter(service string) time.Duration {
	return b.randomBelow(min(time.Duration(b.unreported[service]*float64(jitterPerUnreported)), maxJitter))
}

// randomBelow returns a random duration below a limit, or 0 if the limit is not positive.
func (b *Board) randomBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(b.random.Int64N(int64(limit)))
}

// shuffle randomises the order of candidates, so that nodes do not all compare the same minimum sample.
func (b *Board) shuffle(servers []*server) {
	b.random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
}
