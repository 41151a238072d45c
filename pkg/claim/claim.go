// Package claim runs non-repeatable calls, such as bookings, at most once per workspace and key.
//
// # Design
//
// A call is guarded by one row of the table service. An attempt creates the row in state DISPATCHED by a
// conditional write and sends the call only after that write is confirmed, so at most one of the attempts for a key
// sends it. Once the outcome is known, a background write sets the row's state to DONE; the caller does not wait for
// it, and the node that holds the attempt answers from memory until the write succeeds. A call costs two row writes,
// which a node groups into transactions, and a third when the row is purged.
//
// An attempt whose claim is not confirmed within the store timeout is abandoned and never sends, so the caller gets
// ran:"no". The write of its claim may still take effect later. To keep such a row from blocking the key, a CANCELLED
// row is written in the background under the same condition. A new attempt replaces a CANCELLED row under a version
// condition.
//
// The result of a conditional write is authoritative; reads only explain a conflict. Reads may be stale: "not found"
// after a conflict proves nothing, and the conditional write is repeated. A row that carries the attempt's own id
// proves that its write took effect, however old the read is, because no other attempt replaces the row of an attempt
// that may still send.
//
// When another attempt of the same request may have run, the caller never gets ran:"no". It gets the outcome from the
// row, from the node that holds the attempt or from the service, or else ran:"unknown". Only a positive reply of the
// service counts, because the call can still reach the service after the query.
//
// # Returns of the table service
//
// After a return of the table service from a copy, nodes write the rows of the last minute again and claim nothing for a
// while; see era.go. A claim that was confirmed in a later era than the call began in is not sent.
//
// # Retention
//
// A row expires Options.Retention after it was written. Expired rows may be replaced or purged, in any state; a
// DISPATCHED row is not replaced or purged before that, unless its attempt was abandoned. Nodes allow for a difference
// of expirySlack between their wall clocks. Once its row has expired, a key is forgotten: a request that carries it is a
// new call, also if it is a resend. A holder that was paused past that time does not run the old call, because it checks
// the store timeout right before it sends. CANCELLED rows may be replaced at any time, also by a call with another
// digest, since no call ran.
package claim

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mathrand "math/rand/v2"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// TableName is the table of the claim rows. A row's key is the escaped workspace, a slash and the call's escaped key.
const TableName = "claim"

// Defaults of Options.
const (
	DefaultStoreTimeout = 250 * time.Millisecond
	DefaultPeerTimeout  = 250 * time.Millisecond
	DefaultQueryTimeout = time.Second
	DefaultSendTimeout  = 10 * time.Minute
	DefaultRetention    = 24 * time.Hour
	// DefaultKeep covers reads that are a few seconds stale.
	DefaultKeep       = 10 * time.Second
	DefaultMaxOpen    = 4096
	DefaultGroupWait  = 5 * time.Millisecond
	DefaultGroupRows  = 64
	DefaultRetryAfter = time.Second
)

// expirySlack is the largest tolerated difference between the wall clocks of two nodes.
const expirySlack = 10 * time.Minute

// shardCount is the number of shards, each with a lock of its own. It is a power of two.
const shardCount = 32

// Call identifies one non-repeatable call.
type Call struct {
	Workspace, Key string
	// Service names the service for outcome queries.
	Service string
	// Digest is the SHA-256 of method, path and body.
	Digest [32]byte
}

// Outcome is the service's response.
type Outcome struct {
	Status      uint32
	ContentType string
	Body        []byte
}

// Sent reports whether any byte of a failed call may have left the node.
type Sent int

// Values of Sent.
const (
	MaybeSent Sent = iota
	NothingSent
)

// Send performs the call. The attempt id is forwarded for the service's own records. Send may try several servers as
// long as nothing was sent to the earlier ones. Its context is not cancelled with the caller's. Sent is used only when
// the error is not nil.
type Send func(ctx context.Context, attempt string) (Outcome, Sent, error)

// Peers queries other entry nodes about their attempts.
type Peers interface {
	AttemptQuery(ctx context.Context, node string, query *pb.AttemptQuery) (*pb.AttemptState, error)
}

// Outcomes queries services for the outcome of a call. Found is false when the service does not know the call or does
// not support queries.
type Outcomes interface {
	Outcome(ctx context.Context, call Call, attempt string) (out Outcome, found bool, err error)
}

