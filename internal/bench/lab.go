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

// labNodes is the number of entry nodes of a scenario: one in each failure domain.
const labNodes = 4

// stopTimeout bounds the drain at the end of a scenario.
const stopTimeout = 2 * time.Second

// labTokens are the tokens of the built-in folder.
var labTokens = []string{"council-token", "shop-token", "archive-token"}

// lab is a development cluster with its fault API, for one scenario.
type lab struct {
	cluster *devcluster.Cluster
	fault   string
}

// startLab starts a cluster on free ports. Its log is discarded, since scenarios provoke many warnings.
func startLab(opts devcluster.Options) (*lab, error) {
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	opts.Log = logrus.NewEntry(logger)
	opts.FaultPort = port
	opts.Nodes = labNodes
	cluster, err := devcluster.Start(opts)
	if err != nil {
		return nil, err
	}
	return &lab{cluster, fmt.Sprintf("127.0.0.1:%d", port)}, nil
}

func freePort() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func (l *lab) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	l.cluster.Stop(ctx)
}

// load returns the options of a load on the cluster.
func (l *lab) load(mix string, rate float64, duration time.Duration, seed uint64) Options {
	return Options{
		Entries:  l.cluster.CallerAddrs(),
		Tokens:   labTokens,
		Mix:      mix,
		Rate:     rate,
		Duration: duration,
		Seed:     seed,
		Fault:    l.fault,
	}
}

// do asks the fault API for a fault and returns the names of what it affects.
func (l *lab) do(ctx context.Context, name string, req devcluster.FaultRequest) ([]string, error) {
	var answer struct {
		Affected []string `json:"affected"`
	}
	err := callFault(ctx, http.MethodPost, l.fault, "/faults/"+name, req, &answer)
	return answer.Affected, err
}

// step is a fault at a time after the start of the load.
type step struct {
	at  time.Duration
	run func(ctx context.Context) error
}

// play runs a load and the steps beside it, and returns the report of the load.
func (l *lab) play(ctx context.Context, opts Options, steps []step) (*loadRun, *Report, error) {
	run, err := startLoad(ctx, opts)
	if err != nil {
		return nil, nil, err
	}
	for _, s := range steps {
		clock.Sleep(ctx, time.Until(run.begun.Add(s.at)))
		if err := s.run(ctx); err != nil {
			return nil, nil, err
		}
	}
	<-run.done
	report, err := run.report(ctx)
	return run, report, err
}

// slowEngines sets the speed of the engines.
func slowEngines(step, perSequence time.Duration, batch, prefill, cache uint32) func(*pb.StandinServer) {
	return func(s *pb.StandinServer) {
		if s.Kind != pb.BackendGroup_MODEL_ENGINE {
			return
		}
		s.StepBaseUs = uint32(step.Microseconds())
		s.StepPerSequenceUs = uint32(perSequence.Microseconds())
		s.MaxBatch = batch
		s.PrefillTokensPerSecond = prefill
		s.CacheTokens = cache
	}
}
