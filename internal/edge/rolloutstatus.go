package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/rollout"
)

// rolloutStoreTimeout limits one store call for a rollout.
const rolloutStoreTimeout = time.Second

// storedStatus is a row with the state of a rollout as this node has last read or written it.
type storedStatus struct {
	// known is false if the row must be read again: its last write failed, or another term or era has begun.
	known   bool
	era     uint64
	version uint64 // 0 without a row
	RolloutStatus
}

// loadStatus reads the states of earlier rollouts when the node starts, until it succeeds.
func (n *Node) loadStatus(ctx context.Context) {
	if !n.rollouts.enabled() || n.settings.FirstStart {
		return
	}
	for ctx.Err() == nil {
		if held, err := n.storeReturn.awaitSettled(ctx); err != nil {
			return
		} else if held {
			n.log.Debug("reading states of rollouts after a return of the store")
		}
		rows, _, err := n.store.Snapshot(ctx, n.names.StatusTable)
		if err == nil {
			n.rollouts.loadStatus(rows, time.Now())
			return
		}
		n.log.WithError(err).Info("reading states of rollouts failed")
		clock.Sleep(ctx, otherRetryDelay)
	}
}

func (r *rollouts) loadStatus(rows []platform.Row, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		service, ok := r.records.RolloutService(row.Key)
		if !ok {
			continue
		}
		status, err := r.records.RolloutStatus(row.Value)
		if err != nil {
			r.log.WithError(err).WithField("key", row.Key).Warning("decoding state of a rollout failed")
			continue
		}
		if s := r.versions(service); s != nil {
			s.stored = storedStatus{version: row.Version, RolloutStatus: status}
		}
	}
	r.statusLoaded = true
	for _, o := range r.waitingOrders {
		r.orderRead(o, now)
	}
	r.waitingOrders = nil
}

// applyRow takes over a row of the operator's table if it is the order of a rollout.
func (r *rollouts) applyRow(row platform.Row, now time.Time) {
	service, ok := r.records.RolloutService(row.Key)
	if !r.enabled() || !ok {
		return
	}
	order, err := r.records.RolloutOrder(row.Key, row.Value)
	if err != nil {
		r.log.WithError(err).WithField("service", service).Error(logline.RolloutOrderInvalid)
		r.metrics.Add("rollout_orders_invalid", 1)
		return
	}
	order.Version = row.Version
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.statusLoaded {
		if len(r.waitingOrders) < maxRollouts {
			r.waitingOrders = append(r.waitingOrders, order)
		}
		return
	}
	r.orderRead(order, now)
}

// orderRead learns an order from the store. If its state is there too, the whole deployment may have restarted since: the
// rollout goes on from that state. The caller holds mu.
func (r *rollouts) orderRead(o rollout.Order, now time.Time) {
	start := now
	s := r.services[o.Service]
	known := s != nil && s.state != nil && s.isSame(o, now)
	inStore := !known && s != nil && s.stored.version > o.Version && s.stored.To == o.To
	if inStore {
		if at := s.stored.OrderedAt; at.Before(now) && at.After(now.Add(-o.Duration)) {
			start = at
		} else if !at.IsZero() && s.stored.Outcome == RolloutInProgress {
			start = now.Add(-o.Duration) // its time is over
		}
	}
	outcome := RolloutOutcome(0)
	if inStore {
		outcome = s.stored.Outcome
	}
	if s = r.learn(o, "", start, now); s == nil || known {
		return
	}
	if phase, ok := finalPhase(outcome); ok && s.state.Adopt(phase, "", now) {
		r.changed(o.Service, s)
	}
}

func finalPhase(o RolloutOutcome) (rollout.Phase, bool) {
	switch o {
	case RolloutCompleted:
		return rollout.Completed, true
	case RolloutReverted:
		return rollout.Reverted, true
	}
	return 0, false
}

// statusDue is a state that must be written to the store.
type statusDue struct {
	service string
	order   uint64
	next    RolloutStatus
	stored  storedStatus
}

// newTerm has all states read again by the next duty holder.
func (r *rollouts) newTerm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		s.stored.known = false
	}
}

