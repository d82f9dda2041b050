package admission

// timerWheel holds requests by the time of their next review, in buckets of one step. A time beyond the range of the
// wheel goes into its last bucket and is rescheduled from there.
type timerWheel struct {
	step         Time
	bucketNumber int64   // number of the current bucket, counted from time 0
	heads        []index // first request of each bucket
}

func newTimerWheel(buckets int, step, now Time) timerWheel {
	w := timerWheel{step: step, bucketNumber: int64(now / step), heads: make([]index, buckets)}
	for i := range w.heads {
		w.heads[i] = none
	}
	return w
}

// schedule sets the time of the next review of i, in place of an earlier one.
func (w *timerWheel) schedule(t *requestTable, i index, at Time) {
	w.cancel(t, i)
	slot := max(int64((at+w.step-1)/w.step), w.bucketNumber+1)
	slot = min(slot, w.bucketNumber+int64(len(w.heads))-1)
	r := &t.at[i]
	r.bucket = int32(slot % int64(len(w.heads)))
	r.timerLink = link{none, w.heads[r.bucket]}
	if r.timerLink.next != none {
		t.at[r.timerLink.next].timerLink.prev = i
	}
	w.heads[r.bucket] = i
}

func (w *timerWheel) cancel(t *requestTable, i index) {
	r := &t.at[i]
	if r.bucket == unscheduled {
		return
	}
	if r.timerLink.prev == none {
		w.heads[r.bucket] = r.timerLink.next
	} else {
		t.at[r.timerLink.prev].timerLink.next = r.timerLink.next
	}
	if r.timerLink.next != none {
		t.at[r.timerLink.next].timerLink.prev = r.timerLink.prev
	}
	r.bucket = unscheduled
}

// expired removes and returns one request whose time has come, or none.
func (w *timerWheel) expired(t *requestTable, now Time) index {
	for w.bucketNumber <= int64(now/w.step) {
		k := w.bucketNumber % int64(len(w.heads))
		if i := w.heads[k]; i != none {
			w.cancel(t, i)
			return i
		}
		if w.bucketNumber == int64(now/w.step) {
			break
		}
		w.bucketNumber++
	}
	return none
}
