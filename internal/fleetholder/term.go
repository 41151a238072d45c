package fleetholder

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/fleet"
	"github.com/pollenlug/pollenlug/pkg/lease"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Table and key of the row with the state that a successor needs.
const (
	tableName = "fleet"
	rowKey    = "plan"
)

// term is one period in which this node holds the fleet lease.
type term struct {
	f    *Fleet
	held *lease.Held
	log  *logrus.Entry

	// row is the desired content of the stored row, stored the content that was read or written last. verified is false
	// until both are known to match the table.
	row, stored *pb.FleetRow
	version     uint64
	verified    bool
	// listed holds the instances that this node read at the start of its term and that the shared list lacks so far.
	listed   []platform.Instance
	listedAt time.Time

	memory  *fleet.Memory
	plan    fleet.Result
	recent  []string
	ordered map[string]map[string]acceptedOrder // by server and key, see fleet.Server.Ordered
	// updated holds, by model, the servers that accepted an order to load the current version.
	updated map[string]map[string]bool
	// unloadSince holds, by model, since when the plan has requested its unload.
	unloadSince map[string]time.Time
	// loadAfter is the time from which the weight store admits the next load.
	loadAfter time.Time
	prices    []platform.Price
	pricesAt  time.Time
	// seen holds when each started instance was last in the instance list.
	seen map[string]time.Time
	idle map[string]time.Time // since when a draining server has run nothing
	// announced holds when each drain was first announced in this term.
	announced map[string]time.Time
}

func newTerm(f *Fleet, held *lease.Held, log *logrus.Entry) *term {
	return &term{
		f:         f,
		held:      held,
		log:       log,
		ordered:   map[string]map[string]acceptedOrder{},
		updated:   map[string]map[string]bool{},
		seen:      map[string]time.Time{},
		idle:      map[string]time.Time{},
		announced: map[string]time.Time{},
	}
}

func (t *term) valid() bool {
	_, ok := t.held.Check()
	return ok
}

// step plans and acts once. It returns errors of the platform or of the lease.
func (t *term) step(ctx context.Context) error {
	index := t.f.Config()
	if index == nil {
		return nil
	}
	if !t.verified {
		if err := t.verify(ctx); err != nil {
			return err
		}
	}
	if t.version == 0 {
		if time.Since(t.listedAt) < initialListWait {
			return nil
		}
		t.listed = nil // the shared list is more recent by now
	}
	t.readPrices(ctx)
	servers := t.servers()
	t.pruneRow(servers)
	short := t.plan.Short
	t.plan = fleet.Plan(t.input(index, servers))
	t.memory = t.plan.Memory
	if !maps.Equal(short, t.plan.Short) {
		t.log.WithField("groups", t.plan.Short).Warn("set of backend groups short of capacity changed")
	}
	t.decide()
	if err := t.store(ctx); err != nil {
		return err
	}
	return errors.Join(t.startAll(ctx), t.drainAll(ctx, servers), t.orderAll(ctx, servers))
}

// verify reads the row left by the previous holder and the current instances.
func (t *term) verify(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row := &pb.FleetRow{}
	found, err := t.f.Table.Get(ctx, tableName, rowKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		found.Version = 0
	case err != nil:
		return err
	default:
		if err := proto.Unmarshal(found.Value, row); err != nil {
			return err
		}
	}
	list, err := t.f.Instances.Instances(ctx)
	if err != nil {
		return err
	}
	t.row, t.stored, t.version = row, proto.CloneOf(row), found.Version
	if t.listedAt.IsZero() {
		t.listed, t.listedAt = list, time.Now()
	}
	t.verified = true
	return nil
}

// store writes the row if it has changed. The write is conditional on the version, so a delayed holder or one that read
// a stale row cannot act; it reads the row again instead.
func (t *term) store(ctx context.Context) error {
	if proto.Equal(t.row, t.stored) {
		return nil
	}
	value, err := proto.Marshal(t.row)
	if err != nil {
		return err
	}
	condition := platform.Condition{Kind: platform.VersionIs, Version: t.version}
	if t.version == 0 {
		condition = platform.Condition{Kind: platform.Absent}
	}
	mutation := platform.Mutation{Table: tableName, Key: rowKey, Value: value, If: condition}
	return t.withLease(ctx, func(ctx context.Context, _ uint64) error {
		versions, err := t.f.Table.Commit(ctx, []platform.Mutation{mutation})
		if err != nil {
			t.verified = false
			return err
		}
		t.version, t.stored = versions[0], proto.CloneOf(t.row)
		return nil
	})
}

// readPrices refreshes prices older than pricesInterval and keeps the last ones if the read fails.
func (t *term) readPrices(ctx context.Context) {
	if time.Since(t.pricesAt) < pricesInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prices, err := t.f.Cloud.Prices(ctx)
	if err != nil {
		t.log.WithError(err).Debug("reading prices failed; keeping the last known ones")
		return
	}
	t.prices, t.pricesAt = prices, time.Now()
}

// initialListWait is how long a holder that finds no stored row waits before it acts. The instance list lags, so a new
// platform shows its instances late, and there is no row that records them.
const initialListWait = 10 * time.Second

// listedTimeout is how long an instance that this node read at the start of its term counts although the list shared by
// the nodes, which lags more, does not show it yet.
const listedTimeout = time.Minute

// servers returns the known backend servers and those that only this node's own read of the instance list showed.
func (t *term) servers() []Server {
	out := slices.Clone(t.f.Servers())
	known := make(map[string]bool, len(out))
	for _, s := range out {
		known[s.ID] = true
	}
	expired := time.Since(t.listedAt) >= listedTimeout
	t.listed = slices.DeleteFunc(t.listed, func(i platform.Instance) bool {
		return expired || known[i.ID] || i.Kind == platform.EntryNode
	})
	for _, i := range t.listed {
		out = append(out, Server{Instance: i})
	}
	return out
}

// updateStatus publishes the state of the term as the Fleet's status.
func (t *term) updateStatus() {
	if !t.verified {
		return
	}
	fencing, ok := t.held.Check()
	s := Status{
		Holder:  ok,
		Fencing: fencing,
		Target:  t.plan.Target,
		Short:   t.plan.Short,
		Starts:  len(t.row.Starts),
		Recent:  slices.Clone(t.recent),
	}
	for _, d := range t.row.Drains {
		s.Drains = append(s.Drains, d.Instance)
	}
	t.f.setStatus(s)
}

// recordDecision logs a decision and adds it to Status.Recent.
func (t *term) recordDecision(fields logrus.Fields, message, reason string) {
	t.log.WithFields(fields).WithField("reason", reason).Info(message)
	line := time.Now().UTC().Format(time.RFC3339) + " " + message
	for _, key := range []string{"backend_group", "failure_domain", "instance", "model"} {
		if v, ok := fields[key].(string); ok && v != "" {
			line += " " + v
		}
	}
	t.recent = append(t.recent, line+": "+reason)
	t.recent = t.recent[max(0, len(t.recent)-maxRecentDecisions):]
}
