package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pollenlug/pollenlug/internal/adapter/httpclient"
	"github.com/pollenlug/pollenlug/internal/logline"
	"github.com/pollenlug/pollenlug/pkg/placement"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// answerBuffer bounds the part of an answer that is read before the caller gets the first byte. A shorter answer that
// breaks off can be asked for again.
const answerBuffer = 1 << 20

// bufferedAnswer is an answer of a server, or its beginning.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// rest is what follows the body; nil when the answer is complete.
	rest io.ReadCloser
	// length is the declared length of the whole body; -1 when it is unknown.
	length int64
}

// outbound builds the request for a server.
func (n *Node) outbound(ctx context.Context, req *request, ticket *placement.Ticket, resumeAfter string) (*http.Request, error) {
	target := "http://" + ticket.Server.Address
	out, err := http.NewRequestWithContext(ctx, req.http.Method, target, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	// The target is passed on as the caller wrote it.
	out.URL.Opaque = req.http.RequestURI
	out.Host = req.http.Host
	if len(req.body) == 0 {
		out.Body, out.ContentLength = nil, 0
	}
	out.GetBody = nil
	priority := -1
	if req.service.Engine != nil {
		priority = req.rank
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

// sendPlain sends a request to a plain server and answers the caller.
func (n *Node) sendPlain(ctx context.Context, req *request, ticket *placement.Ticket) try {
	out, err := n.outbound(ctx, req, ticket, req.ResumeAfter)
	if err != nil {
		return try{verdict: notSent, reason: "invalid_request"}
	}
	resp, err := n.client.Do(out)
	if err != nil {
		return n.classify(ctx, ticket, err)
	}
	reply := n.headers.Reply(resp)
	if t, done := n.checkReply(req, resp, reply); done {
		return t
	}
	answer, err := readAnswer(resp)
	if err != nil {
		closeBody(resp)
		if ctx.Err() != nil {
			return try{verdict: stopped, reason: "stopped"}
		}
		return try{verdict: lost, reason: "answer_cut"}
	}
	answer.header = n.headers.ForwardResponse(answer.header)
	if resp.StatusCode >= http.StatusInternalServerError && req.route.Repeat == serving.Repeatable {
		if answer.rest == nil {
			return try{verdict: failedByServer, reason: "server_error", answer: answer}
		}
	}
	n.countUsage(req)
	n.writeAnswer(req, answer)
	if req.outcome == "" {
		req.outcome = logline.Served
	}
	return try{verdict: answered}
}

// checkReply finds answers that are no answer to this request.
func (n *Node) checkReply(req *request, resp *http.Response, reply serving.Reply) (try, bool) {
	switch {
	case reply.AttemptID != "" && reply.AttemptID != req.AttemptID:
		// A late answer to an earlier request; the right one may follow, but nothing on this connection is certain.
		closeBody(resp)
		return try{verdict: lost, reason: "answer_crossed"}, true
	case reply.NotRun || reply.OtherServer:
		httpclient.Drain(resp.Body)
		return try{verdict: rejected, reason: "server_refused"}, true
	case resp.StatusCode/100 == 2 && (!reply.Signed || resp.Header.Get("Content-Encoding") != ""):
		closeBody(resp)
		return try{verdict: lost, reason: "answer_invalid"}, true
	}
	return try{}, false
}

// closeBody closes the connection of an answer that is not read to its end.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

func readAnswer(resp *http.Response) (*bufferedAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerBuffer))
	if err != nil {
		return nil, err
	}
	answer := &bufferedAnswer{status: resp.StatusCode, header: resp.Header, body: body, length: resp.ContentLength}
	if len(body) == answerBuffer {
		answer.rest = resp.Body
		return answer, nil
	}
	closeBody(resp)
	return answer, nil
}

// writeAnswer gives the caller an answer, its rest as it arrives.
func (n *Node) writeAnswer(req *request, a *bufferedAnswer) {
	header := req.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	if a.rest == nil && req.http.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	req.w.WriteHeader(a.status)
	if _, err := req.w.Write(a.body); err != nil {
		req.outcome, req.note = "caller_gone", err.Error()
		return
	}
	if a.rest == nil {
		return
	}
	defer a.rest.Close()
	if _, err := io.Copy(req.w, a.rest); err != nil {
		req.outcome, req.note = logline.CutOff, err.Error()
		n.abort(req)
	}
}
