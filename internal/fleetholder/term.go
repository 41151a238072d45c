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

// Table and row of the state that a successor needs.
const (
	tableName = "fleet"
	rowKey    = "plan"
)

// term is one period in which this node holds the lease.
type term struct {
	f    *Fleet
	held *lease.Held
	log  *logrus.Entry

	// row is the state as it should be stored, stored the one that was read or written last. verified is false until
	// both are known to be those of the table.
	row, stored *pb.FleetRow
	version     uint64
	verified    bool
	// listed are the instances that the successor read itself when it took over and that the shared list has not shown.
	listed   []platform.Instance
	listedAt time.Time

	memory  *fleet.Memory
	plan    fleet.Result
	recent  []string
	ordered map[string]map[string]given // by server and key, see fleet.Server.Ordered
	// updated has the servers that loaded the present version of a model while others hold an older one.
	updated map[string]map[string]bool
	// unwanted has the models to unload and since when they are not configured.
	unwanted map[string]time.Time
	// loadAfter is when the weight store allows the next load.
	loadAfter time.Time
	prices    []platform.Price
	pricesAt  time.Time
	// seen has the started instances that were in the list, missing since when those are not.
	seen map[string]time.Time
	idle map[string]time.Time // since when a draining server has run nothing
	// announced is when this term announced a drain first.
	announced map[string]time.Time
}

func newTerm(f *Fleet, held *lease.Held, log *logrus.Entry) *term {
	return &term{
		f:         f,
		held:      held,
		log:       log,
		ordered:   map[string]map[string]given{},
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

// step plans and acts once. An error means that the platform or the lease is in the way.
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
		if time.Since(t.listedAt) < firstWait {
			return nil
		}
		t.listed = nil // the shared list is newer by now
	}
	t.readPrices(ctx)
	servers := t.servers()
	t.settle(servers)
	short := t.plan.Short
	t.plan = fleet.Plan(t.input(index, servers))
	t.memory = t.plan.Memory
	if !maps.Equal(short, t.plan.Short) {
		t.log.WithField("groups", t.plan.Short).Warn("backend groups that cannot get their capacity have changed")
	}
	t.decide()
	if err := t.store(ctx); err != nil {
		return err
	}
	return errors.Join(t.startAll(ctx), t.drainAll(ctx, servers), t.orderAll(ctx, servers))
}

// verify reads the state that the predecessor left and the instances that there are.
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

// store writes the row if it has changed. The condition on the version keeps a holder that is late, or that has read
// an old row, from acting: it reads again.
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
	return t.guarded(ctx, func(ctx context.Context, _ uint64) error {
		versions, err := t.f.Table.Commit(ctx, []platform.Mutation{mutation})
		if err != nil {
			t.verified = false
			return err
		}
		t.version, t.stored = versions[0], proto.CloneOf(t.row)
		return nil
	})
}

// readPrices keeps the last prices when they cannot be read.
func (t *term) readPrices(ctx context.Context) {
	if time.Since(t.pricesAt) < pricesInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	prices, err := t.f.Cloud.Prices(ctx)
	if err != nil {
		t.log.WithError(err).Debug("prices are unavailable; the last ones stay in force")
		return
	}
	t.prices, t.pricesAt = prices, time.Now()
}

// firstWait is how long the first holder of all looks at the instances before it acts. The list lags, so a platform
// that has just come up shows instances late, and no row tells of them.
const firstWait = 10 * time.Second

// listedTime is how long an instance that the successor read itself counts although the list that nodes share, which
// lags more, has not shown it yet.
const listedTime = time.Minute

// servers returns the backend servers in the order of their names.
func (t *term) servers() []Server {
	out := slices.Clone(t.f.Servers())
	known := make(map[string]bool, len(out))
	for _, s := range out {
		known[s.ID] = true
	}
	late := time.Since(t.listedAt) >= listedTime
	t.listed = slices.DeleteFunc(t.listed, func(i platform.Instance) bool {
		return late || known[i.ID] || i.Kind == platform.EntryNode
	})
	for _, i := range t.listed {
		out = append(out, Server{Instance: i})
	}
	return out
}

// report shows the state of the term.
func (t *term) report() {
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

// note logs a decision and keeps it for the status.
func (t *term) note(fields logrus.Fields, message, reason string) {
	t.log.WithFields(fields).WithField("reason", reason).Info(message)
	line := time.Now().UTC().Format(time.RFC3339) + " " + message
	for _, key := range []string{"backend_group", "failure_domain", "instance", "model"} {
		if v, ok := fields[key].(string); ok && v != "" {
			line += " " + v
		}
	}
	t.recent = append(t.recent, line+": "+reason)
	t.recent = t.recent[max(0, len(t.recent)-keptReasons):]
}
