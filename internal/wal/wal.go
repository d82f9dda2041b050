// Package wal is a durable log: entries numbered without gaps, small marks of which the last of each kind
// counts, and snapshots that let the front of the log go. It owns the files of one folder. What Commit
// returned without an error is there after any crash; what it did not is there whole or not at all. It never
// repairs damage by guessing, never writes over what was synced, and never goes on after a write or sync that
// failed.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"sync"
)

// Bounds that hold for every log.
const (
	MaxRecordBytes = 8 << 20 // bytes of one entry or mark: the largest document, with room to spare
	MaxMarkKinds   = 16      // kinds of marks
)

// On disk a record is a head, what it carries, and a sum at its end that takes in the sum before it:
//
//	length u32 | kind u8 | number u64 | bytes | sum u32
//
// As the sum stands last, a reader can check a record from anywhere, with the four bytes before it as the sum
// before. That tells a tail that was torn from damage with good records behind it.
const (
	recordHeaderBytes = 13
	checksumBytes     = 4

	kindEntry    byte = 1
	kindMark     byte = 2
	kindCut      byte = 3 // the next entry has this number: later ones no longer count
	kindMask     byte = 0x0f
	firstOfFlush byte = 0x80 // of a flush, which is synced before the next is written
	lastOfFlush  byte = 0x40
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrFull says that the log would grow past its bound; nothing was written and the log goes on.
var ErrFull = errors.New("the log is at its bound")

// ErrBroken says that a write or sync failed: what is on disk is not known until the log is opened again, so
// the process has to end.
var ErrBroken = errors.New("the log can't be relied on any more")

// Sizes are a log's two figures.
type Sizes struct {
	SegmentBytes int64 // bytes after which a new segment is begun
	MaxBytes     int64 // bytes of all files together
}

// Mark is a small value that counts until the next of its kind.
type Mark struct {
	Kind int // 0 to MaxMarkKinds-1
	Data []byte
}

// Batch is written whole or not at all, in the order cut, entries, marks.
type Batch struct {
	Cut     uint64 // 0, or the number the next entry gets: later ones are dropped
	Entries [][]byte
	Marks   []Mark
}

// place is where a record that was just written stands.
type position struct {
	seg uint64 // sequence number of the segment
	off int64  // of the record's head
}

// Log is an open log.
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

	queue   []*waiter
	writing bool
	flushes uint64
}

type waiter struct {
	batch Batch
	first uint64
	err   error
	wake  chan bool // true: done; false: flush what waits yourself
}

// Commit writes a batch and returns once it is durable, with the number of its first entry. Callers that come
// while another's sync is under way share the next one.
func (l *Log) Commit(b Batch) (uint64, error) {
	for _, e := range b.Entries {
		if len(e) > MaxRecordBytes {
			return 0, fmt.Errorf("an entry of %d bytes, expected at most %d", len(e), MaxRecordBytes)
		}
	}
	for _, m := range b.Marks {
		if len(m.Data) > MaxRecordBytes || m.Kind < 0 || m.Kind >= MaxMarkKinds {
			return 0, fmt.Errorf("a mark of kind %d with %d bytes, expected kinds below %d and at most %d bytes",
				m.Kind, len(m.Data), MaxMarkKinds, MaxRecordBytes)
		}
	}
	w := &waiter{batch: b}
	l.mu.Lock()
	l.queue = append(l.queue, w)
	if l.writing {
		w.wake = make(chan bool, 1)
		l.mu.Unlock()
		if <-w.wake {
			return w.first, w.err
		}
		l.mu.Lock()
	}
	l.writing = true
	took := l.queue
	l.queue = nil
	l.flush(took)
	if len(l.queue) > 0 {
		l.queue[0].wake <- false // it flushes for those behind it, so no caller waits for others without end
	} else {
		l.writing = false
	}
	l.mu.Unlock()
	for _, o := range took {
		if o != w {
			o.wake <- true
		}
	}
	return w.first, w.err
}

