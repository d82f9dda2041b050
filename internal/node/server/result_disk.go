package server

import (
	"umberwinch/internal/logging"
	"umberwinch/internal/node/resultstore"
)

const (
	// sweepsPerPass is the number of sweeps over which all keys are checked for expiry, to keep each sweep short.
	sweepsPerPass = 40
	// maxExpireSteps bounds the steps of one sweep, which holds up the loop.
	maxExpireSteps = 128
)

// write queues a record for the disk, and calls done on the loop once the record is durable or lost. It returns false
// if the queue is full. After a failed write new keys are rejected for fullBackoff, whatever the cause. See row "write
// or sync of kept results: any" in docs/design/failures.md.
func (k *resultKeeper) write(record resultstore.Record, done func(err error)) bool {
	ok := k.store.Append(record, func(position uint64, err error) {
		k.host.runOnLoop(func() {
			k.pendingSince = k.pendingSince[1:]
			if err == nil {
				k.nextPosition = max(k.nextPosition, position+1)
				k.index.MarkDurable(&record, position)
			} else {
				k.counts.lost++
				k.index.MarkLost(&record)
				k.fullSince = k.host.currentTime()
			}
			k.updateMode()
			done(err)
		})
	})
	if ok {
		k.pendingSince = append(k.pendingSince, k.host.currentTime())
	} else {
		k.counts.lost++
		k.index.MarkLost(&record)
	}
	return ok
}

// sweep updates the mode and removes some expired keys. At the end of a pass it deletes their records.
func (k *resultKeeper) sweep() {
	if k == nil {
		return
	}
	k.updateMode()
	if k.index == nil {
		return
	}
	for range min(maxExpireSteps, max(1, k.index.ExpireSteps()/sweepsPerPass)) {
		if _, firstNeeded := k.index.Expire(k.clock(), k.nextPosition); firstNeeded > 0 {
			k.release(firstNeeded)
			return
		}
	}
}

// release deletes the records before a position in a goroutine that ends with the deletion. It does nothing while
// another deletion is in progress.
func (k *resultKeeper) release(firstNeeded uint64) {
	if k.releasing {
		return
	}
	k.releasing = true
	store := k.store
	go func() {
		err := store.ReleaseBefore(firstNeeded)
		k.host.runOnLoop(func() {
			k.releasing = false
			if err == nil {
				return
			}
			if log := k.host.limitLog(); log != nil {
				log.WithField(logging.Error, err).Info(logResultsNotReleased)
			}
		})
	}()
}
