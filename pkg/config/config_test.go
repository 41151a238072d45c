package config

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollenlug/pollenlug/internal/pb"
)

const councilTokenDigest = "a5eb7a1b9f5b4d9f7c1a4d1a2f3d8e7c6b5a49382716051423324150617f8e9d"

// baseFile is a valid configuration on its own; tests merge further files into it.
const baseFile = `{
  "models": [{"name": "quote-small", "adapters": ["harbour"], "backend_group": "engines", "context_tokens": 4096}],
  "workspaces": [{"name": "council", "token_sha256": ["` + councilTokenDigest + `"]}],
  "services": [{"name": "booking", "backend_group": "desk", "routes": [
    {"method": "POST", "path_prefix": "/bookings", "non_repeatable": true},
    {"path_prefix": "/bookings"},
    {"method": "POST", "path_prefix": "/bookings/dry-run"},
    {"method": "GET", "path_prefix": "/", "idempotent": true}]}],
  "backend_groups": [{"name": "engines", "kind": "MODEL_ENGINE"}, {"name": "desk", "kind": "PLAIN_SERVICE"}],
  "policy": {"first_token_ms": 100, "progress_before_delivery": true, "recompute_weight": 20}
}`

func mustMerge(t *testing.T, texts ...string) *pb.FolderFile {
	t.Helper()
	files := map[string][]byte{}
	for i, text := range texts {
		files[fmt.Sprintf("%02d.json", i)] = []byte(text)
	}
	merged, faults := Merge(files)
	assert.Equal(t, len(faults), 0, "%v", faults)
	return merged
}

// splitFiles splits test data into files, each of which begins with a line of the form "-- NAME --".
func splitFiles(data []byte) map[string][]byte {
	files := map[string][]byte{}
	name := ""
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "-- "); ok {
			name = strings.TrimSuffix(text, " --\n")
			files[name] = []byte{}
			continue
		}
		files[name] = append(files[name], line...)
	}
	return files
}

// Guards against faults that go undetected or that do not name file, field and reason.
func TestFaults(t *testing.T) {
	cases, err := filepath.Glob("testdata/faults/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(cases) > 0)
	for _, path := range cases {
		name := strings.TrimSuffix(filepath.Base(path), ".txt")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			merged, faults := Merge(splitFiles(data))
			assert.Assert(t, merged == nil)
			var out strings.Builder
			for _, fault := range faults {
				fmt.Fprintln(&out, fault)
			}
			golden.Assert(t, out.String(), "faults/"+name+".golden")
		})
	}
}

// Guards against an override that keeps fields of the item it replaces, and against a later file that cannot reset a
// policy field to zero or false.
func TestOverrideDeleteAndPolicy(t *testing.T) {
	merged := mustMerge(t, baseFile, `{
	  "models": [{"name": "quote-small", "override": true, "backend_group": "engines", "context_tokens": 10}],
	  "policy": {"progress_before_delivery": false, "recompute_weight": 0, "retry_percent": null}
	}`, `{"delete": ["services/booking"], "services": [{"name": "booking", "backend_group": "desk"}]}`)
	want := &pb.Model{Name: "quote-small", BackendGroup: "engines", ContextTokens: 10}
	assert.Assert(t, proto.Equal(merged.Models[0], want))
	assert.Equal(t, len(merged.Services[0].Routes), 0)
	policy := NewIndex(&pb.Snapshot{Merged: merged}).Policy()
	assert.Equal(t, policy.ProgressFirst, false)
	assert.Equal(t, policy.RecomputeWeight, uint32(0))
	assert.Equal(t, policy.RetryPercent, uint32(DefaultRetryPercent))
	assert.Equal(t, policy.FirstToken, 100*time.Millisecond)
}

// Guards against calls that bypass a non-repeatable route with an unclean path or through a shorter prefix.
func TestIndex(t *testing.T) {
	x := NewIndex(&pb.Snapshot{Merged: mustMerge(t, baseFile)})
	service, ok := x.Service("booking")
	assert.Assert(t, ok)
	for _, c := range []struct {
		method, path              string
		nonRepeatable, idempotent bool
	}{
		{"POST", "/bookings", true, false},
		{"POST", "/bookings/7", true, false},
		{"POST", "//x/../bookings", true, false},
		{"POST", "bookings/", true, false},
		{"PUT", "/bookings", false, false},
		{"POST", "/bookings/dry-run", false, false},
		{"GET", "/history", false, true},
		{"GET", "", false, true},
		{"POST", "/other", false, false},
	} {
		route := service.Route(c.method, c.path)
		assert.Equal(t, route.NonRepeatable, c.nonRepeatable, "%s %s", c.method, c.path)
		assert.Equal(t, route.Idempotent, c.idempotent, "%s %s", c.method, c.path)
	}
	assert.Equal(t, service.Timeout, DefaultServiceTimeout)
	model, ok := x.Model("quote-small:harbour")
	assert.Assert(t, ok)
	assert.Equal(t, model.Adapter, "harbour")
	assert.Equal(t, model.Group.Name, "engines")
	_, ok = x.Model("quote-small:other")
	assert.Assert(t, !ok)
}

