package placement

import (
	"time"

	"github.com/pollenlug/pollenlug/pkg/serving"
)

// ObserveReply records the load that a server has reported in a response. Reports of another incarnation of the server
// are ignored.
func (b *Board) ObserveReply(from serving.Server, reply serving.Reply, now time.Time) {
	if !reply.HasLoad {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[from.ID]
	if s == nil || s.Born != from.Born || s.Address != from.Address {
		return
	}
	s.report, s.reportedAt = reply, now
	if reply.WorkTime > 0 {
		b.sharedMachines[s.Service] = true
	}
	if b.sharedMachines[s.Service] {
		b.observeLoad(s, Report{Running: reply.Running, Waiting: reply.Waiting, HasCounts: true, WorkTime: reply.WorkTime}, true, now)
	}
}

// OnSharedMachines reports whether servers of the service have reported how long work takes on their machines now, which
// only servers that share their machines do.
func (b *Board) OnSharedMachines(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sharedMachines[service]
}
