package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	api "github.com/pollenlug/pollenlug/internal/platformapi"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// maxWait bounds a long poll.
const maxWait = time.Minute

// errInvalid means that a commit request has a mutation with an unknown condition.
var errInvalid = errors.New("invalid request")

func (p *Platform) routes() *http.ServeMux {
	mux := http.NewServeMux()
	route(p, mux, api.PathTableGet, p.get)
	route(p, mux, api.PathTableList, p.list)
	route(p, mux, api.PathTableCommit, p.commit)
	route(p, mux, api.PathObjectPut, p.putObject)
	route(p, mux, api.PathObjectGet, p.getObject)
	route(p, mux, api.PathFolder, p.readFolder)
	route(p, mux, api.PathStart, p.Cloud.Start)
	route(p, mux, api.PathStop, p.stop)
	route(p, mux, api.PathPrices, p.listPrices)
	route(p, mux, api.PathNotices, p.listNotices)
	route(p, mux, api.PathInstances, p.listInstances)
	route(p, mux, api.PathReserve, p.reserve)
	return mux
}

// route registers one call. The request's context ends when the client disconnects, which every part of the
// platform treats like a caller that stops waiting.
func route[Request, Response any](p *Platform, mux *http.ServeMux, path string, call func(context.Context, Request) (Response, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, api.MaxBodyBytes))
		if err := decoder.Decode(&request); err != nil {
			writeJSON(w, http.StatusBadRequest, api.Failure{Kind: api.Invalid, Message: err.Error()})
			return
		}
		response, err := call(r.Context(), request)
		if era, _ := p.Table.Era(); era > 0 {
			w.Header().Set(api.HeaderEra, strconv.FormatUint(era, 10))
		}
		if err != nil {
			failure := failureOf(err)
			writeJSON(w, failure.Kind.Status(), failure)
			return
		}
		writeJSON(w, http.StatusOK, response)
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the client has disconnected
}

func failureOf(err error) api.Failure {
	out := api.Failure{Kind: api.Invalid, Message: err.Error()}
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		out.Kind = api.Conflict
		out.Failed = conflict.Failed
	case errors.Is(err, platform.ErrNotFound):
		out.Kind = api.NotFound
	case errors.Is(err, platform.ErrStartRefused):
		out.Kind = api.StartRefused
	case errors.Is(err, platform.ErrUnavailable):
		out.Kind = api.Unavailable
	case errors.Is(err, platform.ErrOutcomeUnknown), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		out.Kind = api.OutcomeUnknown
	}
	return out
}

func (p *Platform) get(ctx context.Context, r api.RowKey) (api.Row, error) {
	row, err := p.Table.Get(ctx, r.Table, r.Key)
	return api.Row(row), err
}

func (p *Platform) list(ctx context.Context, r api.ListRequest) (api.Rows, error) {
	rows, err := p.Table.List(ctx, r.Table, r.Prefix, r.After, r.Limit)
	out := api.Rows{Rows: make([]api.Row, 0, len(rows))}
	for _, row := range rows {
		out.Rows = append(out.Rows, api.Row(row))
	}
	return out, err
}

func (p *Platform) commit(ctx context.Context, r api.CommitRequest) (api.CommitResponse, error) {
	mutations, ok := api.FromMutations(r.Mutations)
	if !ok {
		return api.CommitResponse{}, errInvalid
	}
	versions, err := p.Table.Commit(ctx, mutations)
	return api.CommitResponse{Versions: versions}, err
}

func (p *Platform) putObject(ctx context.Context, r api.Object) (api.Empty, error) {
	return api.Empty{}, p.Objects.Put(ctx, r.Name, r.Data)
}

func (p *Platform) getObject(ctx context.Context, r api.Object) (api.Object, error) {
	data, err := p.Objects.Get(ctx, r.Name)
	return api.Object{Name: r.Name, Data: data}, err
}

func (p *Platform) readFolder(ctx context.Context, _ api.Empty) (api.Folder, error) {
	state, err := p.Folder.Read(ctx)
	return api.Folder(state), err
}

func (p *Platform) stop(ctx context.Context, r api.InstanceID) (api.Empty, error) {
	return api.Empty{}, p.Cloud.Stop(ctx, r.Instance)
}

func (p *Platform) listPrices(ctx context.Context, _ api.Empty) (api.Prices, error) {
	prices, err := p.Cloud.Prices(ctx)
	return api.Prices{Prices: prices}, err
}

func (p *Platform) listNotices(ctx context.Context, r api.NoticesRequest) (api.Notices, error) {
	wait := min(time.Duration(r.WaitMillis)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	notices, err := p.Cloud.Notices(ctx, r.After)
	return api.Notices{Notices: notices}, err
}

func (p *Platform) listInstances(ctx context.Context, _ api.Empty) (api.Instances, error) {
	instances, err := p.Cloud.Instances(ctx)
	return api.Instances{Instances: instances}, err
}

func (p *Platform) reserve(ctx context.Context, r api.ReserveRequest) (api.ReserveResponse, error) {
	wait, err := p.Weights.Reserve(ctx, r.Model, r.SizeMiB)
	return api.ReserveResponse{WaitMillis: int64((wait + time.Millisecond - 1) / time.Millisecond)}, err
}
