package wal

import (
	"errors"
	"io/fs"
	"sort"
	"sync"
	"syscall"
)

// MemFS is a folder in memory that tracks which writes and names were synced, so that tests and simulations can cut
// power or kill the process at any step and continue with a possible content of the disk.
type MemFS struct {
	mu           sync.Mutex
	names        map[string]*memFile
	syncedNames  map[string]*memFile         // names as of the last Sync of the folder
	pendingNames []func(map[string]*memFile) // unsynced changes of names, in order
	locked       bool

	Capacity int64 // maximum total size of the files, in bytes; 0 means unlimited
	// OnStep is called before each step and may make it fail. The steps are create, open, rename, remove, write,
	// truncate, sync and names (the sync of the folder). For a failed write, done is the number of bytes that were
	// written before the failure.
	OnStep func(step, name string) (done int, err error)
}

// memFile is a file of a MemFS.
type memFile struct {
	dir     *MemFS
	name    string
	data    []byte     // as the process reads it
	synced  []byte     // as of the last Sync
	pending []memWrite // since the last Sync, in order
}

// memWrite is a write or a truncation.
type memWrite struct {
	off  int64
	data []byte // nil for a truncation to off
}

// sectorBytes is the unit that a disk writes atomically: the smallest sector size in use.
const sectorBytes = 512

// NewMemFS returns an empty folder.
func NewMemFS() *MemFS {
	return &MemFS{names: map[string]*memFile{}, syncedNames: map[string]*memFile{}}
}

func (m *MemFS) step(step, name string) (int, error) {
	if m.OnStep == nil {
		return 0, nil
	}
	return m.OnStep(step, name)
}

// List implements FS.
func (m *MemFS) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name := range m.names {
		out = append(out, name)
	}
	sort.Strings(out)
	return out, nil
}

func (m *MemFS) changeNames(f func(map[string]*memFile)) {
	f(m.names)
	m.pendingNames = append(m.pendingNames, f)
}

// Create implements FS.
func (m *MemFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.step("create", name); err != nil {
		return nil, err
	}
	f := &memFile{dir: m, name: name}
	m.changeNames(func(names map[string]*memFile) { names[name] = f })
	return f, nil
}

// Open implements FS.
func (m *MemFS) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.step("open", name); err != nil {
		return nil, err
	}
	f := m.names[name]
	if f == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return f, nil
}

// Rename implements FS.
func (m *MemFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.step("rename", from); err != nil {
		return err
	}
	f := m.names[from]
	if f == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	m.changeNames(func(names map[string]*memFile) { delete(names, from); names[to] = f })
	f.name = to
	return nil
}

// Remove implements FS.
func (m *MemFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.step("remove", name); err != nil {
		return err
	}
	if m.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	m.changeNames(func(names map[string]*memFile) { delete(names, name) })
	return nil
}

// Sync implements FS.
func (m *MemFS) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, err := m.step("names", ""); err != nil {
		return err
	}
	for _, f := range m.pendingNames {
		f(m.syncedNames)
	}
	m.pendingNames = m.pendingNames[:0]
	return nil
}

// Lock implements FS.
func (m *MemFS) Lock() (func(), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return func() { m.mu.Lock(); m.locked = false; m.mu.Unlock() }, nil
}

func (m *MemFS) used() int64 {
	var n int64
	for _, f := range m.names {
		n += int64(len(f.data))
	}
	return n
}

func (f *memFile) ReadAt(p []byte, off int64) (int, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if off >= int64(len(f.data)) {
		return 0, errors.New("read past the end")
	}
	n := copy(p, f.data[off:])
	if n < len(p) {
		return n, errors.New("read past the end")
	}
	return n, nil
}

func (f *memFile) WriteAt(p []byte, off int64) (int, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	n, err := f.dir.step("write", f.name)
	if err == nil {
		n = len(p)
		grown := max(0, off+int64(n)-int64(len(f.data)))
		if capacity := f.dir.Capacity; capacity > 0 && f.dir.used()+grown > capacity {
			n, err = int(max(0, int64(n)-(f.dir.used()+grown-capacity))), syscall.ENOSPC
		}
	}
	n = min(n, len(p))
	f.data = writeInto(f.data, p[:n], off)
	f.pending = append(f.pending, memWrite{off, append(make([]byte, 0, n), p[:n]...)})
	return n, err
}

