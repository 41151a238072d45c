package bench

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pollenlug/pollenlug/internal/devcluster"
)

// Times of the reclaim wave, from the start of the load.
const (
	waveNotice   = 30 * time.Second
	waveFirst    = 10 * time.Second
	waveSecond   = 18 * time.Second
	waveKill     = 23 * time.Second
	waveLoad     = 35 * time.Second
	waveRate     = 6
	waveTokens   = 2400
	waveStep     = 25 * time.Millisecond
	newWorkAfter = 3 * time.Second
)

// notice is what got a reclaim notice, and when.
type notice struct {
	at       time.Time
	affected []string
	runs     map[string]uint64 // runs of each engine newWorkAfter later
}

// wave is a reclaim wave in progress.
type wave struct {
	lab     *lab
	notices []*notice
}

// reclaimWave reclaims two of four failure domains while starts are refused, and kills an entry node during its
// notice. It then runs the same load with moves switched off and interrupted streams started again.
func reclaimWave(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	out, err := runWave(ctx, opts, false)
	if err != nil {
		return nil, err
	}
	if out.Baseline, err = runWave(ctx, opts, true); err != nil {
		return nil, err
	}
	out.Baseline.Name = "reclaim-wave-baseline"
	out.Figures["baseline_recomputed"] = float64(out.Baseline.TokensRecomputed)
	if out.TokensRecomputed > 0 {
		out.Figures["baseline_ratio"] = float64(out.Baseline.TokensRecomputed) / float64(out.TokensRecomputed)
	}
	return out, nil
}

func runWave(ctx context.Context, opts ScenarioOptions, restart bool) (*Report, error) {
	l, err := startLab(devcluster.Options{
		Seed:           opts.Seed,
		Tune:           slowEngines(waveStep, 50*time.Microsecond, 64, 20_000, 200_000),
		RestartStreams: restart,
	})
	if err != nil {
		return nil, err
	}
	defer l.stop()
	w := &wave{lab: l}
	load := l.load(Windwijzer, waveRate, waveLoad, opts.Seed)
	load.LongAnswers = waveTokens
	run, report, err := l.play(ctx, load, []step{
		{waveFirst, func(ctx context.Context) error { return w.reclaim(ctx, "domain-a") }},
		{waveFirst + newWorkAfter, w.snapshot},
		{waveSecond, func(ctx context.Context) error { return w.reclaim(ctx, "domain-b") }},
		{waveSecond + newWorkAfter, w.snapshot},
		{waveKill, func(ctx context.Context) error {
			_, err := l.do(ctx, "kill-node", devcluster.FaultRequest{Node: "entry-1"})
			return err
		}},
	})
	if err != nil {
		return nil, err
	}
	after, err := readStats(ctx, l.fault)
	if err != nil {
		return nil, err
	}
	servers, nodes := w.newWork(run, after)
	report.Figures["new_work_on_leaving_engines"] = float64(servers)
	report.Figures["new_work_on_leaving_nodes_or_services"] = float64(nodes)
	report.Figures["kv_moves"] = float64(report.KVMoves)
	report.breaks(servers, "requests that entered the batch of an engine more than 3 s after its notice")
	report.breaks(nodes, "requests sent to a leaving entry node or service more than 3 s after its notice and accepted there")
	return report, nil
}

// reclaim gives notice to a failure domain. Starts are refused from then on.
func (w *wave) reclaim(ctx context.Context, domain string) error {
	if _, err := w.lab.do(ctx, "refuse-starts", devcluster.FaultRequest{Refuse: true}); err != nil {
		return err
	}
	affected, err := w.lab.do(ctx, "reclaim", devcluster.FaultRequest{FailureDomain: domain, NoticeMs: int(waveNotice.Milliseconds())})
	w.notices = append(w.notices, &notice{at: time.Now(), affected: affected})
	return err
}

// snapshot notes the runs of the engines that got the last notice.
func (w *wave) snapshot(ctx context.Context) error {
	current, err := readStats(ctx, w.lab.fault)
	if err != nil {
		return err
	}
	last := w.notices[len(w.notices)-1]
	last.runs = map[string]uint64{}
	for _, name := range last.affected {
		if e, ok := current.Engines[name]; ok {
			last.runs[name] = e.Runs
		}
	}
	return nil
}

// newWork counts what leaving instances took on more than newWorkAfter after their notice.
func (w *wave) newWork(run *loadRun, after *stats) (engines, others int) {
	for _, n := range w.notices {
		for name, before := range n.runs {
			engines += int(after.Engines[name].Runs - before)
		}
		names := w.addresses(n.affected)
		for _, a := range run.rec.accepts {
			late := a.sent.After(n.at.Add(newWorkAfter))
			if late && (slices.Contains(names, a.addr) || slices.Contains(names, a.server)) {
				others++
			}
		}
	}
	return engines, others
}

// addresses replaces the names of entry nodes by their addresses.
func (w *wave) addresses(names []string) []string {
	out := slices.Clone(names)
	for _, line := range w.lab.cluster.Addresses() {
		fields := strings.Fields(line) // ready node=... addr=...
		node, addr := strings.TrimPrefix(fields[1], "node="), strings.TrimPrefix(fields[2], "addr=")
		if slices.Contains(names, node) {
			out = append(out, addr)
		}
	}
	return out
}
