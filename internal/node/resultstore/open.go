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
	log, index, recovery, err := openOrSalvage(fs, sizes, limits, now, bootID)
	if err != nil {
		return nil, nil, recovery, err
	}
	if !recovery.SameBoot {
		clockChange := Record{Kind: ClockChange, At: now}
		if _, err = log.Commit(wal.Batch{Entries: [][]byte{clockChange.Append(nil)},
			Marks: []wal.Mark{{Kind: bootMark, Data: []byte(bootID)}}}); err != nil {
			return nil, nil, recovery, errors.Join(err, log.Close())
		}
	}
	return newStore(fs, sizes, bootID, log), index, recovery, nil
}

// load reads a folder's log into an index.
func load(fs wal.FS, sizes wal.Sizes, limits Limits, now Milliseconds, bootID string) (*wal.Log, *Index, Recovery,
	error) {
	var recovery Recovery
	if err := limits.Validate(); err != nil {
		return nil, nil, recovery, err
	}
	start := time.Now()
	if unfinished, err := wal.SalvageStarted(fs); err != nil || unfinished {
		return nil, nil, recovery, errors.Join(err, ErrSalvageUnfinished)
	}
	log, repair, err := wal.Open(fs, sizes)
	if err != nil {
		return nil, nil, recovery, err
	}
	recovery.SameBoot, recovery.TornTail = string(log.Mark(bootMark)) == bootID, repair.TornAt
	index := NewIndex(limits)
	if recovery.Records, err = index.replayLog(log); err != nil {
		return nil, nil, recovery, errors.Join(err, log.Close())
	}
	index.FinishReplay(now, recovery.SameBoot)
	index.ForEach(now, func(_ Key, state State, _ Milliseconds) {
		if recovery.Keys++; state == Indeterminate {
			recovery.Indeterminate++
		}
	})
	recovery.Duration = time.Since(start)
	return log, index, recovery, nil
}

// replayLog takes all records of a log, and counts them.
func (x *Index) replayLog(log *wal.Log) (records int, err error) {
	err = log.ForEach(func(position uint64, data []byte) error {
		r, err := ParseRecord(data)
		if err == nil {
			records++
			err = x.Replay(&r, position)
		}
		if err != nil {
			return fmt.Errorf("entry %d: %w", position, err)
		}
		return nil
	})
	return records, err
}
