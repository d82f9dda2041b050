// Keys: which req a later one with the same key repeats, and the results that repeats are answered with. An
// entry is made and renewed only by the module's Remember and ended by its Forget or its time; a result may
// be let go of early, when kept results come to more than their share of memory, but the key of a req that
// ran never is: a repeat is then answered with an error, as it must not run.

package server

import "umberwinch/admission"

type entryState uint8

const (
	entryQueued entryState = iota // not run yet
	entryRunning
	entryDone
	entryFailed
)

// entry is what is known of one key.
type idempotencyEntry struct {
	key       string
	holder    uint32 // the req that repeats are told they repeat
	run       uint32 // the req whose run decides
	until     admission.Time
	state     entryState
	result    []byte
	hasResult bool     // the result is still there
	waiters   []handle // reqs that take the result once it is there
}

// keys is the table of them.
type idempotencyTable struct {
	entries     table[idempotencyEntry]
	byKey       map[string]handle
	resultOrder []handle // with results, the oldest first
	bytes       int
	maxBytes    int
	maxLateness admission.Time // a repeat may be read so long after it came
}

func newIdempotencyTable(entries, bytes int, late admission.Time) idempotencyTable {
	return idempotencyTable{entries: newTable[idempotencyEntry](entries), byKey: map[string]handle{}, maxBytes: bytes, maxLateness: late}
}

// prior is the req that one with this key repeats if it came at that time; 0: none.
func (k *idempotencyTable) previous(key string, came admission.Time) uint32 {
	if e := k.find(key); e != nil && came < e.until {
		return e.holder
	}
	return 0
}

func (k *idempotencyTable) find(key string) *idempotencyEntry {
	if key == "" {
		return nil
	}
	return k.entries.get(k.byKey[key])
}

// full says whether a round of further keys could not be taken in.
func (k *idempotencyTable) full(round int) bool { return k.entries.used+round > k.entries.capacity }

// remember makes or renews the entry of a key, which passes to the req named.
func (k *idempotencyTable) remember(key string, id uint32, until admission.Time, due *timers) {
	e := k.find(key)
	if e == nil {
		h, v, ok := k.entries.take()
		if !ok {
			return // the door keeps this from happening to what must not run twice
		}
		k.byKey[key], e = h, v
		e.key = key
		due.set(until+k.maxLateness, timerIdempotencyKey, h)
	}
	if e.holder != id && e.state >= entryDone {
		e.state = entryQueued // a read whose answer is of no more use is run anew
		k.dropResult(e)
	}
	e.holder, e.until = id, until
}

// forget ends the entry that a req holds.
func (k *idempotencyTable) forget(key string, id uint32) (wait []handle) {
	e := k.find(key)
	if e == nil || e.holder != id {
		return nil
	}
	return k.drop(e)
}

func (k *idempotencyTable) drop(e *idempotencyEntry) (wait []handle) {
	wait = e.waiters
	k.dropResult(e)
	h := k.byKey[e.key]
	delete(k.byKey, e.key)
	k.entries.drop(h)
	return wait
}

// expire ends an entry whose time has come, or files it again.
func (k *idempotencyTable) expire(h handle, now admission.Time, due *timers) (wait []handle) {
	e := k.entries.get(h)
	switch {
	case e == nil:
		return nil
	case now < e.until+k.maxLateness:
		due.set(e.until+k.maxLateness, timerIdempotencyKey, h)
		return nil
	case len(e.waiters) > 0 || e.state == entryRunning:
		due.set(now+admission.Second, timerIdempotencyKey, h)
		return nil
	}
	return k.drop(e)
}

// runs notes that the run of a req now decides what its key's result is.
func (k *idempotencyTable) runStarted(key string, id uint32) {
	if e := k.find(key); e != nil && e.holder == id {
		e.run, e.state = id, entryRunning
	}
}

// ended notes the end of that run and gives those that wait for it.
func (k *idempotencyTable) runEnded(key string, id uint32, ok bool, result []byte) (wait []handle) {
	e := k.find(key)
	if e == nil || e.run != id || e.state != entryRunning {
		return nil
	}
	wait, e.waiters = e.waiters, nil
	if e.state = entryFailed; ok {
		e.state = entryDone
		e.result, e.hasResult = append([]byte(nil), result...), true
		k.bytes += len(result)
		k.resultOrder = append(k.resultOrder, k.byKey[key])
	}
	for k.bytes > k.maxBytes || len(k.resultOrder) > 4*k.entries.capacity {
		old := k.entries.get(k.resultOrder[0])
		k.resultOrder = k.resultOrder[1:]
		if old != nil {
			k.dropResult(old)
		}
	}
	return wait
}

// dropResult ends the keeping of a result.
func (k *idempotencyTable) dropResult(e *idempotencyEntry) {
	if e.hasResult {
		k.bytes -= len(e.result)
		e.result, e.hasResult = nil, false
	}
}
