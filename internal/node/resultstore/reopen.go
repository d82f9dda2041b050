package resultstore

import (
	"errors"
	"time"

	"umberwinch/internal/wal"
)

// reopenInterval is how often a disk that failed is tried: soon enough that a node serves keyed requests again within a
// caller's retries, seldom enough to be no load on a disk in trouble.
const reopenInterval = time.Second

// probeFile is written and removed to see whether the disk works. A log's start removes files with such an end.
const probeFile = "probe.tmp"

// probeBytes is as much as a small batch has.
const probeBytes = 4096

// reopen tries until the disk works again or the store is closed. What was handed over meanwhile has failed. The log
// that failed stays open for readers until something else could be written, so that known keys get their results. No
// lock that Append needs is held while the disk works.
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

// replaceLog opens the log anew, and tells whether that worked.
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

// reopenLog closes a log and opens it again; nil: that did not work.
func (s *Store) reopenLog(failed *wal.Log) *wal.Log {
	failed.Close() // its disk has failed: what was durable is read anew
	log, _, err := wal.Open(s.fs, s.sizes)
	if err != nil {
		return nil
	}
	if _, err = log.Commit(wal.Batch{Marks: []wal.Mark{{Kind: bootMark, Data: s.bootID}}}); err != nil {
		log.Close() // nothing was written that counts
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
