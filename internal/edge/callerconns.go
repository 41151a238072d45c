package edge

import (
	"net/http"
	"time"

	"github.com/pollenlug/pollenlug/internal/callerguard"
	"github.com/pollenlug/pollenlug/pkg/headerlimit"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

const (
	// callerIdleTimeout closes unused caller connections. It exceeds any configured timeout, which package callerguard
	// enforces.
	callerIdleTimeout = 3 * time.Minute
	// callerHeaderTimeout limits the time for a request header until a configuration, whose own limit is usually a few
	// seconds, is in force, and callerHeaderBytes its size.
	callerHeaderTimeout = 30 * time.Second
	callerHeaderBytes   = 64 << 10
	// otherBodyTimeout limits the time for a body on the addresses other than that of callers, whose handlers read none.
	// On the address of callers, the request's deadline limits it.
	otherBodyTimeout = 10 * time.Second
	// serverHeaderBytes is the limit of net/http, which is fixed at start. It exceeds any configured limit, which package
	// callerguard enforces.
	serverHeaderBytes = 16 << 20

	// callerHeaderShare is the fraction of the memory account that headers on the address of callers may take, and
	// otherHeaderShare the fraction for the other addresses together. Bodies and responses keep the rest.
	callerHeaderShare = 0.5
	otherHeaderShare  = 0.125
	// connectionMemory is the memory of one connection, in bytes: a goroutine, two buffers of 4 KB and a header that
	// takes nothing of the account. connectionMemoryShare is the fraction of the memory for those of callers.
	connectionMemory      = 24 << 10
	connectionMemoryShare = 0.35

	// fileDescriptors are those kept for files and the process itself, at most a fourth of all. Of the others,
	// callerDescriptorShare may be connections of callers, directoryDescriptorShare those that query the directory and
	// otherDescriptorShare those of each other address. The rest is for servers, the store and other nodes.
	fileDescriptors          = 200
	callerDescriptorShare    = 0.5
	directoryDescriptorShare = 0.1
	otherDescriptorShare     = 0.03
	// minConnections is the least number of connections of an address.
	minConnections = 16
)

// endpoint is an address of the node.
type endpoint struct {
	addr    string
	handler http.Handler
	guard   *callerguard.Guard
}

// endpoints returns the addresses of the node with the limits of their connections.
func (n *Node) endpoints() []endpoint {
	descriptors := callerguard.Descriptors(n.settings.Descriptors)
	descriptors -= min(fileDescriptors, descriptors/4)
	callers := headerlimit.NewBudget(int64(callerHeaderShare*float64(n.memory.size)), n.memory)
	others := headerlimit.NewBudget(int64(otherHeaderShare*float64(n.memory.size)), n.memory)
	byMemory := int(connectionMemoryShare * float64(n.settings.MemoryBytes) / connectionMemory)
	otherLimits := func() headerlimit.Limits {
		limits := n.headerLimits()
		limits.BodyTimeout = otherBodyTimeout
		return limits
	}
	guard := func(limits func() headerlimit.Limits, budget *headerlimit.Budget, share float64) *callerguard.Guard {
		connections := max(min(int(share*float64(descriptors)), byMemory), minConnections)
		return callerguard.New(callerguard.Options{Limits: limits, Budget: budget, Connections: connections, Metrics: n.metrics, Log: n.log})
	}
	return []endpoint{
		{n.settings.CallerAddr, http.HandlerFunc(n.serveRequest), guard(n.headerLimits, callers, callerDescriptorShare)},
		{n.settings.ReadyAddr, n.readyHandler(), guard(otherLimits, others, otherDescriptorShare)},
		{n.settings.DirectoryAddr, n.directoryHandler(), guard(otherLimits, others, directoryDescriptorShare)},
		{n.settings.ControlAddr, n.controlHandler(), guard(otherLimits, others, otherDescriptorShare)},
		{n.settings.MetricsAddr, n.metrics, guard(otherLimits, others, otherDescriptorShare)},
	}
}

// headerLimits returns the limits of the configuration in force, with the default size of a header where it has none.
func (n *Node) headerLimits() headerlimit.Limits {
	limits := serving.Limits{}
	if c := n.config.Load(); c != nil {
		limits = c.Limits
	}
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = callerHeaderBytes
	}
	return headerlimit.Limits{HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}
