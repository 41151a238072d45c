package engine

import "time"

// Crash simulates the end of the engine's process: connections are closed, new ones are refused until Restart, and
// cache, queue and loaded models are lost. A crashed engine is not frozen.
func (e *Engine) Crash() {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	e.stats.Crashes++
	for _, s := range e.running {
		s.ended = true
		e.unregister(s)
	}
	for _, s := range e.waiting {
		s.ended = true
	}
	e.running = nil
	e.waiting = nil
	e.unfreeze()
	close(e.crashSignal)
	e.mu.Unlock()
	e.net.Crash()
}

func (e *Engine) crashAndScheduleRestart() {
	e.Crash()
	if e.options.RestartAfter > 0 {
		time.AfterFunc(e.options.RestartAfter, func() { _ = e.Restart() })
	}
}

// Restart restarts a crashed engine with an empty cache and the models of its options. It returns an error if the
// address is in use; for an engine that is running it does nothing.
func (e *Engine) Restart() error {
	e.lifecycle.Lock()
	defer e.lifecycle.Unlock()
	select {
	case <-e.closing:
		return nil
	default:
	}
	e.mu.Lock()
	if !e.crashed {
		e.mu.Unlock()
		return nil
	}
	e.reset()
	e.mu.Unlock()
	return e.net.Restart()
}

// Freeze stops all progress: connections stay open, but no data is sent or received until Unfreeze or Crash.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == nil && !e.crashed {
		e.frozen = make(chan struct{})
		e.isFrozen.Store(true)
		e.net.Freeze()
	}
}

// Unfreeze ends Freeze.
func (e *Engine) Unfreeze() {
	e.mu.Lock()
	e.unfreeze()
	e.mu.Unlock()
	e.net.Unfreeze()
}

func (e *Engine) unfreeze() {
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
		e.isFrozen.Store(false)
	}
}

// SetPoison makes the engine crash when it starts to run a prompt that contains text; "" turns this off.
func (e *Engine) SetPoison(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.poison = text
}

// SetCacheEventLoss sets the probability that a cache event is lost.
func (e *Engine) SetCacheEventLoss(probability float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events.loss = probability
}
