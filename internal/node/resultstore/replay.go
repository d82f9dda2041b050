package resultstore

import "fmt"

// purgeFactor bounds the index while a log is replayed to so many times its keys: more keys may stand in a log than
// were ever known at one time. Each purge then removes at least as many keys as come before the next.
const purgeFactor = 2

// Replay takes a record of the log, in order; FinishReplay comes after the last. An error wraps ErrBodyMismatch.
func (x *Index) Replay(r *Record, position uint64) error {
	if r.Kind == ClockChange {
		x.rebaseClock(r.At)
		return nil
	}
	x.lastRecordAt = max(x.lastRecordAt, r.At)
	if r.Kind == Damage {
		x.lossSuspicionEnd, x.lossPosition = r.At+r.Window, position
		return nil
	}
	e := x.table.find(r.Key)
	if e != nil && e.bodyDigest != r.BodyDigest && r.Kind != Intent {
		return fmt.Errorf("%w: a %s of another body than its intent", ErrBodyMismatch, r.Kind)
	}
	if r.Kind == NotExecuted {
		if e != nil {
			x.remove(e)
		}
		return nil
	}
	if e == nil {
		e = x.insertReplayed(r.Key, position)
	}
	x.replayInto(e, r, position)
	return nil
}

// insertReplayed takes in a key of the log, and purges expired ones where there are many.
func (x *Index) insertReplayed(k Key, position uint64) *entry {
	if x.table.count >= purgeFactor*x.limits.Keys+x.keysAfterPurge {
		x.purgeExpired()
		x.keysAfterPurge = x.table.count
	}
	e := x.table.insert(k)
	*e = entry{key: k, position: position}
	return e
}

// replayInto brings a key up to a record of it.
func (x *Index) replayInto(e *entry, r *Record, position uint64) {
	size := r.sizeOnDisk()
	x.usedBytes += size
	e.addRecordBytes(size)
	e.bodyDigest, e.window, e.expiresAt = r.BodyDigest, uint32(min(r.Window, maxWindow)), r.At+r.Window
	switch r.Kind {
	case Intent:
		e.state, e.position = Indeterminate, position
	case Result:
		e.state, e.position = Completed, position
	case Failure:
		e.state = Failed
	}
}

// FinishReplay ends the replay. sameBoot tells that the clock goes on from the last record's. Else nobody knows for
// how long the node was down, and windows go on from that record on, as if it had been no time: none is over too
// early, and each is over one window after the restart at most.
func (x *Index) FinishReplay(now Milliseconds, sameBoot bool) {
	if sameBoot {
		x.lastRecordAt = max(x.lastRecordAt, now)
		x.purgeExpired()
	} else {
		x.rebaseClock(now)
	}
}

// rebaseClock moves all windows from the clock of one boot to that of the next, which reads now.
func (x *Index) rebaseClock(now Milliseconds) {
	x.purgeExpired()
	for i := range x.table.slots {
		if e := &x.table.slots[i]; e.state != Unknown {
			e.expiresAt = now + (e.expiresAt - x.lastRecordAt)
		}
	}
	if x.lossSuspicionEnd > 0 {
		x.lossSuspicionEnd = now + max(x.lossSuspicionEnd, x.lastRecordAt) - x.lastRecordAt
	}
	x.lastRecordAt = now
}

// purgeExpired removes keys whose window is over as of the last record.
func (x *Index) purgeExpired() {
	for i := range x.table.slots {
		e := &x.table.slots[i]
		for e.state != Unknown && e.expiresAt <= x.lastRecordAt {
			x.remove(e) // another key may move into the slot
		}
	}
}

// KeysMayBeLost decides whether a retry of a key that is not known gets an error: after damage the intent of its
// first attempt may be what can't be read, and running it could do its work twice. It acts for the longest window
// from the damage on, and costs such retries their run; first attempts run, as no earlier one can have been read.
func (x *Index) KeysMayBeLost(now Milliseconds) bool { return now < x.lossSuspicionEnd }
