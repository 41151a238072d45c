package edge

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// errReportUnknown means that a usage window may have been reported before the store returned from a copy, with counts
// that are lost.
var errReportUnknown = errors.New("the store has lost whether and how this window was reported")

// finalUsage makes the counts of usage windows final: they are stored in a row before the first report, so that every
// report of a window is the same. It keeps what this node has stored, for a later term and for the case that a return of
// the store loses the row.
type finalUsage struct {
	store  Store
	log    *logrus.Entry
	window time.Duration

	mu     sync.Mutex
	counts map[int64]map[string]int64
}

// known returns the counts of a window that this node has made final, or nil.
func (f *finalUsage) known(number int64) map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[number]
}

func (f *finalUsage) keep(number int64, counts map[string]int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[number] = counts
	for old := range f.counts {
		if old <= number-usageKeptWindows {
			delete(f.counts, old)
		}
	}
}

// committer commits mutations: the store, or a lease, which adds the condition that its holder is the newest one.
type committer interface {
	Commit(ctx context.Context, mutations []platform.Mutation) ([]uint64, error)
}

// get returns the final counts of a window: those made final before, or else those given, which become final.
// They do so under the lease, because the row may be absent only since the store has returned from a copy.
// mayBeReported is set if a holder may have reported the window before the store returned from a copy: then nothing
// becomes final, and the error is errReportUnknown if no final counts are found.
func (f *finalUsage) get(ctx context.Context, lease committer, number int64, counts map[string]int64, mayBeReported bool) (map[string]int64, error) {
	if known := f.known(number); known != nil {
		return known, nil
	}
	if mayBeReported {
		stored, err := f.read(ctx, number)
		if errors.Is(err, platform.ErrNotFound) {
			return nil, errReportUnknown
		}
		return stored, err
	}
	err := f.write(ctx, lease, number, counts)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict) || errors.Is(err, platform.ErrOutcomeUnknown):
		if counts, err = f.read(ctx, number); err != nil {
			return nil, err
		}
	default:
		return nil, err
	}
	f.keep(number, counts)
	return counts, nil
}

// rewrite writes the rows of the windows that may still be reported again and returns how many were missing.
func (f *finalUsage) rewrite(ctx context.Context, current int64) int {
	f.mu.Lock()
	final := maps.Clone(f.counts)
	f.mu.Unlock()
	written := 0
	for number, counts := range final {
		if number <= current-usageKeptWindows {
			continue
		}
		err := f.write(ctx, f.store, number, counts)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			written++
		case errors.As(err, &conflict): // the copy has the row
		default:
			f.log.WithError(err).WithField("window", number).Warning("writing final usage counts again failed")
		}
	}
	return written
}

func (f *finalUsage) write(ctx context.Context, to committer, number int64, counts map[string]int64) error {
	value, err := proto.Marshal(&pb.FrozenUsage{Counts: counts})
	if err != nil {
		return err
	}
	row := platform.Mutation{Table: usageTable, Key: f.key(number), Value: value, If: platform.Condition{Kind: platform.Absent}}
	_, err = to.Commit(ctx, []platform.Mutation{row})
	return err
}

func (f *finalUsage) read(ctx context.Context, number int64) (map[string]int64, error) {
	row, err := f.store.Get(ctx, usageTable, f.key(number))
	if err != nil {
		return nil, err
	}
	stored := &pb.FrozenUsage{}
	if err := proto.Unmarshal(row.Value, stored); err != nil {
		return nil, err
	}
	return stored.Counts, nil
}

// key returns the key of a window's row. Keys are in the order of time.
func (f *finalUsage) key(number int64) string {
	return time.Unix(0, number*int64(f.window)).UTC().Format("20060102T150405.000")
}
