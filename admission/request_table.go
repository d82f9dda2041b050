package admission

// index is the place of a request in the request table.
type index int32

// none is no request.
const none index = -1

// unscheduled is the wheel's bucket of a request that is in none.
const unscheduled int32 = -1

// record is what is known of one request, from its arrival until nothing of it is left.
type record struct {
	id            uint32
	class, tenant int32
	state         state
	isRetry       bool
	answered      bool // its client is owed nothing any more: answered, or gone; what still runs is only waited for
	executed      bool // a run of it was started, so its effect may stand
	failed        bool // it ended without a good response
	resultShared  bool // others take its response
	sizeKB        float64
	work          float64 // stated, or its class's usual
	arrivedAt     Time
	deadline      Time
	call          callState
	entry         entryState
	repeats       repeatState
	bucket        int32 // of the timer wheel
	queueLink     link  // in the admission queue or the queue of calls
	timerLink     link  // in the timer wheel
}

// callState is what is known of a request's calls to the services below.
type callState struct {
	queued   bool // it is in the queue of calls
	attempts uint8
	queuedAt Time
	elapsed  Time // in calls so far
}

// entryState is until when a request is known.
type entryState struct {
	expires       Time // when the idempotency table's entry does; 0: there is none
	recordExpires Time // until then at least the record is kept
}

// repeatState ties those together that wait for the same run.
type repeatState struct {
	original     index // whose run it waits for
	newestRepeat index // the newest of those that wait for its run
	link         link  // among those that wait for the same run
}

// requestTable keeps the records of all known requests and finds them by their ids.
type requestTable struct {
	at   []record
	free []index
	ids  map[uint32]index
}

func newRequestTable() requestTable { return requestTable{ids: make(map[uint32]index)} }

// find gives the index of a request, or none.
func (t *requestTable) find(id uint32) index {
	if i, ok := t.ids[id]; ok {
		return i
	}
	return none
}

// add makes an empty record for a request.
func (t *requestTable) add(id uint32) index {
	var i index
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		i = index(len(t.at))
		t.at = append(t.at, record{})
	}
	t.at[i] = record{id: id, bucket: unscheduled, repeats: repeatState{original: none, newestRepeat: none}}
	t.ids[id] = i
	return i
}

func (t *requestTable) remove(i index) {
	delete(t.ids, t.at[i].id)
	t.free = append(t.free, i)
}

// attachRepeat has i wait for the run of p, or of the one that p waits for.
func (t *requestTable) attachRepeat(i, p index) {
	if t.at[p].repeats.original != none {
		p = t.at[p].repeats.original
	}
	repeat, original := &t.at[i], &t.at[p]
	repeat.repeats.original, repeat.repeats.link = p, link{none, original.repeats.newestRepeat}
	if original.repeats.newestRepeat != none {
		t.at[original.repeats.newestRepeat].repeats.link.prev = i
	}
	original.repeats.newestRepeat = i
}

// detachRepeat takes i from those that wait for the same run.
func (t *requestTable) detachRepeat(i index) {
	repeat := &t.at[i]
	if repeat.repeats.original == none {
		return
	}
	place := repeat.repeats.link
	if place.prev == none {
		t.at[repeat.repeats.original].repeats.newestRepeat = place.next
	} else {
		t.at[place.prev].repeats.link.next = place.next
	}
	if place.next != none {
		t.at[place.next].repeats.link.prev = place.prev
	}
	repeat.repeats.original = none
}

// promoteRepeat makes the oldest of those that wait for i the one that the others wait for, and gives it, or none.
func (t *requestTable) promoteRepeat(i index) index {
	oldest := none
	for k := t.at[i].repeats.newestRepeat; k != none; k = t.at[k].repeats.link.next {
		oldest = k
	}
	if oldest == none {
		return none
	}
	t.detachRepeat(oldest)
	t.at[oldest].repeats.newestRepeat, t.at[i].repeats.newestRepeat = t.at[i].repeats.newestRepeat, none
	for k := t.at[oldest].repeats.newestRepeat; k != none; k = t.at[k].repeats.link.next {
		t.at[k].repeats.original = oldest
	}
	return oldest
}
