package server

import (
	"umberwinch/internal/logging"
	"umberwinch/internal/node/resultstore"
)

const (
	// sweepsPerPass has all keys looked at over so many sweeps of the loop, some seconds: expired results leave the
	// disk soon, and no sweep takes long.
	sweepsPerPass = 40
	// maxExpireSteps bounds the steps of one sweep, of some microseconds each.
	maxExpireSteps = 128
)

// write hands a record over, after which done hears whether it is durable; false: as many wait as may. A record that
// is lost has new keys rejected for a moment, whatever the cause. See row "write or sync of kept results: any" in
// docs/design/failures.md.
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

// sweep removes expired keys, a few at a time, and deletes their records once a pass is through. It looks after the
// mode too.
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

// release deletes the records before a position, off the loop, unless that goes on: its goroutine ends with that.
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
