package resultstore

import (
	"errors"
	"fmt"
	"sync"

	"umberwinch/internal/wal"
)

// Limits of the write queue.
const (
	// maxQueue is the maximum number of records that wait for the disk. Beyond it Append fails and the request is
	// rejected, instead of waiting longer than its caller does.
	maxQueue = 4096
	// maxBatch is the maximum number of records per sync.
	maxBatch = 1024
)

// Store appends records to a log and reads results from it. Waiting records share a sync. The writer goroutine ends
// with Close.
type Store struct {
	// SyncEachRecord disables the sharing of syncs, for measurements. It must be set before the first Append.
	SyncEachRecord bool
	// BeforeWrite is called before each write, for fault tests; may be nil. It must be set before the first Append.
	BeforeWrite func()

	fs     wal.FS
	sizes  wal.Sizes
	bootID []byte

	mu         sync.Mutex // guards log, writeError and closed
	log        *wal.Log   // replaced by reopen
	writeError error      // of the failed log, nil once it was reopened
	closed     bool

	// reopening is held while the log is closed and opened again; ReadResult and ReleaseBefore wait for it.
	reopening  sync.RWMutex
	queue      chan pendingWrite
	writerDone chan struct{}
	reopenTask sync.WaitGroup // counts running calls of reopen
}

// pendingWrite is a record that waits for the disk.
type pendingWrite struct {
	record Record
	done   func(position uint64, err error)
}

// newStore returns the store of an open log and starts its writer.
func newStore(fs wal.FS, sizes wal.Sizes, bootID string, log *wal.Log) *Store {
	s := &Store{fs: fs, sizes: sizes, bootID: []byte(bootID), log: log, queue: make(chan pendingWrite, maxQueue),
		writerDone: make(chan struct{})}
	go s.writeLoop()
	return s
}

// Append queues a record without waiting for the disk. It returns false if maxQueue records wait already or the store
// is closed. Otherwise done is called once, on the writer goroutine: with the position of the durable record, or with
// an error, after which the record may or may not be on disk.
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

// writeLoop writes the queued records until the queue is closed.
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

// fillBatch adds the records that are already queued, up to maxBatch.
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

// commit writes a batch and returns the position of its first record. After an error other than wal.ErrFull, nothing is
// written until reopen has opened the log again, as the content of the disk is unknown.
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

// Err returns why the store can't write at present, or nil if it can.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeError
}

// ReadResult reads the result at a position from disk. Errors are those of the log or wrap ErrMalformedRecord or
// ErrNotResult.
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
		return nil, fmt.Errorf("%w: entry %d: found kind %s, expected result", ErrNotResult, position, r.Kind)
	}
	return r.Result, nil
}

// ReleaseBefore deletes the records before a position, in whole segments. It waits for the disk.
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

// NextPosition returns the lowest possible position of the next record.
func (s *Store) NextPosition() uint64 { return s.current().Next() }

// DiskUsage returns the size of the log on disk, in bytes.
func (s *Store) DiskUsage() int64 { return s.current().DiskBytes() }

// current returns the open log, or the failed one until it is reopened.
func (s *Store) current() *wal.Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log
}

// Close writes the queued records and closes the log.
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
