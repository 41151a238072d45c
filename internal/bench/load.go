package bench

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
)

// runLogDelay is the delay after the last response before the run log is read, so that it includes late writes and
// late runs.
const runLogDelay = 2 * time.Second

// errNoEntries and errNoTokens mean that Options are incomplete.
var (
	errNoEntries = errors.New("bench: no entry address")
	errNoTokens  = errors.New("bench: no bearer token")
)

// loadRun is one load in progress.
type loadRun struct {
	opts        Options
	rec         *recorder
	callers     []*caller
	startedAt   time.Time
	statsBefore *stats
	dropped     int
	done        chan struct{}
}

// Run puts the load on the deployment and returns the report after the last request has ended.
func Run(ctx context.Context, opts Options) (*Report, error) {
	run, err := startLoad(ctx, opts)
	if err != nil {
		return nil, err
	}
	<-run.done
	return run.report(ctx)
}

// startLoad starts a load in the background.
func startLoad(ctx context.Context, opts Options) (*loadRun, error) {
	opts.setDefaults()
	if len(opts.Entries) == 0 {
		return nil, errNoEntries
	}
	if len(opts.Tokens) == 0 {
		return nil, errNoTokens
	}
	src, err := newRequestSource(opts, fmt.Sprintf("b%d-%x", opts.Seed, time.Now().UnixMilli()))
	if err != nil {
		return nil, err
	}
	if err := src.chooseModels(ctx, opts); err != nil {
		return nil, err
	}
	run := &loadRun{opts: opts, rec: newRecorder(), startedAt: time.Now(), done: make(chan struct{})}
	if opts.Fault != "" {
		if run.statsBefore, err = readStats(ctx, opts.Fault); err != nil {
			return nil, err
		}
	}
	for i := range opts.Callers {
		run.callers = append(run.callers, newCaller(opts.Entries, i, run.rec))
	}
	go run.sendRequests(ctx, src)
	return run, nil
}

// sendRequests sends each request at its intended time and waits for all of them.
func (l *loadRun) sendRequests(ctx context.Context, src *requestSource) {
	defer close(l.done)
	var wg sync.WaitGroup
	slots := make(chan struct{}, l.opts.MaxOpen)
	for i, offset := range arrivalTimes(l.opts.Seed, l.opts.Rate, l.opts.Duration) {
		r := src.next()
		intendedAt := l.startedAt.Add(offset)
		clock.Sleep(ctx, time.Until(intendedAt))
		if ctx.Err() != nil {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			l.rec.increment(&l.dropped)
			continue
		}
		caller := l.callers[i%len(l.callers)]
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithDeadline(ctx, intendedAt.Add(l.opts.Patience))
			defer cancel()
			caller.run(ctx, &r, intendedAt)
		})
	}
	wg.Wait()
	for _, c := range l.callers {
		c.close()
	}
}

// report reads the counters of the stand-ins and builds the report. It is called after the load has ended.
func (l *loadRun) report(ctx context.Context) (*Report, error) {
	out := newReport(l)
	if l.statsBefore == nil {
		return out, nil
	}
	after, err := readStats(ctx, l.opts.Fault)
	if err != nil {
		return nil, err
	}
	out.addTokens(l.statsBefore, after)
	clock.Sleep(ctx, runLogDelay)
	if after, err = readStats(ctx, l.opts.Fault); err != nil {
		return nil, err
	}
	out.addRuns(l.rec.callAttempts, after.runsByKey())
	out.checkGuarantees()
	return out, nil
}
