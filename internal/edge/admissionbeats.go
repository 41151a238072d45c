package edge

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/admission"
)

const (
	// costUnits is the number of units of a cost in heartbeats in a server-second.
	costUnits = 10_000
	// maxOffersSent limits the workspaces in a heartbeat, about 15 bytes each, to those that offer most. Others are
	// counted by each node on its own.
	maxOffersSent = 24
)

// export returns the part of a heartbeat that belongs to admission.
func (a *admissionControl) export(now time.Time) []*pb.ServiceAdmission {
	services := a.snapshot()
	out := make([]*pb.ServiceAdmission, 0, len(services))
	for name, s := range services {
		report := s.gate.Export(now)
		slices.SortFunc(report.Offers, func(x, y admission.Offer) int { return cmp.Compare(sum(y.PerSecond), sum(x.PerSecond)) })
		m := &pb.ServiceAdmission{Service: nameHash(name), Served: toUnits(report.Served), Offered: toUnits(report.Offered)}
		for _, offer := range report.Offers[:min(len(report.Offers), maxOffersSent)] {
			if o := exportOffer(offer); len(o.Offered) > 0 {
				m.Offers = append(m.Offers, o)
			}
		}
		for _, r := range s.gate.Returns(now) {
			m.ReturnKeys, m.ReturnMs = append(m.ReturnKeys, r.Key), append(m.ReturnMs, uint32(r.In.Milliseconds()))
		}
		out = append(out, m)
	}
	return out
}

func exportOffer(offer admission.Offer) *pb.WorkspaceOffer {
	o := &pb.WorkspaceOffer{}
	if offer.Workspace != "" {
		o.Workspace = nameHash(offer.Workspace)
	}
	for p, v := range offer.PerSecond {
		if units := toUnits(v); units > 0 {
			for len(o.Offered) < p {
				o.Offered = append(o.Offered, 0)
			}
			o.Offered = append(o.Offered, units)
		}
	}
	return o
}

func sum(values [admission.Priorities]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func toUnits(v float64) uint32 { return uint32(min(max(math.Round(v*costUnits), 0), math.MaxUint32)) }

// apply stores what another node reports. Services and workspaces that this node does not know are skipped.
func (a *admissionControl) apply(heartbeat *pb.PeerBeat, workspaces func() map[string]float64, now time.Time) {
	if len(heartbeat.Admission) == 0 {
		return
	}
	names := map[uint32]string{0: ""}
	for name := range workspaces() {
		names[nameHash(name)] = name
	}
	for name, s := range a.snapshot() {
		for _, m := range heartbeat.Admission {
			if m.Service != nameHash(name) {
				continue
			}
			s.gate.SetPeer(heartbeat.Node, peerReport(m, names), now)
			s.gate.AddReturns(peerReturns(m), now)
		}
	}
}

func peerReport(m *pb.ServiceAdmission, names map[uint32]string) admission.Report {
	report := admission.Report{Served: float64(m.Served) / costUnits, Offered: float64(m.Offered) / costUnits}
	for _, o := range m.Offers {
		name, known := names[o.Workspace]
		if !known {
			continue
		}
		offer := admission.Offer{Workspace: name}
		for p, v := range o.Offered {
			offer.PerSecond[min(p, admission.Priorities-1)] += float64(v) / costUnits
		}
		report.Offers = append(report.Offers, offer)
	}
	return report
}

func peerReturns(m *pb.ServiceAdmission) []admission.Return {
	out := make([]admission.Return, 0, len(m.ReturnKeys))
	for i, key := range m.ReturnKeys {
		if i < len(m.ReturnMs) {
			out = append(out, admission.Return{Key: key, In: time.Duration(m.ReturnMs[i]) * time.Millisecond})
		}
	}
	return out
}
