package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// reportUsage reports the final usage windows that have not been reported in this term.
func (h *dutyHolder) reportUsage(ctx context.Context, now time.Time) {
	u := h.n.usage
	last := u.WindowNumber(now.Add(-usageSettleTime)) - 1
	for number := last - int64(h.n.settings.UsageDelay/h.n.settings.UsageWindow) + 1; number <= last; number++ {
		if h.reported[number] {
			continue
		}
		counts, err := h.finalCounts(ctx, number)
		if err != nil {
			h.n.log.WithError(err).WithField("window", number).Warning("usage counts not made final")
			continue
		}
		if len(counts) == 0 {
			h.reported[number] = true
			continue
		}
		fencing, ok := h.held.Check()
		if !ok {
			return
		}
		if err := h.n.duties.ReportUsage(ctx, fencing, number, counts); err != nil {
			h.n.log.WithError(err).WithField("window", number).Warning("reporting usage failed")
			continue
		}
		h.reported[number] = true
		h.n.log.WithFields(logrus.Fields{"window": number, "counts": counts}).Info(logline.UsageReported)
	}
}

// finalCounts returns the final counts of a window. They are stored once, before the first report, so that every report
// of a window is the same.
func (h *dutyHolder) finalCounts(ctx context.Context, number int64) (map[string]int64, error) {
	if counts, ok := h.final[number]; ok {
		return counts, nil
	}
	counts := h.n.usage.Total(number)
	if len(counts) == 0 {
		return nil, nil
	}
	value, err := proto.Marshal(&pb.FrozenUsage{Counts: counts})
	if err != nil {
		return nil, err
	}
	key := time.Unix(0, number*int64(h.n.settings.UsageWindow)).UTC().Format("20060102T150405.000")
	row := platform.Mutation{Table: usageTable, Key: key, Value: value, If: platform.Condition{Kind: platform.Absent}}
	_, err = h.n.store.Commit(ctx, []platform.Mutation{row})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
	case errors.As(err, &conflict) || errors.Is(err, platform.ErrOutcomeUnknown):
		if counts, err = h.readFinalCounts(ctx, key); err != nil {
			return nil, err
		}
	default:
		return nil, err
	}
	h.final[number] = counts
	return counts, nil
}

func (h *dutyHolder) readFinalCounts(ctx context.Context, key string) (map[string]int64, error) {
	row, err := h.n.store.Get(ctx, usageTable, key)
	if err != nil {
		return nil, err
	}
	stored := &pb.FrozenUsage{}
	if err := proto.Unmarshal(row.Value, stored); err != nil {
		return nil, err
	}
	return stored.Counts, nil
}
