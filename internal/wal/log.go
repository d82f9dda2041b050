package wal

import (
	"errors"
	"fmt"
	"sync"
)

// Limits of every log.
const (
	// MaxRecordBytes is the maximum size of an entry or mark. It is above the largest document and limits the bytes
	// read for a damaged length field.
	MaxRecordBytes = 8 << 20
	// MaxMarkKinds is the number of mark kinds. Each segment starts with the current mark of every kind.
	MaxMarkKinds = 16
)

// Sizes are the size limits of a log, in bytes.
type Sizes struct {
	SegmentBytes int64 // size at which a new segment is started
	MaxBytes     int64 // total size of all files
}

// Mark is a small value that replaces the previous mark of its kind.
type Mark struct {
	Kind int // 0 to MaxMarkKinds-1
	Data []byte
}

// Batch is written atomically, in the order cut, entries, marks.
type Batch struct {
	Cut     uint64 // 0, or the number of the next entry; entries from this number on are dropped
	Entries [][]byte
	Marks   []Mark
}

// Log is an open log. It is safe for concurrent use.
type Log struct {
	fs     FS
	sizes  Sizes
	unlock func()

	mu        sync.Mutex // guards the fields below
	segments  []*segment // oldest first; the last one is appended to
	index     entryIndex
	marks     [MaxMarkKinds][]byte
	checksum  uint32     // of the last record
	snapshots []snapshot // oldest first, two at most
	fault     error      // returned by every later write: ErrBroken or errClosed
	buf       []byte     // reused for the next flush

	queue   []*pendingCommit // commits that wait for the next flush
	writing bool             // a caller of Commit is flushing
	flushes uint64           // flushes that were synced
}

// First returns the number of the first entry held, or Next if the log holds none.
func (l *Log) First() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index.first
}

// Next returns the number of the next entry to be appended.
func (l *Log) Next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index.next()
}

// Mark returns the current mark of a kind, or nil if there is none.
func (l *Log) Mark(kind int) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.marks[kind]
}

// SyncCount returns the number of fsyncs of records since the log was opened.
func (l *Log) SyncCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flushes
}

// DiskBytes returns the total size of the segments and snapshots.
func (l *Log) DiskBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.diskBytes()
}

// diskBytes is DiskBytes for callers that hold mu.
func (l *Log) diskBytes() int64 {
	n := int64(0)
	for _, s := range l.segments {
		n += s.size
	}
	for _, s := range l.snapshots {
		n += s.bytes
	}
	return n
}

func (l *Log) segment(seq uint64) *segment { return l.segments[seq-l.segments[0].sequence] }

// TruncateFront drops the entries up to and including last. Only whole segments are removed from disk: entries that
// share a segment with later ones stay on disk until those are dropped too.
func (l *Log) TruncateFront(last uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != nil {
		return l.fault
	}
	if last+1 > l.index.first {
		l.index.truncateFront(int(min(last+1-l.index.first, uint64(l.index.count))))
	}
	firstNeeded := l.segments[len(l.segments)-1].sequence
	if l.index.count > 0 {
		firstNeeded = l.index.find(l.index.first).seg
	}
	removed := 0
	for l.segments[removed].sequence < firstNeeded {
		if err := l.fs.Remove(l.segments[removed].name); err != nil {
			return l.failLocked(err)
		}
		l.segments[removed].file.Close() // it was synced and is removed: an error has no effect
		removed++
	}
	if removed == 0 {
		return nil
	}
	l.segments = append([]*segment{}, l.segments[removed:]...)
	if err := l.fs.Sync(); err != nil {
		return l.failLocked(err)
	}
	return nil
}

// fail makes the log read-only: every later write returns the error. It locks mu.
func (l *Log) fail(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failLocked(err)
}

// failLocked is fail for callers that hold mu.
func (l *Log) failLocked(err error) error {
	l.fault = fmt.Errorf("%w: %w", ErrBroken, err)
	return l.fault
}

// Close closes the files and unlocks the folder, even if closing a file fails; that error is returned. There is nothing
// to flush: committed batches are synced.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unlock == nil {
		return nil
	}
	if l.fault == nil {
		l.fault = errClosed
	}
	err := l.closeSegments()
	l.unlock()
	l.unlock = nil
	return err
}

func (l *Log) closeSegments() (err error) {
	for _, s := range l.segments {
		err = errors.Join(err, s.file.Close())
	}
	return err
}
