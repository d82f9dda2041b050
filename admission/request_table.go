package admission

// index is the position of a record in the request table.
type index int32

// none is the index of no record.
const none index = -1

// unscheduled is the bucket of a record that is not in the timer wheel.
const unscheduled int32 = -1

// requestRecord is the state of one request, from its arrival until the record expires.
type requestRecord struct {
	id            uint32
	class, tenant int32
	state         state
	isRetry       bool
	answered      bool // no response is due: answered, or client disconnected; a run may still be in progress
	executed      bool // a run was started, so it may have had effects
	failed        bool // ended without a good response
	resultShared  bool // other requests take its response
	sizeKB        float64
	work          float64 // expected work, stated or the default of its class
	arrivedAt     Time
	deadline      Time
	call          callState
	entry         entryState
	repeats       repeatState
	bucket        int32 // in the timer wheel
	queueLink     link  // in the admission queue or the call queue
	timerLink     link  // in the timer wheel
}

// callState is the state of a request's calls.
type callState struct {
	queued   bool // in the call queue
	attempts uint8
	queuedAt Time
	elapsed  Time // total time in calls
}

// entryState holds the expiry times of a request's entry and record.
type entryState struct {
	expires       Time // when the entry in the idempotency table expires; 0: no entry
	recordExpires Time // the record is kept at least until then
}

// repeatState links the requests that wait for the same run.
type repeatState struct {
	original     index // request whose run it waits for, or none
	newestRepeat index // newest of the requests that wait for its run, or none
	link         link  // among the requests that wait for the same run
}

// requestTable holds the records of all known requests, by index and by id.
type requestTable struct {
	at   []requestRecord
	free []index
	ids  map[uint32]index
}

func newRequestTable() requestTable { return requestTable{ids: make(map[uint32]index)} }

// find returns the index of a request, or none.
func (t *requestTable) find(id uint32) index {
	if i, ok := t.ids[id]; ok {
		return i
	}
	return none
}

// add creates an empty record for a request.
func (t *requestTable) add(id uint32) index {
	var i index
	if n := len(t.free); n > 0 {
		i = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		i = index(len(t.at))
		t.at = append(t.at, requestRecord{})
	}
	t.at[i] = requestRecord{id: id, bucket: unscheduled, repeats: repeatState{original: none, newestRepeat: none}}
	t.ids[id] = i
	return i
}

func (t *requestTable) remove(i index) {
	delete(t.ids, t.at[i].id)
	t.free = append(t.free, i)
}

// attachRepeat makes i wait for the run of p, or for the run that p waits for.
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

// detachRepeat removes i from the requests that wait for the same run.
func (t *requestTable) detachRepeat(i index) {
	repeat := &t.at[i]
	if repeat.repeats.original == none {
		return
	}
	links := repeat.repeats.link
	if links.prev == none {
		t.at[repeat.repeats.original].repeats.newestRepeat = links.next
	} else {
		t.at[links.prev].repeats.link.next = links.next
	}
	if links.next != none {
		t.at[links.next].repeats.link.prev = links.prev
	}
	repeat.repeats.original = none
}

// promoteRepeat makes the oldest of the requests that wait for i the original of the others, and returns it, or none.
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
