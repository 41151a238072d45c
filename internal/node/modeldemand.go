package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/fleet"
)

const (
	modelDemandKeyPrefix = "model-demand/"
	// modelDemandIntervalPerNode makes the publishing interval proportional to the number of nodes, so that each node
	// receives five items per second, with 13 bytes for each model in demand. At 400 nodes an item is the mean of 80 s.
	modelDemandIntervalPerNode = 200 * time.Millisecond
	minModelDemandInterval     = time.Second
	// modelDemandTTLIntervals is the lifetime of an item in publishing intervals. A node's demand thus outlives the
	// loss of two items in a row.
	modelDemandTTLIntervals = 3
	// meanTokensWeight is the weight of one response in the moving average of a model's response length.
	meanTokensWeight = 0.02
)

// modelDemand counts the demand of callers for each model. A request counts on arrival, with the mean length of the
// model's responses, even if it is refused later: the number of servers must follow the demand, not what the present
// servers can handle.
type modelDemand struct {
	mu         sync.Mutex
	counted    map[string]fleet.Demand // totals of the current interval, not rates
	ownRates   map[string]fleet.Demand // rates in the last interval
	meanTokens map[string]float64      // mean response length by model
	peers      map[string]peerDemand
}

type peerDemand struct {
	demands []*pb.ModelDemand
	expires time.Time
}

func newModelDemand() *modelDemand {
	return &modelDemand{
		counted:    map[string]fleet.Demand{},
		ownRates:   map[string]fleet.Demand{},
		meanTokens: map[string]float64{},
		peers:      map[string]peerDemand{},
	}
}

// countRequest counts a request for a model and returns the function that records the length of its response.
func (d *modelDemand) countRequest(model string, maxTokens uint32) (recordTokens func(tokens uint32)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	expectedTokens, known := d.meanTokens[model]
	if !known {
		expectedTokens = float64(maxTokens)
	}
	sum := d.counted[model]
	d.counted[model] = fleet.Demand{TokensPerSecond: sum.TokensPerSecond + expectedTokens, RequestsPerSecond: sum.RequestsPerSecond + 1}
	return func(tokens uint32) { d.recordTokens(model, tokens) }
}

func (d *modelDemand) recordTokens(model string, tokens uint32) {
	if tokens == 0 {
		return // the request did not run
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	mean, known := d.meanTokens[model]
	if !known {
		mean = float64(tokens)
	}
	d.meanTokens[model] = mean + meanTokensWeight*(float64(tokens)-mean)
}

// endInterval ends an interval and returns the item for the other nodes, or nil if there is nothing to publish.
func (d *modelDemand) endInterval(interval time.Duration) *pb.ModelDemands {
	d.mu.Lock()
	defer d.mu.Unlock()
	hadDemand := len(d.ownRates) > 0 // the end of a demand is published, too
	d.ownRates = map[string]fleet.Demand{}
	out := &pb.ModelDemands{}
	for model, sum := range d.counted {
		rate := fleet.Demand{
			TokensPerSecond:   sum.TokensPerSecond / interval.Seconds(),
			RequestsPerSecond: sum.RequestsPerSecond / interval.Seconds(),
		}
		d.ownRates[model] = rate
		out.Demands = append(out.Demands, &pb.ModelDemand{
			ModelHash:               modelHash(model),
			TokensPerSecond:         uint32(rate.TokensPerSecond),
			RequestsPer_1000Seconds: uint32(rate.RequestsPerSecond * 1000),
		})
	}
	d.counted = map[string]fleet.Demand{}
	if !hadDemand && len(out.Demands) == 0 {
		return nil
	}
	return out
}

func modelHash(model string) uint32 { return uint32(xxhash.Sum64String(model)) }

func (d *modelDemand) setPeerDemand(node string, message *pb.ModelDemands, ttl time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[node] = peerDemand{message.Demands, time.Now().Add(ttl)}
}

// total returns the demand on all nodes by model, for the models of the configuration.
func (d *modelDemand) total(index *config.Index) map[string]fleet.Demand {
	out := map[string]fleet.Demand{}
	if index == nil {
		return out
	}
	names := map[uint32]string{}
	for _, m := range index.Folder().Models {
		names[modelHash(m.Name)] = m.Name
	}
	add := func(model string, tokens, requests float64) {
		sum := out[model]
		out[model] = fleet.Demand{TokensPerSecond: sum.TokensPerSecond + tokens, RequestsPerSecond: sum.RequestsPerSecond + requests}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, rate := range d.ownRates {
		add(model, rate.TokensPerSecond, rate.RequestsPerSecond)
	}
	now := time.Now()
	for node, peer := range d.peers {
		if now.After(peer.expires) {
			delete(d.peers, node)
			continue
		}
		for _, demand := range peer.demands {
			if model, ok := names[demand.ModelHash]; ok {
				add(model, float64(demand.TokensPerSecond), float64(demand.RequestsPer_1000Seconds)/1000)
			}
		}
	}
	return out
}

// exchangeModelDemand publishes this node's demand per model to the other nodes, and receives theirs, until ctx ends.
func (n *Node) exchangeModelDemand(ctx context.Context) {
	self := n.opts.Settings.Node
	n.cluster.gossip.Watch(modelDemandKeyPrefix, func(item *pb.GossipItem) {
		message := &pb.ModelDemands{}
		node := strings.TrimPrefix(item.Key, modelDemandKeyPrefix)
		if node != self && proto.Unmarshal(item.Value, message) == nil {
			n.modelDemand.setPeerDemand(node, message, time.Duration(item.TtlMs)*time.Millisecond)
		}
	})
	for ctx.Err() == nil {
		interval := max(minModelDemandInterval, time.Duration(len(n.cluster.live()))*modelDemandIntervalPerNode)
		start := time.Now()
		clock.Sleep(ctx, interval)
		if item := n.modelDemand.endInterval(time.Since(start)); item != nil {
			n.cluster.publish(modelDemandKeyPrefix+self, item, modelDemandTTLIntervals*interval, false)
		}
	}
}
