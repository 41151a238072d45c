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
	// faultRate is the load during the fault scenarios, in requests per second.
	faultRate = 20
	// firstFaultAt is the time of the first fault after the start of the load, and faultInterval the time between faults.
	firstFaultAt  = 5 * time.Second
	faultInterval = 7 * time.Second
	// lostResponsePercent is the share of store responses that are lost before and after its outage.
	lostResponsePercent = 30
	lateResponseMs      = 2000
	// storeRefusalTarget is the time within which non-repeatable calls must be refused while the store is down, at p99.
	storeRefusalTarget = 250 * time.Millisecond
	storeUnavailable   = "claim_store_unavailable"
	quarantined        = "request_quarantined"
)

// storeOutage makes the store lose responses, then refuse calls, then hang, then lose responses again.
func storeOutage(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	tb, err := startTestbed(devcluster.Options{Seed: opts.Seed})
	if err != nil {
		return nil, err
	}
	defer tb.stop()
	setStoreFault := func(req devcluster.FaultRequest) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := tb.injectFault(ctx, "store", req)
			return err
		}
	}
	lossy := devcluster.FaultRequest{LostPercent: lostResponsePercent, LatePercent: lostResponsePercent / 2, LateMs: lateResponseMs}
	outageStart := firstFaultAt + faultInterval
	outageEnd := outageStart + opts.Outage
	load := tb.loadOptions(Oleaje, faultRate, outageEnd+2*faultInterval, opts.Seed)
	_, report, err := tb.runLoad(ctx, load, []timedFault{
		{firstFaultAt, setStoreFault(lossy)},
		{outageStart, setStoreFault(devcluster.FaultRequest{Outage: "refusing"})},
		{outageStart + opts.Outage/2, setStoreFault(devcluster.FaultRequest{Outage: "hanging"})},
		{outageEnd, setStoreFault(lossy)},
		{outageEnd + faultInterval, setStoreFault(devcluster.FaultRequest{})},
	})
	if err != nil {
		return nil, err
	}
	refusals := report.RefusalTimes[storeUnavailable]
	report.Figures["store_refusals"] = float64(refusals.Count)
	report.Figures["store_refusal_p50_ms"] = refusals.P50
	report.Figures["store_refusal_p99_ms"] = refusals.P99
	if refusals.P99 > float64(storeRefusalTarget.Milliseconds()) {
		report.Broken = append(report.Broken, "refusals of non-repeatable calls during the store outage take longer than 250 ms at p99")
	}
	return report, nil
}

// storeReturn makes the store return from copies of several ages, as after a failure, while callers also resend calls that
// must run once.
func storeReturn(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	tb, err := startTestbed(devcluster.Options{Seed: opts.Seed})
	if err != nil {
		return nil, err
	}
	defer tb.stop()
	returnAfter := func(age time.Duration) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := tb.injectFault(ctx, "return-store", devcluster.FaultRequest{AgeMs: int(age.Milliseconds())})
			return err
		}
	}
	load := tb.loadOptions(Oleaje, faultRate, firstFaultAt+3*faultInterval, opts.Seed)
	_, report, err := tb.runLoad(ctx, load, []timedFault{
		{firstFaultAt, returnAfter(3 * time.Second)},
		{firstFaultAt + faultInterval, returnAfter(10 * time.Second)},
		{firstFaultAt + 2*faultInterval, returnAfter(time.Second)},
	})
	if err != nil {
		return nil, err
	}
	report.Figures["not_accepted"] = float64(report.Requests - report.Accepted)
	report.Figures["store_refusals"] = float64(report.RefusalTimes[storeUnavailable].Count)
	return report, nil
}

// silentConnections makes all open connections of the backend servers stop responding, several times.
func silentConnections(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	tb, err := startTestbed(devcluster.Options{Seed: opts.Seed})
	if err != nil {
		return nil, err
	}
	defer tb.stop()
	serversSilenced := 0
	silence := func(ctx context.Context) error {
		affected, err := tb.injectFault(ctx, "silence", devcluster.FaultRequest{})
		serversSilenced += len(affected)
		return err
	}
	load := tb.loadOptions(Oleaje, faultRate, firstFaultAt+3*faultInterval, opts.Seed)
	_, report, err := tb.runLoad(ctx, load, []timedFault{
		{firstFaultAt, silence},
		{firstFaultAt + faultInterval, silence},
		{firstFaultAt + 2*faultInterval, silence},
	})
	if err != nil {
		return nil, err
	}
	report.Figures["servers_silenced"] = float64(serversSilenced)
	report.Figures["not_accepted"] = float64(report.Requests - report.Accepted)
	report.Figures["lookup_max_ms"] = report.Classes["history-lookup"].FirstToken.Max
	report.Figures["unknown_outcome_max_ms"] = report.RefusalTimes["outcome_unknown"].Max
	return report, nil
}

const (
	poisonText = "poisonous-content"
	// poisonSends is how often the same poison request is sent, to each node in turn.
	poisonSends = 12
	// poisonTimeout bounds one send; a crashed engine restarts after 3 s.
	poisonTimeout = 5 * time.Second
	// maxPoisonCrashes is how many servers one request may crash: two strikes.
	maxPoisonCrashes = 2
)

// poison repeatedly sends one request that crashes every engine that runs it, during an ordinary load.
func poison(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	tb, err := startTestbed(devcluster.Options{Seed: opts.Seed})
	if err != nil {
		return nil, err
	}
	defer tb.stop()
	quarantineRefusals, finalRefusals := 0, 0
	sendAll := func(ctx context.Context) error {
		if _, err := tb.injectFault(ctx, "poison", devcluster.FaultRequest{Text: poisonText}); err != nil {
			return err
		}
		for i := range poisonSends {
			name := tb.sendPoison(ctx, i%testbedNodes)
			if name == quarantined {
				quarantineRefusals++
			}
			if i >= poisonSends-testbedNodes && name == quarantined {
				finalRefusals++
			}
		}
		return nil
	}
	load := tb.loadOptions(Oleaje, faultRate, firstFaultAt+4*faultInterval, opts.Seed)
	run, report, err := tb.runLoad(ctx, load, []timedFault{{firstFaultAt, sendAll}})
	if err != nil {
		return nil, err
	}
	after, err := readStats(ctx, tb.faultAddr)
	if err != nil {
		return nil, err
	}
	crashed := int(after.total().Crashes - run.statsBefore.total().Crashes)
	report.Figures["servers_lost"] = float64(crashed)
	report.Figures["poison_refused"] = float64(quarantineRefusals)
	report.addViolation(max(0, crashed-maxPoisonCrashes), "servers crashed by one poison request beyond the two allowed")
	report.addViolation(testbedNodes-finalRefusals, "nodes that do not refuse the poison request as quarantined in the end")
	return report, nil
}

// sendPoison sends the poison request to one node and returns the name of the refusal, if any.
func (tb *testbed) sendPoison(ctx context.Context, node int) string {
	ctx, cancel := context.WithTimeout(ctx, poisonTimeout)
	defer cancel()
	body, _ := json.Marshal(map[string]any{"model": defaultSmallModel, "prompt": poisonText, "max_tokens": 50, "seed": 1})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tb.cluster.CallerAddrs()[node]+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return connectionBroken
	}
	req.Header.Set("Authorization", "Bearer "+testbedTokens[0])
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return connectionBroken
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		return ""
	}
	return readRefusal(res).Name
}