// Options configure Claims. Table and Node are required.
type Options struct {
	Table platform.Table
	// Node is the name of this node. Other nodes use it to query the attempts of this node.
	Node string
	// Peers and Outcomes may be nil.
	Peers    Peers
	Outcomes Outcomes
	// ID returns a new attempt id; it must never repeat. The default is 128 random bits.
	ID func() string
	// Now is the clock. Its values must carry a monotonic clock reading.
	Now func() time.Time
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
	// StoreTimeout is the longest time from the start of a call to its confirmed claim. Each replacement of another
	// attempt's row gets the same time again. StoreTimeout also bounds each transaction and each read of a background write.
	StoreTimeout time.Duration
	// PeerTimeout bounds one query to a node, QueryTimeout one query to a service.
	PeerTimeout, QueryTimeout time.Duration
	// SendTimeout bounds one call to the service.
	SendTimeout time.Duration
	// Retention is the time from the write of a row to its expiry.
	Retention time.Duration
	// Keep is how long an outcome or the id of a cancelled attempt stays in memory after it is stored, for callers and
	// nodes that read a stale row.
	Keep time.Duration
	// MaxOpen bounds open attempts and background writes together; further calls are refused.
	MaxOpen int
	// GroupWait and GroupRows bound a group of writes by waiting time and number of rows.
	GroupWait time.Duration
	GroupRows int
	// RetryAfter is the retry time in errors after which a retry may help.
	RetryAfter time.Duration
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o *Options) setDefaults() {
	setDefault(&o.StoreTimeout, DefaultStoreTimeout)
	setDefault(&o.PeerTimeout, DefaultPeerTimeout)
	setDefault(&o.QueryTimeout, DefaultQueryTimeout)
	setDefault(&o.SendTimeout, DefaultSendTimeout)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.Keep, DefaultKeep)
	setDefault(&o.MaxOpen, DefaultMaxOpen)
	setDefault(&o.GroupWait, DefaultGroupWait)
	setDefault(&o.GroupRows, DefaultGroupRows)
	setDefault(&o.RetryAfter, DefaultRetryAfter)
	if o.ID == nil {
		o.ID = randomID
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Jitter == nil {
		o.Jitter = mathrand.Float64
	}
}

func randomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

// Claims runs the non-repeatable calls of one node. Its methods may be called concurrently.
type Claims struct {
	o     Options
	group *groupCommitter
	// shards hold the attempts, sharded by row key.
	shards [shardCount]shard
	open   counter
	// retention is the time from the write of a row to its expiry, in nanoseconds.
	retention atomic.Int64
	// background counts the background writes, which open counts too.
	background counter
	// purgeAfter is the key after which Purge continues, or empty for the start of the table.
	purgeMu    sync.Mutex
	purgeAfter string
	returns    returns
}

// New returns Claims with the given options; zero values of optional fields give the defaults.
func New(o Options) *Claims {
	o.setDefaults()
	c := &Claims{o: o, returns: returns{rows: map[string]recentRow{}}}
	c.retention.Store(int64(o.Retention))
	c.group = &groupCommitter{table: o.Table, wait: o.GroupWait, rows: o.GroupRows, timeout: o.StoreTimeout}
	for i := range c.shards {
		c.shards[i].entries = map[string]*entry{}
		c.shards[i].abandoned = map[string]struct{}{}
	}
	return c
}

// rowKey escapes both parts, since callers may choose any bytes for the key.
func rowKey(workspace, key string) string {
	return url.PathEscape(workspace) + "/" + url.PathEscape(key)
}

func (c *Claims) shard(key string) *shard {
	return &c.shards[xxhash.Sum64String(key)%shardCount]
}

// Do runs the call unless it has already run, and returns its outcome. A call whose key has an open attempt on this
// node joins that attempt. Each error is a *code.Error: with ran:"no" the attempt was not sent and never will be; with
// ran:"unknown" the call may have run or may still be running.
//
// When ctx ends first, an attempt that was not sent is abandoned unless other callers have joined it. One that was
// sent continues, so that a resend gets its outcome.
func (c *Claims) Do(ctx context.Context, call Call, send Send) (Outcome, error) {
	e, created, refusal := c.join(call)
	if refusal != nil {
		return Outcome{}, refusal
	}
	if created {
		go c.run(context.WithoutCancel(ctx), e, call, send)
	}
	select {
	case <-e.done:
		return e.result()
	case <-ctx.Done():
		return c.leave(ctx, e)
	}
}

