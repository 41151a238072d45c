package replica

import (
	"context"
	"time"

	"github.com/pollenlug/pollenlug/internal/pb"
	"github.com/pollenlug/pollenlug/pkg/code"
	"github.com/pollenlug/pollenlug/pkg/stream"
)

// fetchWait is how long a home node that is queried for progress waits for new tokens before it replies without any.
const fetchWait = 500 * time.Millisecond

// Handle processes a stream message of another node and returns the reply, or nil for messages of other kinds.
func (r *Replicator) Handle(ctx context.Context, from string, env *pb.Envelope) *pb.Envelope {
	switch body := env.Body.(type) {
	case *pb.Envelope_StreamOpen:
		r.Logs.Add(stream.NewLog(stream.MetaFrom(body.StreamOpen), time.Now())).SetHome(body.StreamOpen.Home)
		return ack(code.OK, "")
	case *pb.Envelope_StreamAppend:
		return r.append(body.StreamAppend)
	case *pb.Envelope_StreamFetch:
		return r.fetch(ctx, body.StreamFetch)
	case *pb.Envelope_StreamHandover:
		return r.acceptHandover(from, body.StreamHandover)
	default:
		return nil
	}
}

func ack(c code.Code, message string) *pb.Envelope {
	return &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{Code: uint32(c), Message: message}}}
}

// append applies progress to replicas. Progress for a missing log or after a gap is refused; after repeated failures,
// the home node chooses another replica.
func (r *Replicator) append(message *pb.StreamAppend) *pb.Envelope {
	now := time.Now()
	for _, progress := range message.Progress {
		log := r.Logs.Get(progress.ResponseId)
		if log == nil {
			return ack(code.UnknownResponse, "no log of "+progress.ResponseId)
		}
		if log.Meta().Home == r.Self.Node {
			continue // this node has taken over; the previous home node's progress is stale
		}
		err := log.Apply(progress, now)
		if err == stream.ErrGap {
			return ack(code.InvalidEventID, "gap in "+progress.ResponseId)
		}
	}
	return ack(code.OK, "")
}

// fetch returns the tokens from the given offset on. If the response runs here, it waits for new ones up to fetchWait.
func (r *Replicator) fetch(ctx context.Context, message *pb.StreamFetch) *pb.Envelope {
	log := r.Logs.Get(message.ResponseId)
	if log == nil || log.Meta().Workspace != message.Workspace {
		return &pb.Envelope{Body: &pb.Envelope_StreamState{StreamState: &pb.StreamState{}}}
	}
	if message.TakeOver && log.Meta().Home != r.Self.Node && !log.End().Finished {
		r.takeOver(log)
	}
	isHome := log.Meta().Home == r.Self.Node
	if isHome {
		r.resume(log)
		waitForProgress(ctx, log, message.Offset)
	}
	meta := log.Meta()
	state := &pb.StreamState{
		Found:         true,
		Home:          isHome,
		HomeNode:      meta.Home,
		Progress:      log.Progress(message.Offset),
		Workspace:     meta.Workspace,
		Path:          meta.Path,
		Request:       meta.Request,
		CreatedUnixMs: uint64(meta.Created.UnixMilli()),
	}
	if !meta.Deadline.IsZero() {
		state.DeadlineUnixMs = uint64(meta.Deadline.UnixMilli())
	}
	return &pb.Envelope{Body: &pb.Envelope_StreamState{StreamState: state}}
}

// resume starts the attempts of an unfinished response that may have been cancelled because it had no reader.
func (r *Replicator) resume(log *stream.Log) {
	if log.End().Finished {
		return
	}
	r.run(log, "")
}

// run starts the attempts of a response; kv is the handle of its KV cache on the log's server, or "".
func (r *Replicator) run(log *stream.Log, kv string) {
	if err := r.Options.Run(log, kv); err != nil {
		_ = log.Finish(log.Attempt(), "", code.From(err).Code, time.Now())
	}
}

func waitForProgress(ctx context.Context, log *stream.Log, offset uint32) {
	changes, cancel := log.Subscribe()
	defer cancel()
	timer := time.NewTimer(fetchWait)
	defer timer.Stop()
	for log.Len() <= offset && !log.End().Finished {
		select {
		case <-changes:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// takeOver makes this node the home node of a response whose previous home node is gone or does not serve it any more.
func (r *Replicator) takeOver(log *stream.Log) {
	log.SetHome(r.Self.Node)
	r.Metrics.Add("responses_taken_over", 1)
	r.continueAsHome(log, "", "")
}

// continueAsHome opens a replica of a response whose home node is now this node, and continues the response. The
// replica is not placed on the node that handed the response over, as that node is leaving and this one may not know it
// yet.
func (r *Replicator) continueAsHome(log *stream.Log, kv, leaving string) {
	ctx, cancel := context.WithTimeout(context.Background(), maxOpenAttempts*openTimeout)
	defer cancel()
	if err := r.openExcept(ctx, log, leaving); err != nil {
		r.Log.WithError(err).Warn("response continues without a replica")
	}
	if !log.End().Finished {
		r.run(log, kv)
	}
}

// acceptHandover continues a response that a leaving node hands over.
func (r *Replicator) acceptHandover(from string, message *pb.StreamHandover) *pb.Envelope {
	log := r.Logs.Add(stream.NewLog(stream.MetaFrom(message.Open), time.Now()))
	if err := log.Apply(message.Progress, time.Now()); err != nil && err != stream.ErrFinished && err != stream.ErrStaleAttempt {
		return ack(code.InvalidEventID, err.Error())
	}
	log.SetHome(r.Self.Node)
	r.continueAsHome(log, message.Kv, from)
	return ack(code.OK, "")
}
