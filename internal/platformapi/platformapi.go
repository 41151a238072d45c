// Package platformapi defines the paths and messages of the platform's HTTP service. The adapter and the stand-in
// share them.
//
// Every call is a POST with a JSON body; byte fields are base64. The response to a failed call has a Failure as its
// body. The kind of the failure, not the HTTP status, states whether the call had an effect: a response without a known
// kind comes from an intermediary between client and service, so the effect of the call is unknown.
package platformapi

import (
	"net/http"

	"github.com/pollenlug/pollenlug/pkg/platform"
)

// Paths of the calls.
const (
	PathTableGet    = "/v1/table/get"
	PathTableList   = "/v1/table/list"
	PathTableCommit = "/v1/table/commit"
	PathObjectPut   = "/v1/objects/put"
	PathObjectGet   = "/v1/objects/get"
	PathFolder      = "/v1/folder/read"
	PathStart       = "/v1/cloud/start"
	PathStop        = "/v1/cloud/stop"
	PathPrices      = "/v1/cloud/prices"
	PathNotices     = "/v1/cloud/notices"
	PathInstances   = "/v1/instances"
	PathReserve     = "/v1/weights/reserve"
)

// HeaderEra names the era of the table service in the answers to its calls; without it, the service has only one.
// Versions contain their era, see platform.MakeVersion.
const HeaderEra = "Platform-Era"

// MaxBodyBytes is the maximum size of a request or response body.
const MaxBodyBytes = 16 << 20

// Kind classifies a failure.
type Kind string

// Kinds of failures.
const (
	NotFound       Kind = "not_found"
	Conflict       Kind = "conflict"
	Unavailable    Kind = "unavailable"
	OutcomeUnknown Kind = "outcome_unknown"
	StartRefused   Kind = "start_refused"
	// Invalid means that the request is malformed or violates a rule. It had no effect, and a retry would fail again.
	Invalid Kind = "invalid"
)

// Status returns the HTTP status code for a kind.
func (k Kind) Status() int {
	switch k {
	case NotFound:
		return http.StatusNotFound
	case Conflict:
		return http.StatusConflict
	case Unavailable, StartRefused:
		return http.StatusServiceUnavailable
	case OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadRequest
}

// Failure is the body of a failed call.
type Failure struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message,omitempty"`
	// Failed lists the indexes of the mutations whose condition does not hold. It is set for Conflict only.
	Failed []int `json:"failed,omitempty"`
}

// Empty is a request or response without content.
type Empty struct{}

// RowKey identifies a row.
type RowKey struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Row is a row of a table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// ListRequest requests rows in key order: up to Limit rows whose keys start with Prefix and are greater than After.
type ListRequest struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix,omitempty"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// Rows is the response to a ListRequest.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Mutation is one mutation of a transaction.
type Mutation struct {
	Table     string `json:"table"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	CheckOnly bool   `json:"check_only,omitempty"`
	// If is "", "absent" or "version".
	If      string `json:"if,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Values of Mutation.If.
const (
	IfAbsent  = "absent"
	IfVersion = "version"
)

// CommitRequest is a transaction.
type CommitRequest struct {
	Mutations []Mutation `json:"mutations"`
}

// CommitResponse contains the new row versions, in the order of the mutations.
type CommitResponse struct {
	Versions []uint64 `json:"versions"`
}

// Object is a named object. Data is empty in a request to read the object.
type Object struct {
	Name string `json:"name"`
	Data []byte `json:"data,omitempty"`
}

// Folder is the content of the operators' folder.
type Folder struct {
	Revision uint64            `json:"revision"`
	Files    map[string][]byte `json:"files"`
}

// InstanceID identifies an instance.
type InstanceID struct {
	Instance string `json:"instance"`
}

// Prices contains the current prices.
type Prices struct {
	Prices []platform.Price `json:"prices"`
}

// NoticesRequest requests notices with a number greater than After. The service waits up to WaitMillis for one.
type NoticesRequest struct {
	After      uint64 `json:"after"`
	WaitMillis int64  `json:"wait_ms"`
}

// Notices is the response to a NoticesRequest.
type Notices struct {
	Notices []platform.Notice `json:"notices"`
}

// Instances is the instance list.
type Instances struct {
	Instances []platform.Instance `json:"instances"`
}

// ReserveRequest requests a share of the weight store's rate to load a model's weights now.
type ReserveRequest struct {
	Model   string `json:"model"`
	SizeMiB uint32 `json:"size_mib"`
}

// ReserveResponse states how many milliseconds to wait before the next attempt; 0 means that the load may start.
type ReserveResponse struct {
	WaitMillis int64 `json:"wait_ms"`
}

// ToMutations converts mutations to their wire form.
func ToMutations(in []platform.Mutation) []Mutation {
	out := make([]Mutation, len(in))
	for i, m := range in {
		out[i] = Mutation{Table: m.Table, Key: m.Key, Value: m.Value, Delete: m.Delete, CheckOnly: m.CheckOnly}
		switch m.If.Kind {
		case platform.Absent:
			out[i].If = IfAbsent
		case platform.VersionIs:
			out[i].If = IfVersion
			out[i].Version = m.If.Version
		}
	}
	return out
}

// FromMutations converts mutations from their wire form. ok is false for an unknown condition.
func FromMutations(in []Mutation) (out []platform.Mutation, ok bool) {
	out = make([]platform.Mutation, len(in))
	for i, m := range in {
		out[i] = platform.Mutation{Table: m.Table, Key: m.Key, Value: m.Value, Delete: m.Delete, CheckOnly: m.CheckOnly}
		switch m.If {
		case "":
		case IfAbsent:
			out[i].If.Kind = platform.Absent
		case IfVersion:
			out[i].If = platform.Condition{Kind: platform.VersionIs, Version: m.Version}
		default:
			return nil, false
		}
	}
	return out, true
}
