// Package platform is a stand-in for the platform: table service, object store, operators' folder, cloud API,
// instance list and weight store, each with fault injection, and one HTTP handler for all of them.
//
// Table and object store are those of packages table and object. The only clock is package time, so the stand-in runs
// in virtual time if it is used without HTTP.
package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/standin/object"
	"github.com/pollenlug/pollenlug/internal/standin/table"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Options configure a Platform.
type Options struct {
	// Seed determines all random choices.
	Seed uint64
	// Folder is the operators' folder: a *MemFolder or a *DirFolder; nil means an empty MemFolder.
	Folder FolderSource
	// Cloud configures the cloud API and the instance list.
	Cloud CloudOptions
	// WeightsMiBPerSecond is the throughput of the weight store; 0 means no limit.
	WeightsMiBPerSecond uint32
}

// Platform is the stand-in. Its parts may be used directly, without HTTP.
type Platform struct {
	Table   *table.Table
	Objects *object.Store
	Folder  FolderSource
	Cloud   *Cloud
	Weights *Weights

	mux *http.ServeMux

	mu     sync.Mutex
	faults table.Faults // of the table; the object store has the same outage and maximum latency
}

// FolderSource is an operators' folder with fault injection.
type FolderSource interface {
	platform.Folder
	// SetFaults replaces the faults of the folder.
	SetFaults(FolderFaults)
}

// New returns a stand-in without faults.
func New(o Options) *Platform {
	if o.Folder == nil {
		o.Folder = NewMemFolder(nil)
	}
	p := &Platform{
		Table:   table.New(table.Options{Seed: o.Seed}),
		Objects: object.New(),
		Folder:  o.Folder,
		Cloud:   NewCloud(o.Cloud),
		Weights: NewWeights(o.WeightsMiBPerSecond),
	}
	p.mux = p.routes()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Close stops all instances of the cloud.
func (p *Platform) Close() { p.Cloud.Close() }

// StoreOutage starts an outage of the table and the object store; table.NoOutage ends it.
func (p *Platform) StoreOutage(kind table.Outage) {
	p.changeFaults(func(f *table.Faults) { f.Outage = kind })
}

// StoreSlow makes each call of the table take a time between the bounds, and each call of the object store maxLatency.
func (p *Platform) StoreSlow(minLatency, maxLatency time.Duration) {
	p.changeFaults(func(f *table.Faults) { f.MinLatency, f.MaxLatency = minLatency, maxLatency })
}

// LoseResponses makes a percentage of the table's writes take effect but return ErrOutcomeUnknown. With hangs they
// return only when the caller's context ends.
func (p *Platform) LoseResponses(percent int, hangs bool) {
	p.changeFaults(func(f *table.Faults) { f.LostPercent, f.LostHangs = percent, hangs })
}

// LateWrites makes a percentage of the table's writes return ErrOutcomeUnknown and take effect up to maxDelay later.
func (p *Platform) LateWrites(percent int, maxDelay time.Duration) {
	p.changeFaults(func(f *table.Faults) { f.LatePercent, f.MaxLate = percent, maxDelay })
}

// StaleReads makes a percentage of the table's reads return a state that is up to maxAge old.
func (p *Platform) StaleReads(percent int, maxAge time.Duration) {
	p.changeFaults(func(f *table.Faults) { f.StalePercent, f.MaxStale = percent, maxAge })
}

// ClearStoreFaults ends all faults of the table and the object store.
func (p *Platform) ClearStoreFaults() {
	p.changeFaults(func(f *table.Faults) { *f = table.Faults{} })
}

func (p *Platform) changeFaults(change func(*table.Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
	p.Table.SetFaults(p.faults)
	p.Objects.SetFaults(object.Faults{
		Refusing: p.faults.Outage == table.Refusing,
		Hanging:  p.faults.Outage == table.Hanging,
		Latency:  p.faults.MaxLatency,
	})
}
