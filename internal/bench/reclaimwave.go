package bench

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pollenlug/pollenlug/internal/devcluster"
)

// Schedule and load of the reclaim-wave scenario. Reclaims and the kill of a node count from the start of the load.
const (
	waveNoticePeriod   = 30 * time.Second
	waveFirstReclaim   = 10 * time.Second
	waveSecondReclaim  = 18 * time.Second
	waveNodeKill       = 23 * time.Second
	waveDuration       = 35 * time.Second // of the load
	waveRate           = 6
	waveResponseTokens = 2400
	waveDecodeStep     = 25 * time.Millisecond
	// drainReactionTime is the time after a reclaim notice from which new work on a draining instance is a violation.
	drainReactionTime = 3 * time.Second
)

// reclaimNotice records which instances received a reclaim notice, and when.
type reclaimNotice struct {
	at         time.Time
	affected   []string
	engineRuns map[string]uint64 // runs of each engine drainReactionTime later
}

// reclaimWaveRun is one run of the reclaim-wave scenario.
type reclaimWaveRun struct {
	testbed *testbed
	notices []*reclaimNotice
}

// reclaimWave reclaims two of four failure domains while instance starts are refused, and kills an entry node during
// its notice period. It then runs the same load as a baseline without moves, restarting interrupted streams from the
// beginning.
func reclaimWave(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	out, err := runReclaimWave(ctx, opts, false)
	if err != nil {
		return nil, err
	}
	if out.Baseline, err = runReclaimWave(ctx, opts, true); err != nil {
		return nil, err
	}
	out.Baseline.Name = "reclaim-wave-baseline"
	out.Figures["baseline_recomputed"] = float64(out.Baseline.TokensRecomputed)
	if out.TokensRecomputed > 0 {
		out.Figures["baseline_ratio"] = float64(out.Baseline.TokensRecomputed) / float64(out.TokensRecomputed)
	}
	return out, nil
}

func runReclaimWave(ctx context.Context, opts ScenarioOptions, restartStreams bool) (*Report, error) {
	tb, err := startTestbed(devcluster.Options{
		Seed:           opts.Seed,
		Tune:           engineSpeed(waveDecodeStep, 50*time.Microsecond, 64, 20_000, 200_000),
		RestartStreams: restartStreams,
	})
	if err != nil {
		return nil, err
	}
	defer tb.stop()
	w := &reclaimWaveRun{testbed: tb}
	load := tb.loadOptions(Windwijzer, waveRate, waveDuration, opts.Seed)
	load.LongAnswers = waveResponseTokens
	run, report, err := tb.runLoad(ctx, load, []timedFault{
		{waveFirstReclaim, func(ctx context.Context) error { return w.reclaim(ctx, "domain-a") }},
		{waveFirstReclaim + drainReactionTime, w.recordEngineRuns},
		{waveSecondReclaim, func(ctx context.Context) error { return w.reclaim(ctx, "domain-b") }},
		{waveSecondReclaim + drainReactionTime, w.recordEngineRuns},
		{waveNodeKill, func(ctx context.Context) error {
			_, err := tb.injectFault(ctx, "kill-node", devcluster.FaultRequest{Node: "entry-1"})
			return err
		}},
	})
	if err != nil {
		return nil, err
	}
	after, err := readStats(ctx, tb.faultAddr)
	if err != nil {
		return nil, err
	}
	engines, others := w.countNewWork(run, after)
	report.Figures["new_work_on_leaving_engines"] = float64(engines)
	report.Figures["new_work_on_leaving_nodes_or_services"] = float64(others)
	report.Figures["kv_moves"] = float64(report.KVMoves)
	report.addViolation(engines, "requests that entered the batch of an engine more than 3 s after its reclaim notice")
	report.addViolation(others, "requests sent to and accepted by a draining entry node or service more than 3 s after its reclaim notice")
	return report, nil
}

// reclaim sends a reclaim notice to a failure domain. Instance starts are refused from then on.
func (w *reclaimWaveRun) reclaim(ctx context.Context, domain string) error {
	if _, err := w.testbed.injectFault(ctx, "refuse-starts", devcluster.FaultRequest{Refuse: true}); err != nil {
		return err
	}
	affected, err := w.testbed.injectFault(ctx, "reclaim", devcluster.FaultRequest{FailureDomain: domain, NoticeMs: int(waveNoticePeriod.Milliseconds())})
	w.notices = append(w.notices, &reclaimNotice{at: time.Now(), affected: affected})
	return err
}

// recordEngineRuns records the run counts of the engines that received the latest notice.
func (w *reclaimWaveRun) recordEngineRuns(ctx context.Context) error {
	stats, err := readStats(ctx, w.testbed.faultAddr)
	if err != nil {
		return err
	}
	latest := w.notices[len(w.notices)-1]
	latest.engineRuns = map[string]uint64{}
	for _, name := range latest.affected {
		if e, ok := stats.Engines[name]; ok {
			latest.engineRuns[name] = e.Runs
		}
	}
	return nil
}

// countNewWork counts the runs that draining engines started, and the requests that were sent to and accepted by other
// draining instances, more than drainReactionTime after their notice.
func (w *reclaimWaveRun) countNewWork(run *loadRun, after *stats) (engines, others int) {
	for _, notice := range w.notices {
		for name, runsBefore := range notice.engineRuns {
			engines += int(after.Engines[name].Runs - runsBefore)
		}
		leaving := w.withNodeAddrs(notice.affected)
		for _, accepted := range run.rec.acceptedRequests {
			afterNotice := accepted.sentAt.After(notice.at.Add(drainReactionTime))
			if afterNotice && (slices.Contains(leaving, accepted.addr) || slices.Contains(leaving, accepted.server)) {
				others++
			}
		}
	}
	return engines, others
}

// withNodeAddrs returns the names with the addresses of the entry nodes among them appended.
func (w *reclaimWaveRun) withNodeAddrs(names []string) []string {
	namesAndAddrs := slices.Clone(names)
	for _, line := range w.testbed.cluster.Addresses() {
		fields := strings.Fields(line) // ready node=... addr=...
		node, addr := strings.TrimPrefix(fields[1], "node="), strings.TrimPrefix(fields[2], "addr=")
		if slices.Contains(names, node) {
			namesAndAddrs = append(namesAndAddrs, addr)
		}
	}
	return namesAndAddrs
}
