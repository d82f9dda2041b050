package server

import "umberwinch/admission"

// entryState is where the run stands that decides a key's result.
type entryState uint8

const (
	entryQueued entryState = iota // it has not begun
	entryRunning
	entryDone
	entryFailed
)

// idempotencyEntry is what is known of one key.
type idempotencyEntry struct {
	key       string
	holder    uint32 // the request that repeats are said to repeat
	run       uint32 // the request whose run decides
	until     admission.Time
	state     entryState
	result    []byte
	hasResult bool     // the result is still kept
	waiters   []handle // requests that take the result once it is there
}

// idempotencyTable says which request a later one with the same key repeats, and has the results that repeats are
// answered with. An entry is made and renewed by the controller's Remember alone, and ended by its Forget or its time.
// A result may be dropped early, when results come to more than their share of memory, but the key of a request that
// ran never is: a repeat then gets an error, as it must not run.
type idempotencyTable struct {
	entries        table[idempotencyEntry]
	byKey          map[string]handle
	resultOrder    []handle // entries with results, the oldest first
	resultBytes    int
	maxResultBytes int
	maxLateness    admission.Time // a repeat may be read so long after it reached the machine
}

func newIdempotencyTable(entries, bytes int, late admission.Time) idempotencyTable {
	return idempotencyTable{entries: newTable[idempotencyEntry](entries), byKey: map[string]handle{}, maxResultBytes: bytes,
		maxLateness: late}
}

// previous is the request that one with this key repeats, if it arrived at that time; 0: none.
func (k *idempotencyTable) previous(key string, arrival admission.Time) uint32 {
	if e := k.find(key); e != nil && arrival < e.until {
		return e.holder
	}
	return 0
}

// find gives the entry of a key; nil if there is none.
func (k *idempotencyTable) find(key string) *idempotencyEntry {
	if key == "" {
		return nil
	}
	return k.entries.get(k.byKey[key])
}

// isFull tells whether the table might not hold the keys of one further round.
func (k *idempotencyTable) isFull(round int) bool { return k.entries.used+round > k.entries.capacity }

// remember makes or renews the entry of a key, which passes to the request named.
func (k *idempotencyTable) remember(key string, id uint32, until admission.Time, timers *timers) {
	e := k.find(key)
	if e == nil {
		h, v, ok := k.entries.take()
		if !ok {
			return // a read: checkRequest rejects what must not run twice while the table is full
		}
		k.byKey[key], e = h, v
		e.key = key
		timers.set(until+k.maxLateness, timerIdempotencyKey, h)
	}
	if e.holder != id && e.state >= entryDone {
		e.state = entryQueued // a read whose result may no longer be used is run anew
		k.dropResult(e)
	}
	e.holder, e.until = id, until
}

// forget ends the entry that a request holds, and gives those that wait for its result.
func (k *idempotencyTable) forget(key string, id uint32) (wait []handle) {
	e := k.find(key)
	if e == nil || e.holder != id {
		return nil
	}
	return k.drop(e)
}

// drop ends an entry.
func (k *idempotencyTable) drop(e *idempotencyEntry) (wait []handle) {
	wait = e.waiters
	k.dropResult(e)
	h := k.byKey[e.key]
	delete(k.byKey, e.key)
	k.entries.drop(h)
	return wait
}

// expire ends an entry whose time is over, or sets its timer again. Guards against a repeat that reached the machine in
// time and is read late, which would run: an entry stays for maxLateness, the longest wait of a client. See row "keyed
// entry over" in docs/design/shutdown.md.
func (k *idempotencyTable) expire(h handle, now admission.Time, timers *timers) (wait []handle) {
	e := k.entries.get(h)
	switch {
	case e == nil:
		return nil
	case now < e.until+k.maxLateness:
		timers.set(e.until+k.maxLateness, timerIdempotencyKey, h)
		return nil
	case len(e.waiters) > 0 || e.state == entryRunning:
		timers.set(now+admission.Second, timerIdempotencyKey, h)
		return nil
	}
	return k.drop(e)
}

// runStarted notes that the run of a request now decides what its key's result is.
func (k *idempotencyTable) runStarted(key string, id uint32) {
	if e := k.find(key); e != nil && e.holder == id {
		e.run, e.state = id, entryRunning
	}
}

// runEnded notes the end of that run and gives those that wait for it.
func (k *idempotencyTable) runEnded(key string, id uint32, ok bool, result []byte) (wait []handle) {
	e := k.find(key)
	if e == nil || e.run != id || e.state != entryRunning {
		return nil
	}
	wait, e.waiters = e.waiters, nil
	if e.state = entryFailed; ok {
		e.state = entryDone
		e.result, e.hasResult = append([]byte(nil), result...), true
		k.resultBytes += len(result)
		k.resultOrder = append(k.resultOrder, k.byKey[key])
	}
	k.dropOldestResults()
	return wait
}

// maxResultOrderFactor bounds resultOrder, in entries of the table: what was dropped out of turn stays in it.
const maxResultOrderFactor = 4

// dropOldestResults drops the oldest results while they take more than their share of memory. The keys stay: see row "kept
// result let go of for room" in docs/design/shutdown.md.
func (k *idempotencyTable) dropOldestResults() {
	for k.resultBytes > k.maxResultBytes || len(k.resultOrder) > maxResultOrderFactor*k.entries.capacity {
		old := k.entries.get(k.resultOrder[0])
		k.resultOrder = k.resultOrder[1:]
		if old != nil {
			k.dropResult(old)
		}
	}
}

// dropResult drops the result of an entry, which stays.
func (k *idempotencyTable) dropResult(e *idempotencyEntry) {
	if e.hasResult {
		k.resultBytes -= len(e.result)
		e.result, e.hasResult = nil, false
	}
}
