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

// Waits between two tries of a claim, within the store timeout.
const (
	firstClaimWait = 10 * time.Millisecond
	maxClaimWait   = 80 * time.Millisecond
)

// maxReplacements bounds the rows of other attempts that one call replaces. Each one has its own store timeout.
const maxReplacements = 4

// claimState is the state of an attempt that is not sent yet.
type claimState struct {
	e    *entry
	call Call
	row  []byte
	cond platform.Condition
	// deadline is the last time at which the attempt may be sent.
	deadline time.Time
	// written is set when a write of this attempt has or may still take effect.
	written bool
	// uncertain is set when such a write had the present condition, so that a conflict may come from it.
	uncertain bool
	// replaced counts the conditions that were derived from rows of other attempts.
	replaced int
}

// verdict is what a row of the table means for an attempt.
type verdict struct {
	kind    verdictKind
	version uint64
	outcome Outcome
	err     *code.Error
}

type verdictKind int

const (
	// tryAgain: the read was stale or failed.
	tryAgain verdictKind = iota
	// confirmed: the row is the attempt's own, with the version.
	confirmed
	// replace: the row with the version belongs to an attempt that did not run, or has expired.
	replace
	// answer: outcome or err is the answer; the attempt is not sent.
	answer
)

// run carries out one attempt. The background write that ends it takes over its place among the open ones: counted
// twice, even for a moment, it would refuse another call below MaxOpen.
func (c *Claims) run(ctx context.Context, e *entry, call Call, send Send) {
	last := c.attempt(ctx, e, call, send)
	if last == nil {
		c.open.done()
		return
	}
	last.start()
}

// attempt returns the background write that ends the attempt, or nil when there is nothing to write.
func (c *Claims) attempt(ctx context.Context, e *entry, call Call, send Send) *task {
	st := &claimState{e: e, call: call, row: c.row(e, pb.ClaimRow_DISPATCHED, nil)}
	v := c.claim(ctx, st)
	if v.kind == answer {
		return c.endUnsent(st, v)
	}
	if !c.startSend(st) {
		return c.cancellation(e, platform.Condition{Kind: platform.VersionIs, Version: v.version})
	}
	return c.send(ctx, e, call, v.version, send)
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
		panic(err) // only invalid UTF-8 in a string field, which New and Do cannot produce from valid names
	}
	return data
}

// claim writes the row until it is confirmed or an answer is known. Its verdict is confirmed or answer.
func (c *Claims) claim(ctx context.Context, st *claimState) verdict {
	st.cond = platform.Condition{Kind: platform.Absent}
	for {
		v := c.claimWithin(ctx, st)
		if v.kind != replace {
			return v
		}
		st.replaced++
		if st.replaced > maxReplacements {
			return verdict{kind: answer, err: c.errInProgress()}
		}
		st.cond = platform.Condition{Kind: platform.VersionIs, Version: v.version}
		st.uncertain = false
		c.setOthersRow(st.e, false)
	}
}

// claimWithin repeats the conditional write with one condition for up to the store timeout.
func (c *Claims) claimWithin(ctx context.Context, st *claimState) verdict {
	st.deadline = c.o.Now().Add(c.o.StoreTimeout)
	storeCtx, cancel := context.WithTimeout(ctx, c.o.StoreTimeout)
	defer cancel()
	for wait := firstClaimWait; c.isClaiming(st.e); wait = min(2*wait, maxClaimWait) {
		m := platform.Mutation{Table: TableName, Key: st.e.key, Value: st.row, If: st.cond}
		version, err := c.group.commit(storeCtx, m)
		switch {
		case err == nil:
			st.written = true
			return verdict{kind: confirmed, version: version}
		case errors.Is(err, errConflict):
			if !st.uncertain {
				c.setOthersRow(st.e, true)
			}
		case !errors.Is(err, platform.ErrUnavailable):
			st.written = true
			st.uncertain = true
		}
		if !errors.Is(err, platform.ErrUnavailable) {
			if v := c.readBack(ctx, storeCtx, st); v.kind != tryAgain {
				return v
			}
		}
		if !clock.Sleep(storeCtx, wait) {
			break
		}
	}
	return verdict{kind: answer, err: c.errNotClaimed(st.e)}
}

func (c *Claims) setOthersRow(e *entry, value bool) {
	s := c.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.othersRow = value
}

func (c *Claims) isClaiming(e *entry) bool {
	s := c.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.phase == claiming
}

// errNotClaimed is the answer of an attempt that could not be confirmed in time.
func (c *Claims) errNotClaimed(e *entry) *code.Error {
	s := c.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.othersRow {
		return c.errUnknown("another attempt holds the key and its row cannot be read", platform.ErrUnavailable)
	}
	return c.errStore()
}

func (c *Claims) errStore() *code.Error {
	return code.New(code.ClaimStoreUnavailable, "the claim was not confirmed in time").After(c.o.RetryAfter)
}

// readBack reads the row after a conflict or an unknown outcome.
func (c *Claims) readBack(ctx, storeCtx context.Context, st *claimState) verdict {
	r, err := c.o.Table.Get(storeCtx, TableName, st.e.key)
	if err != nil {
		return verdict{kind: tryAgain}
	}
	var row pb.ClaimRow
	if err := proto.Unmarshal(r.Value, &row); err != nil {
		return verdict{kind: answer, err: code.Wrap(code.Internal, code.RanUnknown, "a claim row cannot be read", err)}
	}
	return c.judge(ctx, storeCtx, st, r.Version, &row)
}

