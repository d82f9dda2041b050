package resultstore

import (
	"errors"
	"fmt"
	"time"

	"umberwinch/internal/wal"
)

// bootMark is the kind of the mark that holds the identifier of the boot whose clock the records use.
const bootMark = 0

// Recovery is the outcome of opening a folder.
type Recovery struct {
	Records       int
	Keys          int
	Indeterminate int           // keys that may have run
	SameBoot      bool          // the records have times of the current boot's clock
	TornTail      string        // file and offset of a torn tail that was truncated; empty if there was none
	Duration      time.Duration // of opening and replaying the log
	Gaps          int           // unreadable places of a damaged log that was salvaged
}

// Open opens or creates the store of a folder and replays its log. now and bootID are those of BootClock; times of a
// folder with another bootID are moved to the current clock. A damaged log is salvaged.
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

// load opens the log of a folder and replays it into an index.
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

// replayLog replays all records of a log and returns their number.
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
