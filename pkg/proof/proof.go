// Package proof decides what the response that a connection to a server yields proves about the request sent on it.
//
// Load pattern: a faulty server writes bytes besides its responses, such as a second copy of one or an error without any
// identification, and they arrive on a kept connection when the next request has been sent. Statuses 408, 421, 429 and 503
// tell a caller that its request has not run and never will, so one of them that is taken for the response while the server
// runs the request makes a booking run twice. The simple rule, to believe any response in the place of the expected one,
// does that each time.
package proof

import "net/http"

// Response is what is known of a response when its header has arrived.
type Response struct {
	Status int
	// OwnID is set if the response has the id of the attempt that was sent, OtherID if it has another one. Signed is set
	// if it has the signature of a server.
	OwnID, OtherID, Signed bool
	// NotRun is the server's report that it did not run the request, by a header of its own or with status 421.
	NotRun bool
	// Encoded is set if the body is not what the signature is for.
	Encoded bool
	// Reused is set if the connection has carried other requests before.
	Reused bool
}

// Verdict is what a response is for the request.
type Verdict uint8

const (
	// Answer is the server's response to this request.
	Answer Verdict = iota
	// Refused is the server's report that it did not run this request.
	Refused
	// Failed is an error of the server, which may have run the request. Its status would promise the opposite and cannot
	// be passed on.
	Failed
	// Crossed belongs to another request, or nothing shows that it belongs to this one. The right one may follow, so the
	// connection cannot be used any more.
	Crossed
	// Invalid is no response that a server may give.
	Invalid
)

// PromisesNotRun reports whether a status tells the caller that its request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Attributable reports whether a response without the id of another attempt can belong to this one only: it has the id,
// or its connection has carried no other request.
func (r Response) Attributable() bool { return !r.OtherID && (r.OwnID || !r.Reused) }

// Judge decides what a response is.
func Judge(r Response) Verdict {
	switch {
	case !r.Attributable(), r.Signed && !r.OwnID:
		return Crossed
	case r.NotRun:
		return Refused
	case PromisesNotRun(r.Status) && r.OwnID:
		return Failed
	case PromisesNotRun(r.Status):
		return Crossed
	case r.Status/100 == 2 && (!r.Signed || r.Encoded):
		return Invalid
	}
	return Answer
}