// join adds a caller to the attempt for the key, or creates the attempt.
func (c *Claims) join(call Call) (e *entry, created bool, refusal error) {
	held := c.heldFor()
	key := rowKey(call.Workspace, call.Key)
	s := c.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredItems(c.o.Now())
	if e := s.entries[key]; e != nil {
		if e.digest != call.Digest && e.phase == claiming {
			// Until the claim is confirmed, it is undecided which digest the key belongs to.
			return nil, false, c.errInProgress()
		}
		if e.digest != call.Digest {
			return nil, false, errKeyReused()
		}
		e.waiters++
		return e, false, nil
	}
	if held > 0 {
		return nil, false, c.errReturned(held)
	}
	if !c.open.tryAdd(c.o.MaxOpen) {
		return nil, false, code.New(code.ClaimStoreUnavailable, "too many calls wait for the table service").WithRetryAfter(c.o.RetryAfter)
	}
	e = &entry{key: key, attempt: c.o.ID(), digest: call.Digest, waiters: 1, done: make(chan struct{})}
	s.entries[key] = e
	return e, true, nil
}

// leave removes a caller whose context has ended from the attempt, and returns its result.
func (c *Claims) leave(ctx context.Context, e *entry) (Outcome, error) {
	s := c.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.isDone() {
		return e.result()
	}
	e.waiters--
	if e.phase != claiming {
		return Outcome{}, c.errUnknown("the caller's deadline passed while the call was running", ctx.Err())
	}
	if e.waiters > 0 {
		return Outcome{}, c.errInProgress()
	}
	refusal := code.Wrap(code.DeadlineExceeded, code.RanNo, "the deadline passed before the call was sent", ctx.Err())
	if errors.Is(ctx.Err(), context.Canceled) {
		refusal = code.Wrap(code.CallerGone, code.RanNo, "the caller left before the call was sent", ctx.Err())
	}
	if e.otherMayHaveRun {
		refusal = c.errInProgress()
	}
	s.abandon(e, refusal)
	return Outcome{}, refusal
}

// Query returns the state of an attempt of this node.
func (c *Claims) Query(workspace, key, attempt string) *pb.AttemptState {
	id := rowKey(workspace, key)
	s := c.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.abandoned[attempt]; ok {
		return &pb.AttemptState{State: pb.AttemptState_ABANDONED}
	}
	e := s.entries[id]
	if e == nil || e.attempt != attempt {
		return &pb.AttemptState{State: pb.AttemptState_UNKNOWN}
	}
	if e.phase == finished {
		return &pb.AttemptState{State: pb.AttemptState_DONE, Outcome: e.outcome.toPB()}
	}
	return &pb.AttemptState{State: pb.AttemptState_RUNNING}
}

// SetRetention changes the retention of rows that are written from now on. It ignores values that are not positive.
func (c *Claims) SetRetention(d time.Duration) {
	if d > 0 {
		c.retention.Store(int64(d))
	}
}

func (c *Claims) expiry() uint64 {
	return uint64(c.o.Now().Add(time.Duration(c.retention.Load())).UnixMilli())
}

// Stats are the current numbers of attempts and writes.
type Stats struct {
	// Open counts open attempts and background writes.
	Open int
	// Background counts the writes of outcomes and cancellations that are not confirmed yet.
	Background int
}

// Stats returns the current numbers of attempts and writes.
func (c *Claims) Stats() Stats {
	return Stats{Open: c.open.value(), Background: c.background.value()}
}

// Drain waits until no attempt is open and all background writes have ended. When ctx ends first, it returns the error
// of ctx; the keys of unconfirmed writes stay DISPATCHED until their rows expire, and resends get ran:"unknown".
func (c *Claims) Drain(ctx context.Context) error {
	return c.open.waitZero(ctx)
}

func (o Outcome) toPB() *pb.ClaimOutcome {
	// Protobuf rejects strings that are not valid UTF-8.
	return &pb.ClaimOutcome{Status: o.Status, ContentType: strings.ToValidUTF8(o.ContentType, "?"), Body: o.Body}
}

func outcomeFrom(p *pb.ClaimOutcome) Outcome {
	return Outcome{Status: p.GetStatus(), ContentType: p.GetContentType(), Body: p.GetBody()}
}

func errKeyReused() *code.Error {
	return code.New(code.IdempotencyKeyReused, "the key was used with another request")
}

func (c *Claims) errUnknown(message string, cause error) *code.Error {
	return code.Wrap(code.OutcomeUnknown, code.RanUnknown, message, cause).WithRetryAfter(c.o.RetryAfter)
}

func (c *Claims) errInProgress() *code.Error {
	return code.New(code.CallInProgress, "an attempt with this key is open").WithRan(code.RanUnknown).WithRetryAfter(c.o.RetryAfter)
}
