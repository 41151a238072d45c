// Package configstore maintains the configuration that is in force on one node.
//
// # Acceptance
//
// The nodes for which Options.Leader returns true read the operators' folder every second. A folder that merges and
// validates becomes an immutable snapshot, stored as an object named by its digest. Then the row config/current is
// replaced by a write that is conditional on the row version, and only if the folder revision is higher than that of
// the row. The table evaluates the condition on the current row, so of two racing writers, or of one with a stale read
// and one with a current read, at most one succeeds, and the accepted revision never decreases.
//
// A write whose outcome is unknown is retried with the same condition. At most one of the attempts can take effect,
// however late, because each successful write changes the row version. If a retry fails with a conflict, the row is
// read back.
//
// # Versions in force
//
// A version is in force on a node only if the table has accepted it. A node learns of the acceptance from its own
// successful write, from the row, or from another entry node. Entry nodes authenticate each other, and a node
// announces and serves only the version that is in force on itself, so every chain of announcements begins at a node
// that read or wrote the row. The receiver checks what can be checked without the table: that the snapshot has the
// stated digest and the stated folder revision, and that its version is higher than the receiver's. A version is never
// put in force without its snapshot. The row is read every 30 s; if it has another digest for the version in force, the
// row takes precedence.
//
// The version in force on a node never decreases: adopt is the only function that sets it.
package configstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Table and key of the row that holds the accepted version.
const (
	TableName = "config"
	RowKey    = "current"
)

// Peers are the other entry nodes.
type Peers interface {
	// Sample returns up to n randomly chosen live nodes, excluding this node.
	Sample(n int) []string
	// FetchConfig queries one node for its configuration. The caller validates the reply.
	FetchConfig(ctx context.Context, node string, fetch *pb.ConfigFetch) (*pb.ConfigState, error)
}

// Logger writes one log line whose fields are given as alternating keys and values.
type Logger interface {
	Log(keyvals ...any) error
}

// Options configure a Store.
type Options struct {
	Table   platform.Table
	Objects platform.Objects
	Folder  platform.Folder
	// Peers may be nil for a single node.
	Peers Peers
	// Node is the name of this node, for log lines.
	Node string
	// Leader reports whether this node currently reads the folder; nil means always.
	Leader func() bool
	// Now provides the times in Status; nil means time.Now.
	Now func() time.Time
	// Rand is the source of jitter; nil means one with a random seed. The store serializes its calls.
	Rand *rand.Rand
	// Logger may be nil.
	Logger Logger
	// Timing overrides DefaultTiming; fields that are zero or negative keep their defaults.
	Timing Timing
}

// Timing holds the intervals and timeouts of a Store.
type Timing struct {
	// FolderInterval is the time between two reads of the folder.
	FolderInterval time.Duration
	// RowInterval is the time between two reads of the row.
	RowInterval time.Duration
	// OutageInterval is the time between two queries to a peer while the row cannot be read.
	OutageInterval time.Duration
	// PlatformTimeout bounds one call to the platform, PeerTimeout one query to a peer.
	PlatformTimeout time.Duration
	PeerTimeout     time.Duration
	// RetryFirst and RetryMost are the initial and the maximum delay before a retry; the delay doubles in between.
	RetryFirst time.Duration
	RetryMost  time.Duration
}

// DefaultTiming results in 3 folder reads/s and 14 row reads/s for 400 nodes of which 3 read the folder, out of about
// 2,000 reads/s that the platform allows for all nodes together. Changes propagate quickly through gossip announcements
// rather than through reads; OutageInterval covers lost announcements while the row cannot be read.
var DefaultTiming = Timing{
	FolderInterval:  time.Second,
	RowInterval:     30 * time.Second,
	OutageInterval:  10 * time.Second,
	PlatformTimeout: 2 * time.Second,
	PeerTimeout:     time.Second,
	RetryFirst:      100 * time.Millisecond,
	RetryMost:       5 * time.Second,
}

