package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/pollenlug/pollenlug/internal/pb"
)

// ErrDigest means that a serialized snapshot does not have the digest by which it was requested.
var ErrDigest = errors.New("config: snapshot does not match its digest")

// Encode serializes a snapshot and returns its digest: SHA-256 in lower-case hex, which is also its name in the
// object store. Equal snapshots have equal encodings only within one release, so receivers compute the digest of the
// bytes they received and never re-encode.
func Encode(snapshot *pb.Snapshot) ([]byte, string, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, "", fmt.Errorf("encode snapshot: %w", err)
	}
	return data, Digest(data), nil
}

// Digest returns the digest of a serialized snapshot.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Decode parses a serialized snapshot. It returns ErrDigest if data does not have the digest. Fields that this release
// does not know, such as those written by a newer one, are ignored.
func Decode(data []byte, digest string) (*pb.Snapshot, error) {
	if Digest(data) != digest {
		return nil, ErrDigest
	}
	snapshot := &pb.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if snapshot.Merged == nil {
		return nil, errors.New("decode snapshot: it holds no configuration")
	}
	return snapshot, nil
}

// Model is a model, or a model with an adapter, that callers can request.
type Model struct {
	*pb.Model
	// Adapter is the name of the adapter, or "" for the model without one.
	Adapter string
	Group   *pb.BackendGroup
}

// Service is a plain service with its routes ordered for matching.
type Service struct {
	*pb.Service
	Group   *pb.BackendGroup
	Timeout time.Duration
	// routes are sorted by descending prefix length; among equal prefixes, routes with a method come first.
	routes []*pb.Route
}

// Index is an immutable lookup structure for one snapshot. Callers must not modify the values it returns.
type Index struct {
	folder     *pb.FolderFile
	policy     Policy
	tokens     map[[sha256.Size]byte]*pb.Workspace
	workspaces map[string]*pb.Workspace
	models     map[string]Model
	services   map[string]*Service
	groups     map[string]*pb.BackendGroup
	classes    map[string]*pb.InstanceClass
}

// NewIndex builds the index of a snapshot whose configuration was produced by Merge. It takes ownership of the
// snapshot.
func NewIndex(snapshot *pb.Snapshot) *Index {
	folder := snapshot.GetMerged()
	if folder == nil {
		folder = &pb.FolderFile{}
	}
	x := &Index{
		folder:     folder,
		policy:     withDefaults(folder.Policy),
		tokens:     map[[sha256.Size]byte]*pb.Workspace{},
		workspaces: byName(folder.Workspaces),
		models:     map[string]Model{},
		services:   map[string]*Service{},
		groups:     byName(folder.BackendGroups),
		classes:    byName(folder.InstanceClasses),
	}
	for _, workspace := range folder.Workspaces {
		x.addTokens(workspace)
	}
	for _, model := range folder.Models {
		x.addModel(model)
	}
	for _, service := range folder.Services {
		x.services[service.Name] = x.compile(service)
	}
	return x
}

func (x *Index) addTokens(workspace *pb.Workspace) {
	for _, text := range workspace.TokenSha256 {
		digest, err := hex.DecodeString(text)
		if err != nil || len(digest) != sha256.Size {
			continue // Merge rejects such a token
		}
		x.tokens[[sha256.Size]byte(digest)] = workspace
	}
}

func (x *Index) addModel(model *pb.Model) {
	group := x.groups[model.BackendGroup]
	x.models[model.Name] = Model{Model: model, Group: group}
	for _, adapter := range model.Adapters {
		x.models[model.Name+":"+adapter] = Model{Model: model, Adapter: adapter, Group: group}
	}
}

func (x *Index) compile(service *pb.Service) *Service {
	out := &Service{
		Service: service,
		Group:   x.groups[service.BackendGroup],
		Timeout: millisOr(service.TimeoutMs, DefaultServiceTimeout),
		routes:  slices.Clone(service.Routes),
	}
	slices.SortStableFunc(out.routes, func(a, b *pb.Route) int {
		if len(a.PathPrefix) != len(b.PathPrefix) {
			return len(b.PathPrefix) - len(a.PathPrefix)
		}
		return strings.Compare(b.Method, a.Method)
	})
	return out
}

// Workspace returns the workspace of a bearer token. The token is looked up by its SHA-256, so the duration of the
// lookup reveals nothing about other tokens.
func (x *Index) Workspace(token string) (*pb.Workspace, bool) {
	workspace, ok := x.tokens[sha256.Sum256([]byte(token))]
	return workspace, ok
}

// WorkspaceByName returns a workspace by its name.
func (x *Index) WorkspaceByName(name string) (*pb.Workspace, bool) {
	workspace, ok := x.workspaces[name]
	return workspace, ok
}

// Model returns a model by its name or by "model:adapter".
func (x *Index) Model(name string) (Model, bool) {
	model, ok := x.models[name]
	return model, ok
}

// Service returns a service by its name.
func (x *Index) Service(name string) (*Service, bool) {
	service, ok := x.services[name]
	return service, ok
}

// Group returns a backend group by its name.
func (x *Index) Group(name string) (*pb.BackendGroup, bool) {
	group, ok := x.groups[name]
	return group, ok
}

// Class returns an instance class by its name.
func (x *Index) Class(name string) (*pb.InstanceClass, bool) {
	class, ok := x.classes[name]
	return class, ok
}

// Policy returns the policy with defaults applied.
func (x *Index) Policy() Policy { return x.policy }

// Folder returns the merged configuration with the items of each kind sorted by name.
func (x *Index) Folder() *pb.FolderFile { return x.folder }

// Route returns the route that matches a call. path is the part of the URL path after /s/{service}; the longest
// matching prefix wins, and among equal prefixes a route that names the method. The path is cleaned first, so that
// "/x/../bookings" cannot bypass the route of "/bookings". A call that matches no route is neither non-repeatable nor
// idempotent.
func (s *Service) Route(method, path string) *pb.Route {
	clean := cleanPath(path)
	for _, route := range s.routes {
		if route.Method != "" && route.Method != method {
			continue
		}
		if strings.HasPrefix(clean, route.PathPrefix) {
			return route
		}
	}
	return &pb.Route{}
}

// MayUseModel reports whether the workspace may use the model. Permission for a model includes its adapters.
func MayUseModel(workspace *pb.Workspace, model string) bool {
	return len(workspace.Models) == 0 || slices.Contains(workspace.Models, model)
}

// MayUseService reports whether the workspace may use the service.
func MayUseService(workspace *pb.Workspace, service string) bool {
	return len(workspace.Services) == 0 || slices.Contains(workspace.Services, service)
}

// Share returns the weight of the workspace in fair queueing; an unset share counts as DefaultWorkspaceShare.
func Share(workspace *pb.Workspace) uint32 { return max(workspace.Share, DefaultWorkspaceShare) }

// FormatJSON returns the merged configuration as indented JSON with the field names of the schema. Merging the text
// again yields the same configuration.
func FormatJSON(folder *pb.FolderFile) ([]byte, error) {
	compact, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(folder)
	if err != nil {
		return nil, fmt.Errorf("print configuration: %w", err)
	}
	// protojson deliberately varies its whitespace, so encoding/json does the indentation.
	var out bytes.Buffer
	if err := json.Indent(&out, compact, "", "  "); err != nil {
		return nil, fmt.Errorf("print configuration: %w", err)
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}
