package devcluster

import (
	"errors"
	"fmt"

	"github.com/pollenlug/pollenlug/internal/example"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// minServersPerGroup and maxServersPerGroup bound the engines of one group in a development cluster.
	minServersPerGroup = 8
	maxServersPerGroup = 24
)

// standinServers returns the stand-ins for the groups of the configuration directory dir, or of the example
// configuration if dir is empty. They are spread over the failure domains.
func standinServers(dir string) ([]*pb.StandinServer, error) {
	files := example.Files()
	if dir != "" {
		var err error
		if files, err = config.LoadDir(dir); err != nil {
			return nil, err
		}
	}
	merged, faults := config.Merge(files)
	if len(faults) > 0 {
		return nil, errors.New(faults[0].String())
	}
	index := config.NewIndex(&pb.Snapshot{Merged: merged})
	var out []*pb.StandinServer
	for _, group := range merged.BackendGroups {
		out = append(out, serversOfGroup(merged, index, group)...)
	}
	return out, nil
}

func serversOfGroup(merged *pb.FolderFile, index *config.Index, group *pb.BackendGroup) []*pb.StandinServer {
	count := min(max(int(group.MinServers), minServersPerGroup), maxServersPerGroup)
	if group.Kind == pb.BackendGroup_PLAIN_SERVICE {
		count = len(domains)
	}
	var out []*pb.StandinServer
	for i := range count {
		server := &pb.StandinServer{
			Name:          fmt.Sprintf("%s-%d", group.Name, i+1),
			BackendGroup:  group.Name,
			Kind:          group.Kind,
			Region:        region,
			FailureDomain: domains[i%len(domains)],
			Addr:          "127.0.0.1:0",
			Models:        modelsOf(merged, group.Name),
			ChecksFencing: group.ChecksFencing,
			Reclaimable:   i >= len(domains), // one server in each failure domain is on demand
		}
		if len(group.InstanceClasses) > 0 {
			server.InstanceClass = group.InstanceClasses[0]
			if class, ok := index.Class(server.InstanceClass); ok {
				server.PricePerHourMicros = price(class, server.Reclaimable)
			}
		}
		out = append(out, server)
	}
	return out
}

func price(class *pb.InstanceClass, reclaimable bool) uint64 {
	if reclaimable {
		return class.ReclaimablePriceMicros
	}
	return class.OnDemandPriceMicros
}

// modelsOf lists the models of a group with their adapters.
func modelsOf(merged *pb.FolderFile, group string) []string {
	var out []string
	for _, model := range merged.Models {
		if model.BackendGroup != group {
			continue
		}
		out = append(out, model.Name)
		for _, adapter := range model.Adapters {
			out = append(out, model.Name+":"+adapter)
		}
	}
	return out
}

// prices returns the prices of the instance classes of the servers, the same in every failure domain.
func prices(s *pb.StandinSettings) []platform.Price {
	seen := map[platform.Price]bool{}
	var out []platform.Price
	for _, server := range s.Servers {
		for _, domain := range domains {
			p := platform.Price{
				InstanceClass:      server.InstanceClass,
				FailureDomain:      domain,
				Reclaimable:        server.Reclaimable,
				PricePerHourMicros: server.PricePerHourMicros,
			}
			if !seen[p] {
				seen[p] = true
				out = append(out, p)
			}
		}
	}
	return out
}

func (s *Standins) setKillNode(kill func(string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killNode = kill
}
