package resultstore

import (
	"errors"

	"umberwinch/internal/wal"
)

// Inspect opens a folder that no node uses, as a start would, and closes it. It returns the index and the size on disk
// in bytes. It changes the folder only as wal.Open does.
func Inspect(fs wal.FS, sizes wal.Sizes, limits Limits, now Milliseconds, bootID string) (*Index, Recovery, int64,
	error) {
	log, index, recovery, err := load(fs, sizes, limits, now, bootID)
	if err != nil {
		return nil, recovery, 0, err
	}
	usage := log.DiskBytes()
	return index, recovery, usage, log.Close()
}

// Compact deletes expired records, in whole segments from the front, from a folder that no node uses. It returns the
// size on disk before and after, in bytes.
func Compact(fs wal.FS, sizes wal.Sizes, limits Limits, now Milliseconds, bootID string) (before, after int64,
	err error) {
	log, index, recovery, err := load(fs, sizes, limits, now, bootID)
	if err != nil {
		return 0, 0, err
	}
	before = log.DiskBytes()
	if recovery.SameBoot { // otherwise the time since the last record is unknown, and no window is over
		firstNeeded := uint64(0)
		for firstNeeded == 0 {
			_, firstNeeded = index.Expire(now, log.Next())
		}
		if firstNeeded > log.First() {
			err = log.TruncateFront(min(firstNeeded, log.Next()) - 1)
		}
	}
	after = log.DiskBytes()
	return before, after, errors.Join(err, log.Close())
}