// InForce is the configuration in force. It is immutable.
type InForce struct {
	Version        uint64
	Digest         string
	FolderRevision uint64
	Index          *config.Index

	snapshot []byte
}

// Status describes the store for operators.
type Status struct {
	Version        uint64
	Digest         string
	FolderRevision uint64
	// Since is the time when the version came into force on this node.
	Since time.Time
	// SeenRevision is the highest folder revision that this node has read; 0 if it has read none.
	SeenRevision uint64
	// Faults are the reasons why FaultRevision was rejected. They are kept until this or a higher revision is in
	// force.
	Faults        []config.Fault
	FaultRevision uint64
	// LastError describes the last failed operation, and LastErrorAt is its time.
	LastError   string
	LastErrorAt time.Time
	Counts      Counts
}

// Counts are the numbers of calls since the store was created.
type Counts struct {
	FolderReads, RowReads, RowWrites, ObjectReads, ObjectWrites, PeerFetches uint64
}

// Store maintains the configuration that is in force on this node.
type Store struct {
	o       Options
	timing  Timing
	current atomic.Pointer[InForce]
	wake    chan struct{}

	mu        sync.Mutex
	status    Status
	row       observedRow // the row with the highest row version observed so far
	announced announcement
	watchers  map[int]func(*InForce)
	nextID    int

	// notifyMu serializes the calls of watchers; notified is the configuration that they were last called with.
	notifyMu sync.Mutex
	notified *InForce

	randMu sync.Mutex
}

// observedRow is a row that this node has read or written, with its row version.
type observedRow struct {
	version uint64
	value   *pb.AcceptedVersion
}

// announcement is the highest version that peers have announced and that is not in force on this node yet.
type announcement struct {
	version  uint64
	digest   string
	peers    []string
	attempts int
}

// New returns a store that has no version in force yet.
func New(o Options) *Store {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Leader == nil {
		o.Leader = func() bool { return true }
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Store{
		o:        o,
		timing:   o.Timing.withDefaults(),
		wake:     make(chan struct{}, 1),
		watchers: map[int]func(*InForce){},
	}
}

func (t Timing) withDefaults() Timing {
	applyDefault := func(field *time.Duration, value time.Duration) {
		if *field <= 0 {
			*field = value
		}
	}
	applyDefault(&t.FolderInterval, DefaultTiming.FolderInterval)
	applyDefault(&t.RowInterval, DefaultTiming.RowInterval)
	applyDefault(&t.OutageInterval, DefaultTiming.OutageInterval)
	applyDefault(&t.PlatformTimeout, DefaultTiming.PlatformTimeout)
	applyDefault(&t.PeerTimeout, DefaultTiming.PeerTimeout)
	applyDefault(&t.RetryFirst, DefaultTiming.RetryFirst)
	applyDefault(&t.RetryMost, DefaultTiming.RetryMost)
	return t
}

// Current returns the configuration in force, or nil when there is none yet.
func (s *Store) Current() *InForce { return s.current.Load() }

// Watch calls fn with the configuration in force, if any, and then with each later one, in order. A version that is
// replaced quickly may be skipped. fn must not call Watch. The returned function ends the watch.
func (s *Store) Watch(fn func(*InForce)) (cancel func()) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	s.mu.Lock()
	id := s.nextID
	s.nextID++
	s.watchers[id] = fn
	s.mu.Unlock()
	if s.notified != nil {
		fn(s.notified)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, id)
	}
}

// notifyWatchers calls the watchers with the configuration in force unless they have already been notified of it.
func (s *Store) notifyWatchers() {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	current := s.Current()
	if current == s.notified {
		return
	}
	s.notified = current
	s.mu.Lock()
	watchers := make([]func(*InForce), 0, len(s.watchers))
	for id := range s.nextID {
		if fn, ok := s.watchers[id]; ok {
			watchers = append(watchers, fn)
		}
	}
	s.mu.Unlock()
	for _, fn := range watchers {
		fn(current)
	}
}

