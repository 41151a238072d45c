// Package devcluster runs stand-ins for the platform, the engines and the services in one process on loopback. For
// `pollenlug dev` it also runs entry nodes, three by default.
package devcluster

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/example"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/standin/engine"
	"github.com/pollenlug/pollenlug/internal/standin/netfault"
	standin "github.com/pollenlug/pollenlug/internal/standin/platform"
	"github.com/pollenlug/pollenlug/internal/standin/service"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	// listLag is the delay of the instance list behind the state of the cloud.
	listLag = 2 * time.Second
	// loadLag and cacheEventDelay are the delays of the engines' load reports and cache events; cacheEventLoss is the
	// probability that a cache event is lost.
	loadLag         = 200 * time.Millisecond
	cacheEventDelay = 500 * time.Millisecond
	cacheEventLoss  = 0.02
	// restartAfter is the time after which an engine that a poison request crashed restarts.
	restartAfter = 3 * time.Second
	// startDelay is the time that the cloud takes to start an instance.
	startDelay = 3 * time.Second
	// weightsRate is the rate of the weight store in MiB per second.
	weightsRate = 10_000
	// serviceDelay is the running time of a service call.
	serviceDelay = 5 * time.Millisecond
)

// backendServer is the interface that engine and service stand-ins share.
type backendServer interface {
	Listen(addr string) error
	Addr() string
	Close()
	Crash()
	Restart() error
	Freeze()
	Unfreeze()
	Net() *netfault.Server
}

// Standins are the running stand-ins of one process.
type Standins struct {
	Platform     *standin.Platform
	seed         uint64
	log          *logrus.Entry
	runs         map[string]*service.RunLog // by backend server group
	tracker      *engine.RecomputeTracker
	httpServers  []*http.Server
	platformAddr string

	mu       sync.Mutex
	servers  map[string]backendServer
	engines  map[string]*engine.Engine
	settings map[string]*pb.StandinServer
	// killNode stops an entry node of this process without draining it.
	killNode func(node string) bool
	// started and stopped are the start and stop times of each backend server, from which its cost is calculated.
	started, stopped map[string]time.Time
}

// StartStandins starts the stand-ins that the settings name.
func StartStandins(s *pb.StandinSettings, log *logrus.Entry) (*Standins, error) {
	out := &Standins{
		seed:     s.Seed,
		log:      log,
		runs:     map[string]*service.RunLog{},
		tracker:  engine.NewRecomputeTracker(),
		servers:  map[string]backendServer{},
		engines:  map[string]*engine.Engine{},
		settings: map[string]*pb.StandinServer{},
		started:  map[string]time.Time{},
		stopped:  map[string]time.Time{},
	}
	folder, err := openFolder(s.ConfigDir)
	if err != nil {
		return nil, err
	}
	out.Platform = standin.New(standin.Options{
		Seed:                s.Seed,
		Folder:              folder,
		Cloud:               standin.CloudOptions{Launch: out.launch, StartDelay: startDelay, ListLag: listLag, Prices: prices(s)},
		WeightsMiBPerSecond: weightsRate,
	})
	if err := out.start(s); err != nil {
		out.Close()
		return nil, err
	}
	return out, nil
}

func openFolder(dir string) (standin.FolderSource, error) {
	if dir == "" {
		return standin.NewMemFolder(example.Files()), nil
	}
	return standin.NewDirFolder(dir)
}

func (s *Standins) start(settings *pb.StandinSettings) error {
	for _, server := range settings.Servers {
		if err := s.startServer(server); err != nil {
			return err
		}
	}
	for _, entry := range settings.Entries {
		s.addEntry(entry)
	}
	if settings.PlatformAddr != "" {
		addr, err := s.listen(settings.PlatformAddr, s.Platform)
		if err != nil {
			return err
		}
		s.platformAddr = addr
	}
	if settings.FaultAddr != "" {
		if _, err := s.listen(settings.FaultAddr, s.faultAPI()); err != nil {
			return err
		}
	}
	return nil
}

// PlatformURL returns the base URL of the platform stand-in.
func (s *Standins) PlatformURL() string { return "http://" + s.platformAddr }