// flush writes the batches of some callers with one write and one sync. It is entered and left with the lock
// held and gives it up while the disk works; writing keeps every other writer out meanwhile.
func (l *Log) flush(took []*waiter) {
	all := func(err error) {
		for _, w := range took {
			w.first, w.err = 0, err
		}
	}
	if l.fault != nil {
		all(l.fault)
		return
	}
	need := int64(0)
	for _, w := range took {
		need += batchBytes(w.batch)
	}
	if l.diskBytes()+need > l.sizes.MaxBytes {
		all(fmt.Errorf("%w: %d bytes and %d more, expected at most %d", ErrFull, l.diskBytes(), need, l.sizes.MaxBytes))
		return
	}
	cur := l.segments[len(l.segments)-1]
	fresh := cur.size > segmentHeaderBytes && cur.size+need > l.sizes.SegmentBytes
	if fresh {
		at, sum := l.index.next(), l.checksum
		l.mu.Unlock()
		next, err := createSegment(l.fs, cur.sequence+1, at, sum)
		l.mu.Lock()
		if err != nil {
			l.fault = fmt.Errorf("%w: a new segment: %w", ErrBroken, err)
			all(l.fault)
			return
		}
		l.segments = append(l.segments, next)
		cur = next
	}
	w := recordWriter{buf: l.buf[:0], checksum: l.checksum, segment: cur.sequence, offset: cur.size, next: l.index.next(),
		lastRecord: -1}
	if fresh { // the marks stand in each segment, so that older ones can go
		for k, m := range l.marks {
			if m != nil {
				w.append(kindMark, uint64(k), m)
			}
		}
	}
	for _, o := range took {
		o.first, o.err = w.batch(o.batch), nil
	}
	if w.lastRecord < 0 {
		return // nothing to write
	}
	w.close()
	l.buf = w.buf
	l.mu.Unlock()
	_, err := cur.file.WriteAt(w.buf, cur.size)
	if err == nil {
		err = cur.file.Sync()
	}
	l.mu.Lock()
	if err != nil {
		l.fault = fmt.Errorf("%w: %s: %w", ErrBroken, cur.name, err)
		all(l.fault)
		return
	}
	l.flushes++
	cur.size += int64(len(w.buf))
	l.checksum = w.checksum
	for _, o := range took {
		l.applyBatch(o.batch, &w)
	}
	if cap(l.buf) > 1<<20 {
		l.buf = nil
	}
}

// note takes over what a batch says once it is durable.
func (l *Log) applyBatch(b Batch, w *recordWriter) {
	if b.Cut > 0 {
		l.index.cut(b.Cut)
	}
	for _, p := range w.positions[:len(b.Entries)] {
		l.index.add(p.seg, p.off)
	}
	w.positions = w.positions[len(b.Entries):]
	for _, m := range b.Marks {
		l.marks[m.Kind] = append([]byte{}, m.Data...)
	}
}

func batchBytes(b Batch) int64 {
	n := int64(0)
	if b.Cut > 0 {
		n += recordHeaderBytes + checksumBytes
	}
	for _, e := range b.Entries {
		n += int64(len(e)) + recordHeaderBytes + checksumBytes
	}
	for _, m := range b.Marks {
		n += int64(len(m.Data)) + recordHeaderBytes + checksumBytes
	}
	return n
}

// writer puts records together for one flush.
type recordWriter struct {
	buf              []byte
	checksum         uint32
	segment          uint64
	offset           int64
	next             uint64
	lastRecord       int // where the last record's head stands in buf
	previousChecksum uint32
	positions        []position
}

func (w *recordWriter) append(kind byte, number uint64, data []byte) {
	if w.lastRecord < 0 {
		kind |= firstOfFlush
	}
	w.lastRecord, w.previousChecksum = len(w.buf), w.checksum
	w.buf = binary.LittleEndian.AppendUint32(w.buf, uint32(len(data)))
	w.buf = append(w.buf, kind)
	w.buf = binary.LittleEndian.AppendUint64(w.buf, number)
	w.buf = append(w.buf, data...)
	w.checksum = crc32.Update(w.previousChecksum, castagnoli, w.buf[w.lastRecord:])
	w.buf = binary.LittleEndian.AppendUint32(w.buf, w.checksum)
}

func (w *recordWriter) batch(b Batch) uint64 {
	if b.Cut > 0 {
		w.append(kindCut, b.Cut, nil)
		w.next = b.Cut
	}
	first := w.next
	for _, e := range b.Entries {
		w.positions = append(w.positions, position{w.segment, w.offset + int64(len(w.buf))})
		w.append(kindEntry, w.next, e)
		w.next++
	}
	for _, m := range b.Marks {
		w.append(kindMark, uint64(m.Kind), m.Data)
	}
	return first
}

// close marks the last record as such and sums it again.
func (w *recordWriter) close() {
	w.buf[w.lastRecord+4] |= lastOfFlush
	end := len(w.buf) - checksumBytes
	w.checksum = crc32.Update(w.previousChecksum, castagnoli, w.buf[w.lastRecord:end])
	binary.LittleEndian.PutUint32(w.buf[end:], w.checksum)
}

