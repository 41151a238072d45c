package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/devcluster"
	"github.com/pollenlug/pollenlug/internal/pb"
)

// testbedNodes is the number of entry nodes of a testbed: one in each failure domain.
const testbedNodes = 4

// testbedStopTimeout bounds the drain at the end of a scenario.
const testbedStopTimeout = 2 * time.Second

// testbedTokens are the bearer tokens of the workspaces in the built-in folder.
var testbedTokens = []string{"council-token", "shop-token", "archive-token"}

// testbed is a development cluster with its fault API, for one scenario.
type testbed struct {
	cluster   *devcluster.Cluster
	faultAddr string
}

// startTestbed starts a cluster on free ports. Its log is discarded, since scenarios provoke many warnings.
func startTestbed(opts devcluster.Options) (*testbed, error) {
	faultPort, err := freePort()
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	opts.Log = logrus.NewEntry(logger)
	opts.FaultPort = faultPort
	opts.Nodes = testbedNodes
	cluster, err := devcluster.Start(opts)
	if err != nil {
		return nil, err
	}
	return &testbed{cluster, fmt.Sprintf("127.0.0.1:%d", faultPort)}, nil
}

func freePort() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func (tb *testbed) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), testbedStopTimeout)
	defer cancel()
	tb.cluster.Stop(ctx)
}

// loadOptions returns the options of a load on the cluster.
func (tb *testbed) loadOptions(mix string, rate float64, duration time.Duration, seed uint64) Options {
	return Options{
		Entries:  tb.cluster.CallerAddrs(),
		Tokens:   testbedTokens,
		Mix:      mix,
		Rate:     rate,
		Duration: duration,
		Seed:     seed,
		Fault:    tb.faultAddr,
	}
}

// injectFault injects a fault through the fault API and returns the names of the affected servers and nodes.
func (tb *testbed) injectFault(ctx context.Context, name string, req devcluster.FaultRequest) ([]string, error) {
	var response struct {
		Affected []string `json:"affected"`
	}
	err := callFaultAPI(ctx, http.MethodPost, tb.faultAddr, "/faults/"+name, req, &response)
	return response.Affected, err
}

// timedFault is a fault to inject at an offset from the start of the load.
type timedFault struct {
	offset time.Duration
	inject func(ctx context.Context) error
}

// runLoad runs a load, injects the faults during it and returns the load with its report.
func (tb *testbed) runLoad(ctx context.Context, opts Options, faults []timedFault) (*loadRun, *Report, error) {
	run, err := startLoad(ctx, opts)
	if err != nil {
		return nil, nil, err
	}
	for _, f := range faults {
		clock.Sleep(ctx, time.Until(run.startedAt.Add(f.offset)))
		if err := f.inject(ctx); err != nil {
			return nil, nil, err
		}
	}
	<-run.done
	report, err := run.report(ctx)
	return run, report, err
}

// engineSpeed returns a function that sets the speed, batch size and cache size of an engine stand-in.
func engineSpeed(decodeStep, stepPerSequence time.Duration, maxBatch, prefillRate, cacheTokens uint32) func(*pb.StandinServer) {
	return func(s *pb.StandinServer) {
		if s.Kind != pb.BackendGroup_MODEL_ENGINE {
			return
		}
		s.StepBaseUs = uint32(decodeStep.Microseconds())
		s.StepPerSequenceUs = uint32(stepPerSequence.Microseconds())
		s.MaxBatch = maxBatch
		s.PrefillTokensPerSecond = prefillRate
		s.CacheTokens = cacheTokens
	}
}
