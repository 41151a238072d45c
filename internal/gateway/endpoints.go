package gateway

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pollenlug/pollenlug/internal/openai"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/config"
)

// generationResponse is a generation that is being sent to the caller.
type generationResponse struct {
	generation *Generation
	request    openai.Request
	offset     uint32
	workspace  string
}

func (g *gateway) generate(ctx context.Context, request any) (any, error) {
	start := request.(StartRequest)
	generation, err := g.Responses.Start(ctx, start)
	if err != nil {
		return nil, err
	}
	return &generationResponse{generation: generation, request: start.Request, workspace: start.Workspace.Name}, nil
}

// resume attaches to a response. It is always sent as a stream that starts after the event in Last-Event-ID.
func (g *gateway) resume(ctx context.Context, request any) (any, error) {
	in := request.(resumeRequest)
	generation, err := g.Responses.Attach(ctx, in.workspace, in.id)
	if err != nil {
		return nil, err
	}
	meta := generation.Log.Meta()
	original, err := openai.ParseRequest(meta.Path, meta.Request)
	if err != nil {
		generation.Close()
		return nil, code.Wrap(code.Internal, code.RanUnknown, "internal error", err)
	}
	if in.offset > original.MaxTokens {
		generation.Close()
		return nil, code.New(code.InvalidEventID, "Last-Event-ID is not an event of this response").WithRan(code.RanYes)
	}
	original.Stream = true
	return &generationResponse{generation, original, in.offset, in.workspace}, nil
}

func (g *gateway) models(_ context.Context, request any) (any, error) {
	workspace := request.(*pb.Workspace)
	var names []string
	for _, model := range g.Node.Config().Folder().Models {
		if !config.MayUseModel(workspace, model.Name) {
			continue
		}
		names = append(names, model.Name)
		for _, adapter := range model.Adapters {
			names = append(names, model.Name+":"+adapter)
		}
	}
	return openai.Models(names)
}

func (g *gateway) encodeBody(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write(response.([]byte))
	return g.recordDisconnect(err)
}

func (g *gateway) call(ctx context.Context, request any) (any, error) {
	call := request.(ServiceCall)
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	defer context.AfterFunc(g.Closing, cancel)()
	response, err := g.Services.Call(ctx, call)
	switch {
	case err == nil:
		return response, nil
	case g.Closing.Err() == nil:
		return nil, err
	case code.From(err).Ran == code.RanNo:
		return nil, code.Wrap(code.NodeLeaving, code.RanNo, "the entry node is leaving", err).WithRetryAfter(leavingRetryAfter)
	}
	return nil, code.Wrap(code.OutcomeUnknown, code.RanUnknown, "the entry node left before the service answered", err)
}

func (g *gateway) encodeCall(_ context.Context, w http.ResponseWriter, response any) error {
	out := response.(backend.CallResponse)
	header := w.Header()
	for _, name := range []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Location"} {
		if value := out.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set("Content-Length", strconv.Itoa(len(out.Body)))
	w.WriteHeader(out.Status)
	_, err := w.Write(out.Body)
	return g.recordDisconnect(err)
}

type entriesResponse struct {
	Entries    []Entry `json:"entries"`
	TTLSeconds int     `json:"ttl_seconds"`
}

func (g *gateway) entries(_ context.Context, request any) (any, error) {
	return entriesResponse{g.Node.Entries(request.(string)), int(entriesTTL.Seconds())}, nil
}

func (g *gateway) status(context.Context, any) (any, error) { return g.Node.Status(), nil }