// Guards against a token that is compared as text or resolves to another workspace.
func TestWorkspaceByToken(t *testing.T) {
	digest := Digest([]byte("council-token"))
	x := NewIndex(&pb.Snapshot{Merged: mustMerge(t, strings.ReplaceAll(baseFile, councilTokenDigest, digest))})
	workspace, ok := x.Workspace("council-token")
	assert.Assert(t, ok)
	assert.Equal(t, workspace.Name, "council")
	for _, token := range []string{"", digest, "council-token "} {
		_, ok := x.Workspace(token)
		assert.Assert(t, !ok, token)
	}
}

// Guards against a digest that depends on the division into files or on map order, and against the acceptance of a
// snapshot that was corrupted in transit.
func TestEncode(t *testing.T) {
	split := mustMerge(t, baseFile, `{"delete": ["models/quote-small"]}`,
		`{"models": [{"name": "quote-small", "adapters": ["harbour"], "backend_group": "engines", "context_tokens": 4096}]}`)
	first, digest, err := Encode(&pb.Snapshot{Merged: mustMerge(t, baseFile), FolderRevision: 3})
	assert.NilError(t, err)
	second, digest2, err := Encode(&pb.Snapshot{Merged: split, FolderRevision: 3})
	assert.NilError(t, err)
	assert.Equal(t, digest, digest2)
	assert.Assert(t, bytes.Equal(first, second))
	snapshot, err := Decode(first, digest)
	assert.NilError(t, err)
	assert.Equal(t, snapshot.FolderRevision, uint64(3))
	first[len(first)-1]++
	_, err = Decode(first, digest)
	assert.ErrorIs(t, err, ErrDigest)
}

// BenchmarkMerge measures a folder at the target deployment size: a few hundred workspaces.
func BenchmarkMerge(b *testing.B) {
	var text strings.Builder
	for i := range 300 {
		fmt.Fprintf(&text, `%s{"name": "w%d", "token_sha256": ["%s"]}`, strings.Repeat(",", min(i, 1)), i, Digest(fmt.Append(nil, i)))
	}
	files := map[string][]byte{"10.json": []byte(baseFile), "20.json": []byte(`{"workspaces": [` + text.String() + `]}`)}
	for b.Loop() {
		merged, _ := Merge(files)
		NewIndex(&pb.Snapshot{Merged: merged})
	}
}

// BenchmarkLookup measures the lookups of each request: workspace, model and route.
func BenchmarkLookup(b *testing.B) {
	merged, _ := Merge(map[string][]byte{"10.json": []byte(baseFile)})
	x := NewIndex(&pb.Snapshot{Merged: merged})
	service, _ := x.Service("booking")
	b.ReportAllocs()
	for b.Loop() {
		x.Workspace("council-token")
		x.Model("quote-small:harbour")
		service.Route("POST", "/bookings/7")
	}
}

// FuzzMerge guards against panics, against faults without a file, field or reason, and against a merged result that is
// not itself valid.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(baseFile), []byte(`{"delete": ["models/quote-small"]}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		merged, faults := Merge(map[string][]byte{"a.json": first, "b.json": second})
		if (merged == nil) != (len(faults) > 0) {
			t.Fatal("Merge must return either a result or faults")
		}
		for _, fault := range faults {
			if fault.File == "" || fault.Field == "" || fault.Reason == "" {
				t.Fatalf("incomplete fault %+v", fault)
			}
		}
		if merged == nil {
			return
		}
		text, err := FormatJSON(merged)
		if err != nil {
			t.Fatal(err)
		}
		remerged, faults := Merge(map[string][]byte{"a.json": text})
		if len(faults) > 0 || !proto.Equal(merged, remerged) {
			t.Fatalf("merging the merged text again gives another result or faults: %v", faults)
		}
	})
}
