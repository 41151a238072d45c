// Package config merges and validates the operators' folder and indexes the result for lookups.
//
// Merge reads the files of one folder revision in the order of their names. Only names that end in ".json", do
// not start with "." and contain no "/" are read; editors' backup files, notes and subdirectories are ignored.
// The merge rules are those of proto/folder.proto:
//   - A file's delete list is applied first, to the items of earlier files.
//   - An item replaces an item of an earlier file as a whole, and only when it sets override. The same name twice
//     in one file is always a conflict. An override of a name that no earlier file declares adds the item.
//   - A policy field that a file sets replaces the earlier value, even when the new value is zero or false.
//
// Apart from LoadDir, the package does no I/O, and it reads no clock.
package config

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/pollenlug/pollenlug/internal/pb"
)

const (
	// WholeFolder takes the place of the file name in a fault that no single file causes.
	WholeFolder = "(folder)"
	// WholeFile takes the place of the field in a fault that concerns a file as a whole.
	WholeFile = "(file)"

	// maxFileBytes bounds the size of one file. Configuration files are small; a larger one is in the folder by mistake.
	maxFileBytes = 1 << 20
	// MaxSnapshotBytes bounds the size of an encoded snapshot, which nodes send to each other in one message.
	MaxSnapshotBytes = 2 << 20
)

// Fault is one reason why a folder revision is rejected.
type Fault struct {
	File string
	// Field is the path of the field: "models[0].name" for a fault found in one file, "models/NAME.field" for a
	// fault found in the merged result.
	Field  string
	Reason string
}

// String returns "file: field: reason".
func (f Fault) String() string { return f.File + ": " + f.Field + ": " + f.Reason }

// named is an item of the configuration that has a name.
type named interface {
	proto.Message
	GetName() string
	GetOverride() bool
}

// merger accumulates the items of the files merged so far.
type merger struct {
	// items holds the items by kind ("models") and name.
	items map[string]map[string]named
	// origin maps "models/NAME" and "policy.FIELD" to the file that its value comes from.
	origin map[string]string
	policy *pb.Policy
	faults []Fault
}

// Merge merges the files in the order of their names and validates the result. The result is nil if there are
// faults. Faults are in the order of the files; faults of the merged result come last.
func Merge(files map[string][]byte) (*pb.FolderFile, []Fault) {
	m := &merger{items: map[string]map[string]named{}, origin: map[string]string{}}
	for _, name := range fileNames(files) {
		m.mergeFile(name, files[name])
	}
	if len(m.faults) > 0 {
		return nil, m.faults
	}
	merged := m.result()
	faults := validate(merged, m.origin)
	if size := proto.Size(merged); size > MaxSnapshotBytes {
		reason := fmt.Sprintf("the merged configuration has %d bytes, more than %d", size, MaxSnapshotBytes)
		faults = append(faults, Fault{WholeFolder, WholeFile, reason})
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return merged, nil
}

// IsConfigFile reports whether Merge reads a file of this name.
func IsConfigFile(name string) bool {
	return strings.HasSuffix(name, ".json") && !strings.HasPrefix(name, ".") && !strings.Contains(name, "/")
}

// LoadDir returns the files of a directory that Merge reads. Subdirectories are ignored.
func LoadDir(dir string) (map[string][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("read configuration directory: %w", err)
	}
	files := map[string][]byte{}
	for _, entry := range entries {
		if entry.IsDir() || !IsConfigFile(entry.Name()) {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, fmt.Errorf("read configuration file: %w", err)
		}
		files[entry.Name()] = data
	}
	return files, nil
}

func fileNames(files map[string][]byte) []string {
	var names []string
	for name := range files {
		if IsConfigFile(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// mergeFile parses one file and merges it into the items of earlier files.
func (m *merger) mergeFile(name string, data []byte) {
	parsed, faults := parse(name, data)
	if len(faults) > 0 {
		m.faults = append(m.faults, faults...)
		return
	}
	for i, path := range parsed.msg.Delete {
		m.remove(name, fmt.Sprintf("delete[%d]", i), path)
	}
	for _, kind := range itemKinds {
		for i, item := range itemsOf(parsed.msg, kind) {
			m.add(name, kind, fmt.Sprintf("%s[%d].name", kind, i), item)
		}
	}
	m.mergePolicy(name, parsed)
}

func (m *merger) remove(file, field, path string) {
	kind, item, ok := strings.Cut(path, "/")
	if !ok || !slices.Contains(itemKinds, kind) {
		m.fault(file, field, fmt.Sprintf("%q is not of the form KIND/NAME with a kind of %s", path, strings.Join(itemKinds, ", ")))
		return
	}
	if _, ok := m.items[kind][item]; !ok {
		m.fault(file, field, fmt.Sprintf("no earlier file declares %s", path))
		return
	}
	delete(m.items[kind], item)
	delete(m.origin, path)
}

func (m *merger) add(file, kind, field string, item named) {
	name := item.GetName()
	if name == "" {
		m.fault(file, field, "is required")
		return
	}
	path := kind + "/" + name
	earlier, exists := m.origin[path]
	if exists && earlier == file {
		m.fault(file, field, fmt.Sprintf("%q is declared twice in this file", name))
		return
	}
	if exists && !item.GetOverride() {
		m.fault(file, field, fmt.Sprintf("%q is already declared in %s; set override to replace it", name, earlier))
		return
	}
	if m.items[kind] == nil {
		m.items[kind] = map[string]named{}
	}
	m.items[kind][name] = item
	m.origin[path] = file
}

// mergePolicy copies the fields that the file sets, including those it sets to zero.
func (m *merger) mergePolicy(file string, parsed *parsedFile) {
	if parsed.msg.Policy == nil {
		return
	}
	if m.policy == nil {
		m.policy = &pb.Policy{}
	}
	from, to := parsed.msg.Policy.ProtoReflect(), m.policy.ProtoReflect()
	fields := from.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !parsed.policyFields[field.Number()] {
			continue
		}
		to.Set(field, from.Get(field))
		m.origin["policy."+string(field.Name())] = file
	}
}

func (m *merger) fault(file, field, reason string) {
	m.faults = append(m.faults, Fault{file, field, reason})
}

// result returns the merged configuration with the items of each kind sorted by name. Override flags are cleared, so
// that the result is itself a valid file.
func (m *merger) result() *pb.FolderFile {
	out := &pb.FolderFile{Policy: m.policy}
	msg := out.ProtoReflect()
	for _, kind := range itemKinds {
		names := make([]string, 0, len(m.items[kind]))
		for name := range m.items[kind] {
			names = append(names, name)
		}
		sort.Strings(names)
		if len(names) == 0 {
			continue
		}
		list := msg.Mutable(msg.Descriptor().Fields().ByName(protoreflect.Name(kind))).List()
		for _, name := range names {
			item := m.items[kind][name].ProtoReflect()
			item.Clear(item.Descriptor().Fields().ByName("override"))
			list.Append(protoreflect.ValueOfMessage(item))
		}
	}
	return out
}

// itemKinds are the fields of FolderFile that hold named items, in the order of the schema.
var itemKinds = []string{"models", "workspaces", "services", "backend_groups", "instance_classes"}

func itemsOf(file *pb.FolderFile, kind string) []named {
	msg := file.ProtoReflect()
	list := msg.Get(msg.Descriptor().Fields().ByName(protoreflect.Name(kind))).List()
	out := make([]named, 0, list.Len())
	for i := range list.Len() {
		out = append(out, list.Get(i).Message().Interface().(named))
	}
	return out
}