// due returns the states that differ from the store, or must be read to know.
func (r *rollouts) due(era uint64) []statusDue {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []statusDue
	for name, s := range r.services {
		if s.state == nil || !r.statusLoaded {
			continue
		}
		if s.stored.era != era {
			s.stored.known = false
		}
		next := RolloutStatus{To: s.state.To, Outcome: RolloutInProgress, OrderedAt: s.state.Start}
		switch s.state.Phase() {
		case rollout.Completing, rollout.Completed:
			next.Outcome = RolloutCompleted
		case rollout.Reverting, rollout.Reverted:
			next.Outcome = RolloutReverted
		}
		if !s.stored.known || !s.stored.has(next, s.state.Version) {
			out = append(out, statusDue{name, s.state.Version, next, s.stored})
		}
	}
	return out
}

// has reports whether the row says so of the order with the given version.
func (s *storedStatus) has(next RolloutStatus, order uint64) bool {
	return s.version > order && s.To == next.To && s.Outcome == next.Outcome
}

// writeRollouts writes the states of the rollouts. Each write has the condition that the row is still the one that this
// node knows, so that a late write of an earlier holder has no effect after it, and an outcome is never replaced.
func (h *dutyHolder) writeRollouts(ctx context.Context) {
	r := h.n.rollouts
	if !r.enabled() {
		return
	}
	era, _ := h.n.store.Era()
	for range 2 { // a state that must be read first is written in the same step
		for _, d := range r.due(era) {
			if _, ok := h.held.Check(); !ok {
				return
			}
			h.syncRollout(ctx, d, era)
		}
	}
}

// syncRollout reads a state whose row is not known, and writes it otherwise.
func (h *dutyHolder) syncRollout(ctx context.Context, d statusDue, era uint64) {
	access := h.readRollout
	if d.stored.known {
		access = h.writeRollout
	}
	stored, err := access(ctx, d)
	if err != nil {
		h.n.log.WithError(err).WithField("service", d.service).Info("state of a rollout not written; trying again")
		h.n.metrics.Add("rollout_writes_failed", 1)
	}
	stored.era = era
	h.n.rollouts.setStored(d, stored, time.Now())
}

func (h *dutyHolder) readRollout(ctx context.Context, d statusDue) (storedStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	row, err := h.n.store.Get(ctx, h.n.names.StatusTable, h.n.rollouts.records.RolloutKey(d.service))
	if errors.Is(err, platform.ErrNotFound) {
		return storedStatus{known: true}, nil
	}
	if err != nil {
		return storedStatus{}, err
	}
	status, err := h.n.rollouts.records.RolloutStatus(row.Value)
	if err != nil { // the row is written anew
		h.n.log.WithError(err).WithField("service", d.service).Warning("decoding state of a rollout failed")
	}
	return storedStatus{known: true, version: row.Version, RolloutStatus: status}, nil
}

func (h *dutyHolder) writeRollout(ctx context.Context, d statusDue) (storedStatus, error) {
	value, err := h.n.rollouts.records.EncodeRolloutStatus(d.next)
	if err != nil {
		return d.stored, err
	}
	condition := platform.Condition{Kind: platform.Absent}
	if d.stored.version != 0 {
		condition = platform.Condition{Kind: platform.VersionIs, Version: d.stored.version}
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	versions, err := h.n.store.Commit(ctx, []platform.Mutation{{Table: h.n.names.StatusTable,
		Key: h.n.rollouts.records.RolloutKey(d.service), Value: value, If: condition}})
	if err != nil {
		return storedStatus{}, err // its outcome may be unknown: the row is read before the next write
	}
	h.n.log.WithFields(logrus.Fields{"service": d.service, "to": d.next.To, "outcome": uint8(d.next.Outcome),
		"row_version": platform.FormatVersion(versions[0])}).Info(logline.RolloutStatusWritten)
	return storedStatus{known: true, version: versions[0], RolloutStatus: d.next}, nil
}

// setStored records what the store has. An outcome there is final, whoever has written it.
func (r *rollouts) setStored(d statusDue, stored storedStatus, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[d.service]
	if s == nil || s.state == nil || s.state.Version != d.order {
		return
	}
	s.stored = stored
	if !stored.known || stored.version <= d.order || stored.To != s.state.To {
		return
	}
	if phase, ok := finalPhase(stored.Outcome); ok && s.state.Adopt(phase, s.state.Reason, now) {
		r.changed(d.service, s)
	}
}
