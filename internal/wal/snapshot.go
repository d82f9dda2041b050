package wal

import (
	"encoding/binary"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// A snapshot file, with little-endian numbers. The checksum is the xxhash64 of everything after it:
//
//	"umbersnp" | checksum u64 | number u64 | data
const (
	snapshotSuffix      = ".snap"
	snapshotMagic       = "umbersnp"
	snapshotHeaderBytes = 24
	// maxSnapshots is two, so that the older one and the entries after it replace a damaged newest one.
	maxSnapshots = 2
)

// snapshot is a stored snapshot.
type snapshot struct {
	number uint64 // of the last entry that it covers
	bytes  int64  // size of its file
}

func snapshotName(number uint64) string { return fmt.Sprintf("%016x", number) + snapshotSuffix }

// findSnapshots lists the stored snapshots without reading them.
func (l *Log) findSnapshots(names []string) error {
	for _, name := range names {
		n, ok := parseFileName(name, snapshotSuffix)
		if !ok {
			continue
		}
		f, err := l.fs.Open(name)
		if err != nil {
			return err
		}
		size, err := f.Size()
		f.Close()
		if err != nil {
			return err
		}
		l.snapshots = append(l.snapshots, snapshot{n, size})
	}
	sort.Slice(l.snapshots, func(i, k int) bool { return l.snapshots[i].number < l.snapshots[k].number })
	return nil
}

// SaveSnapshot atomically writes a snapshot, the concatenation of parts, that replaces all entries up to number, and
// removes all but the two newest snapshots. Only one call at a time is allowed; Commit may run concurrently. Errors are
// ErrFull and ErrBroken.
func (l *Log) SaveSnapshot(number uint64, parts ...[]byte) error {
	size := int64(snapshotHeaderBytes)
	header := make([]byte, snapshotHeaderBytes)
	copy(header, snapshotMagic)
	binary.LittleEndian.PutUint64(header[16:], number)
	hash := xxhash.New()
	hash.Write(header[16:])
	for _, p := range parts {
		hash.Write(p)
		size += int64(len(p))
	}
	binary.LittleEndian.PutUint64(header[8:], hash.Sum64())
	if err := l.checkSpace(size); err != nil {
		return err
	}
	if err := l.writeSnapshot(snapshotName(number), header, parts); err != nil {
		return l.fail(err)
	}
	for _, old := range l.addSnapshot(snapshot{number, size}) {
		if err := l.fs.Remove(snapshotName(old)); err != nil {
			return l.fail(err)
		}
	}
	if err := l.fs.Sync(); err != nil {
		return l.fail(err)
	}
	return nil
}

// checkSpace returns ErrFull if another file of this size would take the log past Sizes.MaxBytes.
func (l *Log) checkSpace(size int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != nil {
		return l.fault
	}
	if l.diskBytes()+size > l.sizes.MaxBytes {
		return fmt.Errorf("%w: a snapshot of %d bytes beside %d, expected at most %d", ErrFull, size, l.diskBytes(),
			l.sizes.MaxBytes)
	}
	return nil
}

// addSnapshot adds a snapshot to the list and returns the numbers of the ones that it displaced.
func (l *Log) addSnapshot(s snapshot) (removed []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	others := l.snapshots[:0]
	for _, other := range l.snapshots {
		if other.number != s.number {
			others = append(others, other)
		}
	}
	l.snapshots = append(others, s)
	sort.Slice(l.snapshots, func(i, k int) bool { return l.snapshots[i].number < l.snapshots[k].number })
	for len(l.snapshots) > maxSnapshots {
		removed = append(removed, l.snapshots[0].number)
		l.snapshots = append(l.snapshots[:0], l.snapshots[1:]...)
	}
	return removed
}

// writeSnapshot writes and syncs a temporary file before it renames it, so that a crash leaves no partial snapshot.
func (l *Log) writeSnapshot(name string, header []byte, parts [][]byte) error {
	f, err := l.fs.Create(name + temporarySuffix)
	if err != nil {
		return err
	}
	off := int64(0)
	for _, p := range append([][]byte{header}, parts...) {
		if len(p) == 0 {
			continue
		}
		if _, err = f.WriteAt(p, off); err != nil {
			f.Close()
			return err
		}
		off += int64(len(p))
	}
	if err = f.Sync(); err != nil {
		f.Close()
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	if err = l.fs.Rename(name+temporarySuffix, name); err != nil {
		return err
	}
	return l.fs.Sync()
}

// Snapshots returns the numbers of the stored snapshots, newest first.
func (l *Log) Snapshots() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []uint64
	for i := len(l.snapshots) - 1; i >= 0; i-- {
		out = append(out, l.snapshots[i].number)
	}
	return out
}

// LoadSnapshot reads a snapshot and verifies its checksum. Errors are *Damage and those of the disk.
func (l *Log) LoadSnapshot(number uint64) ([]byte, error) {
	name := snapshotName(number)
	f, err := l.fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	raw := make([]byte, size)
	if size > 0 {
		if _, err = f.ReadAt(raw, 0); err != nil {
			return nil, &Damage{name, 0, "a snapshot", err.Error()}
		}
	}
	body, stored, ok := DecodeSnapshot(raw)
	if !ok || stored != number {
		return nil, &Damage{name, 0, "a snapshot", "its sum does not fit"}
	}
	return body, nil
}

// DecodeSnapshot decodes the content of a snapshot file into its data and number. ok is false if raw is not a valid
// snapshot.
func DecodeSnapshot(raw []byte) (body []byte, number uint64, ok bool) {
	if len(raw) < snapshotHeaderBytes || string(raw[:8]) != snapshotMagic ||
		binary.LittleEndian.Uint64(raw[8:]) != xxhash.Sum64(raw[16:]) {
		return nil, 0, false
	}
	return raw[snapshotHeaderBytes:], binary.LittleEndian.Uint64(raw[16:]), true
}
