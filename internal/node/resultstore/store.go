package resultstore

import (
	"errors"
	"fmt"
	"sync"

	"umberwinch/internal/wal"
)

// Bounds of what waits for the disk.
const (
	// maxQueue is how many records may wait. Past it Append refuses, and the request is rejected: more would wait for
	// longer than callers do, and hold memory for it.
	maxQueue = 4096
	// maxBatch is how many records go out with one sync: enough that a sync costs each little, few enough that the
	// first does not wait for long.
	maxBatch = 1024
)

// Store carries records to a log and back. Records that wait go out with one sync. Append never waits for the disk;
// its done hears once the record is durable, or that nobody knows whether it is. The writer's goroutine ends with
// Close.
type Store struct {
	// SyncEachRecord gives each record a sync of its own, for measurements. To be set before the first Append.
	SyncEachRecord bool
	// BeforeWrite is called before each write, for fault tests; nil: nothing is. To be set before the first Append.
	BeforeWrite func()

	fs     wal.FS
	sizes  wal.Sizes
	bootID []byte

	mu         sync.Mutex // guards log, writeError and closed
	log        *wal.Log   // replaced by a reopening
	writeError error      // why nothing can be written at present
	closed     bool

	// reopening is held while one log is closed and the next opened; readers of the log and those who release positions
	// wait for that.
	reopening  sync.RWMutex
	queue      chan pendingWrite
	writerDone chan struct{}
	reopenTask sync.WaitGroup // a reopening
}

// pendingWrite is a record that waits for the disk.
type pendingWrite struct {
	record Record
	done   func(position uint64, err error)
}

// newStore starts the writer of an open log.
func newStore(fs wal.FS, sizes wal.Sizes, bootID string, log *wal.Log) *Store {
	s := &Store{fs: fs, sizes: sizes, bootID: []byte(bootID), log: log, queue: make(chan pendingWrite, maxQueue),
		writerDone: make(chan struct{})}
	go s.writeLoop()
	return s
}

// Append hands a record over; false: maxQueue records wait already, or the store is closed. done is called once, on
// the store's goroutine, with the record's position once it is durable; with an error it may be on disk or not.
func (s *Store) Append(r Record, done func(position uint64, err error)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	select {
	case s.queue <- pendingWrite{r, done}:
		return true
	default:
		return false
	}
}

// writeLoop writes what is handed over, until the queue is closed.
func (s *Store) writeLoop() {
	defer close(s.writerDone)
	var batch []pendingWrite
	for first := range s.queue {
		batch = s.fillBatch(append(batch[:0], first))
		b := wal.Batch{Entries: make([][]byte, len(batch))}
		for i := range batch {
			b.Entries[i] = batch[i].record.Append(nil)
		}
		if s.BeforeWrite != nil {
			s.BeforeWrite()
		}
		position, err := s.commit(b)
		for i := range batch {
			batch[i].done(position+uint64(i), err)
		}
	}
}

// fillBatch adds the records that wait already, up to maxBatch.
func (s *Store) fillBatch(batch []pendingWrite) []pendingWrite {
	for len(batch) < maxBatch && !s.SyncEachRecord {
		select {
		case next, open := <-s.queue:
			if !open {
				return batch
			}
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commit writes a batch and gives the position of its first record. After an error nothing more is written until the
// log was opened anew: what is in it is not known before. A full log is no such error, as what is there can be read
// on.
func (s *Store) commit(b wal.Batch) (uint64, error) {
	s.mu.Lock()
	log, writeError := s.log, s.writeError
	s.mu.Unlock()
	if writeError != nil {
		return 0, writeError
	}
	first, err := log.Commit(b)
	if err != nil && !errors.Is(err, wal.ErrFull) {
		s.mu.Lock()
		s.writeError = err
		s.mu.Unlock()
		s.reopenTask.Add(1)
		go s.reopen(log)
	}
	return first, err
}

// Err tells why nothing can be written at present; nil: it can.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeError
}

// ReadResult reads the result at a position; it waits for the disk. An error is the log's, or wraps
// ErrMalformedRecord or ErrNotResult.
func (s *Store) ReadResult(position uint64) ([]byte, error) {
	s.reopening.RLock()
	defer s.reopening.RUnlock()
	raw, err := s.current().Read(position)
	if err != nil {
		return nil, err
	}
	r, err := ParseRecord(raw)
	if err != nil {
		return nil, err
	}
	if r.Kind != Result {
		return nil, fmt.Errorf("%w: entry %d is an %s, expected a result", ErrNotResult, position, r.Kind)
	}
	return r.Result, nil
}

// ReleaseBefore deletes what comes before a position, whole segments at a time; it waits for the disk.
func (s *Store) ReleaseBefore(position uint64) error {
	s.reopening.RLock()
	defer s.reopening.RUnlock()
	if err := s.Err(); err != nil {
		return err
	}
	log := s.current()
	if position <= log.First() {
		return nil
	}
	return log.TruncateFront(min(position, log.Next()) - 1)
}

// NextPosition gives the position that the next record gets, at least.
func (s *Store) NextPosition() uint64 { return s.current().Next() }

// DiskUsage gives the bytes on disk.
func (s *Store) DiskUsage() int64 { return s.current().DiskBytes() }

// current is the open log, or the one that failed.
func (s *Store) current() *wal.Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log
}

// Close waits for what was handed over and closes the log; it waits for the disk.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	close(s.queue)
	s.mu.Unlock()
	<-s.writerDone
	s.reopenTask.Wait()
	return s.log.Close()
}
