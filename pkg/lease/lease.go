// Package lease grants leases with fencing tokens, stored in the table service.
//
// A lease is one row per era of the store, which is acquired and renewed by conditional writes and never deleted, so that its fencing
// token increases with each holder. The holder's deadline is the time right before it sent its last confirmed write,
// plus the duration. A successor waits for the duration stored in the row, counted from its first read of the current
// version, plus the longest time of an order (an operation that the lease protects). Then it writes under the condition
// that the version is unchanged. Since a row cannot be read before its write was sent, the holder's deadline has passed
// by then. Both nodes measure time with their own monotonic clocks and never compare wall clocks; clockDrift allows for
// clocks that run at different rates.
//
// A store that returns from a copy starts a new era (see package platform) and may have lost the newest writes of the
// row. Each era therefore has a row of its own, which only nodes that know the era write: a write of an earlier era
// cannot replace it, whatever its condition. A holder of an earlier era holds nothing as soon as any answer shows the new
// one. Who finds no row in an era waits as long as for a holder that renewed its lease right before the store returned.
// A fencing token is the pair of the era and a counter in the row. It rises over eras because the store's era does, even
// if all nodes have been started again and know nothing of earlier tokens.
//
// A row that only one holder may ever write, under the condition that it is absent, needs more: a return of the store also
// removes what an earlier holder wrote. Held.Commit therefore adds the condition that the lease row is the one that this
// holder wrote last. In a copy from before that write it fails; a later copy has all that earlier holders wrote.
//
// The holder calls Held.Check right before each order and bounds each order by Options.MaxOrderTime. The holder also
// measures time by its wall clock, since the monotonic clock may stop while a virtual machine is suspended.
//
// A holder costs one row write per third of the duration; each waiting node costs one read in the same time.
package lease

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// TableName is the table of the lease rows. A row's key is the name of the lease.
const TableName = "lease"

// Defaults of Options.
const (
	DefaultDuration     = 10 * time.Second
	DefaultMaxOrderTime = 2 * time.Second
	DefaultStoreTimeout = time.Second
)

// clockDrift is the fraction by which a successor extends its wait, for clocks that run at different rates.
const clockDrift = 0.01

// Divisors of the duration: renewals are due at a third of it, retries at a twelfth.
const (
	renewalsPerDuration = 3
	retriesPerDuration  = 12
)

// Options configure Leases. Table and Node are required.
type Options struct {
	Table platform.Table
	Node  string
	// ID returns a string that never repeats; the default is 128 random bits.
	ID func() string
	// Now is the clock. Its values must carry a monotonic clock reading.
	Now func() time.Time
	// Duration is how long a lease is valid without renewal.
	Duration time.Duration
	// MaxOrderTime is the longest time between a successful Check and the end of the order it allowed.
	MaxOrderTime time.Duration
	// StoreTimeout bounds one call to the table service.
	StoreTimeout time.Duration
	// NoEarlierHolder is set if no node can have held a lease before the first era that this node sees, as when the whole
	// deployment starts for the first time. A lease without a row is then acquired in that era without a wait.
	NoEarlierHolder bool
}

// Leases acquires leases for one node. Its methods may be called concurrently.
type Leases struct {
	o Options

	mu sync.Mutex
	// firstEra is the era of the first answer, to which Options.NoEarlierHolder applies, once answered is set.
	firstEra uint64
	answered bool
}

