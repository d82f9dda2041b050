package resultstore

import "fmt"

// purgeFactor sets the purges of expired keys during replay: one each time that purgeFactor*Limits.Keys keys were
// added, as a log may hold more keys than were ever live at one time.
const purgeFactor = 2

// Replay applies the next record of the log; FinishReplay must follow the last one. Errors wrap ErrBodyMismatch.
func (x *Index) Replay(r *Record, position uint64) error {
	if r.Kind == ClockChange {
		x.rebaseClock(r.At)
		return nil
	}
	x.lastRecordAt = max(x.lastRecordAt, r.At)
	if r.Kind == Damage {
		x.damageUntil, x.damagePosition = r.At+r.Window, position
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

// insertReplayed adds a key, after a purge of expired keys if there are many.
func (x *Index) insertReplayed(k Key, position uint64) *entry {
	if x.table.count >= purgeFactor*x.limits.Keys+x.keysAfterPurge {
		x.purgeExpired()
		x.keysAfterPurge = x.table.count
	}
	e := x.table.insert(k)
	*e = entry{key: k, position: position}
	return e
}

// replayInto applies a record to its key.
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

// FinishReplay ends the replay. If the records are of another boot's clock, the downtime is unknown and counts as zero:
// no window ends too early, and each ends at most one window after the restart.
func (x *Index) FinishReplay(now Milliseconds, sameBoot bool) {
	if sameBoot {
		x.lastRecordAt = max(x.lastRecordAt, now)
		x.purgeExpired()
	} else {
		x.rebaseClock(now)
	}
}

// rebaseClock moves all windows from the clock of one boot to that of the next, which starts at now.
func (x *Index) rebaseClock(now Milliseconds) {
	x.purgeExpired()
	for i := range x.table.slots {
		if e := &x.table.slots[i]; e.state != Unknown {
			e.expiresAt = now + (e.expiresAt - x.lastRecordAt)
		}
	}
	if x.damageUntil > 0 {
		x.damageUntil = now + max(x.damageUntil, x.lastRecordAt) - x.lastRecordAt
	}
	x.lastRecordAt = now
}

// purgeExpired removes the keys whose window was over at lastRecordAt.
func (x *Index) purgeExpired() {
	for i := range x.table.slots {
		e := &x.table.slots[i]
		for e.state != Unknown && e.expiresAt <= x.lastRecordAt {
			x.remove(e) // may shift another key into the slot
		}
	}
}

// KeysMayBeLost reports whether the records of an unknown key may be lost to damage, for the longest window after a
// salvage. Retries of unknown keys must then get an error, as their first attempt may have run.
func (x *Index) KeysMayBeLost(now Milliseconds) bool { return now < x.damageUntil }
