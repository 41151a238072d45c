package proof

import (
	"testing"

	"gotest.tools/v3/assert"
)

// play plays a faulty server with kept connections: after some responses it owes another one, which it writes when the
// next request has arrived, before it runs that request.
func play(judge func(Response) Verdict, extra Response) (believed int) {
	for number := range 100 {
		if number%34 == 33 {
			extra.Reused = number > 0
			if verdict := judge(extra); verdict == Refused || verdict == Answer && PromisesNotRun(extra.Status) {
				believed++ // the caller is told that a request has not run which runs
			}
		}
	}
	return believed
}

// placeRule is the simple rule: the response in the place of the expected one is the expected one.
func placeRule(r Response) Verdict {
	if r.NotRun {
		return Refused
	}
	return Answer
}

// Guards against believing that a request has not run because of bytes that nothing ties to it.
func TestExtraResponsesPromiseNothing(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for _, extra := range []Response{{}, {NotRun: true}, {OtherID: true, Signed: true}, {OtherID: true, NotRun: true}, {Signed: true}} {
			extra.Status = status
			assert.Equal(t, play(Judge, extra), 0, "%+v", extra)
			assert.Assert(t, play(placeRule, extra) > 0, "%+v", extra)
		}
	}
}

// Guards against a status that promises too much where the server has reported nothing, and against refusals and errors
// that are no longer believed.
func TestOwnResponses(t *testing.T) {
	for name, test := range map[string]struct {
		response Response
		want     Verdict
	}{
		"refusal":                          {Response{Status: 503, OwnID: true, NotRun: true, Reused: true}, Refused},
		"refusal on a new connection":      {Response{Status: 421, NotRun: true}, Refused},
		"503 of a run":                     {Response{Status: 503, OwnID: true, Signed: true, Reused: true}, Failed},
		"503 without a report":             {Response{Status: 503, OwnID: true}, Failed},
		"429 without id, new connection":   {Response{Status: 429}, Crossed},
		"500 of a run":                     {Response{Status: 500, OwnID: true, Signed: true, Reused: true}, Answer},
		"500 without id, new connection":   {Response{Status: 500}, Answer},
		"500 without id, kept connection":  {Response{Status: 500, Reused: true}, Crossed},
		"200 without signature":            {Response{Status: 200, OwnID: true}, Invalid},
		"200":                              {Response{Status: 200, OwnID: true, Signed: true, Reused: true}, Answer},
		"200 with a signature, without id": {Response{Status: 200, Signed: true}, Crossed},
	} {
		assert.Equal(t, Judge(test.response), test.want, name)
	}
}
