package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/internal/target"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/proof"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// bufferedResponse is a server's response, or the first part of it. If a response breaks off within this part, the request
// can still be retried, if its route allows it.
type bufferedResponse struct {
	status int
	header http.Header
	body   parts
	// reserved is the memory reserved for body in bytes.
	reserved int
	// rest is the unread part of the body; nil if the response is complete.
	rest io.ReadCloser
	// length is the declared length of the whole body; -1 if unknown.
	length int64
}

// errTargetChanges means that a target cannot be forwarded as it is; prepare refuses such requests.
var errTargetChanges = errorString("the target cannot be forwarded unchanged")

// outbound builds the request for a server.
func (n *Node) outbound(ctx context.Context, req *request, ticket *placement.Ticket, resumeAfter string) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, req.http.Method, "http://"+ticket.Server.Address, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	if !target.Set(out.URL, req.http.RequestURI) {
		return nil, errTargetChanges
	}
	out.Host = req.http.Host
	if len(req.body) == 0 {
		out.Body, out.ContentLength = nil, 0
	}
	out.GetBody = nil
	priority := -1
	if req.service.Engine != nil {
		priority = req.priority
	}
	workspace := ""
	if req.workspace != nil {
		workspace = req.workspace.Name
	}
	out.Header = n.headers.Forward(req.http.Header, serving.Dispatch{Remaining: time.Until(req.deadline), Server: ticket.Server.ID,
		Workspace: workspace, Priority: priority, ResumeAfter: resumeAfter})
	out.Header.Del("Content-Length")
	httpclient.SendOnce(out)
	return out, nil
}

// sendPlain sends a request of a non-streaming route to a server and passes the response to the caller.
func (n *Node) sendPlain(ctx context.Context, req *request, ticket *placement.Ticket) sendResult {
	sent, resp, result := n.startSend(ctx, req, ticket, req.ResumeAfter)
	defer sent.end()
	if resp == nil {
		return result
	}
	response, err := n.readResponse(req, resp)
	if err != nil {
		closeBody(resp)
		if sent.ctx.Err() != nil {
			return classify(sent.ctx, err)
		}
		return sendResult{status: responseLost, reason: "answer_cut", connLost: true}
	}
	if !sent.timer.heard() && response.rest != nil {
		closeBody(resp) // its rest will not be read; another server answers
		req.kept.release(response.reserved)
		return classify(sent.ctx, errStalled)
	}
	if resp.StatusCode < http.StatusInternalServerError { // a fast failure says nothing about how long answers take
		n.forecasts.Record(req.service.Name, ticket.Expected, time.Since(req.sentAt), time.Now())
	}
	response.header = n.headers.ForwardResponse(response.header)
	if resp.StatusCode >= http.StatusInternalServerError && req.route.Repeat == serving.Idempotent {
		if response.rest == nil {
			return sendResult{status: serverFailed, reason: "server_error", response: response}
		}
	}
	n.countUsage(req)
	connLost := n.writeResponse(req, response) && sent.ctx.Err() == nil
	if req.outcome == "" {
		req.outcome = logline.Served
	}
	return sendResult{status: delivered, completed: !connLost && resp.StatusCode < http.StatusInternalServerError, connLost: connLost}
}

// checkReply detects responses that cannot be passed to the caller.
func (n *Node) checkReply(req *request, resp *httpclient.Response, ticket *placement.Ticket) (sendResult, bool) {
	reply := n.headers.Reply(resp.Response)
	evidence := evidenceOf(req, resp, reply)
	if reply.AttemptID != "" || evidence.Attributable() {
		n.withhold(req, reply, ticket.Server)
		if !reply.OtherServer {
			n.board.ObserveReply(ticket.Server, reply, time.Now())
		}
	}
	switch proof.Judge(evidence) {
	case proof.Crossed:
		resp.Discard()
		return sendResult{status: responseLost, reason: "answer_crossed"}, true
	case proof.Refused:
		httpclient.Drain(resp.Body)
		return sendResult{status: notRun, reason: "server_refused"}, true
	case proof.Failed:
		closeBody(resp)
		return sendResult{status: serverFailed, reason: "server_error"}, true
	case proof.Invalid:
		resp.Discard()
		return sendResult{status: responseLost, reason: "answer_invalid"}, true
	}
	return sendResult{}, false
}

// evidenceOf returns what shows whose response it is.
func evidenceOf(req *request, resp *httpclient.Response, reply serving.Reply) proof.Response {
	// A request without an id has a response without one, of which only the signature shows that it is no error page.
	own := reply.AttemptID == req.AttemptID && (reply.AttemptID != "" || reply.Signed)
	return proof.Response{Status: resp.StatusCode, OwnID: own, OtherID: reply.AttemptID != "" && !own, Signed: reply.Signed,
		NotRun: reply.NotRun || reply.OtherServer, Encoded: resp.Header.Get("Content-Encoding") != "", Reused: resp.Reused}
}

// withhold applies what a server says about further requests of this node.
func (n *Node) withhold(req *request, reply serving.Reply, s serving.Server) {
	pause := reply.Pause
	if reply.AttemptID != "" && reply.AttemptID != req.AttemptID {
		pause = 0 // the refusal of an earlier request
	}
	if reply.OtherServer || !reply.Leaving && pause == 0 || !n.board.Withhold(s, reply.Leaving, pause, time.Now()) {
		return
	}
	n.metrics.Count("servers_withheld", "leaving", strconv.FormatBool(reply.Leaving), 1)
	n.log.WithFields(logrus.Fields{logline.Server: s.ID, "born": s.Born, "leaving": reply.Leaving, "pause_ms": pause.Milliseconds()}).
		Info(logline.ServerWithheld)
}

// closeBody closes a response. The connection is closed with it if the body was not read to its end.
func closeBody(resp *httpclient.Response) { _ = resp.Body.Close() }

// readResponse reads a response, or as much of it as the memory allows.
func (n *Node) readResponse(req *request, resp *httpclient.Response) (*bufferedResponse, error) {
	before := req.kept.held
	body, ended, err := req.kept.readParts(resp.Body, resp.ContentLength, n.memory.maxBody)
	reserved := int(req.kept.held - before)
	if err != nil {
		req.kept.release(reserved)
		return nil, err
	}
	response := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body, reserved: reserved, length: resp.ContentLength}
	if !ended {
		response.rest = resp.Body
		return response, nil
	}
	closeBody(resp)
	return response, nil
}

// writeResponse sends a response to the caller, and its unread rest as it arrives. It reports whether the server broke the
// response off; the caller's connection is closed then.
func (n *Node) writeResponse(req *request, response *bufferedResponse) (brokenOff bool) {
	header := req.w.Header()
	for name, values := range response.header {
		header[name] = values
	}
	if response.rest == nil && req.http.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(response.body.size()))
	}
	req.w.WriteHeader(response.status)
	for _, part := range response.body {
		if _, err := req.w.Write(part); err != nil {
			req.outcome, req.reason = "caller_gone", err.Error()
			return false
		}
	}
	response.body.recycle()
	response.body = nil
	if response.rest == nil {
		return false
	}
	defer response.rest.Close()
	req.kept.release(response.reserved)
	rest := &errorReader{Reader: response.rest}
	if err := req.kept.copy(req.w, rest); err != nil {
		req.outcome, req.reason = logline.CutOff, err.Error()
		n.abort(req)
	}
	return rest.err != nil
}

// errorReader keeps the error of a failed read, which io.Copy does not tell from that of a failed write.
type errorReader struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}
