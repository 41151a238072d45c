package edge

import (
	"cmp"
	"context"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/serving"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

const (
	// crashCheckInterval is how often the detector attributes crashes to requests.
	crashCheckInterval = 250 * time.Millisecond
	// Options of strike.New for a deployment whose nodes receive each other's heartbeats within a second and whose
	// servers restart a few seconds after a crash.
	crashWindow     = 3 * time.Second
	crashDelay      = 1200 * time.Millisecond
	crashLinger     = 1500 * time.Millisecond
	crashExpiry     = time.Hour
	maxCrashRecords = 512
	// maxSentCrashes limits the records in one heartbeat. A new record is sent at least once, and usually in several
	// heartbeats during newCrashPeriod. Older ones are sent in rotation, each for crashRotation, at least one heartbeat,
	// for nodes that have missed them.
	maxSentCrashes = 16
	newCrashPeriod = 2 * time.Second
	crashRotation  = 3 * time.Second
)

// crashDetector finds requests that crash the servers they run on; see package strike.
type crashDetector struct {
	tracker *strike.Tracker
	metrics *metrics.Set
	log     *logrus.Entry

	mu      sync.Mutex
	servers map[string]serving.Server
	// records are sent to the other nodes, newest last. They are at most maxCrashRecords.
	records []sentCrash
	// lastLogged holds the last logged record of each digest. Unchanged records recur, because a record is sent again
	// while peers lack part of it.
	lastLogged map[string]strike.Record
}

// sentCrash is a record and the time when it last changed or a peer was found to lack part of it.
type sentCrash struct {
	strike.Change
	updatedAt time.Time
	sends     int // since updatedAt
}

func newCrashDetector(node string, m *metrics.Set, log *logrus.Entry) *crashDetector {
	return &crashDetector{metrics: m, log: log, servers: map[string]serving.Server{}, lastLogged: map[string]strike.Record{},
		tracker: strike.New(strike.Options{Node: node, Window: crashWindow, Delay: crashDelay, Linger: crashLinger,
			Expiry: crashExpiry, MaxRecords: maxCrashRecords})}
}

func (d *crashDetector) run(ctx context.Context) {
	for clock.Sleep(ctx, crashCheckInterval) {
		d.tracker.Tick(time.Now())
		d.collect(time.Now())
		d.logDecisions()
	}
}

func (d *crashDetector) logDecisions() {
	for _, decision := range d.tracker.Decisions() {
		d.metrics.Count("strike_decisions", "verdict", string(decision.Verdict), 1)
		d.log.WithFields(logline.StrikeFields(decision)).Info(logline.StrikeDecision)
	}
}

// collect adds the tracker's changed records to those sent in heartbeats.
func (d *crashDetector) collect(now time.Time) {
	changes := d.tracker.Changes()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		d.logChange(c)
	}
	d.enqueue(changes, now)
}

