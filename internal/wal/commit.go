package wal

import "fmt"

// pendingCommit is a call of Commit that waits for its flush.
type pendingCommit struct {
	batch Batch
	first uint64    // result: number of the first entry
	err   error     // result
	done  chan bool // true: the results are set; false: this call has to flush the queue
}

// Commit writes a batch and returns the number of its first entry once the batch is durable. Calls that arrive during a
// sync share the next one. Errors are ErrFull, ErrBroken, errClosed, *EntryTooLargeError and *InvalidMarkError.
func (l *Log) Commit(b Batch) (uint64, error) {
	for _, e := range b.Entries {
		if len(e) > MaxRecordBytes {
			return 0, &EntryTooLargeError{len(e)}
		}
	}
	for _, m := range b.Marks {
		if len(m.Data) > MaxRecordBytes || m.Kind < 0 || m.Kind >= MaxMarkKinds {
			return 0, &InvalidMarkError{m.Kind, len(m.Data)}
		}
	}
	c := &pendingCommit{batch: b}
	l.mu.Lock()
	l.queue = append(l.queue, c)
	if l.writing {
		c.done = make(chan bool, 1)
		l.mu.Unlock()
		if <-c.done {
			return c.first, c.err
		}
		l.mu.Lock()
	}
	l.writing = true
	commits := l.queue
	l.queue = nil
	l.flush(commits)
	if len(l.queue) > 0 {
		l.queue[0].done <- false // passes the flushing on, so that no call serves others without end
	} else {
		l.writing = false
	}
	l.mu.Unlock()
	for _, other := range commits {
		if other != c {
			other.done <- true
		}
	}
	return c.first, c.err
}

// flush writes the batches of several calls with one write and one sync, and sets their results. The caller holds mu,
// which is released during disk access; l.writing excludes other writers.
func (l *Log) flush(commits []*pendingCommit) {
	if err := l.writeBatches(commits); err != nil {
		for _, c := range commits {
			c.first, c.err = 0, err
		}
	}
}

// writeBatches is flush without setting the results on an error.
func (l *Log) writeBatches(commits []*pendingCommit) error {
	if l.fault != nil {
		return l.fault
	}
	need := int64(0)
	for _, c := range commits {
		need += batchBytes(c.batch)
	}
	if used := l.diskBytes(); used+need > l.sizes.MaxBytes {
		return fmt.Errorf("%w: %d bytes and %d more, expected at most %d", ErrFull, used, need, l.sizes.MaxBytes)
	}
	segment, isNew, err := l.segmentFor(need)
	if err != nil {
		return err
	}
	w := l.newRecordWriter(segment)
	if isNew { // each segment repeats all marks, so that older segments can be removed
		w.appendMarks(l.marks[:])
	}
	for _, c := range commits {
		c.first, c.err = w.appendBatch(c.batch), nil
	}
	if w.lastRecord < 0 {
		return nil // all batches are empty
	}
	w.finishFlush()
	if err = l.writeRecords(segment, w); err != nil {
		return err
	}
	for _, c := range commits {
		l.applyBatch(c.batch, w)
	}
	return nil
}

// segmentFor returns the segment to write to: the newest, or a new one if the newest would exceed the segment size.
func (l *Log) segmentFor(need int64) (s *segment, isNew bool, err error) {
	newest := l.segments[len(l.segments)-1]
	if newest.size <= segmentHeaderBytes || newest.size+need <= l.sizes.SegmentBytes {
		return newest, false, nil
	}
	next, checksum := l.index.next(), l.checksum
	l.mu.Unlock()
	created, err := createSegment(l.fs, newest.sequence+1, next, checksum)
	l.mu.Lock()
	if err != nil {
		l.fault = fmt.Errorf("%w: create segment %d: %w", ErrBroken, newest.sequence+1, err)
		return nil, false, l.fault
	}
	l.segments = append(l.segments, created)
	return created, true, nil
}

// maxSpareBuffer is the maximum size of the write buffer that is kept for the next flush, in bytes, so that one large
// document does not occupy memory for good.
const maxSpareBuffer = 1 << 20

func (l *Log) newRecordWriter(s *segment) *recordWriter {
	return &recordWriter{
		buf:        l.buf[:0],
		checksum:   l.checksum,
		segment:    s.sequence,
		offset:     s.size,
		next:       l.index.next(),
		lastRecord: -1,
	}
}

// writeRecords writes and syncs records. It releases mu during disk access.
func (l *Log) writeRecords(s *segment, w *recordWriter) error {
	l.mu.Unlock()
	_, err := s.file.WriteAt(w.buf, s.size)
	if err == nil {
		err = s.file.Sync()
	}
	l.mu.Lock()
	if err != nil {
		l.fault = fmt.Errorf("%w: %s: %w", ErrBroken, s.name, err)
		return l.fault
	}
	l.flushes++
	s.size += int64(len(w.buf))
	l.checksum = w.checksum
	if l.buf = w.buf; cap(l.buf) > maxSpareBuffer {
		l.buf = nil
	}
	return nil
}

// applyBatch applies a durable batch to the index and the marks.
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
