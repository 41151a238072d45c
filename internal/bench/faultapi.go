package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pollenlug/pollenlug/internal/devcluster"
	"github.com/pollenlug/pollenlug/internal/standin/engine"
)

const (
	// faultTimeout bounds one call of the fault API.
	faultTimeout = 10 * time.Second
	// maxStatsBytes limits the size of a response; the counters list every idempotency key.
	maxStatsBytes = 64 << 20
)

// stats are the counters of the stand-ins.
type stats struct{ devcluster.Stats }

func readStats(ctx context.Context, addr string) (*stats, error) {
	out := &stats{}
	return out, callFaultAPI(ctx, http.MethodGet, addr, "/stats", nil, &out.Stats)
}

func callFaultAPI(ctx context.Context, method, addr, path string, req, result any) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	httpReq, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(httpReq)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxStatsBytes))
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("fault API %s: %s: %s", path, res.Status, data)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

// total sums the counters of all engines.
func (s *stats) total() engine.Stats {
	var out engine.Stats
	for _, e := range s.Engines {
		out.Runs += e.Runs
		out.Crashes += e.Crashes
		out.CachedTokens += e.CachedTokens
		out.PrefilledTokens += e.PrefilledTokens
		out.GeneratedTokens += e.GeneratedTokens
		out.RecomputedTokens += e.RecomputedTokens
		out.KVImports += e.KVImports
	}
	return out
}

// runsByKey merges the runs of all groups: the User-Agent of each run by "workspace/key".
func (s *stats) runsByKey() map[string][]string {
	out := map[string][]string{}
	for _, byKey := range s.RunCallers {
		for key, callers := range byKey {
			out[key] = append(out[key], callers...)
		}
	}
	return out
}
