// Package configstore keeps the configuration that is in force on one node.
//
// Acceptance. The nodes for which Options.Leader is true read the operators' folder every second. A folder that
// merges and validates becomes an immutable snapshot: an object named by its digest. Then the row
// config/current is replaced by a conditional write on its row version, and only when the folder revision is
// higher than that of the row. The table evaluates the condition on the current row, so of two racing writers,
// or of a stale reader and a current one, at most one succeeds, and the accepted revision never falls.
//
// A write whose outcome is unknown is repeated with the same condition. At most one of the copies can take
// effect, however late, because each success changes the row version. When the repeat meets a conflict, the row
// is read back.
//
// What may be in force. A version is in force on a node only if the table has accepted it. A node learns that
// from its own successful write, from the row, or from another entry node. Entry nodes authenticate each other,
// and a node tells others only about the version it has in force itself, so the chain of tellers ends at a node
// that saw the row or wrote it. The receiver checks what can be checked without the table: the snapshot has the
// stated digest, holds the stated folder revision, and its version is higher than the own one. A claimed
// version alone is never put in force. The row is read every 30 s; when it states another digest for the version
// in force, the row wins.
//
// The version in force on a node never decreases: adopt is the only place that sets it.
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

// Row that decides which configuration is in force.
const (
	TableName = "config"
	RowKey    = "current"
)

// Peers are the other entry nodes.
type Peers interface {
	// Sample returns up to n live nodes, chosen at random, without this node.
	Sample(n int) []string
	// FetchConfig asks one node. The answer is checked by the caller.
	FetchConfig(ctx context.Context, node string, fetch *pb.ConfigFetch) (*pb.ConfigState, error)
}

// Logger takes one line of text with fields in key-value pairs.
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
	// Leader reports whether this node reads the folder at present; nil means always.
	Leader func() bool
	// Now is used for times in Status; nil means time.Now.
	Now func() time.Time
	// Rand draws jitter; nil means a random seed. The store serializes its use.
	Rand *rand.Rand
	// Logger may be nil.
	Logger Logger
	// Timing replaces the default intervals and limits where its fields are not zero.
	Timing Timing
}

// Timing has the intervals and time limits of a Store.
type Timing struct {
	// FolderInterval is the time between two reads of the folder.
	FolderInterval time.Duration
	// RowInterval is the time between two reads of the row.
	RowInterval time.Duration
	// OutageInterval is the time between two questions to a peer while the row cannot be read.
	OutageInterval time.Duration
	// PlatformTimeout limits one call of the platform, PeerTimeout one question to a peer.
	PlatformTimeout time.Duration
	PeerTimeout     time.Duration
	// RetryFirst and RetryMost bound the delay before a retry, which doubles.
	RetryFirst time.Duration
	RetryMost  time.Duration
}

// DefaultTiming gives, for 400 nodes of which 3 read the folder, 3 folder reads/s and 14 row reads/s, of the
// about 2,000 reads/s that the platform allows all nodes. Announcements by gossip are what makes a change fast;
// OutageInterval covers lost announcements while the row cannot be read.
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
	// Since is when the version came into force on this node.
	Since time.Time
	// SeenRevision is the highest folder revision this node has read; 0 when it has read none.
	SeenRevision uint64
	// Faults are the reasons why FaultRevision was not accepted. They stay until this or a higher
	// revision is accepted.
	Faults        []config.Fault
	FaultRevision uint64
	// LastError is the last failure of a call or a check, and LastErrorAt its time.
	LastError   string
	LastErrorAt time.Time
	Counts      Counts
}

// Counts are numbers of calls since the start.
type Counts struct {
	FolderReads, RowReads, RowWrites, ObjectReads, ObjectWrites, PeerFetches uint64
}

// Store keeps the configuration in force on this node.
type Store struct {
	o       Options
	timing  Timing
	current atomic.Pointer[InForce]
	wake    chan struct{}

	mu       sync.Mutex
	status   Status
	row      seenRow
	wanted   wanted
	watchers map[int]func(*InForce)
	nextID   int

	// notify serializes the calls of watchers; told is what they were told last.
	notify sync.Mutex
	told   *InForce

	randMu sync.Mutex
}

// seenRow is the row with the highest row version that this node has read or written.
type seenRow struct {
	version uint64
	value   *pb.AcceptedVersion
}

// wanted is the highest version that peers have announced and this node does not have yet.
type wanted struct {
	version uint64
	digest  string
	peers   []string
	tries   int
}

