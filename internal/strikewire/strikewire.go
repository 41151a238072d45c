// Package strikewire converts the records of package strike to messages and back.
package strikewire

import (
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

// EncodePart returns the message of a part's record, with ages as of now.
func EncodePart(c strike.PartChange, now time.Time) *pb.PartRecord {
	r := c.Record
	out := &pb.PartRecord{Part: c.Part, Quarantined: r.Quarantined, Sound: r.Sound, Trials: uint32(r.Trials), AgeMs: AgeMillis(c.ChangedAt, now)}
	if r.Trials > 0 {
		out.TriedAgeMs = AgeMillis(r.TriedAt, now)
	}
	for _, s := range r.Strikes {
		out.Strikes = append(out.Strikes, &pb.PartStrike{Incident: s.Incident, AgeMs: AgeMillis(s.CrashedAt, now), Withdrawn: s.Withdrawn})
	}
	return out
}

// DecodePart returns the record of a message whose ages are as of now.
func DecodePart(m *pb.PartRecord, now time.Time) strike.PartChange {
	c := strike.PartChange{Part: m.GetPart(), ChangedAt: Ago(m.GetAgeMs(), now),
		Record: strike.PartRecord{Quarantined: m.GetQuarantined(), Sound: m.GetSound(), Trials: int(m.GetTrials())}}
	if c.Record.Trials > 0 {
		c.Record.TriedAt = Ago(m.GetTriedAgeMs(), now)
	}
	for _, s := range m.GetStrikes() {
		c.Record.Strikes = append(c.Record.Strikes, strike.PartStrike{Incident: s.GetIncident(), CrashedAt: Ago(s.GetAgeMs(), now), Withdrawn: s.GetWithdrawn()})
	}
	return c
}

// EncodePartRow returns the message of a part's record that is kept for some time.
func EncodePartRow(c strike.PartChange, now time.Time) *pb.PartRow {
	return &pb.PartRow{Record: EncodePart(c, now), WrittenUnixMillis: now.UnixMilli()}
}

// DecodePartRow returns the record of a part under its key. Its times are not after now, although the clock of the node
// that wrote it may be ahead.
func DecodePartRow(key string, m *pb.PartRow, now time.Time) strike.PartChange {
	c := DecodePart(m.GetRecord(), NotAfter(m.GetWrittenUnixMillis(), now))
	c.Part = key
	return c
}

// NotAfter returns a time in Unix milliseconds that another node has written, or now if that is earlier.
func NotAfter(unixMillis int64, now time.Time) time.Time {
	if at := time.UnixMilli(unixMillis); at.Before(now) {
		return at
	}
	return now
}

// AgeMillis returns the time since at in milliseconds; 0 if at is after now.
func AgeMillis(at, now time.Time) uint32 { return uint32(max(now.Sub(at), 0).Milliseconds()) }

// Ago returns the time that many milliseconds before now.
func Ago(millis uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}
