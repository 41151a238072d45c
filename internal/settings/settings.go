// Package settings reads and validates the JSON settings files of the processes. The error for an invalid setting is
// one line that names the file, the field and the reason.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/route"
)

// maxNameLength bounds names, in bytes. It keeps response IDs, which contain the name of the node, short.
const maxNameLength = 63

// Node reads and validates the settings of an entry node.
func Node(path string) (*pb.NodeSettings, error) {
	out := &pb.NodeSettings{}
	if err := read(path, out); err != nil {
		return nil, err
	}
	if err := checkNode(out); err != nil {
		return nil, merry.Prepend(err, path)
	}
	return out, nil
}

// Standin reads and validates the settings of a process that runs stand-ins.
func Standin(path string) (*pb.StandinSettings, error) {
	out := &pb.StandinSettings{}
	if err := read(path, out); err != nil {
		return nil, err
	}
	if err := checkStandin(out); err != nil {
		return nil, merry.Prepend(err, path)
	}
	return out, nil
}

func read(path string, out proto.Message) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return merry.Prepend(err, "settings")
	}
	if err := protojson.Unmarshal(data, out); err != nil {
		return merry.Prepend(err, path)
	}
	return nil
}

func fieldError(field, format string, args ...any) error {
	return merry.New(field + ": " + fmt.Sprintf(format, args...))
}

func checkNode(s *pb.NodeSettings) error {
	for _, check := range []error{
		name("node", s.Node),
		required("region", s.Region),
		required("failure_domain", s.FailureDomain),
		address("caller_addr", s.CallerAddr),
		address("node_addr", s.NodeAddr),
		httpURL("platform_url", s.PlatformUrl),
		tlsFiles("node_tls", s.NodeTls, true),
		tlsFiles("caller_tls", s.CallerTls, false),
		logLevel("log_level", s.LogLevel),
		policy("routing_policy", s.RoutingPolicy),
		loopback("debug_addr", s.DebugAddr),
	} {
		if check != nil {
			return check
		}
	}
	return nil
}

func checkStandin(s *pb.StandinSettings) error {
	names := map[string]bool{}
	for i, server := range s.Servers {
		field := fmt.Sprintf("servers[%d]", i)
		if err := standinServer(field, server); err != nil {
			return err
		}
		if names[server.Name] {
			return fieldError(field+".name", "%q is used twice", server.Name)
		}
		names[server.Name] = true
	}
	for field, addr := range map[string]string{"platform_addr": s.PlatformAddr, "fault_addr": s.FaultAddr} {
		if addr == "" {
			continue
		}
		if err := address(field, addr); err != nil {
			return err
		}
	}
	return nil
}

func standinServer(field string, s *pb.StandinServer) error {
	if s.Kind == pb.BackendGroup_KIND_UNSPECIFIED {
		return fieldError(field+".kind", "must be MODEL_ENGINE or PLAIN_SERVICE")
	}
	if err := name(field+".name", s.Name); err != nil {
		return err
	}
	if err := required(field+".backend_group", s.BackendGroup); err != nil {
		return err
	}
	return address(field+".addr", s.Addr)
}

func required(field, value string) error {
	if value == "" {
		return fieldError(field, "is missing")
	}
	return nil
}

// name accepts ASCII letters, digits, '.', '_' and '-', which are safe in IDs, keys and URLs.
func name(field, value string) error {
	if value == "" {
		return fieldError(field, "is missing")
	}
	if len(value) > maxNameLength {
		return fieldError(field, "is longer than %d bytes", maxNameLength)
	}
	for _, c := range value {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '.' && c != '_' && c != '-' {
			return fieldError(field, "has the character %q; letters, digits, '.', '_' and '-' are allowed", c)
		}
	}
	return nil
}

func address(field, value string) error {
	if value == "" {
		return fieldError(field, "is missing")
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fieldError(field, "%q is not IP:port", value)
	}
	return nil
}

// loopback accepts only loopback addresses, because profiles reveal data that callers send. An empty value is valid.
func loopback(field, value string) error {
	if value == "" {
		return nil
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil || !addr.Addr().IsLoopback() {
		return fieldError(field, "%q is not a loopback IP:port", value)
	}
	return nil
}

func httpURL(field, value string) error {
	if value == "" {
		return fieldError(field, "is missing")
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return fieldError(field, "%q is not an http or https URL", value)
	}
	return nil
}

func tlsFiles(field string, files *pb.TLSFiles, mutual bool) error {
	if files == nil {
		if mutual {
			return fieldError(field, "is missing")
		}
		return nil
	}
	if err := required(field+".certificate", files.Certificate); err != nil {
		return err
	}
	if err := required(field+".key", files.Key); err != nil {
		return err
	}
	if mutual {
		return required(field+".authorities", files.Authorities)
	}
	return nil
}

func logLevel(field, value string) error {
	if value == "" || slices.Contains([]string{"debug", "info", "warning", "error"}, value) {
		return nil
	}
	return fieldError(field, "%q is not debug, info, warning or error", value)
}

func policy(field, value string) error {
	known := []route.Policy{"", route.CostAware, route.RoundRobin, route.LeastLoaded, route.PrefixOnly}
	if slices.Contains(known, route.Policy(value)) {
		return nil
	}
	return fieldError(field, "%q is not cost-aware, round-robin, least-loaded or prefix-only", value)
}

// logTimeFormat has milliseconds, because the log lines of several nodes are merged by their timestamps.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger returns a logger that writes JSON lines of at least the given level; an invalid level means info.
func Logger(level string) *logrus.Logger {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	logger.SetLevel(parsed)
	return logger
}
