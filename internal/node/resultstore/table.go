package resultstore

import (
	"encoding/binary"
	"math/bits"
)

// table is an open-addressed index: keys are digests already, so eight of their bytes are their hash. A key that goes
// leaves no mark: those behind it move up. It is made as large as it may get, so that it does not grow while a node serves;
// what was never used of it is no memory yet.
type table struct {
	slots []entry
	n     int
	moved uint64 // the least place of those that moved up since it was reset: a pass over the slots may have missed them
}

// entry is what is known of one key: 48 bytes.
type entry struct {
	key    Key
	body   uint64
	until  uint64  // its window is over then, by the clock that goes on while the node is stopped
	place  uint64  // in the log: of its result, or of its intent
	window uint32  // ms, 49 days at most
	disk   [3]byte // bytes of its records
	state  State
}

func (e *entry) bytes() int64 { return int64(e.disk[0]) | int64(e.disk[1])<<8 | int64(e.disk[2])<<16 }

func (e *entry) add(n int64) {
	n = min(e.bytes()+n, 1<<24-1)
	e.disk = [3]byte{byte(n), byte(n >> 8), byte(n >> 16)}
}

// tableLeast and tableMost bound what a table is made as: slots for so many keys. Offline reading says millions, and grows.
const tableLeast, tableMost = 48, 4_000_000

func newTable(room int) table {
	room = min(max(room, tableLeast), tableMost)
	return table{slots: make([]entry, room+room/4+1)}
}

func (t *table) home(k *Key) int {
	at, _ := bits.Mul64(binary.BigEndian.Uint64(k[:8]), uint64(len(t.slots)))
	return int(at)
}

func (t *table) next(i int) int {
	if i++; i == len(t.slots) {
		return 0
	}
	return i
}

// find gives a key's entry, nil where there is none. It is good until the next put or drop.
func (t *table) find(k Key) *entry {
	for i := t.home(&k); ; i = t.next(i) {
		e := &t.slots[i]
		if e.state == Unknown {
			return nil
		}
		if e.key == k {
			return e
		}
	}
}

// put gives the place of a key that is not there. Past four fifths the table grows by half.
func (t *table) put(k Key) *entry {
	if 5*(t.n+1) > 4*len(t.slots) {
		old := t.slots
		t.slots = make([]entry, len(old)+len(old)/2)
		for i := range old {
			if old[i].state != Unknown {
				*t.free(&old[i].key) = old[i]
			}
		}
	}
	t.n++
	return t.free(&k)
}

func (t *table) free(k *Key) *entry {
	i := t.home(k)
	for t.slots[i].state != Unknown {
		i = t.next(i)
	}
	return &t.slots[i]
}

// drop takes a key out, and moves up what a look-up would not find past the gap.
func (t *table) drop(k Key) {
	i := t.home(&k)
	for t.slots[i].key != k || t.slots[i].state == Unknown {
		if t.slots[i].state == Unknown {
			return
		}
		i = t.next(i)
	}
	t.n--
	behind := func(from, to int) int { // steps from one slot on to another
		if to -= from; to < 0 {
			to += len(t.slots)
		}
		return to
	}
	for at := t.next(i); t.slots[at].state != Unknown; at = t.next(at) {
		if behind(t.home(&t.slots[at].key), at) >= behind(i, at) {
			t.slots[i] = t.slots[at]
			t.moved = min(t.moved, t.slots[i].place)
			i = at
		}
	}
	t.slots[i] = entry{}
}