// First gives the number of the first entry held; it is Next where there is none.
func (l *Log) First() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index.first
}

// Next gives the number the next entry gets.
func (l *Log) Next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index.next()
}

// Mark gives the last mark of a kind, nil if there is none.
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

// DiskBytes gives the bytes of all files.
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

// Read gives an entry, checked once more against its sum.
func (l *Log) Read(number uint64) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number < l.index.first || number >= l.index.next() {
		return nil, fmt.Errorf("entry %d, expected one from %d to %d", number, l.index.first, l.index.next()-1)
	}
	from := l.index.find(number)
	s := l.segment(from.seg)
	bad := func(off int64, what string) error {
		return &Damage{s.name, off, fmt.Sprintf("entry %d", number), what}
	}
	off, length, err := seek(func(head []byte, off int64) error {
		_, err := s.file.ReadAt(head, off)
		return err
	}, from, number)
	if err != nil {
		return nil, bad(off, err.Error())
	}
	raw := make([]byte, checksumBytes+recordHeaderBytes+length+checksumBytes)
	if _, err := s.file.ReadAt(raw, off-checksumBytes); err != nil {
		return nil, bad(off, err.Error())
	}
	kind, n, data, ok := readRecord(raw[checksumBytes:], binary.LittleEndian.Uint32(raw))
	if !ok || kind&kindMask != kindEntry || n != number {
		return nil, bad(off, "its sum does not fit")
	}
	return data, nil
}

// ForEach gives all entries in order, segment by segment, as they were checked when the log was opened. It is for a start: nothing
// else goes on meanwhile.
func (l *Log) ForEach(f func(number uint64, data []byte) error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var s *segment
	var raw []byte
	read := func(head []byte, off int64) error {
		if off+recordHeaderBytes > s.size {
			return io.ErrUnexpectedEOF
		}
		copy(head, raw[off:])
		return nil
	}
	for i, j := range l.index.runs { // from each of these on, entries stand one behind the other
		if s == nil || s.sequence != j.seg {
			s = l.segment(j.seg)
			raw = make([]byte, s.size)
			if _, err := s.file.ReadAt(raw, 0); err != nil {
				return &Damage{s.name, 0, "its records", err.Error()}
			}
		}
		number, end := max(j.number, l.index.first), l.index.next()
		if i+1 < len(l.index.runs) {
			end = l.index.runs[i+1].number
		}
		for from := l.index.find(number); number < end; number++ {
			off, length, err := seek(read, from, number)
			if off += recordHeaderBytes; err == nil && off+int64(length) > s.size {
				err = io.ErrUnexpectedEOF
			}
			if err != nil {
				return &Damage{s.name, off, fmt.Sprintf("entry %d", number), err.Error()}
			}
			if err = f(number, raw[off:off+int64(length)]); err != nil {
				return err
			}
			from = run{number + 1, j.seg, uint32(off + int64(length) + checksumBytes)}
		}
	}
	return nil
}

func (l *Log) segment(seq uint64) *segment { return l.segments[seq-l.segments[0].sequence] }

// TruncateFront lets entries up to a number go. Whole segments leave the disk; what shares a segment with later
// entries stays until they go too. The caller keeps a snapshot of what it lets go of.
func (l *Log) TruncateFront(upto uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault != nil {
		return l.fault
	}
	if upto+1 > l.index.first {
		l.index.release(int(min(upto+1-l.index.first, uint64(l.index.count))))
	}
	keep := l.segments[len(l.segments)-1].sequence
	if l.index.count > 0 {
		keep = l.index.find(l.index.first).seg
	}
	gone := 0
	for l.segments[gone].sequence < keep {
		if err := l.fs.Remove(l.segments[gone].name); err != nil {
			return l.fail(err)
		}
		l.segments[gone].file.Close()
		gone++
	}
	if gone == 0 {
		return nil
	}
	l.segments = append([]*segment{}, l.segments[gone:]...)
	if err := l.fs.Sync(); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) failLocked(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fail(err)
}

func (l *Log) fail(err error) error {
	l.fault = fmt.Errorf("%w: %w", ErrBroken, err)
	return l.fault
}

// Close lets the folder go. Nothing has to be written at a close.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unlock == nil {
		return nil
	}
	if l.fault == nil {
		l.fault = errors.New("the log is closed")
	}
	for _, s := range l.segments {
		s.file.Close()
	}
	l.unlock()
	l.unlock = nil
	return nil
}
