package resultstore

import (
	"errors"

	"umberwinch/internal/wal"
)

// Inspect reads a folder that no node uses, as a start would, and closes it: what each key's state would be, and the
// bytes on disk. It changes nothing but a tail that was never synced, which is cut off.
func Inspect(fs wal.FS, sizes wal.Sizes, limits Limits, now Milliseconds, bootID string) (*Index, Recovery, int64,
	error) {
	log, index, recovery, err := load(fs, sizes, limits, now, bootID)
	if err != nil {
		return nil, recovery, 0, err
	}
	usage := log.DiskBytes()
	return index, recovery, usage, log.Close()
}

// Compact deletes what is over in a folder that no node uses, as a node does while it serves: whole segments, from the
// front. It gives the bytes on disk before and after.
func Compact(fs wal.FS, sizes wal.Sizes, limits Limits, now Milliseconds, bootID string) (before, after int64,
	err error) {
	log, index, recovery, err := load(fs, sizes, limits, now, bootID)
	if err != nil {
		return 0, 0, err
	}
	before = log.DiskBytes()
	if recovery.SameBoot { // in another boot each window has only just begun
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
