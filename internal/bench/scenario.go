package bench

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// ScenarioOptions configures a scenario.
type ScenarioOptions struct {
	Name string
	Seed uint64
	// Outage is the length of the store outage; 0 means defaultOutage.
	Outage time.Duration
}

const defaultOutage = 60 * time.Second

var scenarios = map[string]func(context.Context, ScenarioOptions) (*Report, error){
	"reclaim-wave":       reclaimWave,
	"store-outage":       storeOutage,
	"store-return":       storeReturn,
	"poison":             poison,
	"silent-connections": silentConnections,
	"config-race":        configRace,
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string { return slices.Sorted(maps.Keys(scenarios)) }

// RunScenario runs one scenario on a cluster in this process. The report lists the violated guarantees.
func RunScenario(ctx context.Context, opts ScenarioOptions) (*Report, error) {
	run, ok := scenarios[opts.Name]
	if !ok {
		return nil, fmt.Errorf("unknown scenario %q: use one of %s", opts.Name, strings.Join(Scenarios(), ", "))
	}
	if opts.Outage == 0 {
		opts.Outage = defaultOutage
	}
	report, err := run(ctx, opts)
	if err != nil {
		return nil, err
	}
	report.Name = opts.Name
	return report, nil
}
