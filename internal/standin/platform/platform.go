// Package platform is a stand-in of the platform: table service, object store, operators' folder, cloud API,
// instance list and weight store, each with fault injection, and one HTTP handler for all of them.
//
// Table and objects are those of packages table and object. Time comes from package time only, so the stand-in
// runs in virtual time when it is used without HTTP.
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
	// Seed of all random choices.
	Seed uint64
	// Folder is the operators' folder: a *MemFolder or a *DirFolder; nil means an empty MemFolder.
	Folder FolderSource
	// Cloud configures cloud API and instance list.
	Cloud CloudOptions
	// WeightsMiBPerSecond is the rate of the weight store; 0 means no limit.
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
	faults table.Faults // of the store; objects share outage and latency
}

// FolderSource is an operators' folder with faults.
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

// Close stops all servers that the cloud has launched.
func (p *Platform) Close() { p.Cloud.Close() }

// StoreOutage takes table and object store down, or up again with table.NoOutage.
func (p *Platform) StoreOutage(kind table.Outage) {
	p.changeFaults(func(f *table.Faults) { f.Outage = kind })
}

// StoreSlow makes each call of table and object store take a time between the bounds.
func (p *Platform) StoreSlow(least, most time.Duration) {
	p.changeFaults(func(f *table.Faults) { f.MinLatency, f.MaxLatency = least, most })
}

// LostAnswers makes a share of the table's writes take effect without an answer; hangs makes the caller wait
// until its own deadline.
func (p *Platform) LostAnswers(percent int, hangs bool) {
	p.changeFaults(func(f *table.Faults) { f.LostPercent, f.LostHangs = percent, hangs })
}

// LateWrites makes a share of the table's writes answer without an outcome and take effect later.
func (p *Platform) LateWrites(percent int, most time.Duration) {
	p.changeFaults(func(f *table.Faults) { f.LatePercent, f.MaxLate = percent, most })
}

// StaleReads makes a share of the table's reads return an older state.
func (p *Platform) StaleReads(percent int, most time.Duration) {
	p.changeFaults(func(f *table.Faults) { f.StalePercent, f.MaxStale = percent, most })
}

// HealStore ends all faults of table and object store.
func (p *Platform) HealStore() {
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
