// Package platformapi has the paths and messages of the platform's HTTP service. The adapter and the stand-in
// share them.
//
// Every call is a POST with a JSON body; byte fields are base64. A failure has a Failure as its body. The kind of
// the failure, not the HTTP status, tells whether the call had an effect: an answer without a known kind comes
// from something between client and service, so its effect is unknown.
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

// MaxBodyBytes bounds a request or response body.
const MaxBodyBytes = 16 << 20

// Kind is the kind of a failure.
type Kind string

// Kinds of failures.
const (
	NotFound       Kind = "not_found"
	Conflict       Kind = "conflict"
	Unavailable    Kind = "unavailable"
	OutcomeUnknown Kind = "outcome_unknown"
	StartRefused   Kind = "start_refused"
	// Invalid means that the request is malformed or breaks a rule; it had no effect and a repeat fails again.
	Invalid Kind = "invalid"
)

// Status returns the HTTP status of a kind.
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
	// Failed has the indexes of the mutations whose condition does not hold; for Conflict.
	Failed []int `json:"failed,omitempty"`
}

// Empty is a request or response without content.
type Empty struct{}

// RowKey names a row.
type RowKey struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// Row is one row.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// ListRequest asks for rows in the order of their keys.
type ListRequest struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix,omitempty"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// Rows answers a ListRequest.
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

// CommitResponse has the new row versions, in the order of the mutations.
type CommitResponse struct {
	Versions []uint64 `json:"versions"`
}

// Object is a named object; Data is empty in a request for it.
type Object struct {
	Name string `json:"name"`
	Data []byte `json:"data,omitempty"`
}

// Folder is the operators' folder.
type Folder struct {
	Revision uint64            `json:"revision"`
	Files    map[string][]byte `json:"files"`
}

// InstanceID names an instance.
type InstanceID struct {
	Instance string `json:"instance"`
}

// Prices has the current prices.
type Prices struct {
	Prices []platform.Price `json:"prices"`
}

// NoticesRequest asks for notices with a number greater than After; the service waits up to WaitMillis for one.
type NoticesRequest struct {
	After      uint64 `json:"after"`
	WaitMillis int64  `json:"wait_ms"`
}

// Notices answers a NoticesRequest.
type Notices struct {
	Notices []platform.Notice `json:"notices"`
}

// Instances is the instance list.
type Instances struct {
	Instances []platform.Instance `json:"instances"`
}

// ReserveRequest asks to load weights.
type ReserveRequest struct {
	Model   string `json:"model"`
	SizeMiB uint32 `json:"size_mib"`
}

// ReserveResponse tells how long to wait before another try; 0 means that the load may start.
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
