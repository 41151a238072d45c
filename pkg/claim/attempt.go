package claim

import (
	"bytes"
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Backoff between two writes of a claim, within the store timeout.
const (
	minClaimBackoff = 10 * time.Millisecond
	maxClaimBackoff = 80 * time.Millisecond
)

// maxReplacements bounds how many rows of other attempts one call replaces. Each replacement has its own store timeout.
const maxReplacements = 4

// claimState is the state of an attempt that has not been sent yet.
type claimState struct {
	e    *entry
	call Call
	row  []byte
	cond platform.Condition
	// deadline is the latest time at which the attempt may be sent.
	deadline time.Time
	// written is set when a write of this attempt has taken effect or may still do so.
	written bool
	// uncertain is set when such a write used the current condition, so that it may itself be the cause of a conflict.
	uncertain bool
	// era is the era of the table service in which the attempt began, once the service has answered this node.
	era uint64
	// replaced counts the conditions that were derived from rows of other attempts.
	replaced int
}

// decision is how an attempt proceeds after a write or a read of its row.
type decision struct {
	kind    decisionKind
	version uint64
	outcome Outcome
	err     *code.Error
}

type decisionKind int

const (
	// retryWrite: the read failed, was stale or may be stale; the conditional write is repeated.
	retryWrite decisionKind = iota
	// confirmed: the row with this version belongs to the attempt.
	confirmed
	// replace: the row with this version has expired or belongs to an attempt that did not run.
	replace
	// resolved: outcome or err is the result for the callers; the attempt is not sent.
	resolved
)

// run carries out one attempt. The background write that ends it takes over its slot in the open count: if both were
// counted, even briefly, another call would be refused below MaxOpen.
func (c *Claims) run(ctx context.Context, e *entry, call Call, send Send) {
	w := c.attempt(ctx, e, call, send)
	if w == nil {
		c.open.done()
		return
	}
	w.start()
}

// attempt returns the background write that ends the attempt, or nil when there is nothing to write.
func (c *Claims) attempt(ctx context.Context, e *entry, call Call, send Send) *backgroundWrite {
	st := &claimState{e: e, call: call, row: c.row(e, pb.ClaimRow_DISPATCHED, nil)}
	st.era, _ = c.o.Table.Era()
	d := c.claim(ctx, st)
	if d.kind == resolved {
		return c.endUnsent(st, d)
	}
	if !c.startSend(st) {
		return c.cancellationWrite(e, platform.Condition{Kind: platform.VersionIs, Version: d.version})
	}
	return c.send(ctx, e, call, d.version, send)
}

func (c *Claims) row(e *entry, state pb.ClaimRow_State, outcome *pb.ClaimOutcome) []byte {
	now := c.o.Now()
	return marshal(&pb.ClaimRow{
		State:         state,
		Attempt:       e.attempt,
		Node:          c.o.Node,
		RequestDigest: e.digest[:],
		CreatedUnixMs: uint64(now.UnixMilli()),
		ExpiresUnixMs: c.expiry(),
		Outcome:       outcome,
	})
}

func marshal(row *pb.ClaimRow) []byte {
	data, err := proto.Marshal(row)
	if err != nil {
		panic(err) // fails only on invalid UTF-8 in a string field, which New and Do cannot produce from valid names
	}
	return data
}

// claim writes the row until it is confirmed or the result is known. It returns a decision of kind confirmed or resolved.
func (c *Claims) claim(ctx context.Context, st *claimState) decision {
	st.cond = platform.Condition{Kind: platform.Absent}
	for {
		d := c.claimWithin(ctx, st)
		if d.kind != replace {
			return d
		}
		st.replaced++
		if st.replaced > maxReplacements {
			return decision{kind: resolved, err: c.errInProgress()}
		}
		st.cond = platform.Condition{Kind: platform.VersionIs, Version: d.version}
		st.uncertain = false
		c.setOtherMayHaveRun(st.e, false)
	}
}

// claimWithin repeats the conditional write under one condition for up to the store timeout.
func (c *Claims) claimWithin(ctx context.Context, st *claimState) decision {
	st.deadline = c.o.Now().Add(c.o.StoreTimeout)
	storeCtx, cancel := context.WithTimeout(ctx, c.o.StoreTimeout)
	defer cancel()
	for wait := minClaimBackoff; c.isClaiming(st.e); wait = min(2*wait, maxClaimBackoff) {
		m := platform.Mutation{Table: TableName, Key: st.e.key, Value: st.row, If: st.cond}
		version, err := c.group.commit(storeCtx, m)
		switch {
		case err == nil:
			st.written = true
			if platform.EraOf(version) != st.era && c.heldFor() > 0 {
				return decision{kind: resolved, err: c.errReturned(returnHold)}
			}
			return decision{kind: confirmed, version: version}
		case errors.Is(err, errConflict):
			if !st.uncertain {
				c.setOtherMayHaveRun(st.e, true)
			}
		case !errors.Is(err, platform.ErrUnavailable):
			st.written = true
			st.uncertain = true
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			if d := c.readBack(ctx, storeCtx, st); d.kind != retryWrite {
				return d
			}
		}
		if !clock.Sleep(storeCtx, wait) {
			break
		}
	}
	return decision{kind: resolved, err: c.errNotClaimed(st.e)}
}

func (c *Claims) setOtherMayHaveRun(e *entry, value bool) {
	s := c.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.otherMayHaveRun = value
}

func (c *Claims) isClaiming(e *entry) bool {
	s := c.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.phase == claiming
}

// errNotClaimed is the error for an attempt whose claim was not confirmed in time.
func (c *Claims) errNotClaimed(e *entry) *code.Error {
	s := c.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.otherMayHaveRun {
		return c.errUnknown("another attempt holds the key and its row cannot be read", platform.ErrUnavailable)
	}
	return c.errStoreUnavailable()
}

func (c *Claims) errStoreUnavailable() *code.Error {
	return code.New(code.ClaimStoreUnavailable, "the claim was not confirmed in time").WithRetryAfter(c.o.RetryAfter)
}

// readBack reads the row after a conflict or a write with an unknown outcome.
func (c *Claims) readBack(ctx, storeCtx context.Context, st *claimState) decision {
	r, err := c.o.Table.Get(storeCtx, TableName, st.e.key)
	if err != nil {
		return decision{kind: retryWrite}
	}
	var row pb.ClaimRow
	if err := proto.Unmarshal(r.Value, &row); err != nil {
		return decision{kind: resolved, err: code.Wrap(code.Internal, code.RanUnknown, "a claim row cannot be read", err)}
	}
	return c.decide(ctx, storeCtx, st, r.Version, &row)
}

// decide determines how the attempt proceeds, given a row of the key that may be stale.
func (c *Claims) decide(ctx, storeCtx context.Context, st *claimState, version uint64, row *pb.ClaimRow) decision {
	e := st.e
	if row.Attempt == e.attempt {
		return decision{kind: confirmed, version: version}
	}
	if row.State == pb.ClaimRow_CANCELLED || c.hasExpired(row) || c.isAbandoned(e.key, row) {
		return st.replaceRow(version)
	}
	if !bytes.Equal(row.RequestDigest, e.digest[:]) {
		return c.refuseKeyReuse(storeCtx, e, version)
	}
	if row.State == pb.ClaimRow_DONE {
		return decision{kind: resolved, outcome: outcomeFrom(row.Outcome)}
	}
	c.setOtherMayHaveRun(e, true)
	return c.resolveDispatched(ctx, st, version, row)
}

// replaceRow makes the version the next condition, unless a write conditioned on it or a later one has already failed.
func (st *claimState) replaceRow(version uint64) decision {
	if st.cond.Kind == platform.VersionIs && version <= st.cond.Version {
		return decision{kind: retryWrite}
	}
	return decision{kind: replace, version: version}
}

func (c *Claims) hasExpired(row *pb.ClaimRow) bool {
	return c.o.Now().Add(-expirySlack).UnixMilli() > int64(row.ExpiresUnixMs)
}

func (c *Claims) isAbandoned(key string, row *pb.ClaimRow) bool {
	s := c.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.abandoned[row.Attempt]
	return ok && row.Node == c.o.Node
}

// refuseKeyReuse refuses a request whose digest differs from that of the row, once a conditional check shows that the
// row is current.
func (c *Claims) refuseKeyReuse(storeCtx context.Context, e *entry, version uint64) decision {
	cond := platform.Condition{Kind: platform.VersionIs, Version: version}
	m := platform.Mutation{Table: TableName, Key: e.key, CheckOnly: true, If: cond}
	if _, err := c.group.commit(storeCtx, m); err != nil {
		return decision{kind: retryWrite}
	}
	return decision{kind: resolved, err: errKeyReused()}
}

// resolveDispatched queries the node that holds a DISPATCHED row for its outcome, then the service.
func (c *Claims) resolveDispatched(ctx context.Context, st *claimState, version uint64, row *pb.ClaimRow) decision {
	call := st.call
	switch state := c.queryHolder(ctx, call, row); state.GetState() {
	case pb.AttemptState_DONE:
		return decision{kind: resolved, outcome: outcomeFrom(state.Outcome)}
	case pb.AttemptState_RUNNING:
		return decision{kind: resolved, err: c.errInProgress()}
	case pb.AttemptState_ABANDONED:
		return st.replaceRow(version)
	}
	if out, ok := c.queryService(ctx, call, row.Attempt); ok {
		c.storeOutcomeOfOtherNode(st.e.key, version, row, out)
		return decision{kind: resolved, outcome: out}
	}
	return decision{kind: resolved, err: c.errUnknown("an earlier attempt may have run", platform.ErrOutcomeUnknown)}
}

// queryHolder returns nil when the holder is this node, Peers is nil or the query fails.
func (c *Claims) queryHolder(ctx context.Context, call Call, row *pb.ClaimRow) *pb.AttemptState {
	if row.Node == c.o.Node || c.o.Peers == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.PeerTimeout)
	defer cancel()
	query := &pb.AttemptQuery{Workspace: call.Workspace, Key: call.Key, Attempt: row.Attempt}
	state, err := c.o.Peers.AttemptQuery(ctx, row.Node, query)
	if err != nil {
		return nil
	}
	return state
}

