package edge

import (
	"context"
	"net/http"

	"github.com/pollenlug/pollenlug/pkg/elastic"
	"github.com/pollenlug/pollenlug/pkg/platform"
	"github.com/pollenlug/pollenlug/pkg/serving"
)

// Headers translates the headers of requests and answers between callers, this system and backend servers.
type Headers interface {
	Decode(h http.Header) serving.Envelope
	// Forward returns the headers that a backend server gets.
	Forward(caller http.Header, d serving.Dispatch) http.Header
	Reply(resp *http.Response) serving.Reply
	// ForwardResponse returns the headers of a server's answer that a caller gets.
	ForwardResponse(server http.Header) http.Header
	// Echo marks an answer of this system's own with the caller's attempt.
	Echo(h http.Header, attempt string)
}

// Records translates rows of the store.
type Records interface {
	Config(value []byte) (*serving.Config, error)
	Server(key string, value []byte) (serving.Server, error)
}

// Store is the platform's store.
type Store interface {
	platform.Table
	platform.Feed
}

// Duties are the calls that only one node makes at a time.
type Duties interface {
	ReportUsage(ctx context.Context, fencing uint64, window int64, counts map[string]int64) error
	// Order returns platform.ErrStartRefused when no such servers are to be had.
	Order(ctx context.Context, fencing uint64, order elastic.Order) error
}

// Names are the tables and keys that others write, and the paths of the calls that the platform and callers make.
type Names struct {
	OperatorTable, ConfigKey, ServerTable string
	ReadyPath, DirectoryPath              string
}
