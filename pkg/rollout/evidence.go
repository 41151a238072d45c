package rollout

import (
	"math"
	"time"
)

const (
	// Buckets is the number of classes of response times. Class i begins at shortestTime times the square root of 2 to
	// the power of i; the last one begins at 11.6 s.
	Buckets      = 24
	shortestTime = 4 * time.Millisecond
	// overdueTime is the age at which an attempt without response counts as one that takes at least as long. Without it,
	// a version that is eight times slower would show only seconds later.
	overdueTime = time.Second
	// maxKeys limits the routes and failure domains of one rollout that are told apart.
	maxKeys = 256
)

// Version says which of the two versions of a rollout a server has.
type Version uint8

// Versions of a rollout.
const (
	Old Version = iota
	New
)

// Key identifies the requests that are compared with each other, by hashes of their names.
type Key struct{ Route, Domain uint32 }

// Counts are outcomes of first attempts.
type Counts struct {
	Failed uint32
	// Times counts the other responses by the time to the first event or the whole response.
	Times [Buckets]uint32
}

// Evidence holds the outcomes of both versions.
type Evidence map[Key]*[2]Counts

func bucketOf(d time.Duration) int {
	if d <= shortestTime {
		return 0
	}
	return min(int(2*math.Log2(float64(d)/float64(shortestTime))), Buckets-1)
}

// Answered is the number of responses that did not fail.
func (c *Counts) Answered() uint32 {
	sum := uint32(0)
	for _, n := range c.Times {
		sum += n
	}
	return sum
}

func (c *Counts) add(o *Counts) {
	c.Failed += o.Failed
	for i, n := range o.Times {
		c.Times[i] += n
	}
}

// minus returns the counts since an earlier state. Counts of attempts that were overdue then may have moved.
func (c *Counts) minus(o *Counts) Counts {
	out := Counts{Failed: c.Failed - min(c.Failed, o.Failed)}
	for i, n := range c.Times {
		out.Times[i] = n - min(n, o.Times[i])
	}
	return out
}

func (c *Counts) tail(bucket int) float64 {
	sum := uint32(0)
	for _, n := range c.Times[min(bucket, Buckets):] {
		sum += n
	}
	return float64(sum)
}

func (e Evidence) add(o Evidence) {
	for k, pair := range o {
		sum := e.at(k)
		if sum == nil {
			continue
		}
		sum[Old].add(&pair[Old])
		sum[New].add(&pair[New])
	}
}

// at returns the counts of a key, or nil if there are too many keys.
func (e Evidence) at(k Key) *[2]Counts {
	pair := e[k]
	if pair == nil && len(e) < maxKeys {
		pair = &[2]Counts{}
		e[k] = pair
	}
	return pair
}

// Attempt is a first attempt of a request that is in progress.
type Attempt struct {
	key     Key
	version Version
	sentAt  time.Time
	// answered is set once the first event has been counted, in bucket.
	answered bool
	bucket   int
}

// Recorder counts the outcomes of one node's attempts during a rollout.
type Recorder struct {
	ended Evidence
	open  map[*Attempt]struct{}
}

// NewRecorder returns a Recorder without attempts.
func NewRecorder() *Recorder {
	return &Recorder{ended: Evidence{}, open: map[*Attempt]struct{}{}}
}

// Begin records that an attempt is sent.
func (r *Recorder) Begin(k Key, v Version, now time.Time) *Attempt {
	a := &Attempt{key: k, version: v, sentAt: now}
	r.open[a] = struct{}{}
	return a
}

// FirstEvent records the first event of an attempt that goes on.
func (r *Recorder) FirstEvent(a *Attempt, elapsed time.Duration) {
	if _, ok := r.open[a]; ok && !a.answered {
		r.count(a, elapsed)
	}
}

func (r *Recorder) count(a *Attempt, elapsed time.Duration) {
	if pair := r.ended.at(a.key); pair != nil {
		a.answered, a.bucket = true, bucketOf(elapsed)
		pair[a.version].Times[a.bucket]++
	}
}

// Answered records the end of an attempt that the server has answered, in the given time if it had no first event.
func (r *Recorder) Answered(a *Attempt, elapsed time.Duration) {
	if r.end(a) && !a.answered {
		r.count(a, elapsed)
	}
}

// Failed records that the server has failed to respond to the attempt, also after its first event.
func (r *Recorder) Failed(a *Attempt) {
	pair := r.ended.at(a.key)
	if !r.end(a) || pair == nil {
		return
	}
	if a.answered {
		pair[a.version].Times[a.bucket]--
	}
	pair[a.version].Failed++
}

// Ended records that an attempt ended for a reason that says nothing about the version. Without a first event it counts
// only if it was overdue.
func (r *Recorder) Ended(a *Attempt, elapsed time.Duration) {
	if r.end(a) && !a.answered && elapsed >= overdueTime {
		r.count(a, elapsed)
	}
}

func (r *Recorder) end(a *Attempt) bool {
	_, ok := r.open[a]
	delete(r.open, a)
	return ok
}

// Export returns a copy of the counts, with attempts that are overdue.
func (r *Recorder) Export(now time.Time) Evidence {
	out := Evidence{}
	out.add(r.ended)
	for a := range r.open {
		if age := now.Sub(a.sentAt); age >= overdueTime && !a.answered {
			if pair := out.at(a.key); pair != nil {
				pair[a.version].Times[bucketOf(age)]++
			}
		}
	}
	return out
}

// Set replaces the counts of a key and version.
func (e Evidence) Set(k Key, v Version, c Counts) {
	if pair := e.at(k); pair != nil {
		pair[v] = c
	}
}
