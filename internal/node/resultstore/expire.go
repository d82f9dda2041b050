package resultstore

// slotsPerExpire is how many slots of the table one Expire looks at: some microseconds, so that the loop that serves
// requests is never held up by a large index.
const slotsPerExpire = 512

// expiryPass is where a pass over the table stands.
type expiryPass struct {
	slot        int
	slots       int    // of the table as the pass began
	firstNeeded uint64 // the first position that a key needs, as far as the pass has come
}

// ExpireSteps is how many calls of Expire go through all keys once.
func (x *Index) ExpireSteps() int { return (len(x.table.slots) + slotsPerExpire - 1) / slotsPerExpire }

// Expire removes some keys whose window is over. Once it has gone through all keys it gives the first position of the
// log that is still needed, else 0. next is the position that the log's next record gets. It is called often and does
// little.
func (x *Index) Expire(now Milliseconds, next uint64) (removed int, firstNeeded uint64) {
	p := &x.pass
	if p.slot == 0 || p.slots != len(x.table.slots) { // a table that grew has its keys elsewhere: the pass begins anew
		*p = expiryPass{slots: len(x.table.slots), firstNeeded: next} // records from here on stand behind that
		x.table.minMovedPosition = notInLog
	}
	for end := min(p.slot+slotsPerExpire, p.slots); p.slot < end; p.slot++ {
		removed += x.expireSlot(now)
	}
	if p.slot < p.slots {
		return removed, 0
	}
	p.slot = 0
	if now < x.lossSuspicionEnd {
		p.firstNeeded = min(p.firstNeeded, x.lossPosition)
	}
	// Guards against a key that moved behind the pass as others were removed, and that the pass has not seen: its
	// result would be deleted inside its window. The table keeps the least position of those that moved.
	return removed, min(p.firstNeeded, x.table.minMovedPosition)
}

// expireSlot removes what is over at the slot of the pass, and notes the position that a key there needs.
func (x *Index) expireSlot(now Milliseconds) (removed int) {
	e := &x.table.slots[x.pass.slot]
	for e.state != Unknown {
		if x.isLive(now, e) {
			x.pass.firstNeeded = min(x.pass.firstNeeded, e.position)
			return removed
		}
		x.remove(e) // another key may move into the slot
		removed++
	}
	return removed
}
