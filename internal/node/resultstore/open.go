package resultstore

import (
	"errors"
	"fmt"
	"time"

	"umberwinch/internal/wal"
)

// bootMark is the log's mark that names the boot whose clock the records' times are of.
const bootMark = 0

// Recovery tells what a start found.
type Recovery struct {
	Records       int
	Keys          int
	Indeterminate int           // keys that may have run
	SameBoot      bool          // the clock goes on from the records' one
	TornTail      string        // what was cut off the end, as it was never synced; empty: nothing
	Duration      time.Duration // that reading took
	Gaps          int           // places of a damaged log that can't be read; the rest was written anew
}

// Open reads a folder, or begins one, and starts its store. now is a time of the boot clock, bootID names the boot:
// where the folder has another, the times in it mean nothing here. A damaged log is salvaged. It waits for the disk.
func Open(fs wal.FS, sizes wal.Sizes, limits Limits, now Milliseconds, bootID string) (*Store, *Index, Recovery,
	error) {
	log, index, found, err := openOrSalvage(fs, sizes, limits, now, bootID)
	if err != nil {
		return nil, nil, found, err
	}
	if !found.SameBoot {
		first := Record{Kind: ClockChange, At: now}
		if _, err = log.Commit(wal.Batch{Entries: [][]byte{first.Append(nil)},
			Marks: []wal.Mark{{Kind: bootMark, Data: []byte(bootID)}}}); err != nil {
			return nil, nil, found, errors.Join(err, log.Close())
		}
	}
	return newStore(fs, sizes, bootID, log), index, found, nil
}

// load reads a folder's log into an index.
func load(fs wal.FS, sizes wal.Sizes, limits Limits, now Milliseconds, bootID string) (*wal.Log, *Index, Recovery,
	error) {
	var found Recovery
	if err := limits.Validate(); err != nil {
		return nil, nil, found, err
	}
	began := time.Now()
	if unfinished, err := wal.SalvageStarted(fs); err != nil || unfinished {
		return nil, nil, found, errors.Join(err, ErrSalvageUnfinished)
	}
	log, opened, err := wal.Open(fs, sizes)
	if err != nil {
		return nil, nil, found, err
	}
	found.SameBoot, found.TornTail = string(log.Mark(bootMark)) == bootID, opened.TornAt
	index := NewIndex(limits)
	if found.Records, err = index.replayLog(log); err != nil {
		return nil, nil, found, errors.Join(err, log.Close())
	}
	index.FinishReplay(now, found.SameBoot)
	index.ForEach(now, func(_ Key, state State, _ Milliseconds) {
		if found.Keys++; state == Indeterminate {
			found.Indeterminate++
		}
	})
	found.Duration = time.Since(began)
	return log, index, found, nil
}

// replayLog takes all records of a log, and counts them.
func (b *Index) replayLog(log *wal.Log) (records int, err error) {
	err = log.ForEach(func(position uint64, data []byte) error {
		r, err := ParseRecord(data)
		if err == nil {
			records++
			err = b.Replay(&r, position)
		}
		if err != nil {
			return fmt.Errorf("entry %d: %w", position, err)
		}
		return nil
	})
	return records, err
}