// New returns a store without a version in force.
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
	set := func(field *time.Duration, unset time.Duration) {
		if *field <= 0 {
			*field = unset
		}
	}
	set(&t.FolderInterval, DefaultTiming.FolderInterval)
	set(&t.RowInterval, DefaultTiming.RowInterval)
	set(&t.OutageInterval, DefaultTiming.OutageInterval)
	set(&t.PlatformTimeout, DefaultTiming.PlatformTimeout)
	set(&t.PeerTimeout, DefaultTiming.PeerTimeout)
	set(&t.RetryFirst, DefaultTiming.RetryFirst)
	set(&t.RetryMost, DefaultTiming.RetryMost)
	return t
}

// Current returns the configuration in force, or nil when there is none yet.
func (s *Store) Current() *InForce { return s.current.Load() }

// Watch calls fn with the configuration in force now, if any, and with each later one, in order. Versions that
// are replaced quickly may be left out. fn must not call Watch. The returned function ends the watch.
func (s *Store) Watch(fn func(*InForce)) (cancel func()) {
	s.notify.Lock()
	defer s.notify.Unlock()
	s.mu.Lock()
	id := s.nextID
	s.nextID++
	s.watchers[id] = fn
	s.mu.Unlock()
	if s.told != nil {
		fn(s.told)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers, id)
	}
}

// tell calls the watchers with the configuration in force, unless they know it.
func (s *Store) tell() {
	s.notify.Lock()
	defer s.notify.Unlock()
	now := s.Current()
	if now == s.told {
		return
	}
	s.told = now
	s.mu.Lock()
	watchers := make([]func(*InForce), 0, len(s.watchers))
	for id := range s.nextID {
		if fn, ok := s.watchers[id]; ok {
			watchers = append(watchers, fn)
		}
	}
	s.mu.Unlock()
	for _, fn := range watchers {
		fn(now)
	}
}

// Serve answers a question of a peer. The snapshot is left out when the peer has the version already.
func (s *Store) Serve(fetch *pb.ConfigFetch) *pb.ConfigState {
	now := s.Current()
	if now == nil {
		return &pb.ConfigState{}
	}
	state := &pb.ConfigState{Version: now.Version, FolderRevision: now.FolderRevision, Digest: now.Digest}
	if now.Version > fetch.GetHaveVersion() {
		state.Snapshot = now.snapshot
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

// errMismatch means that a snapshot is not the one that was announced.
var errMismatch = errors.New("snapshot does not match the accepted version")

// adopt puts an accepted version in force unless this node has the same or a higher one. fromRow says that the
// version was read from the row or written to it, not told by a peer.
func (s *Store) adopt(accepted *pb.AcceptedVersion, data []byte, fromRow bool) error {
	if now := s.Current(); now != nil && !replaces(accepted, now, fromRow) {
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
	s.tell()
	return nil
}

func (s *Store) install(accepted *pb.AcceptedVersion, next *InForce, fromRow bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Current()
	if now != nil && !replaces(accepted, now, fromRow) {
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

// replaces reports whether an accepted version replaces the one in force. The row corrects a peer that stated
// another digest for the same version.
func replaces(accepted *pb.AcceptedVersion, now *InForce, fromRow bool) bool {
	if accepted.Version != now.Version {
		return accepted.Version > now.Version
	}
	return fromRow && accepted.Digest != now.Digest
}

func (s *Store) currentVersion() uint64 {
	if now := s.Current(); now != nil {
		return now.Version
	}
	return 0
}

// jitter returns a duration from 80% to 120% of d, so that nodes do not call in step.
func (s *Store) jitter(d time.Duration) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*s.o.Rand.Float64()))
}

// backoff returns the delay before retry number n, counted from 0.
func (s *Store) backoff(n int) time.Duration {
	d := s.timing.RetryFirst << min(n, 16)
	return s.jitter(min(d, s.timing.RetryMost))
}

func (s *Store) count(update func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.status.Counts)
}

func (s *Store) failed(doing string, err error) {
	s.mu.Lock()
	s.status.LastError = doing + ": " + err.Error()
	s.status.LastErrorAt = s.o.Now()
	s.mu.Unlock()
	s.log("msg", doing+" failed", "err", err)
}

func (s *Store) log(keyvals ...any) {
	if s.o.Logger != nil {
		_ = s.o.Logger.Log(append([]any{"node", s.o.Node}, keyvals...)...)
	}
}