// resendRestrictions sends the records that restrict requests once more, also those that this node has only received. It
// is called when a node that has missed them may have appeared, returned or restarted.
func (d *crashDetector) resendRestrictions(now time.Time) {
	restrictions := d.tracker.Restrictions(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enqueue(restrictions, now)
}

// enqueue adds records to those sent, in place of older ones of the same requests. If there are too many, those with the
// fewest strikes are dropped, and the oldest among equals.
func (d *crashDetector) enqueue(changes []strike.Change, now time.Time) {
	replaced := make(map[string]bool, len(changes))
	for _, c := range changes {
		replaced[c.Digest] = true
	}
	d.records = slices.DeleteFunc(d.records, func(r sentCrash) bool { return replaced[r.Digest] })
	for _, c := range changes {
		d.records = append(d.records, sentCrash{Change: c, updatedAt: now})
	}
	if excess := len(d.records) - maxCrashRecords; excess > 0 {
		slices.SortStableFunc(d.records, func(a, b sentCrash) int { return cmp.Compare(a.Record.Strikes(), b.Record.Strikes()) })
		d.records = slices.Delete(d.records, 0, excess)
	}
}

func (d *crashDetector) logChange(c strike.Change) {
	before, ok := d.lastLogged[c.Digest]
	if ok && reflect.DeepEqual(before, c.Record) {
		return
	}
	if len(d.lastLogged) >= maxCrashRecords {
		clear(d.lastLogged)
	}
	d.lastLogged[c.Digest] = c.Record
	d.log.WithFields(logrus.Fields{logline.Digest: c.Digest, logline.Servers: c.Record.Servers,
		"correlated": c.Record.Correlated, "quarantined": c.Record.Quarantined}).
		Info(logline.CrashRecord)
}

// export returns the records for one heartbeat: new ones, those with most strikes first and then those sent least often,
// and old ones in rotation.
func (d *crashDetector) export(now time.Time) []*pb.CrashRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records = slices.DeleteFunc(d.records, func(r sentCrash) bool { return now.Sub(r.ChangedAt) >= crashExpiry })
	rotated := int(now.UnixNano()/int64(crashRotation)) % max(len(d.records), 1)
	var due []*sentCrash
	for i := range d.records {
		r := &d.records[i]
		if now.Sub(r.updatedAt) < newCrashPeriod || r.sends == 0 || i == rotated {
			due = append(due, r)
		}
	}
	slices.SortStableFunc(due, func(a, b *sentCrash) int {
		return cmp.Or(cmp.Compare(b.Record.Strikes(), a.Record.Strikes()), cmp.Compare(a.sends, b.sends))
	})
	due = due[:min(len(due), maxSentCrashes)]
	var out []*pb.CrashRecord
	for _, r := range due {
		r.sends++
		message := encodeCrashRecord(r.Change)
		message.AgeMs = uint32(now.Sub(r.ChangedAt).Milliseconds())
		out = append(out, message)
	}
	return out
}

func (d *crashDetector) merge(records []*pb.CrashRecord, now time.Time) {
	for _, r := range records {
		change := decodeCrashRecord(r)
		change.ChangedAt = now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		d.tracker.MergeChange(change, now)
	}
}

// encodeCrashRecord returns the message of a record without its age.
func encodeCrashRecord(c strike.Change) *pb.CrashRecord {
	return &pb.CrashRecord{Digest: c.Digest, Servers: c.Record.Servers, Correlated: c.Record.Correlated, Quarantined: c.Record.Quarantined}
}

// decodeCrashRecord returns the record of a message without its time of change.
func decodeCrashRecord(r *pb.CrashRecord) strike.Change {
	return strike.Change{Digest: r.GetDigest(),
		Record: strike.Record{Servers: r.GetServers(), Correlated: r.GetCorrelated(), Quarantined: r.GetQuarantined()}}
}

// serversChanged records a crash for each server that has restarted under the same id. A vanished row is no sign of a
// crash: some servers leave without announcing it and go on serving for a while.
func (d *crashDetector) serversChanged(servers []serving.Server, now time.Time) {
	d.mu.Lock()
	current := make(map[string]serving.Server, len(servers))
	for _, s := range servers {
		current[s.ID] = s
	}
	var crashed []serving.Server
	for id, before := range d.servers {
		after, ok := current[id]
		if ok && after.Born != before.Born {
			crashed = append(crashed, before)
		}
	}
	d.servers = current
	d.mu.Unlock()
	for _, s := range crashed {
		d.recordCrash(s, "restarted", now)
	}
}

// connRefused records a crash of a server that refuses connections.
func (d *crashDetector) connRefused(s serving.Server, now time.Time) {
	d.recordCrash(s, "connection_refused", now)
}

func (d *crashDetector) recordCrash(s serving.Server, sign string, now time.Time) {
	runs, recorded := d.tracker.RecordCrash(strike.Crash{Server: s.ID, Domain: s.Domain, Started: s.Born, HadNotice: s.State != serving.Ready}, now)
	if !recorded {
		return
	}
	d.metrics.Count("server_crashes", "sign", sign, 1)
	d.log.WithFields(logrus.Fields{logline.Server: s.ID, "born": s.Born, "failure_domain": s.Domain, logline.Reason: sign, logline.Count: runs}).
		Info(logline.ServerCrashed)
}
