package wal

import (
	"errors"
	"fmt"
	"sync"
)

// Bounds that hold for every log.
const (
	// MaxRecordBytes bounds one entry or mark. It holds the largest document with room to spare; a larger one would
	// let a damaged length have more read.
	MaxRecordBytes = 8 << 20
	// MaxMarkKinds bounds the kinds of marks, all of which each segment has.
	MaxMarkKinds = 16
)

// Sizes are a log's limits, in bytes.
type Sizes struct {
	SegmentBytes int64 // after which a new segment is begun
	MaxBytes     int64 // of all files together
}

// Mark is a small value that counts until the next of its kind.
type Mark struct {
	Kind int // 0 to MaxMarkKinds-1
	Data []byte
}

// Batch is written completely or not at all, in the order cut, entries, marks.
type Batch struct {
	Cut     uint64 // 0, or the number that the next entry gets; entries from it on are dropped
	Entries [][]byte
	Marks   []Mark
}

// Log is an open log. Any number of goroutines may use it.
type Log struct {
	fs     FS
	sizes  Sizes
	unlock func()

	mu        sync.Mutex // guards what follows
	segments  []*segment // oldest first; the last one is written to
	index     entryIndex
	marks     [MaxMarkKinds][]byte
	checksum  uint32
	snapshots []snapshot // oldest first, two at most
	fault     error
	buf       []byte

	queue   []*pendingCommit // callers of Commit that wait for the next flush
	writing bool             // a caller is flushing
	flushes uint64
}

// First returns the number of the first entry held, and Next where there is none.
func (l *Log) First() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index.first
}

// Next returns the number that the next entry gets.
func (l *Log) Next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index.next()
}

// Mark returns the last mark of a kind, nil if there is none.
func (l *Log) Mark(kind int) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.marks[kind]
}

// SyncCount counts the syncs that callers waited for.
func (l *Log) SyncCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flushes
}

// DiskBytes returns the size of all files.
func (l *Log) DiskBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.diskBytes()
}

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

// TruncateFront drops entries up to a number. Whole segments leave the disk; entries that share a segment with later
// ones stay on it until those go. The caller holds a snapshot of what it drops.
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
		l.segments[removed].file.Close() // all of it was synced, and it is gone
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

// fail makes the log unusable: every later call gets the error. It takes mu.
func (l *Log) fail(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failLocked(err)
}

// failLocked is fail for a caller that holds mu.
func (l *Log) failLocked(err error) error {
	l.fault = fmt.Errorf("%w: %w", ErrBroken, err)
	return l.fault
}

// Close closes the files and unlocks the folder, also where a file's close fails, which is the error. Nothing has to be
// written by it: what Commit returned is synced.
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
