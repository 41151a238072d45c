package servers

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

const (
	instancePrefix = "instance/"
	noticePrefix   = "notice/"
	drainPrefix    = "drain/"
	// goneTTL is the lifetime of the gossip item that reports the removal of an instance.
	goneTTL = 5 * time.Minute
)

// watchList reads the instance list: every listInterval while this node is its reader, otherwise at the start and
// every fallbackInterval.
func (t *Tracker) watchList(ctx context.Context) {
	var next time.Time
	for ctx.Err() == nil {
		reads := t.ReadsList()
		if reads && time.Until(next) > t.listInterval() {
			next = time.Time{} // this node has just become the reader; read at once
		}
		if time.Now().Before(next) {
			clock.Sleep(ctx, roleCheckInterval)
			continue
		}
		switch ok := t.readList(ctx, reads); {
		case !ok:
			next = time.Now().Add(retryInterval)
		case reads:
			next = time.Now().Add(t.listInterval())
		default:
			next = time.Now().Add(fallbackInterval)
		}
	}
}

// listInterval returns the time between two reads of the list by its reader. It grows with the number of instances, so
// that the bandwidth used stays bounded.
func (t *Tracker) listInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minListInterval, time.Duration(len(t.instances))*listTimePerInstance)
}

// readList reads the list and applies it; with publish, it replaces the known instances and gossips the changes,
// otherwise it only adds unknown instances. It returns false if the read failed, which leaves the instances unchanged.
func (t *Tracker) readList(ctx context.Context, publish bool) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := t.Instances.Instances(ctx)
	if err != nil {
		t.Log.WithError(err).Debug("instance list is unavailable; keeping the known instances")
		return false
	}
	if publish {
		for _, item := range t.reconcile(list) {
			t.publish(item)
		}
	} else {
		t.addUnknown(list)
	}
	t.RequestUpdate()
	return true
}

// addUnknown adds the instances that are not known yet. For known instances, gossip is newer than the list, which lags.
func (t *Tracker) addUnknown(list []platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, instance := range list {
		if _, ok := t.instances[instance.ID]; !ok {
			t.instances[instance.ID] = instance
		}
	}
}

// reconcile replaces the known instances with the list and returns the changes.
func (t *Tracker) reconcile(list []platform.Instance) []*pb.InstanceItem {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []*pb.InstanceItem
	seen := make(map[string]bool, len(list))
	for _, instance := range list {
		seen[instance.ID] = true
		if known, ok := t.instances[instance.ID]; ok && equal(known, instance) {
			continue
		}
		t.instances[instance.ID] = instance
		changes = append(changes, encodeItem(instance))
	}
	for id := range t.instances {
		if !seen[id] {
			delete(t.instances, id)
			changes = append(changes, &pb.InstanceItem{Id: id, Gone: true})
		}
	}
	return changes
}

func equal(a, b platform.Instance) bool {
	if !a.Deadline.Truncate(time.Millisecond).Equal(b.Deadline.Truncate(time.Millisecond)) {
		return false
	}
	a.Deadline, b.Deadline = time.Time{}, time.Time{}
	return a == b
}

func (t *Tracker) publish(item *pb.InstanceItem) {
	value, err := proto.Marshal(item)
	if err != nil {
		t.Log.WithError(err).Error("instance item cannot be encoded")
		return
	}
	ttl := time.Duration(0)
	if item.Gone {
		ttl = goneTTL
	}
	t.Gossip.Set(instancePrefix+item.Id, value, ttl, true)
}

func encodeItem(i platform.Instance) *pb.InstanceItem {
	item := &pb.InstanceItem{
		Id:                 i.ID,
		Kind:               string(i.Kind),
		State:              string(i.State),
		Region:             i.Region,
		FailureDomain:      i.FailureDomain,
		Addr:               i.Addr,
		NodeAddr:           i.NodeAddr,
		BackendGroup:       i.BackendGroup,
		InstanceClass:      i.InstanceClass,
		Reclaimable:        i.Reclaimable,
		PricePerHourMicros: i.PricePerHourMicros,
	}
	if !i.Deadline.IsZero() {
		item.DeadlineUnixMs = uint64(i.Deadline.UnixMilli())
	}
	return item
}

func decodeItem(item *pb.InstanceItem) platform.Instance {
	i := platform.Instance{
		ID:                 item.Id,
		Kind:               platform.InstanceKind(item.Kind),
		State:              platform.InstanceState(item.State),
		Region:             item.Region,
		FailureDomain:      item.FailureDomain,
		Addr:               item.Addr,
		NodeAddr:           item.NodeAddr,
		BackendGroup:       item.BackendGroup,
		InstanceClass:      item.InstanceClass,
		Reclaimable:        item.Reclaimable,
		PricePerHourMicros: item.PricePerHourMicros,
	}
	if item.DeadlineUnixMs > 0 {
		i.Deadline = time.UnixMilli(int64(item.DeadlineUnixMs))
	}
	return i
}

