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
	// goneTTL is how long the removal of an instance is gossiped.
	goneTTL = 5 * time.Minute
)

// followList reads the list: often when this node is the reader, else at the start and from time to time.
func (t *Tracker) followList(ctx context.Context) {
	var next time.Time
	for ctx.Err() == nil {
		reads := t.ReadsList()
		if reads && time.Until(next) > t.listInterval() {
			next = time.Time{} // this node has just become the reader
		}
		if time.Now().Before(next) {
			clock.Sleep(ctx, roleInterval)
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

// listInterval keeps the bytes per second of the reader within bounds.
func (t *Tracker) listInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minListInterval, time.Duration(len(t.instances))*listTimePerInstance)
}

// readList takes the list over; the reader gossips what changed. A failed read leaves what is known in force.
func (t *Tracker) readList(ctx context.Context, publish bool) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := t.Instances.Instances(ctx)
	if err != nil {
		t.Log.WithError(err).Debug("instance list is unavailable; the last one stays in force")
		return false
	}
	if publish {
		for _, item := range t.merge(list) {
			t.publish(item)
		}
	} else {
		t.add(list)
	}
	t.Renew()
	return true
}

// add takes instances that are not known yet. What gossip says of the others is newer than a list that lags.
func (t *Tracker) add(list []platform.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, instance := range list {
		if _, ok := t.instances[instance.ID]; !ok {
			t.instances[instance.ID] = instance
		}
	}
}

// merge replaces the known instances and returns what changed.
func (t *Tracker) merge(list []platform.Instance) []*pb.InstanceItem {
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
		changes = append(changes, toItem(instance))
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

func toItem(i platform.Instance) *pb.InstanceItem {
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

func fromItem(item *pb.InstanceItem) platform.Instance {
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

// heardInstance takes an instance that the reader has gossiped.
func (t *Tracker) heardInstance(gossiped *pb.GossipItem) {
	var item pb.InstanceItem
	if proto.Unmarshal(gossiped.Value, &item) != nil || instancePrefix+item.Id != gossiped.Key {
		return
	}
	t.mu.Lock()
	if item.Gone {
		delete(t.instances, item.Id)
	} else {
		t.instances[item.Id] = fromItem(&item)
	}
	t.mu.Unlock()
	t.Renew()
}

// followNotices reads the notices while this node is one of their readers.
func (t *Tracker) followNotices(ctx context.Context) {
	var last uint64
	for ctx.Err() == nil {
		if !t.ReadsNotices() {
			clock.Sleep(ctx, roleInterval)
			continue
		}
		notices, err := t.waitForNotices(ctx, last)
		if err != nil {
			clock.Sleep(ctx, retryInterval)
			continue
		}
		for _, notice := range notices {
			last = max(last, notice.Number)
			t.publishNotice(notice)
		}
		if len(notices) == 0 {
			clock.Sleep(ctx, time.Millisecond) // a platform that answers at once without notices must not be asked in a busy loop
		}
	}
}

func (t *Tracker) waitForNotices(ctx context.Context, last uint64) ([]platform.Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, noticeWait)
	defer cancel()
	notices, err := t.Cloud.Notices(ctx, last)
	if err != nil && ctx.Err() != nil {
		return nil, nil // no notice came in time
	}
	return notices, err
}

// publishNotice tells all nodes of a notice, unless it is known or long over.
func (t *Tracker) publishNotice(notice platform.Notice) {
	left := time.Until(notice.Deadline)
	if left < -noticeMemory {
		return
	}
	t.mu.Lock()
	known, ok := t.notices[notice.Instance]
	t.mu.Unlock()
	if ok && known.UnixMilli() == notice.Deadline.UnixMilli() {
		return
	}
	t.Log.WithField("instance", notice.Instance).WithField("deadline", notice.Deadline).Info("instance is reclaimed")
	value, err := proto.Marshal(&pb.NoticeItem{DeadlineUnixMs: uint64(notice.Deadline.UnixMilli())})
	if err != nil {
		t.Log.WithError(err).Error("notice cannot be encoded")
		return
	}
	t.Gossip.Set(noticePrefix+notice.Instance, value, left+noticeMemory, true)
}

func (t *Tracker) heardNotice(item *pb.GossipItem) {
	var notice pb.NoticeItem
	if proto.Unmarshal(item.Value, &notice) != nil {
		return
	}
	t.mu.Lock()
	t.notices[strings.TrimPrefix(item.Key, noticePrefix)] = time.UnixMilli(int64(notice.DeadlineUnixMs))
	t.mu.Unlock()
	t.Renew()
}

// Drain tells all nodes that a server leaves by the fleet plan: it gets no new work, and what still runs shortly before
// the deadline moves. The reclaim notice of the cloud has its own item, which decides where both exist. A repeated call
// does nothing; a drain cannot be withdrawn.
func (t *Tracker) Drain(server string, deadline time.Time) {
	if known, ok := t.drainOf(server); ok && known.UnixMilli() == deadline.UnixMilli() {
		return
	}
	value, err := proto.Marshal(&pb.NoticeItem{DeadlineUnixMs: uint64(deadline.UnixMilli())})
	if err != nil {
		t.Log.WithError(err).Error("drain cannot be encoded")
		return
	}
	t.Gossip.Set(drainPrefix+server, value, max(0, time.Until(deadline))+noticeMemory, true)
	t.setDrain(server, deadline)
}

func (t *Tracker) heardDrain(item *pb.GossipItem) {
	var drain pb.NoticeItem
	if proto.Unmarshal(item.Value, &drain) == nil {
		t.setDrain(strings.TrimPrefix(item.Key, drainPrefix), time.UnixMilli(int64(drain.DeadlineUnixMs)))
	}
}

func (t *Tracker) setDrain(server string, deadline time.Time) {
	t.mu.Lock()
	t.drains[server] = deadline
	t.mu.Unlock()
	t.Renew()
}

func (t *Tracker) drainOf(server string) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	deadline, ok := t.drains[server]
	return deadline, ok
}