// queryService returns false unless the service confirms an outcome.
func (c *Claims) queryService(ctx context.Context, call Call, attempt string) (Outcome, bool) {
	if c.o.Outcomes == nil {
		return Outcome{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.QueryTimeout)
	defer cancel()
	out, found, err := c.o.Outcomes.Outcome(ctx, call, attempt)
	return out, found && err == nil
}

// endUnsent returns the error to the callers of an attempt that will not be sent.
func (c *Claims) endUnsent(st *claimState, d decision) *backgroundWrite {
	e := st.e
	s := c.shard(e.key)
	s.mu.Lock()
	s.setResult(e, d.outcome, d.err)
	s.abandon(e, d.err)
	if !st.written {
		// No row can name the attempt, so no node will query it.
		delete(s.abandoned, e.attempt)
	}
	s.mu.Unlock()
	if !st.written {
		return nil
	}
	return c.cancellationWrite(e, st.cond)
}

// startSend moves a confirmed attempt to running. It returns false when the attempt has already been abandoned, or
// when the process was paused past the deadline; the attempt is then abandoned permanently.
func (c *Claims) startSend(st *claimState) bool {
	now := c.o.Now()
	s := c.shard(st.e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.e.phase != claiming {
		return false
	}
	if now.After(st.deadline) {
		s.abandon(st.e, c.errStoreUnavailable())
		return false
	}
	st.e.phase = running
	c.remember(st.e.key, st.row)
	return true
}

// send performs the call and returns the background write that ends the attempt, or nil when there is none.
func (c *Claims) send(ctx context.Context, e *entry, call Call, version uint64, send Send) *backgroundWrite {
	sendCtx, cancel := context.WithTimeout(ctx, c.o.SendTimeout)
	defer cancel()
	out, sent, err := send(sendCtx, e.attempt)
	if err == nil {
		return c.completeAttempt(e, version, out)
	}
	if sent == NothingSent {
		c.withLock(e, func(s *shard) { s.abandon(e, notSentError(err)) })
		return c.cancellationWrite(e, platform.Condition{Kind: platform.VersionIs, Version: version})
	}
	if out, ok := c.queryService(ctx, call, e.attempt); ok {
		return c.completeAttempt(e, version, out)
	}
	c.withLock(e, func(s *shard) {
		e.phase = failed
		s.remove(e)
		s.setResult(e, Outcome{}, c.errUnknown("the call may have run", err))
	})
	return nil
}

// withLock calls change while it holds the lock of the entry's shard.
func (c *Claims) withLock(e *entry, change func(s *shard)) {
	s := c.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// notSentError returns err with ran:"no". It keeps the result code of err if there is one.
func notSentError(err error) *code.Error {
	var e *code.Error
	if errors.As(err, &e) {
		return e.WithRan(code.RanNo)
	}
	return code.Wrap(code.NoBackendServer, code.RanNo, "the call could not be sent", err)
}

// completeAttempt returns the outcome to the callers and returns the background write of the outcome.
func (c *Claims) completeAttempt(e *entry, version uint64, out Outcome) *backgroundWrite {
	c.withLock(e, func(s *shard) {
		e.phase = finished
		e.outcome = out
		s.setResult(e, out, nil)
	})
	return c.outcomeWrite(e, version, out)
}
