package dispatch

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollenlug/pollenlug/pkg/backend"
	"github.com/pollenlug/pollenlug/pkg/route"
	"github.com/pollenlug/pollenlug/pkg/strike"
)

// statusService answers each call with one status.
type statusService struct {
	backend.Service
	status int
}

func (s statusService) Call(context.Context, string, backend.CallRequest) (backend.CallResponse, error) {
	return backend.CallResponse{Status: s.status}, nil
}

type ignoreHealth struct{}

func (ignoreHealth) Observe(string, bool) {}

// Guards against a strike that is withdrawn because a failing server answered the call with an error.
func TestErrorResponseIsNoCompletedRun(t *testing.T) {
	for status, want := range map[int]strike.Outcome{
		http.StatusOK: strike.Completed, http.StatusNotFound: strike.Completed, http.StatusInternalServerError: strike.Abandoned,
	} {
		var got []strike.Outcome
		c := &serverCall{
			dispatcher: New(Options{Service: statusService{status: status}, Health: ignoreHealth{}}),
			pick:       route.Pick{Server: &route.Server{}},
			end:        func(outcome strike.Outcome) { got = append(got, outcome) },
		}
		_, err := c.send(context.Background(), backend.CallRequest{})
		assert.NilError(t, err)
		assert.DeepEqual(t, got, []strike.Outcome{want})
	}
}
