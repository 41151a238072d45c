package edge

import (
	"fmt"
	"time"

	"github.com/pollenlug/pollenlug/pkg/rollout"
)

// Settings are the settings of one node. They are filled in by the platform's adapter.
type Settings struct {
	Node, Region, FailureDomain string
	// CallerAddr accepts requests, ReadyAddr readiness checks, DirectoryAddr queries for node addresses, ControlAddr
	// fetches by other nodes, PeerAddr their datagrams and MetricsAddr metrics scrapes. All are IP:port.
	CallerAddr, ReadyAddr, DirectoryAddr, ControlAddr, PeerAddr, MetricsAddr string
	// PeerPort is the port of PeerAddr, the same on all nodes.
	PeerPort int
	// Seeds are control addresses of nodes; some may no longer exist.
	Seeds []string
	// FirstStart is set when the whole deployment starts for the first time.
	FirstStart  bool
	MemoryBytes int64
	Descriptors int
	Cores       float64
	// HeartbeatInterval is how often backend servers write their rows.
	HeartbeatInterval time.Duration
	// DrainBound is how long requests may still reach a server after its draining was confirmed.
	DrainBound time.Duration
	// Grace is the time from a stop signal to the end of the process.
	Grace time.Duration
	// RetryRatio and RetrySlack limit the retries to a service within RetryWindow, over all nodes.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	LeaseDuration          time.Duration
	// UsageWindow is the length of a usage window. Its report is due UsageDelay after its end.
	UsageWindow, UsageDelay time.Duration
	// DirectoryTTL is the maximum time that callers cache addresses.
	DirectoryTTL time.Duration
	// Rollout limits what a bad version gets; without it, servers of several versions are all used.
	Rollout              rollout.Bounds
	StoreAddr, CloudAddr string
}

// Check returns an error for a setting that is missing or out of range.
func (s *Settings) Check() error {
	for name, d := range map[string]time.Duration{"heartbeat interval": s.HeartbeatInterval, "drain bound": s.DrainBound,
		"grace": s.Grace, "retry window": s.RetryWindow, "lease duration": s.LeaseDuration,
		"usage window": s.UsageWindow, "usage delay": s.UsageDelay, "directory TTL": s.DirectoryTTL} {
		if d <= 0 {
			return fmt.Errorf("%s: must be positive", name)
		}
	}
	if s.FailureDomain == "" {
		return fmt.Errorf("failure domain: is missing")
	}
	if b := s.Rollout; b.ExposureShare < 0 || b.ExposureShare > 1 || b.ExposureSlack < 0 || b.Rollback < 0 {
		return fmt.Errorf("rollout bounds: must not be negative, and the share at most 1")
	}
	if s.MemoryBytes <= 0 {
		return fmt.Errorf("memory: must be positive")
	}
	return nil
}
