// Package gateway is the HTTP interface of an entry node to its callers: go-kit endpoints behind net/http.
//
// The gateway authenticates callers, validates the size and format of requests, and turns every error into a refusal
// with a numeric code. It makes no decisions about servers or limits; these are behind the small interfaces declared
// here. Authentication failures are detected before the body is read.
package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/openai"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

// HTTP headers exchanged with callers.
const (
	HeaderCode           = "X-Pollenlug-Code"
	HeaderTimeout        = "X-Pollenlug-Timeout-Ms" // how long the caller waits for the complete response, in milliseconds
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

// Limits of the gateway.
const (
	maxIdempotencyKeyBytes = 255
	// maxGenerationTime bounds a generation, and is its timeout if the caller gives none.
	maxGenerationTime = 10 * time.Minute
	// entriesTTL is how long callers may cache the response of /v1/entries.
	entriesTTL = 30 * time.Second
)

// Generation is an accepted or attached response that is being read.
type Generation struct {
	Log *stream.Log
	// Close must be called when the caller no longer reads the log.
	Close func()
}

// StartRequest is a generation request that has passed the gateway's checks.
type StartRequest struct {
	Workspace *pb.Workspace
	Model     config.Model
	Request   openai.Request
	Path      string
	Body      []byte
	Deadline  time.Time
}

// Responses starts and finds responses.
type Responses interface {
	// Start returns when the request is accepted: it has a log, here and on a replica.
	Start(ctx context.Context, req StartRequest) (*Generation, error)
	// Attach finds a response of the workspace on any node.
	Attach(ctx context.Context, workspace, id string) (*Generation, error)
}

// ServiceCall is a call to a plain service that has passed the gateway's checks.
type ServiceCall struct {
	Workspace *pb.Workspace
	Service   *config.Service
	Route     *pb.Route
	Key       string // Idempotency-Key, for non-idempotent routes
	Request   backend.CallRequest
	Deadline  time.Time
}

// Services calls plain services.
type Services interface {
	Call(ctx context.Context, call ServiceCall) (backend.CallResponse, error)
}

// Entry is an entry node that callers can use.
type Entry struct {
	Addr          string `json:"addr"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Load          uint32 `json:"load"`
}

// Node is what the gateway needs of its entry node.
type Node interface {
	// Config returns the configuration in force, or nil.
	Config() *config.Index
	// Entries returns the live entry nodes, best first for the caller.
	Entries(caller string) []Entry
	// Leaving reports whether the node accepts no new work.
	Leaving() bool
	Ready() bool
	// Status returns a value that /v1/status encodes as JSON.
	Status() any
}

// leavingRetryAfter is the Retry-After time of a leaving node that knows no live one.
const leavingRetryAfter = time.Second

// Options holds the dependencies of a gateway.
type Options struct {
	Node Node
	// Closing ends when the node is about to exit; calls in progress are answered then.
	Closing   context.Context
	Responses Responses
	Services  Services
	Metrics   *metrics.Set
	Log       *logrus.Entry
}

type gateway struct {
	Options
}

// New returns the handler of an entry node.
func New(opts Options) http.Handler {
	g := &gateway{opts}
	mux := http.NewServeMux()
	mux.Handle("POST "+openai.ChatPath, g.redirectIfLeaving(g.server(g.generate, g.decodeGeneration, g.encodeGeneration)))
	mux.Handle("POST "+openai.CompletionPath, g.redirectIfLeaving(g.server(g.generate, g.decodeGeneration, g.encodeGeneration)))
	mux.Handle("GET /v1/models", g.server(g.models, g.decodeWorkspace, g.encodeBody))
	mux.Handle("GET /v1/responses/{id}", g.server(g.resume, g.decodeResume, g.encodeGeneration))
	mux.Handle("GET /v1/entries", g.server(g.entries, decodeCaller, kithttp.EncodeJSONResponse))
	mux.Handle("GET /v1/status", g.server(g.status, decodeCaller, kithttp.EncodeJSONResponse))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") })
	mux.HandleFunc("GET /readyz", g.readyz)
	mux.Handle("GET /metrics", opts.Metrics)
	mux.HandleFunc("/", g.notFound)
	return withCalls(mux, g.redirectIfLeaving(g.server(g.call, g.decodeCall, g.encodeCall)))
}

// server returns a go-kit server whose errors become refusals with a code.
func (g *gateway) server(endpoint func(context.Context, any) (any, error), decode kithttp.DecodeRequestFunc,
	encode kithttp.EncodeResponseFunc) http.Handler {
	return kithttp.NewServer(g.observe(endpoint), decode, encode, kithttp.ServerErrorEncoder(g.refuse))
}

// observe records how long an endpoint takes to accept or refuse a request.
func (g *gateway) observe(endpoint func(context.Context, any) (any, error)) func(context.Context, any) (any, error) {
	return func(ctx context.Context, request any) (any, error) {
		start := time.Now()
		response, err := endpoint(ctx, request)
		g.Metrics.Observe("accept", time.Since(start))
		return response, err
	}
}

// redirectIfLeaving redirects the callers of a leaving node to a live one before the request body is read.
func (g *gateway) redirectIfLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.Node.Leaving() {
			next.ServeHTTP(w, r)
			return
		}
		entries := g.Node.Entries(hostOf(r.RemoteAddr))
		if len(entries) == 0 {
			g.refuse(r.Context(), code.New(code.NodeLeaving, "the entry node is leaving").WithRetryAfter(leavingRetryAfter), w)
			return
		}
		w.Header().Set("Connection", "close") // the next request should go to the other node at once
		w.Header().Set("Location", schemeOf(r)+"://"+entries[0].Addr+originForm(r))
		refuseWith(w, g.Metrics, code.New(code.NodeLeaving, "the entry node is leaving; use the node in Location"), http.StatusTemporaryRedirect)
	})
}

func (g *gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	if !g.Node.Ready() {
		writeText(w, http.StatusServiceUnavailable, "not ready\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func (g *gateway) notFound(w http.ResponseWriter, r *http.Request) {
	g.refuse(r.Context(), code.New(code.NotFound, "the path does not exist or does not take this method"), w)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

func schemeOf(r *http.Request) string {
	if r.TLS != nil {
		return "https"
	}
	return "http"
}

func hostOf(addr string) string {
	name, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return name
}
