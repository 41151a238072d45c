package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/devcluster"
)

const (
	raceDuration = 30 * time.Second
	raceRate     = 10
	// raceSettleTime is how long the nodes have to apply the last edit.
	raceSettleTime   = 10 * time.Second
	racePollInterval = 20 * time.Millisecond
	editorCount      = 2
	editInterval     = 600 * time.Millisecond // on average, of each editor
	// invalidEvery is the interval, in edits of one editor, at which an edit is invalid.
	invalidEvery = 8
	// propagationGoal is the goal for the time from an edit until it is in force on all nodes, at p99.
	propagationGoal = 2 * time.Second
	raceFile        = "60-race.json"
)

// edit is one edit of the operators' folder.
type edit struct {
	revision uint64
	at       time.Time
	valid    bool
}

// configRaceMonitor records the edits of the folder and the configuration in force on each node.
type configRaceMonitor struct {
	testbed *testbed

	mu               sync.Mutex
	edits            []edit
	nodes            []nodeConfig
	regressions      int
	digestMismatches int
	digests          map[uint64]string    // by version
	firstSeen        map[uint64]time.Time // first time at which the version was in force on any node
}

// nodeConfig is the configuration that one node had in force.
type nodeConfig struct {
	version, revision uint64
	// The transitions have the time at which the node first had each higher version or revision in force.
	versionTransitions, revisionTransitions []transition
}

type transition struct {
	number uint64
	at     time.Time
}

// configRace runs two concurrent editors of the same file under load.
func configRace(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	tb, err := startTestbed(devcluster.Options{Seed: opts.Seed})
	if err != nil {
		return nil, err
	}
	defer tb.stop()
	monitor := &configRaceMonitor{testbed: tb, nodes: make([]nodeConfig, testbedNodes), digests: map[uint64]string{}, firstSeen: map[uint64]time.Time{}}
	watchCtx, stopWatching := context.WithCancel(ctx)
	var watchers, editors sync.WaitGroup
	for i := range testbedNodes {
		watchers.Go(func() { monitor.watchNode(watchCtx, i) })
	}
	defer watchers.Wait()
	defer stopWatching()
	run, err := startLoad(ctx, tb.loadOptions(Oleaje, raceRate, raceDuration, opts.Seed))
	if err != nil {
		return nil, err
	}
	for i := range editorCount {
		editors.Go(func() { monitor.runEditor(ctx, opts.Seed, i) })
	}
	editors.Wait()
	<-run.done
	clock.Sleep(ctx, raceSettleTime)
	stopWatching()
	watchers.Wait()
	report, err := run.report(ctx)
	if err != nil {
		return nil, err
	}
	monitor.addFigures(report)
	return report, nil
}

// runEditor edits the file at random intervals for raceDuration.
func (r *configRaceMonitor) runEditor(ctx context.Context, seed uint64, editor int) {
	rng := rand.New(rand.NewPCG(seed, uint64(100+editor)))
	end := time.Now().Add(raceDuration)
	for count := 1; time.Now().Before(end) && ctx.Err() == nil; count++ {
		clock.Sleep(ctx, time.Duration(rng.Int64N(int64(2*editInterval))))
		valid := count%invalidEvery != 0
		content := fmt.Sprintf(`{"policy":{"recompute_weight":%d}}`, rng.IntN(100))
		if !valid {
			content = `{"policy":{"no_such_field":1}}`
		}
		at := time.Now()
		var response struct {
			Revision uint64 `json:"revision"`
		}
		req := devcluster.FaultRequest{File: raceFile, Content: content}
		if err := callFaultAPI(ctx, http.MethodPost, r.testbed.faultAddr, "/folder", req, &response); err != nil {
			continue
		}
		r.mu.Lock()
		r.edits = append(r.edits, edit{response.Revision, at, valid})
		r.mu.Unlock()
	}
}

// watchNode polls the status of a node.
func (r *configRaceMonitor) watchNode(ctx context.Context, node int) {
	url := "http://" + r.testbed.cluster.CallerAddrs()[node] + "/v1/status"
	for ; ctx.Err() == nil; clock.Sleep(ctx, racePollInterval) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		var status struct {
			Config struct {
				Version, FolderRevision uint64
				Digest                  string
			} `json:"config"`
		}
		err = json.NewDecoder(res.Body).Decode(&status)
		_ = res.Body.Close()
		if err == nil {
			r.observe(node, status.Config.Version, status.Config.FolderRevision, status.Config.Digest, time.Now())
		}
	}
}

