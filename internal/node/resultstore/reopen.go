package resultstore

import (
	"errors"
	"time"

	"umberwinch/internal/wal"
)

// reopenInterval is the interval between attempts to reopen a failed log.
const reopenInterval = time.Second

// probeFile is written and removed to test the disk. wal.Open removes files with its suffix.
const probeFile = "probe.tmp"

// probeBytes is the size of probeFile.
const probeBytes = 4096

// reopen retries until the log is open again or the store is closed; records queued meanwhile get an error. The failed
// log stays open for reads until the disk accepts a write, so that completed keys still get their results. Append is
// never blocked.
func (s *Store) reopen(failed *wal.Log) {
	defer s.reopenTask.Done()
	for {
		select {
		case <-s.writerDone:
			return
		case <-time.After(reopenInterval):
		}
		if s.probeDisk() == nil && s.replaceLog(failed) {
			return
		}
	}
}

// replaceLog reopens the log and reports whether that succeeded.
func (s *Store) replaceLog(failed *wal.Log) bool {
	s.reopening.Lock()
	defer s.reopening.Unlock()
	log := s.reopenLog(failed)
	if log == nil {
		return false
	}
	s.mu.Lock()
	s.log, s.writeError = log, nil
	s.mu.Unlock()
	return true
}

// reopenLog closes a failed log and opens its folder again; nil means that it failed.
func (s *Store) reopenLog(failed *wal.Log) *wal.Log {
	failed.Close() // the error does not matter: all durable records are read again
	log, _, err := wal.Open(s.fs, s.sizes)
	if err != nil {
		return nil
	}
	if _, err = log.Commit(wal.Batch{Marks: []wal.Mark{{Kind: bootMark, Data: s.bootID}}}); err != nil {
		log.Close() // the error does not matter: nothing was written
		return nil
	}
	return log
}

// probeDisk writes, syncs and removes a small file.
func (s *Store) probeDisk() error {
	f, err := s.fs.Create(probeFile)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(make([]byte, probeBytes), 0)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close(), s.fs.Remove(probeFile))
}
