// Package devcluster runs stand-ins of the platform, the engines and the services, and for `pollenlug dev` three entry
// nodes besides, in one process on loopback.
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
	// listLag is how old the instance list of the stand-in is.
	listLag = 2 * time.Second
	// loadLag and cacheEventDelay are the ages of the engines' reports.
	loadLag         = 200 * time.Millisecond
	cacheEventDelay = 500 * time.Millisecond
	cacheEventLoss  = 0.02
	// restartAfter is how soon a crashed engine comes back.
	restartAfter = 3 * time.Second
	// startDelay is how long the cloud takes to start an instance.
	startDelay = 3 * time.Second
	// weightsRate is the rate of the weight store in MiB per second.
	weightsRate = 10_000
	// serviceDelay is how long a service call runs.
	serviceDelay = 5 * time.Millisecond
)

// backendServer is what engines and services have in common.
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
	Platform *standin.Platform
	seed     uint64
	log      *logrus.Entry
	runs     map[string]*service.RunLog // by backend server group
	tracker  *engine.RecomputeTracker
	http     []*http.Server
	addr     string // of the platform

	mu       sync.Mutex
	servers  map[string]backendServer
	engines  map[string]*engine.Engine
	settings map[string]*pb.StandinServer
	// killNode stops an entry node of this process at once.
	killNode func(node string) bool
	// started and stopped give the running time of each backend server, for its cost.
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
	folder, err := folderOf(s.ConfigDir)
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

func folderOf(dir string) (standin.FolderSource, error) {
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
		s.addr = addr
	}
	if settings.FaultAddr != "" {
		if _, err := s.listen(settings.FaultAddr, s.faultAPI()); err != nil {
			return err
		}
	}
	return nil
}

// PlatformURL returns the base URL of the platform stand-in.
func (s *Standins) PlatformURL() string { return "http://" + s.addr }

func (s *Standins) listen(addr string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	s.http = append(s.http, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addEntry puts an entry node into the instance list.
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

// startServer starts a backend server that is in the instance list from the start.
func (s *Standins) startServer(settings *pb.StandinServer) error {
	server, err := s.run(settings)
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

// run starts the process of a backend server.
func (s *Standins) run(settings *pb.StandinServer) (backendServer, error) {
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

// launch starts the server of an instance that the cloud API was asked for. It copies the settings of a server of the
// same group.
func (s *Standins) launch(_ context.Context, instance platform.Instance) (standin.Server, error) {
	s.mu.Lock()
	var like *pb.StandinServer
	for _, settings := range s.settings {
		if settings.BackendGroup == instance.BackendGroup {
			like = settings
			break
		}
	}
	s.mu.Unlock()
	if like == nil {
		return standin.Server{}, fmt.Errorf("devcluster: no stand-in for group %q", instance.BackendGroup)
	}
	settings := proto.Clone(like).(*pb.StandinServer)
	settings.Name, settings.Addr = instance.ID, ""
	settings.FailureDomain, settings.Region = instance.FailureDomain, instance.Region
	settings.InstanceClass, settings.Reclaimable = instance.InstanceClass, instance.Reclaimable
	settings.PricePerHourMicros = instance.PricePerHourMicros
	server, err := s.run(settings)
	if err != nil {
		return standin.Server{}, err
	}
	return standin.Server{Addr: server.Addr(), Stop: func() { s.stop(settings.Name) }}, nil
}

// stop ends a backend server at once.
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

// Close stops everything.
func (s *Standins) Close() {
	for _, server := range s.http {
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
