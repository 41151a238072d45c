package fleetholder

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/fleet"
)

// orderReportTimeout is how long an order may take to appear in the server's load report before it is sent again.
const orderReportTimeout = 5 * time.Minute

// unloadDelay is how long the plan must have requested an unload before it is ordered, so that a configuration edit
// that is soon reverted does not cause the model to be loaded again.
const unloadDelay = 10 * time.Minute

// reportLag is how long load reports may still show the state before an order.
const reportLag = 10 * time.Second

// acceptedOrder is the value of an order that the server accepted, and when.
type acceptedOrder struct {
	value string
	at    time.Time
}

// orderKey returns the key and value of an order in fleet.Server.Ordered, or "" for orders that are not tracked.
func orderKey(o backend.Order) (key, value string) {
	switch o.Kind {
	case backend.LoadModel:
		return o.Model, o.Version
	case backend.LoadAdapter:
		return o.Model + ":" + o.Adapter, "yes"
	case backend.SetRole:
		return "role", o.Role
	}
	return "", ""
}

// orderAll sends the orders of the plan in priority order. A load that the weight store does not admit yet also blocks
// the loads after it, so that small loads do not overtake more urgent large ones.
func (t *term) orderAll(ctx context.Context, servers []Server) error {
	addrs := make(map[string]string, len(servers))
	for _, s := range servers {
		addrs[s.ID] = s.Addr
	}
	blocked := time.Now().Before(t.loadAfter)
	t.trackUnloads()
	for _, o := range t.plan.Orders {
		addr := addrs[o.Server]
		if o.Kind == backend.Unload && time.Since(t.unloadSince[o.Model]) < unloadDelay {
			continue
		}
		if addr == "" || o.WeightsMiB > 0 && blocked {
			continue
		}
		if o.WeightsMiB > 0 {
			wait, err := t.reserve(ctx, o)
			if err != nil {
				return err
			}
			if wait > 0 {
				t.loadAfter, blocked = time.Now().Add(wait), true
				continue
			}
		}
		if err := t.order(ctx, addr, o); errors.Is(err, errLeaseLost) || errors.Is(err, backend.ErrStaleFencing) {
			return err
		}
	}
	return nil
}

// trackUnloads records since when the plan has requested the unload of each model.
func (t *term) trackUnloads() {
	unloads := map[string]time.Time{}
	for _, o := range t.plan.Orders {
		if o.Kind != backend.Unload {
			continue
		}
		since := t.unloadSince[o.Model]
		if since.IsZero() {
			since = time.Now()
		}
		unloads[o.Model] = since
	}
	t.unloadSince = unloads
}

func (t *term) reserve(ctx context.Context, o fleet.Order) (time.Duration, error) {
	var wait time.Duration
	err := t.withLease(ctx, func(ctx context.Context, _ uint64) (err error) {
		wait, err = t.f.Weights.Reserve(ctx, o.Model, o.WeightsMiB)
		return err
	})
	return wait, err
}

func (t *term) order(ctx context.Context, addr string, o fleet.Order) error {
	err := t.withLease(ctx, func(ctx context.Context, fencing uint64) error {
		o.Fencing = fencing
		return t.f.Order(ctx, addr, o.Order)
	})
	fields := logrus.Fields{"instance": o.Server, "order": string(o.Kind), "model": o.Model, "version": o.Version, "adapter": o.Adapter}
	switch {
	case err == nil:
		t.f.Metrics.Count("fleet_orders", "kind", string(o.Kind), 1)
		t.recordDecision(fields, "order "+string(o.Kind), o.Reason)
		t.rememberOrder(o)
	case errors.Is(err, backend.ErrStaleFencing):
		t.f.Metrics.Add("fleet_stale_fencing_refusals", 1)
		t.log.WithFields(fields).Warn("server refused an order with a stale fencing token")
	default:
		t.f.Metrics.Count("fleet_orders_failed", "kind", string(o.Kind), 1)
		t.log.WithError(err).WithFields(fields).Debug("order failed; the next plan repeats it")
	}
	return err
}

// rememberOrder keeps an accepted order until the server's load report shows it.
func (t *term) rememberOrder(o fleet.Order) {
	key, value := orderKey(o.Order)
	if key == "" {
		return
	}
	if t.ordered[o.Server] == nil {
		t.ordered[o.Server] = map[string]acceptedOrder{}
	}
	t.ordered[o.Server][key] = acceptedOrder{value, time.Now()}
	if o.Kind == backend.LoadModel {
		if t.updated[o.Model] == nil {
			t.updated[o.Model] = map[string]bool{}
		}
		t.updated[o.Model][o.Server] = true
	}
}

// pruneOrders forgets orders that load reports confirm, orders older than orderReportTimeout, and orders to servers
// that are gone. Role orders are kept as long as the server is listed, as reports do not show roles.
func (t *term) pruneOrders(servers []Server) {
	now := time.Now()
	kept := make(map[string]map[string]acceptedOrder, len(t.ordered))
	for _, s := range servers {
		orders := t.ordered[s.ID]
		for key, order := range orders {
			reported := slices.Contains(s.Load.Models, key) || slices.Contains(s.Load.Adapters, key)
			if age := now.Sub(order.at); key != "role" && (reported && age > reportLag || age > orderReportTimeout) {
				delete(orders, key)
			}
		}
		if len(orders) > 0 {
			kept[s.ID] = orders
		}
	}
	t.ordered = kept
}

func (t *term) ordersOn(server string) map[string]string {
	out := make(map[string]string, len(t.ordered[server]))
	for key, order := range t.ordered[server] {
		out[key] = order.value
	}
	return out
}

// trackVersions records in the row the models whose configured version all their servers have. Load reports contain no
// versions, so the row keeps the last version that was deployed everywhere. For a model without one in the row, the
// configured version is recorded at once. A successor repeats the orders of an incomplete update; engines ignore an
// order for a version that they already have.
func (t *term) trackVersions(groups []fleet.Group, servers []Server) {
	for _, g := range groups {
		for _, m := range g.Models {
			if t.deployedVersion(m.Name) == m.Version {
				delete(t.updated, m.Name)
				continue
			}
			if t.deployedVersion(m.Name) == "" || t.updatedOnAll(m.Name, servers) {
				t.setDeployedVersion(m.Name, m.Version)
			}
		}
	}
}

func (t *term) updatedOnAll(model string, servers []Server) bool {
	loaded := false
	for _, s := range servers {
		if !slices.Contains(s.Load.Models, model) {
			continue
		}
		loaded = true
		if !t.updated[model][s.ID] {
			return false
		}
	}
	return loaded
}

func (t *term) deployedVersion(model string) string {
	for _, v := range t.row.Versions {
		if v.Model == model {
			return v.Version
		}
	}
	return ""
}

func (t *term) setDeployedVersion(model, version string) {
	for _, v := range t.row.Versions {
		if v.Model == model {
			v.Version = version
			return
		}
	}
	t.row.Versions = append(t.row.Versions, &pb.FleetVersion{Model: model, Version: version})
}

// versionsOn returns the known versions of the models on a server; "" stands for an unknown one.
func (t *term) versionsOn(s Server) map[string]string {
	out := make(map[string]string, len(s.Load.Models))
	index := t.f.Config()
	for _, name := range s.Load.Models {
		out[name] = t.deployedVersion(name)
		if t.updated[name][s.ID] && index != nil {
			if m, ok := index.Model(name); ok {
				out[name] = m.Version
			}
		}
	}
	return out
}