// Serve returns the reply to a peer's query. It omits the snapshot if the peer already has this version or a higher
// one.
func (s *Store) Serve(fetch *pb.ConfigFetch) *pb.ConfigState {
	current := s.Current()
	if current == nil {
		return &pb.ConfigState{}
	}
	state := &pb.ConfigState{Version: current.Version, FolderRevision: current.FolderRevision, Digest: current.Digest}
	if current.Version > fetch.GetHaveVersion() {
		state.Snapshot = current.snapshot
	}
	return state
}

// Status returns a copy of the status.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.status
	out.Faults = append([]config.Fault(nil), s.status.Faults...)
	return out
}

// errMismatch means that a snapshot or a peer's reply does not match the accepted version.
var errMismatch = errors.New("snapshot does not match the accepted version")

// adopt puts an accepted version in force unless this node has the same or a higher one. fromRow means that the version
// was read from the row or written to it rather than reported by a peer.
func (s *Store) adopt(accepted *pb.AcceptedVersion, data []byte, fromRow bool) error {
	if current := s.Current(); current != nil && !replaces(accepted, current, fromRow) {
		return nil
	}
	snapshot, err := config.Decode(data, accepted.Digest)
	if err != nil {
		return err
	}
	if accepted.FolderRevision != 0 && snapshot.FolderRevision != accepted.FolderRevision {
		return fmt.Errorf("%w: folder revision %d instead of %d", errMismatch, snapshot.FolderRevision, accepted.FolderRevision)
	}
	next := &InForce{
		Version:        accepted.Version,
		Digest:         accepted.Digest,
		FolderRevision: snapshot.FolderRevision,
		Index:          config.NewIndex(snapshot),
		snapshot:       data,
	}
	if !s.install(accepted, next, fromRow) {
		return nil
	}
	s.log("msg", "configuration in force", "version", next.Version, "folder_revision", next.FolderRevision, "digest", next.Digest)
	s.notifyWatchers()
	return nil
}

func (s *Store) install(accepted *pb.AcceptedVersion, next *InForce, fromRow bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Current()
	if current != nil && !replaces(accepted, current, fromRow) {
		return false
	}
	s.current.Store(next)
	s.status.Version = next.Version
	s.status.Digest = next.Digest
	s.status.FolderRevision = next.FolderRevision
	s.status.Since = s.o.Now()
	if next.FolderRevision >= s.status.FaultRevision {
		s.status.Faults = nil
		s.status.FaultRevision = 0
	}
	return true
}

// replaces reports whether an accepted version replaces the one in force. The row also corrects a digest that a peer
// reported for the same version.
func replaces(accepted *pb.AcceptedVersion, current *InForce, fromRow bool) bool {
	if accepted.Version != current.Version {
		return accepted.Version > current.Version
	}
	return fromRow && accepted.Digest != current.Digest
}

func (s *Store) currentVersion() uint64 {
	if current := s.Current(); current != nil {
		return current.Version
	}
	return 0
}

// jitter returns a random duration from 80% to 120% of d, so that nodes do not call the platform in lockstep.
func (s *Store) jitter(d time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*s.o.Rand.Float64()))
}

// backoff returns the delay before retry n, counted from 0.
func (s *Store) backoff(n int) time.Duration {
	d := s.timing.RetryFirst << min(n, 16)
	return s.jitter(min(d, s.timing.RetryMost))
}

func (s *Store) count(update func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.status.Counts)
}

func (s *Store) recordFailure(operation string, err error) {
	s.mu.Lock()
	s.status.LastError = operation + ": " + err.Error()
	s.status.LastErrorAt = s.o.Now()
	s.mu.Unlock()
	s.log("msg", operation+" failed", "err", err)
}

func (s *Store) log(keyvals ...any) {
	if s.o.Logger != nil {
		_ = s.o.Logger.Log(append([]any{"node", s.o.Node}, keyvals...)...)
	}
}