// observe records the configuration that a node has in force.
func (r *configRaceMonitor) observe(node int, version, revision uint64, digest string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	config := &r.nodes[node]
	if version < config.version || revision < config.revision {
		r.regressions++
	}
	if previous, ok := r.digests[version]; ok && previous != digest {
		r.digestMismatches++
	}
	r.digests[version] = digest
	if _, ok := r.firstSeen[version]; !ok {
		r.firstSeen[version] = now
	}
	if version > config.version {
		config.versionTransitions = append(config.versionTransitions, transition{version, now})
	}
	if revision > config.revision {
		config.revisionTransitions = append(config.revisionTransitions, transition{revision, now})
	}
	config.version, config.revision = version, revision
}

// firstReached returns the time of the first transition to at least the given number; ok is false if there is none.
func firstReached(transitions []transition, number uint64) (time.Time, bool) {
	for _, t := range transitions {
		if t.number >= number {
			return t.at, true
		}
	}
	return time.Time{}, false
}

// reachedByAll returns the time at which the last node reached a number; ok is false if a node never reached it.
func (r *configRaceMonitor) reachedByAll(transitions func(*nodeConfig) []transition, number uint64) (time.Time, bool) {
	var latest time.Time
	for i := range r.nodes {
		at, ok := firstReached(transitions(&r.nodes[i]), number)
		if !ok {
			return time.Time{}, false
		}
		if at.After(latest) {
			latest = at
		}
	}
	return latest, true
}

func versionTransitionsOf(n *nodeConfig) []transition  { return n.versionTransitions }
func revisionTransitionsOf(n *nodeConfig) []transition { return n.revisionTransitions }

// overwrittenByInvalid reports whether an invalid edit was made after the valid edit e and before e came into force
// (zero time: never). The whole folder is rejected while it is invalid, so e cannot come into force by itself.
func (r *configRaceMonitor) overwrittenByInvalid(e edit, inForceAt time.Time) bool {
	for _, other := range r.edits {
		if !other.valid && other.revision > e.revision && (inForceAt.IsZero() || other.at.Before(inForceAt)) {
			return true
		}
	}
	return false
}

// addFigures adds the figures of the scenario and its violated guarantees to the report.
func (r *configRaceMonitor) addFigures(report *Report) {
	editTimes, versionTimes := newHistogram(), newHistogram()
	notInForce, overwritten := 0, 0
	for _, e := range r.edits {
		if !e.valid {
			continue
		}
		at, ok := r.reachedByAll(revisionTransitionsOf, e.revision)
		if r.overwrittenByInvalid(e, at) {
			overwritten++
			continue
		}
		if !ok {
			notInForce++
			continue
		}
		record(editTimes, at.Sub(e.at))
	}
	for version, seenAt := range r.firstSeen {
		at, ok := r.reachedByAll(versionTransitionsOf, version)
		if !ok {
			notInForce++
			continue
		}
		record(versionTimes, at.Sub(seenAt))
	}
	editQuantiles, versionQuantiles := quantiles(editTimes), quantiles(versionTimes)
	report.Figures["edits"] = float64(len(r.edits))
	report.Figures["edits_overwritten_by_invalid"] = float64(overwritten)
	report.Figures["versions"] = float64(len(r.firstSeen))
	report.Figures["edit_to_everywhere_p50_ms"] = editQuantiles.P50
	report.Figures["edit_to_everywhere_p99_ms"] = editQuantiles.P99
	report.Figures["first_node_to_everywhere_p50_ms"] = versionQuantiles.P50
	report.Figures["first_node_to_everywhere_p99_ms"] = versionQuantiles.P99
	report.addViolation(notInForce, "edits or versions that did not come into force on all nodes")
	report.addViolation(r.regressions, "times that a node returned to a lower version or revision")
	report.addViolation(r.digestMismatches, "versions with different digests")
	if editQuantiles.P99 > float64(propagationGoal.Milliseconds()) {
		report.Broken = append(report.Broken, fmt.Sprintf("edits in force on all nodes after %.0f ms at p99, goal 2000 ms", editQuantiles.P99))
	}
}