// New returns Leases with the given options; zero values of optional fields give the defaults.
func New(o Options) *Leases {
	if o.ID == nil {
		o.ID = randomID
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.MaxOrderTime == 0 {
		o.MaxOrderTime = DefaultMaxOrderTime
	}
	if o.StoreTimeout == 0 {
		o.StoreTimeout = DefaultStoreTimeout
	}
	return &Leases{o: o}
}

// mayHaveHolder reports whether another node may hold a lease that has no row in the given era.
func (l *Leases) mayHaveHolder(era uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.answered {
		l.firstEra, l.answered = era, true
	}
	return era != l.firstEra || (era > 0 && !l.o.NoEarlierHolder)
}

func randomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

// validity is a period in which a lease is valid. Its start has a reading of the monotonic and of the wall clock.
type validity struct {
	start    time.Time
	duration time.Duration
}

// contains reports whether the period contains now, by whichever of the two clocks has advanced further.
func (v validity) contains(now time.Time) bool {
	return now.Sub(v.start) < v.duration && now.Round(0).Sub(v.start.Round(0)) < v.duration
}

// acquisition is one call of Acquire.
type acquisition struct {
	l    *Leases
	name string
	// holder identifies this acquisition, so that the row of an earlier acquisition is not mistaken for its own.
	holder string
	// era is the era of the store to which the fields below belong.
	era uint64
	// row is the newest row that was read, version its version (0 if there is none) and seenAt when it was first read, or
	// first found to be missing.
	version uint64
	row     *pb.LeaseRow
	seenAt  time.Time
	// firstSentAt is when the first write with the fencing token was sent.
	firstSentAt time.Time
	fencing     uint64
}

// Acquire waits until it has acquired the lease, which is then renewed in the background until it is lost or released.
// When ctx ends first, it returns the error of ctx.
func (l *Leases) Acquire(ctx context.Context, name string) (*Held, error) {
	a := &acquisition{l: l, name: name, holder: l.o.Node + "/" + l.o.ID(), row: &pb.LeaseRow{}}
	for {
		held, wait := a.tryAcquire(ctx)
		if held != nil {
			go held.renewLoop()
			return held, nil
		}
		if !clock.Sleep(ctx, wait) {
			return nil, ctx.Err()
		}
	}
}

// tryAcquire reads the row and acquires the lease if it is free. Otherwise it returns how long to wait.
func (a *acquisition) tryAcquire(ctx context.Context) (*Held, time.Duration) {
	o := &a.l.o
	retry := o.Duration / retriesPerDuration
	era := a.l.era()
	version, row, err := a.l.read(ctx, rowKey(a.name, era))
	now := o.Now()
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, retry
	}
	if a.l.era() != era {
		return nil, 0 // the row of the new era is another one
	}
	if a.era != era || a.seenAt.IsZero() {
		a.era, a.version, a.row, a.seenAt, a.fencing = era, 0, &pb.LeaseRow{}, now, 0
	}
	if err == nil && version > a.version {
		a.version, a.row, a.seenAt = version, row, now
	}
	if held := a.confirmEarlierWrite(now); held != nil {
		return held, 0
	}
	if left := a.freeAt().Sub(now); left > 0 {
		return nil, min(left, o.Duration/renewalsPerDuration)
	}
	return a.writeRow(ctx), retry
}

// confirmEarlierWrite returns the lease if the row shows that an earlier write of this acquisition took effect.
func (a *acquisition) confirmEarlierWrite(now time.Time) *Held {
	valid := validity{a.firstSentAt, a.l.o.Duration}
	if a.row.Holder != a.holder || a.row.Fencing != a.fencing || !valid.contains(now) {
		return nil
	}
	return a.newHeld(a.version, valid)
}

// freeAt returns the time from which no order of the row's holder, or of one of an earlier era, can still be running.
func (a *acquisition) freeAt() time.Time {
	duration := time.Duration(a.row.DurationMs) * time.Millisecond
	if a.version == 0 {
		if !a.l.mayHaveHolder(a.era) {
			return a.seenAt
		}
		duration = a.l.o.Duration
	}
	wait := duration + a.l.o.MaxOrderTime
	return a.seenAt.Add(wait + time.Duration(clockDrift*float64(wait)))
}

// writeRow writes a row for this acquisition under the condition that the row has not changed since it was last read.
// It returns nil when the write is not confirmed in time.
func (a *acquisition) writeRow(ctx context.Context) *Held {
	cond := platform.Condition{Kind: platform.VersionIs, Version: a.version}
	if a.version == 0 {
		cond = platform.Condition{Kind: platform.Absent}
	}
	row := a.l.row(a.holder, max(a.row.Fencing, platform.MakeVersion(a.era, 0))+1, 1)
	start := a.l.o.Now()
	if row.Fencing != a.fencing {
		a.firstSentAt, a.fencing = start, row.Fencing
	}
	version, err := a.l.write(ctx, rowKey(a.name, a.era), row, cond)
	valid := validity{start, a.l.o.Duration}
	if err != nil || !valid.contains(a.l.o.Now()) || platform.EraOf(version) != a.era {
		// A lease that expired during a pause, or in an era that has passed, is treated like that of another holder.
		return nil
	}
	return a.newHeld(version, valid)
}

func (a *acquisition) newHeld(version uint64, valid validity) *Held {
	return &Held{l: a.l, key: rowKey(a.name, a.era), era: a.era, holder: a.holder, fencing: a.fencing, version: version, valid: valid,
		renewal: 1, stop: make(chan struct{}), done: make(chan struct{})}
}

// rowKey returns the key of a lease's row in an era.
func rowKey(name string, era uint64) string {
	if era == 0 {
		return name
	}
	return name + "@" + strconv.FormatUint(era, 10)
}

// era returns the newest known era of the table service.
func (l *Leases) era() uint64 {
	era, _ := l.o.Table.Era()
	return era
}

func (l *Leases) row(holder string, fencing, renewal uint64) *pb.LeaseRow {
	return &pb.LeaseRow{Holder: holder, Fencing: fencing, Renewal: renewal, DurationMs: uint64(l.o.Duration.Milliseconds())}
}

func (l *Leases) read(ctx context.Context, key string) (uint64, *pb.LeaseRow, error) {
	ctx, cancel := context.WithTimeout(ctx, l.o.StoreTimeout)
	defer cancel()
	r, err := l.o.Table.Get(ctx, TableName, key)
	if err != nil {
		return 0, nil, err
	}
	row := &pb.LeaseRow{}
	return r.Version, row, proto.Unmarshal(r.Value, row)
}