func (s *Standins) listen(addr string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.httpServers = append(s.httpServers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addEntry adds an entry node to the instance list.
func (s *Standins) addEntry(entry *pb.StandinEntry) {
	s.Platform.Cloud.Add(platform.Instance{
		ID:            entry.Node,
		Kind:          platform.EntryNode,
		Region:        entry.Region,
		FailureDomain: entry.FailureDomain,
		Addr:          entry.CallerAddr,
		NodeAddr:      entry.NodeAddr,
		Reclaimable:   true,
	}, nil)
}

// startServer starts a backend server and adds it to the instance list.
func (s *Standins) startServer(settings *pb.StandinServer) error {
	server, err := s.launchServer(settings)
	if err != nil {
		return err
	}
	s.Platform.Cloud.Add(instanceOf(settings, server.Addr()), func() { s.stop(settings.Name) })
	return nil
}

func instanceOf(settings *pb.StandinServer, addr string) platform.Instance {
	kind := platform.PlainService
	if settings.Kind == pb.BackendGroup_MODEL_ENGINE {
		kind = platform.ModelEngine
	}
	return platform.Instance{
		ID:                 settings.Name,
		Kind:               kind,
		Region:             settings.Region,
		FailureDomain:      settings.FailureDomain,
		Addr:               addr,
		BackendGroup:       settings.BackendGroup,
		InstanceClass:      settings.InstanceClass,
		Reclaimable:        settings.Reclaimable,
		PricePerHourMicros: settings.PricePerHourMicros,
	}
}

// launchServer starts a backend server at its configured address, or on a free port if it has none.
func (s *Standins) launchServer(settings *pb.StandinServer) (backendServer, error) {
	var server backendServer
	if settings.Kind == pb.BackendGroup_MODEL_ENGINE {
		server = s.newEngine(settings)
	} else {
		server = s.newService(settings)
	}
	addr := settings.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	if err := server.Listen(addr); err != nil {
		server.Close()
		return nil, fmt.Errorf("%s: %w", settings.Name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[settings.Name] = server
	s.settings[settings.Name] = settings
	s.started[settings.Name] = time.Now()
	return server, nil
}

func (s *Standins) newEngine(settings *pb.StandinServer) *engine.Engine {
	out := engine.New(engine.Options{
		Name:                   settings.Name,
		Models:                 settings.Models,
		Seed:                   s.seed,
		StepBase:               time.Duration(settings.StepBaseUs) * time.Microsecond,
		StepPerSequence:        time.Duration(settings.StepPerSequenceUs) * time.Microsecond,
		PrefillTokensPerSecond: int(settings.PrefillTokensPerSecond),
		CacheTokens:            int(settings.CacheTokens),
		MaxBatch:               int(settings.MaxBatch),
		ChecksFencing:          settings.ChecksFencing,
		LoadLag:                loadLag,
		CacheEventDelay:        cacheEventDelay,
		CacheEventLoss:         cacheEventLoss,
		RestartAfter:           restartAfter,
		Tracker:                s.tracker,
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[settings.Name] = out
	return out
}

func (s *Standins) newService(settings *pb.StandinServer) *service.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	runLog := s.runs[settings.BackendGroup]
	if runLog == nil {
		runLog = service.NewRunLog()
		s.runs[settings.BackendGroup] = runLog
	}
	return service.New(service.Options{Name: settings.Name, Seed: s.seed, Delay: serviceDelay, Runs: runLog})
}

// launch starts the backend server of an instance that was requested from the cloud API. It copies the settings of a
// server in the same group.
func (s *Standins) launch(_ context.Context, instance platform.Instance) (standin.Server, error) {
	s.mu.Lock()
	var template *pb.StandinServer
	for _, settings := range s.settings {
		if settings.BackendGroup == instance.BackendGroup {
			template = settings
			break
		}
	}
	s.mu.Unlock()
	if template == nil {
		return standin.Server{}, fmt.Errorf("devcluster: no stand-in for group %q", instance.BackendGroup)
	}
	settings := proto.Clone(template).(*pb.StandinServer)
	settings.Name, settings.Addr = instance.ID, ""
	settings.FailureDomain, settings.Region = instance.FailureDomain, instance.Region
	settings.InstanceClass, settings.Reclaimable = instance.InstanceClass, instance.Reclaimable
	settings.PricePerHourMicros = instance.PricePerHourMicros
	server, err := s.launchServer(settings)
	if err != nil {
		return standin.Server{}, err
	}
	return standin.Server{Addr: server.Addr(), Stop: func() { s.stop(settings.Name) }}, nil
}

// stop ends a backend server without draining it.
func (s *Standins) stop(name string) {
	s.mu.Lock()
	server := s.servers[name]
	delete(s.servers, name)
	s.stopped[name] = time.Now()
	s.mu.Unlock()
	if server != nil {
		server.Crash()
		server.Close()
	}
}

// Close stops the platform, the fault API and all backend servers.
func (s *Standins) Close() {
	for _, server := range s.httpServers {
		_ = server.Close()
	}
	s.Platform.Close()
	s.mu.Lock()
	servers := s.servers
	s.servers = map[string]backendServer{}
	s.mu.Unlock()
	for _, server := range servers {
		server.Close()
	}
}

// allEngines returns the engine stand-ins by name.
func (s *Standins) allEngines() map[string]*engine.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.engines)
}
