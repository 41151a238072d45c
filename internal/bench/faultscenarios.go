package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pollenlug/pollenlug/internal/devcluster"
)

const (
	// faultRate is the load beside the faults, in requests per second.
	faultRate = 20
	// faultStart is when the first fault comes, and faultGap the time between two of them.
	faultStart = 5 * time.Second
	faultGap   = 7 * time.Second
	// lostPercent is the share of lost answers of the store around its outage.
	lostPercent = 30
	lateMs      = 2000
	// storeRefusalLimit is the time within which a non-repeatable call is refused while the store is down.
	storeRefusalLimit = 250 * time.Millisecond
	storeDown         = "claim_store_unavailable"
	quarantined       = "request_quarantined"
)

// storeOutage lets the store lose answers, then refuse, then hang, then lose answers again.
func storeOutage(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	l, err := startLab(devcluster.Options{Seed: opts.Seed})
	if err != nil {
		return nil, err
	}
	defer l.stop()
	set := func(req devcluster.FaultRequest) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := l.do(ctx, "store", req)
			return err
		}
	}
	losing := devcluster.FaultRequest{LostPercent: lostPercent, LatePercent: lostPercent / 2, LateMs: lateMs}
	begin := faultStart + faultGap
	end := begin + opts.Outage
	load := l.load(Oleaje, faultRate, end+2*faultGap, opts.Seed)
	_, report, err := l.play(ctx, load, []step{
		{faultStart, set(losing)},
		{begin, set(devcluster.FaultRequest{Outage: "refusing"})},
		{begin + opts.Outage/2, set(devcluster.FaultRequest{Outage: "hanging"})},
		{end, set(losing)},
		{end + faultGap, set(devcluster.FaultRequest{})},
	})
	if err != nil {
		return nil, err
	}
	refusals := report.RefusalTimes[storeDown]
	report.Figures["store_refusals"] = float64(refusals.Count)
	report.Figures["store_refusal_p50_ms"] = refusals.P50
	report.Figures["store_refusal_p99_ms"] = refusals.P99
	if refusals.P99 > float64(storeRefusalLimit.Milliseconds()) {
		report.Broken = append(report.Broken, "refusals of non-repeatable calls during the store outage take longer than 250 ms at p99")
	}
	return report, nil
}

// silentConnections makes all open connections of the backend servers silent, several times.
func silentConnections(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	l, err := startLab(devcluster.Options{Seed: opts.Seed})
	if err != nil {
		return nil, err
	}
	defer l.stop()
	silenced := 0
	silence := func(ctx context.Context) error {
		affected, err := l.do(ctx, "silence", devcluster.FaultRequest{})
		silenced += len(affected)
		return err
	}
	load := l.load(Oleaje, faultRate, faultStart+3*faultGap, opts.Seed)
	_, report, err := l.play(ctx, load, []step{
		{faultStart, silence},
		{faultStart + faultGap, silence},
		{faultStart + 2*faultGap, silence},
	})
	if err != nil {
		return nil, err
	}
	report.Figures["servers_silenced"] = float64(silenced)
	report.Figures["not_accepted"] = float64(report.Requests - report.Accepted)
	report.Figures["lookup_max_ms"] = report.Classes["history-lookup"].FirstToken.Max
	report.Figures["unknown_outcome_max_ms"] = report.RefusalTimes["outcome_unknown"].Max
	return report, nil
}

const (
	poisonText = "poisonous-content"
	// poisonSends is how often the same poisonous request is sent, in turn to each node.
	poisonSends = 12
	// poisonPatience bounds one send; an engine that crashed restarts after 3 s.
	poisonPatience = 5 * time.Second
	// mostLost is how many servers one request may crash: two strikes.
	mostLost = 2
)

// poison sends one request that crashes every engine that runs it, again and again, beside an ordinary load.
func poison(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	l, err := startLab(devcluster.Options{Seed: opts.Seed})
	if err != nil {
		return nil, err
	}
	defer l.stop()
	refused, last := 0, 0
	sends := func(ctx context.Context) error {
		if _, err := l.do(ctx, "poison", devcluster.FaultRequest{Text: poisonText}); err != nil {
			return err
		}
		for i := range poisonSends {
			name := l.sendPoison(ctx, i%labNodes)
			if name == quarantined {
				refused++
			}
			if i >= poisonSends-labNodes && name == quarantined {
				last++
			}
		}
		return nil
	}
	load := l.load(Oleaje, faultRate, faultStart+4*faultGap, opts.Seed)
	run, report, err := l.play(ctx, load, []step{{faultStart, sends}})
	if err != nil {
		return nil, err
	}
	after, err := readStats(ctx, l.fault)
	if err != nil {
		return nil, err
	}
	lost := int(after.total().Crashes - run.before.total().Crashes)
	report.Figures["servers_lost"] = float64(lost)
	report.Figures["poison_refused"] = float64(refused)
	report.breaks(max(0, lost-mostLost), "servers lost to one poisonous request beyond two")
	report.breaks(labNodes-last, "nodes that do not refuse the poisonous request as quarantined in the end")
	return report, nil
}

// sendPoison sends the poisonous request to one node and returns the name of the refusal, if any.
func (l *lab) sendPoison(ctx context.Context, node int) string {
	ctx, cancel := context.WithTimeout(ctx, poisonPatience)
	defer cancel()
	body, _ := json.Marshal(map[string]any{"model": smallModel, "prompt": poisonText, "max_tokens": 50, "seed": 1})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.cluster.CallerAddrs()[node]+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nameConnection
	}
	req.Header.Set("Authorization", "Bearer "+labTokens[0])
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nameConnection
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		return ""
	}
	return readRefusal(res).Name
}