// writeInto copies p to an offset of data, which grows as needed.
func writeInto(data, p []byte, off int64) []byte {
	if end := off + int64(len(p)); end > int64(len(data)) {
		data = append(data, make([]byte, end-int64(len(data)))...)
	}
	copy(data[off:], p)
	return data
}

func (f *memFile) Truncate(size int64) error {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if _, err := f.dir.step("truncate", f.name); err != nil {
		return err
	}
	f.data = f.data[:size]
	f.pending = append(f.pending, memWrite{off: size})
	return nil
}

func (f *memFile) Sync() error {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if _, err := f.dir.step("sync", f.name); err != nil {
		return err
	}
	for _, w := range f.pending {
		f.synced = applyWrite(f.synced, w)
	}
	f.pending = f.pending[:0]
	return nil
}

func applyWrite(data []byte, w memWrite) []byte {
	if w.data == nil {
		return data[:min(w.off, int64(len(data)))]
	}
	return writeInto(data, w.data, w.off)
}

func (f *memFile) Size() (int64, error) {
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	return int64(len(f.data)), nil
}

func (f *memFile) Close() error { return nil }

// FlipBits flips bits of a byte, as a failing disk would.
func (m *MemFS) FlipBits(name string, off int64, bits byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[name]
	f.data[off] ^= bits
	if off < int64(len(f.synced)) {
		f.synced[off] ^= bits
	}
}

// Kill returns the folder as the next process finds it after this process was killed: all writes are there, and
// unsynced ones can still be lost by a power loss.
func (m *MemFS) Kill() *MemFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.locked, m.OnStep = false, nil
	for _, f := range m.names {
		f.dir = m
	}
	return m
}

// Copy returns a copy of the folder, as a backup would hold it.
func (m *MemFS) Copy() *MemFS { return m.copy(func(f *memFile) []byte { return f.data }, m.names) }

// The possible fates of a file's unsynced writes when power is lost.
const (
	loseAll = iota
	keepAll
	keepFirstSectors
	keepRandomSectors
	unsyncedFates
)

// PowerLoss returns a possible content of the folder after a power loss: everything that was synced, the first of the
// unsynced changes of names, and for each file all, none, the first or random sectors of its unsynced writes. intn
// returns a random number from 0 to n-1.
func (m *MemFS) PowerLoss(intn func(n int) int) *MemFS {
	m.mu.Lock()
	names := map[string]*memFile{}
	for name, f := range m.syncedNames {
		names[name] = f
	}
	for k := intn(len(m.pendingNames) + 1); k > 0; k-- {
		m.pendingNames[0](names)
		m.pendingNames = m.pendingNames[1:]
	}
	m.mu.Unlock()
	return m.copy(func(f *memFile) []byte {
		data := append([]byte(nil), f.synced...)
		fate := intn(unsyncedFates)
		sectorsLeft := 1 << 30
		if fate == keepFirstSectors {
			sectorsLeft = intn(16)
		}
		for _, w := range f.pending {
			if w.data == nil {
				if fate != loseAll && sectorsLeft > 0 {
					data = applyWrite(data, w)
				}
				continue
			}
			for from := 0; from < len(w.data); {
				end := min(len(w.data), from+sectorBytes-int((w.off+int64(from))%sectorBytes))
				if sectorsLeft > 0 && (fate == keepAll || fate == keepFirstSectors ||
					fate == keepRandomSectors && intn(2) == 0) {
					data = writeInto(data, w.data[from:end], w.off+int64(from))
				}
				sectorsLeft--
				from = end
			}
		}
		return data
	}, names)
}

// copy returns a folder with the given names, all of whose content is synced.
func (m *MemFS) copy(content func(*memFile) []byte, names map[string]*memFile) *MemFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := NewMemFS()
	out.Capacity = m.Capacity
	var sorted []string
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted) // content draws random numbers, so the order has to be fixed
	for _, name := range sorted {
		data := append([]byte(nil), content(names[name])...)
		f := &memFile{dir: out, name: name, data: data, synced: append([]byte(nil), data...)}
		out.names[name], out.syncedNames[name] = f, f
	}
	return out
}
