package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pollenlug/pollenlug/internal/openai"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/target"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/config"
)

// forwardedHeaders are the request headers forwarded to plain services; the others concern only the hop to this node.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "User-Agent"}

// authenticate returns the workspace of the bearer token and the configuration in which it was found.
func (g *gateway) authenticate(r *http.Request) (*pb.Workspace, *config.Index, error) {
	index := g.Node.Config()
	if index == nil {
		return nil, nil, code.New(code.NoConfiguration, "the node waits for a configuration").WithRetryAfter(time.Second)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return nil, nil, code.New(code.TokenMissing, "the Authorization header has no bearer token")
	}
	workspace, ok := index.Workspace(token)
	if !ok {
		return nil, nil, code.New(code.TokenRefused, "the bearer token is not known")
	}
	return workspace, index, nil
}

// readBody reads the request body and refuses one of more than limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, code.New(code.BodyTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, code.Wrap(code.MalformedRequest, code.RanNo, "the body could not be read", err)
	}
	if int64(len(body)) > limit {
		return nil, code.New(code.BodyTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
	}
	return body, nil
}

// requestDeadline returns the deadline given by HeaderTimeout, but at most limit from now, which is also the default.
func requestDeadline(r *http.Request, limit time.Duration) (time.Time, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return time.Now().Add(limit), nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 {
		return time.Time{}, code.New(code.MalformedRequest, HeaderTimeout+" is not a number of milliseconds")
	}
	return time.Now().Add(min(limit, time.Duration(ms)*time.Millisecond)), nil
}

func (g *gateway) decodeGeneration(_ context.Context, r *http.Request) (any, error) {
	workspace, index, err := g.authenticate(r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r, index.Policy().MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	request, err := openai.ParseRequest(r.URL.Path, body)
	if err != nil {
		return nil, code.New(code.MalformedRequest, err.Error())
	}
	model, err := permittedModel(index, workspace, request.Model)
	if err != nil {
		return nil, err
	}
	if err := checkContext(model, request); err != nil {
		return nil, err
	}
	deadline, err := requestDeadline(r, maxGenerationTime)
	if err != nil {
		return nil, err
	}
	return StartRequest{workspace, model, request, r.URL.Path, body, deadline}, nil
}

func permittedModel(index *config.Index, workspace *pb.Workspace, name string) (config.Model, error) {
	model, ok := index.Model(name)
	if !ok {
		return config.Model{}, code.New(code.UnknownModel, fmt.Sprintf("model %q is not configured", name))
	}
	if !config.MayUseModel(workspace, model.Name) {
		return config.Model{}, code.New(code.NotPermitted, "the workspace may not use this model")
	}
	return model, nil
}

// bytesPerToken is above the usual ratio, so that only prompts that are certainly too long are refused.
const bytesPerToken = 5

// checkContext refuses a request that cannot fit into the model's context window.
func checkContext(model config.Model, request openai.Request) error {
	tokens := uint64(len(request.Prompt)/bytesPerToken) + uint64(request.MaxTokens)
	if tokens > uint64(model.ContextTokens) {
		return code.New(code.ContextTooLong, fmt.Sprintf("prompt and max_tokens need about %d tokens; the model's context has %d", tokens, model.ContextTokens))
	}
	return nil
}

func (g *gateway) decodeWorkspace(_ context.Context, r *http.Request) (any, error) {
	workspace, _, err := g.authenticate(r)
	return workspace, err
}

func decodeCaller(_ context.Context, r *http.Request) (any, error) { return hostOf(r.RemoteAddr), nil }

type resumeRequest struct {
	workspace string
	id        string
	offset    uint32
}

func (g *gateway) decodeResume(_ context.Context, r *http.Request) (any, error) {
	workspace, _, err := g.authenticate(r)
	if err != nil {
		return nil, err
	}
	out := resumeRequest{workspace: workspace.Name, id: r.PathValue("id")}
	if last := r.Header.Get(HeaderLastEventID); last != "" {
		offset, err := strconv.ParseUint(last, 10, 32)
		if err != nil {
			return nil, code.New(code.InvalidEventID, "Last-Event-ID is not a number")
		}
		out.offset = uint32(offset)
	}
	return out, nil
}

func (g *gateway) decodeCall(_ context.Context, r *http.Request) (any, error) {
	workspace, index, err := g.authenticate(r)
	if err != nil {
		return nil, err
	}
	service, ok := index.Service(r.PathValue("service"))
	if !ok {
		return nil, code.New(code.UnknownService, fmt.Sprintf("service %q is not configured", r.PathValue("service")))
	}
	if !config.MayUseService(workspace, service.Name) {
		return nil, code.New(code.NotPermitted, "the workspace may not use this service")
	}
	_, path, _ := cutCall(r)
	if !target.Forwardable(path) {
		return nil, code.New(code.MalformedRequest, "the target cannot be forwarded unchanged")
	}
	call := ServiceCall{Workspace: workspace, Service: service, Route: service.Route(r.Method, "/"+r.PathValue("path"))}
	if call.Key, err = idempotencyKey(r, call.Route); err != nil {
		return nil, err
	}
	if call.Deadline, err = requestDeadline(r, service.Timeout); err != nil {
		return nil, err
	}
	body, err := readBody(r, index.Policy().MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	call.Request = backend.CallRequest{Method: r.Method, Path: path, Header: forwardHeader(r.Header), Body: body}
	return call, nil
}

// idempotencyKey returns the value of the Idempotency-Key header, which only non-idempotent routes require.
func idempotencyKey(r *http.Request, route *pb.Route) (string, error) {
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return "", code.New(code.IdempotencyKeyRequired, "Idempotency-Key is longer than 255 bytes")
	}
	if key == "" && route.NonRepeatable {
		return "", code.New(code.IdempotencyKeyRequired, "this route needs an Idempotency-Key header")
	}
	return key, nil
}

func forwardHeader(in http.Header) http.Header {
	out := http.Header{}
	for _, name := range forwardedHeaders {
		if value := in.Get(name); value != "" {
			out.Set(name, value)
		}
	}
	return out
}

var errFlush = errors.New("gateway: cannot flush the connection")