// handleInstance applies an instance item that the reader of the list has gossiped.
func (t *Tracker) handleInstance(gossiped *pb.GossipItem) {
	var item pb.InstanceItem
	if proto.Unmarshal(gossiped.Value, &item) != nil || instancePrefix+item.Id != gossiped.Key {
		return
	}
	t.mu.Lock()
	if item.Gone {
		delete(t.instances, item.Id)
	} else {
		t.instances[item.Id] = decodeItem(&item)
	}
	t.mu.Unlock()
	t.RequestUpdate()
}

// watchNotices polls for reclaim notices while this node is one of their readers.
func (t *Tracker) watchNotices(ctx context.Context) {
	var last uint64
	for ctx.Err() == nil {
		if !t.ReadsNotices() {
			clock.Sleep(ctx, roleCheckInterval)
			continue
		}
		notices, err := t.pollNotices(ctx, last)
		if err != nil {
			clock.Sleep(ctx, retryInterval)
			continue
		}
		for _, notice := range notices {
			last = max(last, notice.Number)
			t.publishNotice(notice)
		}
		if len(notices) == 0 {
			clock.Sleep(ctx, time.Millisecond) // prevents a busy loop if the platform returns at once without notices
		}
	}
}

func (t *Tracker) pollNotices(ctx context.Context, last uint64) ([]platform.Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, noticePollTimeout)
	defer cancel()
	notices, err := t.Cloud.Notices(ctx, last)
	if err != nil && ctx.Err() != nil {
		return nil, nil // there was no notice within noticePollTimeout
	}
	return notices, err
}

// publishNotice gossips a notice unless it is known already or its deadline passed more than noticeRetention ago.
func (t *Tracker) publishNotice(notice platform.Notice) {
	left := time.Until(notice.Deadline)
	if left < -noticeRetention {
		return
	}
	t.mu.Lock()
	known, ok := t.notices[notice.Instance]
	t.mu.Unlock()
	if ok && known.UnixMilli() == notice.Deadline.UnixMilli() {
		return
	}
	t.Log.WithField("instance", notice.Instance).WithField("deadline", notice.Deadline).Info("reclaim notice received")
	value, err := proto.Marshal(&pb.NoticeItem{DeadlineUnixMs: uint64(notice.Deadline.UnixMilli())})
	if err != nil {
		t.Log.WithError(err).Error("notice cannot be encoded")
		return
	}
	t.Gossip.Set(noticePrefix+notice.Instance, value, left+noticeRetention, true)
}

func (t *Tracker) handleNotice(item *pb.GossipItem) {
	var notice pb.NoticeItem
	if proto.Unmarshal(item.Value, &notice) != nil {
		return
	}
	t.mu.Lock()
	t.notices[strings.TrimPrefix(item.Key, noticePrefix)] = time.UnixMilli(int64(notice.DeadlineUnixMs))
	t.mu.Unlock()
	t.RequestUpdate()
}

// Drain announces to all nodes that the fleet plan removes a server: it gets no new work, and responses that still run
// drainMoveLead before the deadline are moved. A reclaim notice of the cloud is a separate item, which takes precedence
// if both exist. A repeated call with the same deadline has no effect; a drain cannot be cancelled.
func (t *Tracker) Drain(server string, deadline time.Time) {
	if known, ok := t.drainOf(server); ok && known.UnixMilli() == deadline.UnixMilli() {
		return
	}
	value, err := proto.Marshal(&pb.NoticeItem{DeadlineUnixMs: uint64(deadline.UnixMilli())})
	if err != nil {
		t.Log.WithError(err).Error("drain cannot be encoded")
		return
	}
	t.Gossip.Set(drainPrefix+server, value, max(0, time.Until(deadline))+noticeRetention, true)
	t.setDrain(server, deadline)
}

func (t *Tracker) handleDrain(item *pb.GossipItem) {
	var drain pb.NoticeItem
	if proto.Unmarshal(item.Value, &drain) == nil {
		t.setDrain(strings.TrimPrefix(item.Key, drainPrefix), time.UnixMilli(int64(drain.DeadlineUnixMs)))
	}
}

func (t *Tracker) setDrain(server string, deadline time.Time) {
	t.mu.Lock()
	t.drains[server] = deadline
	t.mu.Unlock()
	t.RequestUpdate()
}

func (t *Tracker) drainOf(server string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	deadline, ok := t.drains[server]
	return deadline, ok
}