func (l *Leases) write(ctx context.Context, key string, row *pb.LeaseRow, cond platform.Condition) (uint64, error) {
	value, err := proto.Marshal(row)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.o.StoreTimeout)
	defer cancel()
	versions, err := l.o.Table.Commit(ctx, []platform.Mutation{{Table: TableName, Key: key, Value: value, If: cond}})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// Held is an acquired lease. Its methods may be called concurrently.
type Held struct {
	l           *Leases
	key, holder string
	era         uint64
	fencing     uint64

	stopOnce sync.Once
	stop     chan struct{}
	// done is closed when renewLoop has returned.
	done chan struct{}

	mu       sync.Mutex
	valid    validity
	released bool
	// version is that of the row as last written. Only the goroutine of renewLoop writes it.
	version uint64

	// renewal is owned by the goroutine of renewLoop until done is closed.
	renewal uint64
}

// ErrRowChanged means that the row of a lease is not the one that its holder has last seen confirmed: a renewal is in
// flight, another holder has written it, or the store has returned from a copy.
var ErrRowChanged = errors.New("lease: the row of the lease has changed")

// Era returns the era of the store in which the lease is held.
func (h *Held) Era() uint64 { return h.era }

// Commit commits mutations that take effect only if no other holder has written the lease since, and only if the store
// still has all that earlier holders have written. It returns ErrRowChanged if that is not so, which a renewal at the
// same time may also cause: if the lease is still held then, the call may be repeated. Other errors are those of
// platform.Table.
func (h *Held) Commit(ctx context.Context, mutations []platform.Mutation) ([]uint64, error) {
	h.mu.Lock()
	version := h.version
	h.mu.Unlock()
	held := platform.Mutation{Table: TableName, Key: h.key, CheckOnly: true, If: platform.Condition{Kind: platform.VersionIs, Version: version}}
	versions, err := h.l.o.Table.Commit(ctx, append(slices.Clone(mutations), held))
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Failed, len(mutations)) {
		return nil, ErrRowChanged
	}
	if err != nil {
		return nil, err
	}
	return versions[:len(mutations)], nil
}

// Check reports whether the lease is valid now. Call it right before each order and send the fencing token with the
// order.
func (h *Held) Check() (fencing uint64, ok bool) {
	now := h.l.o.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fencing, !h.released && h.valid.contains(now) && h.l.era() == h.era
}

// Done returns a channel that is closed when the lease is lost or released. Check may already fail before that.
func (h *Held) Done() <-chan struct{} { return h.done }

// Release ends the lease, so that a successor only waits for Options.MaxOrderTime. When it fails, the successor also
// waits for the whole duration.
func (h *Held) Release(ctx context.Context) error {
	h.mu.Lock()
	h.released = true
	h.mu.Unlock()
	h.stopOnce.Do(func() { close(h.stop) })
	select {
	case <-h.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if h.l.era() != h.era {
		return nil // the row of this era is no longer used
	}
	row := h.l.row("", h.fencing, h.renewal+1)
	row.DurationMs = 0
	_, err := h.l.write(ctx, h.key, row, platform.Condition{Kind: platform.VersionIs, Version: h.version})
	return err
}

// renewLoop renews the lease until it is lost or released.
func (h *Held) renewLoop() {
	defer close(h.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-h.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	for clock.Sleep(ctx, h.l.o.Duration/renewalsPerDuration) {
		if !h.renew(ctx) {
			return
		}
	}
}

// renew repeats the write of one renewal until it is confirmed. It returns false when the lease is lost or released.
func (h *Held) renew(ctx context.Context) bool {
	row := h.l.row(h.holder, h.fencing, h.renewal+1)
	first := h.l.o.Now()
	for {
		start := h.l.o.Now()
		if _, ok := h.Check(); !ok {
			return false
		}
		cond := platform.Condition{Kind: platform.VersionIs, Version: h.version}
		version, err := h.l.write(ctx, h.key, row, cond)
		if err == nil && platform.EraOf(version) == h.era {
			return h.extend(version, start)
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			// The write may have taken effect; a read that does not show it may be stale.
			version, found, err := h.l.read(ctx, h.key)
			if err == nil && platform.EraOf(version) != h.era {
				return false
			}
			if err == nil && found.Holder == h.holder && found.Renewal == row.Renewal {
				// Any of the retried writes may be the one that took effect, so the earliest time counts.
				return h.extend(version, first)
			}
			if err == nil && found.Holder != h.holder && version > h.version {
				h.expire()
				return false
			}
		}
		if !clock.Sleep(ctx, h.l.o.Duration/retriesPerDuration) {
			return false
		}
	}
}

// extend restarts the lease's period at the time before the confirmed write was sent.
func (h *Held) extend(version uint64, start time.Time) bool {
	h.renewal++
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = version
	h.valid.start = start
	return true
}

// expire ends the lease at once.
func (h *Held) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.valid.duration = 0
}
