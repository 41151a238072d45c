package edge

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/logline"
)

// errReturnNotNoticed means that this node has not yet handled a return of the store, or that its lease is of an earlier
// era.
var errReturnNotNoticed = errors.New("the last return of the store is not known yet")

// reportUsage reports the final usage windows that have not been reported in this term.
func (h *dutyHolder) reportUsage(ctx context.Context, now time.Time) {
	u := h.n.usage
	last := u.WindowNumber(now.Add(-usageSettleTime)) - 1
	for number := last - int64(h.n.settings.UsageDelay/h.n.settings.UsageWindow) + 1; number <= last; number++ {
		if h.reported[number] {
			continue
		}
		counts, err := h.finalCounts(ctx, number)
		if errors.Is(err, errReportUnknown) {
			h.reported[number] = true
			h.n.log.WithError(err).WithField("window", number).Warning("usage window not reported")
			continue
		}
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

// finalCounts returns the final counts of a window.
func (h *dutyHolder) finalCounts(ctx context.Context, number int64) (map[string]int64, error) {
	if counts, ok := h.final[number]; ok {
		return counts, nil
	}
	counts := h.n.usage.Total(number)
	if len(counts) == 0 {
		return nil, nil
	}
	returnedAt, era := h.n.storeReturn.lastReturn()
	if era != h.held.Era() {
		return nil, errReturnNotNoticed
	}
	mayBeReported := h.n.usage.WindowEnd(number).Add(usageSettleTime).Before(returnedAt)
	counts, err := h.n.finalUsage.get(ctx, h.held, number, counts, mayBeReported)
	if err != nil {
		return nil, err
	}
	h.final[number] = counts
	return counts, nil
}
