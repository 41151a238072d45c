package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// configView holds the configuration in force on this node. Its version never decreases.
type configView struct {
	store   Store
	records Records
	names   Names
	log     *logrus.Entry
	// onChange is called with each new configuration before requests see it.
	onChange func(*serving.Config)
	// onRow is called with each other row of the operators' table, and again with rows that are read again.
	onRow func(platform.Row)
	// onStoreChange is called after this node has read a new version from the store. Nodes that do not read the store
	// learn of it from heartbeats, whose interval grows with the number of nodes.
	onStoreChange func()
	readers       *readerSelection
	// awaitSettled delays the first read from the store shortly after its return from a copy: a configuration that the
	// copy lacks comes from peers or is written again.
	awaitSettled func(ctx context.Context) (held bool, err error)

	current    atomic.Pointer[serving.Config]
	mu         sync.Mutex // guards raw, compressed and updates of current
	raw        []byte
	compressed []byte // raw as sent to other nodes; nil until one has asked for it
	invalidRow uint64 // version of the last unreadable row, so that it is logged once
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

// size returns the size of the configuration as encoded in the store, in bytes.
func (v *configView) size() uint32 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return uint32(len(v.raw))
}

// export returns the configuration as encoded in the store, compressed, for other nodes; nil without one.
func (v *configView) export() ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.compressed == nil && v.raw != nil {
		compressed, err := compress(v.raw)
		if err != nil {
			return nil, err
		}
		v.compressed = compressed
	}
	return v.compressed, nil
}

// errOlderConfig means that the store has an older configuration than a peer: it has returned from a copy.
var errOlderConfig = errors.New("the store has an older configuration than a peer")

// readStore reads a configuration of at least the given version from the store.
func (v *configView) readStore(ctx context.Context, version uint64) error {
	row, err := v.store.Get(ctx, v.names.OperatorTable, v.names.ConfigKey)
	if err != nil {
		return err
	}
	c, err := v.records.Config(row.Value)
	if err != nil {
		return err
	}
	if c.Version < version {
		return errOlderConfig
	}
	v.putInForce(c, row.Value, "store")
	return nil
}

// accept puts a configuration into force if its version is newer.
func (v *configView) accept(value []byte, source string) error {
	c, err := v.records.Config(value)
	if err != nil {
		return err
	}
	v.putInForce(c, value, source)
	return nil
}

func (v *configView) putInForce(c *serving.Config, value []byte, source string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Version <= v.Version() {
		return
	}
	v.log.WithFields(logrus.Fields{"version": c.Version, "before": v.Version(), "source": source}).Info(logline.ConfigInForce)
	v.raw, v.compressed = value, nil
	v.onChange(c)
	v.current.Store(c)
}

// watch reads the configuration and, while this node is selected as a store reader, waits for changes, until ctx ends.
func (v *configView) watch(ctx context.Context) {
	dep := dependency{log: v.log, name: "store configuration", lost: v.readers.lost}
	reader := &tableReader{store: v.store, table: v.names.OperatorTable, awaitSettled: v.awaitSettled,
		apply: func(_ context.Context, c platform.Change) error {
			if !c.Deleted {
				v.applyRow(c.Row)
			}
			return nil
		}}
	v.readers.watch(ctx, &dep, reader.step)
}

func (v *configView) applyRow(row platform.Row) {
	if row.Key != v.names.ConfigKey {
		v.onRow(row)
		return
	}
	before := v.Version()
	err := v.accept(row.Value, "store")
	if v.Version() > before {
		v.onStoreChange()
	}
	if err != nil && v.invalidRow != row.Version {
		v.invalidRow = row.Version
		v.log.WithError(err).WithField("row_version", row.Version).Error(logline.ConfigRowUnreadable)
	}
}
