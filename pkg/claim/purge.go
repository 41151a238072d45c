package claim

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Purge reads the next page of up to limit rows and deletes those that have expired, at most Options.GroupRows of
// them. It goes on after the last page that this node has read and begins again at the end of the table. Any node
// may call it, also several at once: the deletes are conditional.
//
// The cost is one read and one transaction per page with expired rows, two when other nodes purge the same rows.
// Over its life a call costs one row write more. Deletes that fail are repeated in the next round.
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
	// Rows that another node has deleted or a call has replaced are left out.
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
