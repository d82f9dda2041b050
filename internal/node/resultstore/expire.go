package resultstore

// slotsPerExpire is the number of slots that one Expire visits, so that a large index does not block the loop that
// serves requests.
const slotsPerExpire = 512

// expiryPass is the progress of a pass of Expire over the table.
type expiryPass struct {
	slot        int    // next slot to visit
	slots       int    // size of the table at the start of the pass
	firstNeeded uint64 // lowest position that the visited keys need
}

// ExpireSteps returns the number of calls of Expire that make up one pass over all keys.
func (x *Index) ExpireSteps() int { return (len(x.table.slots) + slotsPerExpire - 1) / slotsPerExpire }

// Expire visits the next slotsPerExpire slots and removes keys whose window is over. At the end of a pass over all keys
// it returns the first log position that is still needed, otherwise 0. next is the position of the log's next record.
func (x *Index) Expire(now Milliseconds, next uint64) (removed int, firstNeeded uint64) {
	p := &x.pass
	if p.slot == 0 || p.slots != len(x.table.slots) { // growing moves all keys: restart the pass
		*p = expiryPass{slots: len(x.table.slots), firstNeeded: next} // later records have higher positions
		x.table.minMovedPosition = notInLog
	}
	for end := min(p.slot+slotsPerExpire, p.slots); p.slot < end; p.slot++ {
		removed += x.expireSlot(now)
	}
	if p.slot < p.slots {
		return removed, 0
	}
	p.slot = 0
	if now < x.damageUntil {
		p.firstNeeded = min(p.firstNeeded, x.damagePosition)
	}
	// A removal may shift a key to a slot that the pass has visited already. Without minMovedPosition, its result would
	// be deleted inside its window.
	return removed, min(p.firstNeeded, x.table.minMovedPosition)
}

// expireSlot removes expired keys from the current slot and updates firstNeeded for a live one.
func (x *Index) expireSlot(now Milliseconds) (removed int) {
	e := &x.table.slots[x.pass.slot]
	for e.state != Unknown {
		if x.isLive(now, e) {
			x.pass.firstNeeded = min(x.pass.firstNeeded, e.position)
			return removed
		}
		x.remove(e) // may shift another key into the slot
		removed++
	}
	return removed
}
