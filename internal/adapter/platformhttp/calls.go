package platformhttp

import (
	"context"
	"fmt"
	"time"

	api "github.com/pollenlug/pollenlug/internal/platformapi"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Each of these types implements one interface of pkg/platform on a Client. One type could not implement all of them,
// because Table and Objects both have a method Get.
type (
	// Table implements platform.Table.
	Table struct{ c *Client }
	// Objects implements platform.Objects.
	Objects struct{ c *Client }
	// Folder implements platform.Folder.
	Folder struct{ c *Client }
	// Cloud implements platform.Cloud.
	Cloud struct{ c *Client }
	// Instances implements platform.InstanceList.
	Instances struct{ c *Client }
	// Weights implements platform.Weights.
	Weights struct{ c *Client }
)

var (
	_ platform.Table        = Table{}
	_ platform.Objects      = Objects{}
	_ platform.Folder       = Folder{}
	_ platform.Cloud        = Cloud{}
	_ platform.InstanceList = Instances{}
	_ platform.Weights      = Weights{}
)

// Table returns a client of the table service.
func (c *Client) Table() Table { return Table{c} }

// Objects returns a client of the object store.
func (c *Client) Objects() Objects { return Objects{c} }

// Folder returns a client of the operators' folder.
func (c *Client) Folder() Folder { return Folder{c} }

// Cloud returns a client of the cloud API.
func (c *Client) Cloud() Cloud { return Cloud{c} }

// Instances returns a client of the instance list.
func (c *Client) Instances() Instances { return Instances{c} }

// Weights returns a client of the weight store.
func (c *Client) Weights() Weights { return Weights{c} }

// Get implements platform.Table.
func (t Table) Get(ctx context.Context, table, key string) (platform.Row, error) {
	var row api.Row
	err := t.c.do(ctx, call{api.PathTableGet, readOnly, t.c.timeouts.Table}, api.RowKey{Table: table, Key: key}, &row)
	return platform.Row(row), err
}

// List implements platform.Table.
func (t Table) List(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	var rows api.Rows
	request := api.ListRequest{Table: table, Prefix: prefix, After: after, Limit: limit}
	if err := t.c.do(ctx, call{api.PathTableList, readOnly, t.c.timeouts.Table}, request, &rows); err != nil {
		return nil, err
	}
	out := make([]platform.Row, 0, len(rows.Rows))
	for _, row := range rows.Rows {
		out = append(out, platform.Row(row))
	}
	return out, nil
}

// Commit implements platform.Table. It is never retried: a retry under the condition of the first attempt would report
// a conflict although the first attempt succeeded.
func (t Table) Commit(ctx context.Context, mutations []platform.Mutation) ([]uint64, error) {
	era, _ := t.Era()
	var response api.CommitResponse
	request := api.CommitRequest{Mutations: api.ToMutations(mutations)}
	if err := t.c.do(ctx, call{api.PathTableCommit, nonIdempotent, t.c.timeouts.Table}, request, &response); err != nil {
		return nil, err
	}
	if len(response.Versions) != len(mutations) {
		return nil, platform.ErrOutcomeUnknown
	}
	if now, _ := t.Era(); now != era && platform.HasVersionCondition(mutations) {
		return nil, fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, platform.ErrEraPassed)
	}
	return response.Versions, nil
}

// Era implements platform.Table. The service numbers versions over its eras, so each answer with versions shows one.
func (t Table) Era() (uint64, <-chan struct{}) { return t.c.eras.Newest() }

// Put implements platform.Objects. Objects are immutable, so a retry has no further effect.
func (o Objects) Put(ctx context.Context, name string, data []byte) error {
	request := api.Object{Name: name, Data: data}
	return o.c.do(ctx, call{api.PathObjectPut, idempotent, o.c.timeouts.Object}, request, &api.Empty{})
}

// Get implements platform.Objects.
func (o Objects) Get(ctx context.Context, name string) ([]byte, error) {
	var object api.Object
	if err := o.c.do(ctx, call{api.PathObjectGet, readOnly, o.c.timeouts.Object}, api.Object{Name: name}, &object); err != nil {
		return nil, err
	}
	return object.Data, nil
}

// Read implements platform.Folder.
func (f Folder) Read(ctx context.Context) (platform.FolderState, error) {
	var folder api.Folder
	err := f.c.do(ctx, call{api.PathFolder, readOnly, f.c.timeouts.Folder}, api.Empty{}, &folder)
	return platform.FolderState(folder), err
}

// Start implements platform.Cloud. The request's token makes a retry return the same instance.
func (o Cloud) Start(ctx context.Context, request platform.StartRequest) (platform.Instance, error) {
	var instance platform.Instance
	err := o.c.do(ctx, call{api.PathStart, idempotent, o.c.timeouts.Cloud}, request, &instance)
	return instance, err
}

// Stop implements platform.Cloud.
func (o Cloud) Stop(ctx context.Context, instance string) error {
	request := api.InstanceID{Instance: instance}
	return o.c.do(ctx, call{api.PathStop, idempotent, o.c.timeouts.Cloud}, request, &api.Empty{})
}

// Prices implements platform.Cloud.
func (o Cloud) Prices(ctx context.Context) ([]platform.Price, error) {
	var prices api.Prices
	err := o.c.do(ctx, call{api.PathPrices, readOnly, o.c.timeouts.List}, api.Empty{}, &prices)
	return prices.Prices, err
}

// Notices implements platform.Cloud. The wait time sent to the service is slightly less than the time left until the
// context's deadline, so that an empty response arrives in time; having no notices is not an error. A failed poll is not
// retried here, because the caller polls in a loop.
func (o Cloud) Notices(ctx context.Context, after uint64) ([]platform.Notice, error) {
	wait := noticeWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	var notices api.Notices
	request := api.NoticesRequest{After: after, WaitMillis: max(wait-min(noticeGrace, wait/4), 0).Milliseconds()}
	err := o.c.poll(ctx, call{api.PathNotices, readOnly, wait + noticeGrace}, request, &notices)
	return notices.Notices, err
}

// Instances implements platform.InstanceList.
func (i Instances) Instances(ctx context.Context) ([]platform.Instance, error) {
	var list api.Instances
	err := i.c.do(ctx, call{api.PathInstances, readOnly, i.c.timeouts.List}, api.Empty{}, &list)
	return list.Instances, err
}

// Reserve implements platform.Weights. A retry could reserve bandwidth twice, so it is never retried.
func (w Weights) Reserve(ctx context.Context, model string, sizeMiB uint32) (time.Duration, error) {
	var response api.ReserveResponse
	request := api.ReserveRequest{Model: model, SizeMiB: sizeMiB}
	err := w.c.do(ctx, call{api.PathReserve, nonIdempotent, w.c.timeouts.List}, request, &response)
	return time.Duration(response.WaitMillis) * time.Millisecond, err
}
