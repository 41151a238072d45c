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

// loadLimit is how long an order may take to show in the server's report before it is given again.
const loadLimit = 5 * time.Minute

// unloadDelay is how long a model must be out of the configuration before it is unloaded, so that an edit that is soon
// undone costs no load.
const unloadDelay = 10 * time.Minute

// reportLag is how long reports may show what was before an order.
const reportLag = 10 * time.Second

// given is an order that was accepted by the server.
type given struct {
	value string
	at    time.Time
}

// keyOf returns the key and the value of an order in fleet.Server.Ordered.
func keyOf(o backend.Order) (key, value string) {
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

// orderAll gives the orders of the plan, most needed first. A load that the weight store does not allow yet keeps the
// loads after it waiting, too, so that small ones do not overtake those that are needed more.
func (t *term) orderAll(ctx context.Context, servers []Server) error {
	addrs := make(map[string]string, len(servers))
	for _, s := range servers {
		addrs[s.ID] = s.Addr
	}
	blocked := time.Now().Before(t.loadAfter)
	t.trackUnwanted()
	for _, o := range t.plan.Orders {
		addr := addrs[o.Server]
		if o.Kind == backend.Unload && time.Since(t.unwanted[o.Model]) < unloadDelay {
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

// trackUnwanted notes since when the plan wants models to be unloaded.
func (t *term) trackUnwanted() {
	unwanted := map[string]time.Time{}
	for _, o := range t.plan.Orders {
		if o.Kind != backend.Unload {
			continue
		}
		since := t.unwanted[o.Model]
		if since.IsZero() {
			since = time.Now()
		}
		unwanted[o.Model] = since
	}
	t.unwanted = unwanted
}

func (t *term) reserve(ctx context.Context, o fleet.Order) (time.Duration, error) {
	var wait time.Duration
	err := t.guarded(ctx, func(ctx context.Context, _ uint64) (err error) {
		wait, err = t.f.Weights.Reserve(ctx, o.Model, o.WeightsMiB)
		return err
	})
	return wait, err
}

func (t *term) order(ctx context.Context, addr string, o fleet.Order) error {
	err := t.guarded(ctx, func(ctx context.Context, fencing uint64) error {
		o.Fencing = fencing
		return t.f.Order(ctx, addr, o.Order)
	})
	fields := logrus.Fields{"instance": o.Server, "order": string(o.Kind), "model": o.Model, "version": o.Version, "adapter": o.Adapter}
	switch {
	case err == nil:
		t.f.Metrics.Count("fleet_orders", "kind", string(o.Kind), 1)
		t.note(fields, "order "+string(o.Kind), o.Reason)
		t.keep(o)
	case errors.Is(err, backend.ErrStaleFencing):
		t.f.Metrics.Add("fleet_stale_fencing_refusals", 1)
		t.log.WithFields(fields).Warn("server refused an order with a stale fencing number")
	default:
		t.f.Metrics.Count("fleet_orders_failed", "kind", string(o.Kind), 1)
		t.log.WithError(err).WithFields(fields).Debug("order failed; the next plan repeats it")
	}
	return err
}

// keep remembers an order until the server's report shows it.
func (t *term) keep(o fleet.Order) {
	key, value := keyOf(o.Order)
	if key == "" {
		return
	}
	if t.ordered[o.Server] == nil {
		t.ordered[o.Server] = map[string]given{}
	}
	t.ordered[o.Server][key] = given{value, time.Now()}
	if o.Kind == backend.LoadModel {
		if t.updated[o.Model] == nil {
			t.updated[o.Model] = map[string]bool{}
		}
		t.updated[o.Model][o.Server] = true
	}
}

// trackOrders forgets the orders that the reports show, those that took too long, and those of servers that are gone.
func (t *term) trackOrders(servers []Server) {
	now := time.Now()
	kept := make(map[string]map[string]given, len(t.ordered))
	for _, s := range servers {
		orders := t.ordered[s.ID]
		for key, order := range orders {
			shown := slices.Contains(s.Load.Models, key) || slices.Contains(s.Load.Adapters, key)
			if age := now.Sub(order.at); key != "role" && (shown && age > reportLag || age > loadLimit) {
				delete(orders, key)
			}
		}
		if len(orders) > 0 {
			kept[s.ID] = orders
		}
	}
	t.ordered = kept
}

func (t *term) orderedOn(server string) map[string]string {
	out := make(map[string]string, len(t.ordered[server]))
	for key, order := range t.ordered[server] {
		out[key] = order.value
	}
	return out
}

// trackVersions finds out which models have their present version on all servers. Reports name no versions, so the row
// keeps the last version that all servers have. A successor repeats the orders of an update that was not complete;
// engines ignore an order for the version they have.
func (t *term) trackVersions(groups []fleet.Group, servers []Server) {
	for _, g := range groups {
		for _, m := range g.Models {
			if t.versionOf(m.Name) == m.Version {
				delete(t.updated, m.Name)
				continue
			}
			if t.versionOf(m.Name) == "" || t.updatedAll(m.Name, servers) {
				t.setVersion(m.Name, m.Version)
			}
		}
	}
}

func (t *term) updatedAll(model string, servers []Server) bool {
	held := false
	for _, s := range servers {
		if !slices.Contains(s.Load.Models, model) {
			continue
		}
		held = true
		if !t.updated[model][s.ID] {
			return false
		}
	}
	return held
}

func (t *term) versionOf(model string) string {
	for _, v := range t.row.Versions {
		if v.Model == model {
			return v.Version
		}
	}
	return ""
}

func (t *term) setVersion(model, version string) {
	for _, v := range t.row.Versions {
		if v.Model == model {
			v.Version = version
			return
		}
	}
	t.row.Versions = append(t.row.Versions, &pb.FleetVersion{Model: model, Version: version})
}

// versionsOn returns the versions of the models on a server as far as they are known.
func (t *term) versionsOn(s Server) map[string]string {
	out := make(map[string]string, len(s.Load.Models))
	index := t.f.Config()
	for _, name := range s.Load.Models {
		out[name] = t.versionOf(name)
		if t.updated[name][s.ID] && index != nil {
			if m, ok := index.Model(name); ok {
				out[name] = m.Version
			}
		}
	}
	return out
}
