// Keys: which req a later one with the same key repeats, and the results that repeats are answered with. An
// entry is made and renewed only by the module's Remember and ended by its Forget or its time; a result may
// be let go of early, when kept results come to more than their share of memory, but the key of a req that
// ran never is: a repeat is then answered with an error, as it must not run.

package server

import "umberwinch/admission"

type fate uint8

const (
	fateHeld fate = iota // not run yet
	fateRuns
	fateDone
	fateFailed
)

// entry is what is known of one key.
type entry struct {
	key    string
	holder uint32 // the req that repeats are told they repeat
	run    uint32 // the req whose run decides
	until  admission.Time
	fate   fate
	result []byte
	kept   bool     // the result is still there
	wait   []handle // reqs that take the result once it is there
}

// keys is the table of them.
type keys struct {
	tab   table[entry]
	by    map[string]handle
	line  []handle // with results, the oldest first
	bytes int
	most  int
	late  admission.Time // a repeat may be read so long after it came
}

func newKeys(entries, bytes int, late admission.Time) keys {
	return keys{tab: newTable[entry](entries), by: map[string]handle{}, most: bytes, late: late}
}

// prior is the req that one with this key repeats if it came at that time; 0: none.
func (k *keys) prior(key string, came admission.Time) uint32 {
	if e := k.find(key); e != nil && came < e.until {
		return e.holder
	}
	return 0
}

func (k *keys) find(key string) *entry {
	if key == "" {
		return nil
	}
	return k.tab.get(k.by[key])
}

// full says whether a round of further keys could not be taken in.
func (k *keys) full(round int) bool { return k.tab.n+round > k.tab.most }

// remember makes or renews the entry of a key, which passes to the req named.
func (k *keys) remember(key string, id uint32, until admission.Time, due *deadlines) {
	e := k.find(key)
	if e == nil {
		h, v, ok := k.tab.take()
		if !ok {
			return // the door keeps this from happening to what must not run twice
		}
		k.by[key], e = h, v
		e.key = key
		due.set(until+k.late, dueKey, h)
	}
	if e.holder != id && e.fate >= fateDone {
		e.fate = fateHeld // a read whose answer is of no more use is run anew
		k.letGo(e)
	}
	e.holder, e.until = id, until
}

// forget ends the entry that a req holds.
func (k *keys) forget(key string, id uint32) (wait []handle) {
	e := k.find(key)
	if e == nil || e.holder != id {
		return nil
	}
	return k.drop(e)
}

func (k *keys) drop(e *entry) (wait []handle) {
	wait = e.wait
	k.letGo(e)
	h := k.by[e.key]
	delete(k.by, e.key)
	k.tab.drop(h)
	return wait
}

// expire ends an entry whose time has come, or files it again.
func (k *keys) expire(h handle, now admission.Time, due *deadlines) (wait []handle) {
	e := k.tab.get(h)
	switch {
	case e == nil:
		return nil
	case now < e.until+k.late:
		due.set(e.until+k.late, dueKey, h)
		return nil
	case len(e.wait) > 0 || e.fate == fateRuns:
		due.set(now+admission.Second, dueKey, h)
		return nil
	}
	return k.drop(e)
}

// runs notes that the run of a req now decides what its key's result is.
func (k *keys) runs(key string, id uint32) {
	if e := k.find(key); e != nil && e.holder == id {
		e.run, e.fate = id, fateRuns
	}
}

// ended notes the end of that run and gives those that wait for it.
func (k *keys) ended(key string, id uint32, ok bool, result []byte) (wait []handle) {
	e := k.find(key)
	if e == nil || e.run != id || e.fate != fateRuns {
		return nil
	}
	wait, e.wait = e.wait, nil
	if e.fate = fateFailed; ok {
		e.fate = fateDone
		e.result, e.kept = append([]byte(nil), result...), true
		k.bytes += len(result)
		k.line = append(k.line, k.by[key])
	}
	for k.bytes > k.most || len(k.line) > 4*k.tab.most {
		old := k.tab.get(k.line[0])
		k.line = k.line[1:]
		if old != nil {
			k.letGo(old)
		}
	}
	return wait
}

// letGo ends the keeping of a result.
func (k *keys) letGo(e *entry) {
	if e.kept {
		k.bytes -= len(e.result)
		e.result, e.kept = nil, false
	}
}
