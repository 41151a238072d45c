package edge

import (
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/placement"
)

// exportLoads returns what this node has in progress on servers, and the newest loads that they have reported to it.
func (n *Node) exportLoads(now time.Time) []*pb.ServerUse {
	loads, reports := n.board.OwnLoads(now), n.board.OwnReports(now)
	out := make([]*pb.ServerUse, 0, len(loads)+len(reports))
	for id, load := range loads {
		out = append(out, &pb.ServerUse{Server: nameHash(id), Running: uint32(load.Running), PrefillTokens: uint32(load.Prefill),
			Failures: uint32(10 * load.Failures), Events: uint32(load.Events), MemoryTokens: uint32(load.Memory), Report: exportReport(reports, id)})
	}
	for id := range reports {
		if _, included := loads[id]; !included {
			out = append(out, &pb.ServerUse{Server: nameHash(id), Report: exportReport(reports, id)})
		}
	}
	return out
}

func exportReport(reports map[string]placement.Report, id string) *pb.ServerReport {
	r, ok := reports[id]
	if !ok {
		return nil
	}
	out := &pb.ServerReport{WorkPercent: uint32(100 * r.WorkTime), AgeMs: uint32(r.Age.Milliseconds())}
	if r.HasCounts {
		out.RequestsPlusOne = uint32(r.Running+r.Waiting) + 1
	}
	return out
}

// serverLoads maps the server hashes of a heartbeat to server ids; unknown servers are skipped.
func (n *Node) serverLoads(heartbeat *pb.PeerBeat) (loads map[string]placement.Load, reports map[string]placement.Report) {
	ids := n.board.IDsByHash(nameHash)
	loads, reports = make(map[string]placement.Load, len(heartbeat.Loads)), map[string]placement.Report{}
	for _, l := range heartbeat.Loads {
		id, ok := ids[l.Server]
		if !ok {
			continue
		}
		loads[id] = placement.Load{Running: float64(l.Running), Prefill: float64(l.PrefillTokens), Failures: float64(l.Failures) / 10,
			Events: float64(l.Events), Memory: float64(l.MemoryTokens)}
		if r := l.Report; r != nil {
			reports[id] = placement.Report{Running: max(int(r.RequestsPlusOne)-1, 0), HasCounts: r.RequestsPlusOne > 0,
				WorkTime: float64(r.WorkPercent) / 100, Age: time.Duration(r.AgeMs) * time.Millisecond}
		}
	}
	return loads, reports
}
