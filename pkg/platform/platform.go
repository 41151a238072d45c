// Package platform declares the interfaces to the services of the user's existing platform: a transactional table
// service, an object store, the operators' folder, a cloud API, an instance list and a weight store.
//
// The system has no store of its own: all state that must be durable or consistent between nodes goes through these
// interfaces. Adapters implement them; package platformtest has the contract tests that every adapter must pass. Code
// that makes decisions does not import an adapter. All calls honour the deadline of their context.
package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors that every adapter returns, possibly wrapped.
var (
	// ErrNotFound means that the read, which may be stale, found no such row or object.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable means that the call was refused and had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect, or may still do so later.
	ErrOutcomeUnknown = errors.New("platform: outcome of the write is unknown")
	// ErrStartRefused means that the cloud has no capacity for the class in the failure domain.
	ErrStartRefused = errors.New("platform: instance start refused")
)

// ConflictError reports which mutations of a transaction failed their condition; nothing was written.
type ConflictError struct {
	// Failed holds the indexes of the mutations whose conditions do not hold, in ascending order.
	Failed []int
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: condition failed for mutations %v", e.Failed)
}

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Version increases with each write of the row, also over the eras of the store; see MakeVersion. It is never 0 and
	// is not reused, even after the row is deleted.
	Version uint64
}

// ConditionKind is the kind of a condition.
type ConditionKind int

// Kinds of conditions: none, that the row does not exist, and that it has a given version.
const (
	Always ConditionKind = iota
	Absent
	VersionIs
)

// Condition is a precondition of a mutation.
type Condition struct {
	Kind    ConditionKind
	Version uint64 // for VersionIs
}

// Mutation writes or deletes one row, or only checks its condition.
type Mutation struct {
	Table, Key string
	Value      []byte
	Delete     bool
	CheckOnly  bool
	If         Condition
}

// Table is the transactional table service. Commit evaluates conditions against the current rows; Get and List may
// return rows that are a few seconds old.
type Table interface {
	// Get returns ErrNotFound for a row that does not exist.
	Get(ctx context.Context, table, key string) (Row, error)
	// List returns up to limit rows whose keys have the prefix and are greater than after, in the order of their keys.
	List(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies all mutations or none and returns the new row versions. Its errors are *ConflictError,
	// ErrUnavailable and ErrOutcomeUnknown; it returns ErrOutcomeUnknown if the context ends during the call. A condition
	// on a version of an era that is known to have passed is a conflict. A write that took effect in another era than the
	// one known before the call returns ErrOutcomeUnknown if it has a condition on a version: the row may have had other
	// content than the caller knows.
	Commit(ctx context.Context, mutations []Mutation) ([]uint64, error)
	// Era returns the newest era of the store that any answer has shown, or 0 before the first one, and a channel that is
	// closed when a newer one becomes known.
	Era() (era uint64, changed <-chan struct{})
}

// Objects is the object store. Objects are immutable: an existing name can be written again only with the same content.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// FolderState is the operators' folder at one revision.
type FolderState struct {
	// Revision increases with each edit.
	Revision uint64
	// Files maps file names to contents.
	Files map[string][]byte
}

// Folder is the operators' folder. Read may return an older revision but never a mixture of two revisions.
type Folder interface {
	Read(ctx context.Context) (FolderState, error)
}

// InstanceKind is the kind of process that runs on an instance.
type InstanceKind string

// Kinds of instances.
const (
	EntryNode    InstanceKind = "entry"
	ModelEngine  InstanceKind = "engine"
	PlainService InstanceKind = "service"
)

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// States of an instance.
const (
	Starting InstanceState = "starting"
	Live     InstanceState = "live"
	Leaving  InstanceState = "leaving"
)

// Instance is one machine of the cloud.
type Instance struct {
	ID            string        `json:"id"`
	Kind          InstanceKind  `json:"kind"`
	State         InstanceState `json:"state"`
	Region        string        `json:"region"`
	FailureDomain string        `json:"failure_domain"`
	// Addr is the address for requests, as IP:port.
	Addr string `json:"addr"`
	// NodeAddr is the address for other entry nodes, as IP:port; entry nodes only.
	NodeAddr string `json:"node_addr,omitempty"`
	// BackendGroup names the group of a backend server.
	BackendGroup  string `json:"backend_group,omitempty"`
	InstanceClass string `json:"instance_class,omitempty"`
	Reclaimable   bool   `json:"reclaimable,omitempty"`
	// PricePerHourMicros is in millionths of the currency unit.
	PricePerHourMicros uint64 `json:"price_per_hour_micros,omitempty"`
	// Deadline is the time when a leaving instance is stopped.
	Deadline time.Time `json:"deadline,omitzero"`
}

// InstanceList lists the starting, live and leaving instances. It lags behind the cloud by a few seconds.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// StartRequest is a request to start one instance.
type StartRequest struct {
	// Token is an idempotency token: a request with the same token returns the same instance.
	Token         string       `json:"token"`
	Kind          InstanceKind `json:"kind"`
	BackendGroup  string       `json:"backend_group"`
	InstanceClass string       `json:"instance_class"`
	Region        string       `json:"region"`
	FailureDomain string       `json:"failure_domain"`
	Reclaimable   bool         `json:"reclaimable"`
}

// Notice is a notice that the cloud will reclaim an instance at the deadline.
type Notice struct {
	Number   uint64    `json:"number"`
	Instance string    `json:"instance"`
	Deadline time.Time `json:"deadline"`
}

// Price is the current price of an instance class in a failure domain.
type Price struct {
	InstanceClass      string `json:"instance_class"`
	FailureDomain      string `json:"failure_domain"`
	Reclaimable        bool   `json:"reclaimable"`
	PricePerHourMicros uint64 `json:"price_per_hour_micros"`
}

// Cloud is the cloud API.
type Cloud interface {
	// Start returns ErrStartRefused when there is no capacity.
	Start(ctx context.Context, req StartRequest) (Instance, error)
	// Stop is idempotent.
	Stop(ctx context.Context, instance string) error
	Prices(ctx context.Context) ([]Price, error)
	// Notices returns the reclaim notices whose numbers are greater than after. If there are none, it waits for one until
	// the context's deadline and then returns none without an error.
	Notices(ctx context.Context, after uint64) ([]Notice, error)
}

// Weights is the rate-limited store from which backend servers load model weights.
type Weights interface {
	// Reserve reserves the rate for loading sizeMiB MiB now and returns 0. If the rate does not allow it yet, it reserves
	// nothing and returns the time to wait before calling it again.
	Reserve(ctx context.Context, model string, sizeMiB uint32) (wait time.Duration, err error)
}

// ErrHistoryGone means that the requested changes are no longer retained, or that the store has returned from a copy
// since; the table must be read with Snapshot again.
var ErrHistoryGone = errors.New("platform: history of the table is gone")

// Change is the write or deletion of a row.
type Change struct {
	Row
	Deleted bool
}

// Feed reads whole tables and their changes. All versions of an era come from a single counter of the store.
type Feed interface {
	// Snapshot returns all rows of a table, in the order of their keys, and the newest version of the store.
	Snapshot(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the changes after version since, in order, and the version to continue from. It waits up to wait
	// for the first change. It returns ErrHistoryGone if the changes are no longer retained.
	Changes(ctx context.Context, table string, since uint64, wait time.Duration) ([]Change, uint64, error)
}
