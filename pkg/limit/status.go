package limit

import (
	"math"
	"sort"
)

// Status describes an Admission for operators.
type Status struct {
	// Slots is the number of requests that may run at the same time, Running and Waiting are the numbers of those that
	// run and that are queued.
	Slots      int64             `json:"slots"`
	Running    int64             `json:"running"`
	Waiting    int64             `json:"waiting"`
	Workspaces []WorkspaceStatus `json:"workspaces"`
}

// WorkspaceStatus is the state of one workspace on this node. The rates and Concurrent are this node's shares of limits
// that apply to all nodes together; 0 means no limit.
type WorkspaceStatus struct {
	Name              string  `json:"workspace"`
	Open              int64   `json:"open"`
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
	Concurrent        float64 `json:"concurrent,omitempty"`
}

// Status returns the current state, with the workspaces sorted by name.
func (a *Admission) Status() Status {
	out := Status{Slots: a.queue.slots.Load(), Running: a.queue.taken.Load(), Waiting: a.queue.waiting.Load()}
	now := a.now()
	a.forEachWorkspace(func(name string, w *workspace) {
		share := a.shares.Share(name, now)
		out.Workspaces = append(out.Workspaces, WorkspaceStatus{
			Name:              name,
			Open:              w.concurrent.Load(),
			RequestsPerSecond: finite(share.Requests),
			TokensPerSecond:   finite(share.Tokens),
			Concurrent:        finite(share.Concurrent),
		})
	})
	sort.Slice(out.Workspaces, func(i, j int) bool { return out.Workspaces[i].Name < out.Workspaces[j].Name })
	return out
}

// finite maps infinity, which JSON cannot represent, to 0.
func finite(x float64) float64 {
	if math.IsInf(x, 0) {
		return 0
	}
	return x
}
