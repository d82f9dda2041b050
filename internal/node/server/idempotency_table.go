package server

import "umberwinch/admission"

// entryState is the state of the run that determines a key's result.
type entryState uint8

const (
	entryQueued entryState = iota // not started
	entryRunning
	entryDone
	entryFailed
)

// idempotencyEntry is the state of one key.
type idempotencyEntry struct {
	key       string
	holder    uint32         // the request that repeats of the key are linked to
	run       uint32         // the request whose run determines the result
	expiresAt admission.Time // when repeats are no longer recognized, by their arrival
	state     entryState
	result    []byte
	hasResult bool     // the result has not been dropped
	waiters   []handle // requests that wait for the result
}

// idempotencyTable maps the repeat key of a request (repeatKey: by its idempotency key, or by the resource key if it is
// retryable) to the request that it repeats, and keeps results for repeats.
// It belongs to the loop. Entries are created and renewed by the controller's Remember, and end by its Forget or when
// their time is over. Results may be dropped early to limit memory, but never the key of a request that ran: a repeat
// then gets an error, as it must not run.
type idempotencyTable struct {
	entries        table[idempotencyEntry]
	byKey          map[string]handle
	resultOrder    []handle // entries by the age of their results, oldest first
	resultBytes    int
	maxResultBytes int
	maxLateness    admission.Time // longest timeout of a handler; a repeat is expected to be read within it of its arrival
}

func newIdempotencyTable(entries, maxResultBytes int, maxLateness admission.Time) idempotencyTable {
	return idempotencyTable{entries: newTable[idempotencyEntry](entries), byKey: map[string]handle{},
		maxResultBytes: maxResultBytes, maxLateness: maxLateness}
}

// previous returns the request that a request with this key and arrival repeats; 0 if none.
func (t *idempotencyTable) previous(key string, arrival admission.Time) uint32 {
	if e := t.find(key); e != nil && arrival < e.expiresAt {
		return e.holder
	}
	return 0
}

// find returns the entry of a key; nil if there is none.
func (t *idempotencyTable) find(key string) *idempotencyEntry {
	if key == "" {
		return nil
	}
	return t.entries.get(t.byKey[key])
}

// isFull reports whether the table may lack room for the keys of one more round.
func (t *idempotencyTable) isFull(maxRoundKeys int) bool {
	return t.entries.used+maxRoundKeys > t.entries.capacity
}

// remember creates or renews the entry of a key and makes the given request its holder.
func (t *idempotencyTable) remember(key string, id uint32, until admission.Time, timers *timers) {
	e := t.find(key)
	if e == nil {
		h, v, ok := t.entries.take()
		if !ok {
			return // a retryable request: checkRequest rejects keyed requests while the table is full
		}
		t.byKey[key], e = h, v
		e.key = key
		timers.set(until+t.maxLateness, timerIdempotencyKey, h)
	}
	if e.holder != id && e.state >= entryDone {
		e.state = entryQueued // a retryable request runs again once its result is too old
		t.dropResult(e)
	}
	e.holder, e.expiresAt = id, until
}

// forget removes the entry that a request holds and returns the requests that wait for its result.
func (t *idempotencyTable) forget(key string, id uint32) (waiters []handle) {
	e := t.find(key)
	if e == nil || e.holder != id {
		return nil
	}
	return t.drop(e)
}

// drop removes an entry and returns the requests that wait for its result.
func (t *idempotencyTable) drop(e *idempotencyEntry) (waiters []handle) {
	waiters = e.waiters
	t.dropResult(e)
	h := t.byKey[e.key]
	delete(t.byKey, e.key)
	t.entries.drop(h)
	return waiters
}

// expire removes an entry whose time is over, or sets its timer again. An entry outlives its time by maxLateness: a
// repeat that arrived in time and is read late would run otherwise. See row "expired keyed entry" in
// docs/design/shutdown.md.
func (t *idempotencyTable) expire(h handle, now admission.Time, timers *timers) (waiters []handle) {
	e := t.entries.get(h)
	switch {
	case e == nil:
		return nil
	case now < e.expiresAt+t.maxLateness:
		timers.set(e.expiresAt+t.maxLateness, timerIdempotencyKey, h)
		return nil
	case len(e.waiters) > 0 || e.state == entryRunning:
		timers.set(now+admission.Second, timerIdempotencyKey, h)
		return nil
	}
	return t.drop(e)
}

// runStarted records that the run of a request now determines its key's result.
func (t *idempotencyTable) runStarted(key string, id uint32) {
	if e := t.find(key); e != nil && e.holder == id {
		e.run, e.state = id, entryRunning
	}
}

// isRunOf reports whether the run of a request determines its key's result.
func (t *idempotencyTable) isRunOf(key string, id uint32) bool {
	e := t.find(key)
	return e != nil && e.run == id
}

// runEnded records the end of that run and returns the requests that wait for its result.
func (t *idempotencyTable) runEnded(key string, id uint32, ok bool, result []byte) (waiters []handle) {
	e := t.find(key)
	if e == nil || e.run != id || e.state != entryRunning {
		return nil
	}
	waiters, e.waiters = e.waiters, nil
	if e.state = entryFailed; ok {
		e.state = entryDone
		e.result, e.hasResult = append([]byte(nil), result...), true
		t.resultBytes += len(result)
		t.resultOrder = append(t.resultOrder, t.byKey[key])
	}
	t.dropOldestResults()
	return waiters
}

// maxResultOrderFactor limits resultOrder, as a multiple of the table's capacity: results dropped out of order stay in
// it.
const maxResultOrderFactor = 4

// dropOldestResults drops the oldest results while all results exceed maxResultBytes. Their keys stay: see row "result
// dropped from memory" in docs/design/shutdown.md.
func (t *idempotencyTable) dropOldestResults() {
	for t.resultBytes > t.maxResultBytes || len(t.resultOrder) > maxResultOrderFactor*t.entries.capacity {
		oldest := t.entries.get(t.resultOrder[0])
		t.resultOrder = t.resultOrder[1:]
		if oldest != nil {
			t.dropResult(oldest)
		}
	}
}

// dropResult drops the result of an entry and keeps the entry.
func (t *idempotencyTable) dropResult(e *idempotencyEntry) {
	if e.hasResult {
		t.resultBytes -= len(e.result)
		e.result, e.hasResult = nil, false
	}
}
