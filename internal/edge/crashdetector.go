package edge

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/clock"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/metrics"
	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/internal/strikewire"
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
	// maxSentCrashes and maxSentParts limit the records in one heartbeat. A new record is sent at least once, and usually in
	// several heartbeats during newCrashPeriod. Older ones are sent in rotation, each for crashRotation, at least one heartbeat,
	// for nodes that have missed them.
	maxSentCrashes = 16
	maxSentParts   = 8
	newCrashPeriod = 2 * time.Second
	crashRotation  = 3 * time.Second
)

// crashDetector finds requests that crash the servers they run on; see package strike.
type crashDetector struct {
	tracker *strike.Tracker
	metrics *metrics.Set
	log     *logrus.Entry
	// isLeaving reports whether a server has said that it leaves; it is no crash then.
	isLeaving func(s serving.Server, now time.Time) bool
	// crashed is called with each sign of a crash.
	crashed func(s serving.Server, now time.Time)

	mu      sync.Mutex
	servers map[string]serving.Server
	// records and parts are sent to the other nodes.
	records outbox[strike.Change]
	parts   outbox[strike.PartChange]
	// lastLogged holds the last logged record of each digest. Unchanged records recur, because a record is sent again
	// while peers lack part of it.
	lastLogged map[string]strike.Record
}

func newCrashDetector(node string, m *metrics.Set, log *logrus.Entry) *crashDetector {
	return &crashDetector{metrics: m, log: log, isLeaving: func(serving.Server, time.Time) bool { return false }, crashed: func(serving.Server, time.Time) {},
		servers: map[string]serving.Server{}, lastLogged: map[string]strike.Record{},
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
		message, fields := logline.StrikeLine(decision)
		d.log.WithFields(fields).Info(message)
	}
}

// collect adds the tracker's changed records to those sent in heartbeats.
func (d *crashDetector) collect(now time.Time) {
	changes, parts := d.tracker.Changes(), d.tracker.PartChanges()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		d.logChange(c)
	}
	d.records.add(changes, now)
	d.parts.add(parts, now)
}

// resendRestrictions sends the records that restrict requests once more, also those that this node has only received. It
// is called when a node that has missed them may have appeared, returned or restarted.
func (d *crashDetector) resendRestrictions(now time.Time) {
	restrictions, parts := d.tracker.Restrictions(now), d.tracker.QuarantinedParts(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records.add(restrictions, now)
	d.parts.add(parts, now)
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

// export returns the records for one heartbeat.
func (d *crashDetector) export(now time.Time) []*pb.CrashRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*pb.CrashRecord
	for _, c := range d.records.next(maxSentCrashes, now) {
		message := encodeCrashRecord(c)
		message.AgeMs = strikewire.AgeMillis(c.ChangedAt, now)
		out = append(out, message)
	}
	return out
}

// exportParts returns the records of parts for one heartbeat.
func (d *crashDetector) exportParts(now time.Time) []*pb.PartRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*pb.PartRecord
	for _, c := range d.parts.next(maxSentParts, now) {
		out = append(out, strikewire.EncodePart(c, now))
	}
	return out
}

func (d *crashDetector) merge(records []*pb.CrashRecord, parts []*pb.PartRecord, now time.Time) {
	for _, r := range records {
		change := decodeCrashRecord(r)
		change.ChangedAt = strikewire.Ago(r.AgeMs, now)
		d.tracker.MergeChange(change, now)
	}
	for _, r := range parts {
		d.tracker.MergePart(strikewire.DecodePart(r, now), now)
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
	d.crashed(s, now)
	hadNotice := s.State != serving.Ready || d.isLeaving(s, now)
	runs, recorded := d.tracker.RecordCrash(strike.Crash{Server: s.ID, Domain: s.Domain, Started: s.Born, HadNotice: hadNotice}, now)
	if !recorded {
		return
	}
	d.metrics.Count("server_crashes", "sign", sign, 1)
	d.log.WithFields(logrus.Fields{logline.Server: s.ID, "born": s.Born, "failure_domain": s.Domain, logline.Reason: sign, logline.Count: runs}).
		Info(logline.ServerCrashed)
}