// judge decides what the row means. It may be old.
func (c *Claims) judge(ctx, storeCtx context.Context, st *claimState, version uint64, row *pb.ClaimRow) verdict {
	e := st.e
	if row.Attempt == e.attempt {
		return verdict{kind: confirmed, version: version}
	}
	if row.State == pb.ClaimRow_CANCELLED || c.hasExpired(row) || c.isAbandoned(e.key, row) {
		return st.replaceRow(version)
	}
	if !bytes.Equal(row.RequestDigest, e.digest[:]) {
		return c.refuseReuse(storeCtx, e, version)
	}
	if row.State == pb.ClaimRow_DONE {
		return verdict{kind: answer, outcome: outcomeFrom(row.Outcome)}
	}
	c.setOthersRow(e, true)
	return c.askOthers(ctx, st, version, row)
}

// replaceRow tries the version next, unless a write with it or a later one has failed already.
func (st *claimState) replaceRow(version uint64) verdict {
	if st.cond.Kind == platform.VersionIs && version <= st.cond.Version {
		return verdict{kind: tryAgain}
	}
	return verdict{kind: replace, version: version}
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

// refuseReuse refuses a key with another digest, once a check shows that the row is current.
func (c *Claims) refuseReuse(storeCtx context.Context, e *entry, version uint64) verdict {
	cond := platform.Condition{Kind: platform.VersionIs, Version: version}
	m := platform.Mutation{Table: TableName, Key: e.key, CheckOnly: true, If: cond}
	if _, err := c.group.commit(storeCtx, m); err != nil {
		return verdict{kind: tryAgain}
	}
	return verdict{kind: answer, err: errKeyReused()}
}

// askOthers asks the holder of a DISPATCHED row, then the service.
func (c *Claims) askOthers(ctx context.Context, st *claimState, version uint64, row *pb.ClaimRow) verdict {
	call := st.call
	switch state := c.askHolder(ctx, call, row); state.GetState() {
	case pb.AttemptState_DONE:
		return verdict{kind: answer, outcome: outcomeFrom(state.Outcome)}
	case pb.AttemptState_RUNNING:
		return verdict{kind: answer, err: c.errInProgress()}
	case pb.AttemptState_ABANDONED:
		return st.replaceRow(version)
	}
	if out, ok := c.askService(ctx, call, row.Attempt); ok {
		c.storeOutcome(st.e.key, version, row, out)
		return verdict{kind: answer, outcome: out}
	}
	return verdict{kind: answer, err: c.errUnknown("an earlier attempt may have run", platform.ErrOutcomeUnknown)}
}

// askHolder returns nil when the holder cannot be asked.
func (c *Claims) askHolder(ctx context.Context, call Call, row *pb.ClaimRow) *pb.AttemptState {
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

// askService returns false unless the service confirms an outcome.
func (c *Claims) askService(ctx context.Context, call Call, attempt string) (Outcome, bool) {
	if c.o.Outcomes == nil {
		return Outcome{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.QueryTimeout)
	defer cancel()
	out, found, err := c.o.Outcomes.Outcome(ctx, call, attempt)
	return out, found && err == nil
}

// endUnsent answers the callers of an attempt that will not be sent.
func (c *Claims) endUnsent(st *claimState, v verdict) *task {
	e := st.e
	s := c.shard(e.key)
	s.mu.Lock()
	s.answer(e, v.outcome, v.err)
	s.abandon(e, v.err)
	if !st.written {
		// No row can name the attempt, so nobody will ask for it.
		delete(s.abandoned, e.attempt)
	}
	s.mu.Unlock()
	if !st.written {
		return nil
	}
	return c.cancellation(e, st.cond)
}

// startSend moves a confirmed attempt to running. It returns false when the attempt has been answered already, or
// when the process was paused past the deadline, and the attempt is then abandoned for good.
func (c *Claims) startSend(st *claimState) bool {
	now := c.o.Now()
	s := c.shard(st.e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.e.phase != claiming {
		return false
	}
	if now.After(st.deadline) {
		s.abandon(st.e, c.errStore())
		return false
	}
	st.e.phase = running
	return true
}

// send sends the attempt and ends it.
func (c *Claims) send(ctx context.Context, e *entry, call Call, version uint64, send Send) *task {
	sendCtx, cancel := context.WithTimeout(ctx, c.o.SendTimeout)
	defer cancel()
	out, sent, err := send(sendCtx, e.attempt)
	if err == nil {
		return c.finish(e, version, out)
	}
	if sent == NothingSent {
		c.locked(e, func(s *shard) { s.abandon(e, notSentError(err)) })
		return c.cancellation(e, platform.Condition{Kind: platform.VersionIs, Version: version})
	}
	if out, ok := c.askService(ctx, call, e.attempt); ok {
		return c.finish(e, version, out)
	}
	c.locked(e, func(s *shard) {
		e.phase = givenUp
		s.remove(e)
		s.answer(e, Outcome{}, c.errUnknown("the call may have run", err))
	})
	return nil
}

// locked calls change with the entry's shard locked.
func (c *Claims) locked(e *entry, change func(s *shard)) {
	s := c.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// notSentError keeps the code of a send error that has one.
func notSentError(err error) *code.Error {
	var e *code.Error
	if errors.As(err, &e) {
		return e.WithRan(code.RanNo)
	}
	return code.Wrap(code.NoBackendServer, code.RanNo, "the call could not be sent", err)
}

// finish answers the callers and returns the write of the outcome.
func (c *Claims) finish(e *entry, version uint64, out Outcome) *task {
	c.locked(e, func(s *shard) {
		e.phase = finished
		e.outcome = out
		s.answer(e, out, nil)
	})
	return c.ownOutcome(e, version, out)
}
