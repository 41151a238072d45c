package edge

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// configView holds the configuration in force on this node. Its version never falls.
type configView struct {
	store   Store
	records Records
	names   Names
	log     *logrus.Entry
	// changed is called after each change, before requests see it.
	changed func(*serving.Config)
	// news is called after a change that this node has read from the store: nodes that do not read hear of it in beats,
	// whose interval grows with their number.
	news func()
	turn *storeTurn

	current atomic.Pointer[serving.Config]
	mu      sync.Mutex // guards raw and the change of current
	raw     []byte
	badRow  uint64 // version of the last row that could not be read, to log it once
}

// Load returns the configuration in force, or nil.
func (v *configView) Load() *serving.Config { return v.current.Load() }

// Version returns the version in force, or 0.
func (v *configView) Version() uint64 {
	if c := v.Load(); c != nil {
		return c.Version
	}
	return 0
}

// Raw returns the configuration as the store has it, for other nodes.
func (v *configView) Raw() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.raw
}

// accept puts a configuration into force if it is newer.
func (v *configView) accept(value []byte, source string) error {
	c, err := v.records.Config(value)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Version <= v.Version() {
		return nil
	}
	v.log.WithFields(logrus.Fields{"version": c.Version, "before": v.Version(), "source": source}).Info(logline.ConfigInForce)
	v.raw = value
	v.changed(c)
	v.current.Store(c)
	return nil
}

// follow reads the configuration and, while it is this node's turn, waits for changes, until ctx ends.
func (v *configView) follow(ctx context.Context) {
	link := dependency{log: v.log, name: "store configuration", lost: v.turn.lost}
	reader := &tableReader{store: v.store, table: v.names.OperatorTable, take: func(_ context.Context, c platform.Change) error {
		if !c.Deleted {
			v.take(c.Row)
		}
		return nil
	}}
	v.turn.follow(ctx, &link, reader.step)
}

func (v *configView) take(row platform.Row) {
	if row.Key != v.names.ConfigKey {
		return
	}
	before := v.Version()
	err := v.accept(row.Value, "store")
	if v.Version() > before {
		v.news()
	}
	if err != nil && v.badRow != row.Version {
		v.badRow = row.Version
		v.log.WithError(err).WithField("row_version", row.Version).Error(logline.ConfigRowUnreadable)
	}
}
