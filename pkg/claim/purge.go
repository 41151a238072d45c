package claim

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Purge reads the next page of up to limit rows and deletes those that have expired, at most Options.GroupRows of
// them. It continues after the last page that this node has read and starts over at the end of the table. Several
// nodes may call it at the same time, because the deletes are conditional.
//
// A page with expired rows costs one read and one transaction, or two transactions when other nodes purge the same
// rows. This adds one row write to the cost of each call. Failed deletes are repeated in the next pass over the table.
func (c *Claims) Purge(ctx context.Context, limit int) (deleted int, err error) {
	rows, err := c.o.Table.List(ctx, TableName, "", c.purgePosition(), limit)
	if err != nil {
		return 0, err
	}
	var deletes []write
	last := ""
	for i, r := range rows {
		var row pb.ClaimRow
		if proto.Unmarshal(r.Value, &row) == nil && c.hasExpired(&row) {
			deletes = append(deletes, write{ctx: ctx, m: deletion(r), done: func(_ uint64, err error) {
				if err == nil {
					deleted++
				}
			}})
		}
		if len(deletes) == c.o.GroupRows || i == limit-1 {
			last = r.Key
			break
		}
	}
	// Rows that another node has deleted or a call has replaced fail their condition and are skipped.
	c.group.commitGroup(deletes)
	c.setPurgePosition(last)
	return deleted, nil
}

func deletion(r platform.Row) platform.Mutation {
	cond := platform.Condition{Kind: platform.VersionIs, Version: r.Version}
	return platform.Mutation{Table: TableName, Key: r.Key, Delete: true, If: cond}
}

func (c *Claims) purgePosition() string {
	c.purgeMu.Lock()
	defer c.purgeMu.Unlock()
	return c.purgeAfter
}

func (c *Claims) setPurgePosition(key string) {
	c.purgeMu.Lock()
	defer c.purgeMu.Unlock()
	c.purgeAfter = key
}
