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
	crashExpiry     = 2 * time.Minute
	maxCrashRecords = 512
	// maxSentCrashes limits the records sent to other nodes. A new record is sent for newCrashPeriod, which is several
	// heartbeats. Older ones are sent in rotation, each for crashRotation, at least one heartbeat, for nodes that have
	// started since.
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
	// records are sent to the other nodes, newest last.
	records []sentCrash
	// lastLogged holds the last logged record of each digest. Unchanged records recur, because a record is sent again
	// while peers lack part of it.
	lastLogged map[string]strike.Record
}

// sentCrash is a record and the time when it last changed or a peer was found to lack part of it.
type sentCrash struct {
	strike.Change
	updatedAt time.Time
}

func newCrashDetector(m *metrics.Set, log *logrus.Entry) *crashDetector {
	return &crashDetector{metrics: m, log: log, servers: map[string]serving.Server{}, lastLogged: map[string]strike.Record{},
		tracker: strike.New(strike.Options{Window: crashWindow, Delay: crashDelay, Linger: crashLinger, Expiry: crashExpiry, MaxRecords: maxCrashRecords})}
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
		d.log.WithFields(logrus.Fields{logline.Digest: decision.Digest, logline.Incident: decision.Incident,
			logline.Verdict: decision.Verdict, logline.Reason: decision.Reason, logline.Related: decision.Related}).Info(logline.StrikeDecision)
	}
}

// collect adds the tracker's changed records to those sent in heartbeats.
func (d *crashDetector) collect(now time.Time) {
	changes := d.tracker.Changes()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		d.logChange(c)
		for i, old := range d.records {
			if old.Digest == c.Digest {
				d.records = append(d.records[:i], d.records[i+1:]...)
				break
			}
		}
		d.records = append(d.records, sentCrash{c, now})
	}
	if excess := len(d.records) - maxSentCrashes; excess > 0 {
		d.records = append([]sentCrash(nil), d.records[excess:]...)
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

// export returns the records for one heartbeat.
func (d *crashDetector) export(now time.Time) []*pb.CrashRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*pb.CrashRecord
	for i, c := range d.records {
		if now.Sub(c.updatedAt) < newCrashPeriod || int(now.UnixNano()/int64(crashRotation))%len(d.records) == i {
			out = append(out, &pb.CrashRecord{Digest: c.Digest, Servers: c.Record.Servers, Correlated: c.Record.Correlated,
				Quarantined: c.Record.Quarantined})
		}
	}
	return out
}

func (d *crashDetector) merge(records []*pb.CrashRecord, now time.Time) {
	for _, r := range records {
		d.tracker.Merge(r.Digest, strike.Record{Servers: r.Servers, Correlated: r.Correlated, Quarantined: r.Quarantined}, now)
	}
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
