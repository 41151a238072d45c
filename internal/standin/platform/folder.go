package platform

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pollenlug/pollenlug/pkg/config"
	"github.com/pollenlug/pollenlug/pkg/platform"
)

// FolderFaults are the injected faults of an operators' folder.
type FolderFaults struct {
	// Down makes reads return ErrUnavailable.
	Down bool
	// Stale is the age of the state that reads return.
	Stale time.Duration
}

// maxRevisions bounds the number of revisions that are retained for stale reads.
const maxRevisions = 64

// history has the most recent revisions of a folder.
type history struct {
	mu     sync.Mutex
	faults FolderFaults
	states []platform.FolderState
	at     []time.Time
}

// SetFaults replaces the faults.
func (h *history) SetFaults(f FolderFaults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = f
}

// add appends a revision and returns its number; the caller holds h.mu.
func (h *history) add(files map[string][]byte) uint64 {
	revision := uint64(1)
	if n := len(h.states); n > 0 {
		revision = h.states[n-1].Revision + 1
	}
	h.states = append(h.states, platform.FolderState{Revision: revision, Files: files})
	h.at = append(h.at, time.Now())
	if len(h.states) > maxRevisions {
		h.states = h.states[1:]
		h.at = h.at[1:]
	}
	return revision
}

// read returns the state that a reader sees, subject to the faults; the caller holds h.mu.
func (h *history) read() (platform.FolderState, error) {
	if h.faults.Down {
		return platform.FolderState{}, platform.ErrUnavailable
	}
	cut := time.Now().Add(-h.faults.Stale)
	i := len(h.states) - 1
	for i > 0 && h.at[i].After(cut) {
		i--
	}
	state := h.states[i]
	state.Files = maps.Clone(state.Files)
	return state, nil
}

// MemFolder is a folder in memory.
type MemFolder struct {
	history
}

// NewMemFolder returns a folder with revision 1.
func NewMemFolder(files map[string][]byte) *MemFolder {
	f := &MemFolder{}
	f.Edit(files)
	return f
}

// Edit replaces all files and returns the new revision.
func (f *MemFolder) Edit(files map[string][]byte) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.add(maps.Clone(files))
}

// EditFile replaces one file, or removes it when data is nil, and returns the new revision.
func (f *MemFolder) EditFile(name string, data []byte) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	files := maps.Clone(f.states[len(f.states)-1].Files)
	if files == nil {
		files = map[string][]byte{}
	}
	if data == nil {
		delete(files, name)
	} else {
		files[name] = slices.Clone(data)
	}
	return f.add(files)
}

// Read implements platform.Folder.
func (f *MemFolder) Read(ctx context.Context) (platform.FolderState, error) {
	if ctx.Err() != nil {
		return platform.FolderState{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read()
}

// dirPollInterval is the minimum time between two polls of the directory.
const dirPollInterval = 100 * time.Millisecond

// DirFolder is a directory on the local disk. Its revision increases when a read finds a change. Revisions start at 1
// in each process, as do the row versions of the table stand-in in the same process.
type DirFolder struct {
	history
	dir    string
	digest [sha256.Size]byte
	polled time.Time
}

// NewDirFolder returns a folder with the files of dir as revision 1. It returns an error if dir cannot be read.
func NewDirFolder(dir string) (*DirFolder, error) {
	files, err := config.LoadDir(dir)
	if err != nil {
		return nil, err
	}
	f := &DirFolder{dir: dir, digest: filesDigest(files), polled: time.Now()}
	f.add(files)
	return f, nil
}

// Read implements platform.Folder.
func (f *DirFolder) Read(ctx context.Context) (platform.FolderState, error) {
	if ctx.Err() != nil {
		return platform.FolderState{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.polled) >= dirPollInterval {
		f.polled = time.Now()
		if err := f.poll(); err != nil {
			return platform.FolderState{}, errors.Join(platform.ErrUnavailable, err)
		}
	}
	return f.read()
}

// poll adds a revision if the directory has changed. It reads the directory twice and leaves the change to the next
// poll if the reads differ, so that a partial edit of several files is seen less often.
func (f *DirFolder) poll() error {
	first, err := config.LoadDir(f.dir)
	if err != nil {
		return err
	}
	digest := filesDigest(first)
	if digest == f.digest {
		return nil
	}
	second, err := config.LoadDir(f.dir)
	if err != nil {
		return err
	}
	if filesDigest(second) != digest {
		return nil
	}
	f.digest = digest
	f.add(first)
	return nil
}

// filesDigest hashes names and contents, each prefixed by its length.
func filesDigest(files map[string][]byte) [sha256.Size]byte {
	hash := sha256.New()
	put := func(data []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(data)))
		hash.Write(length[:])
		hash.Write(data)
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		put([]byte(name))
		put(files[name])
	}
	return [sha256.Size]byte(hash.Sum(nil))
}
