package kept

import "encoding/binary"

// table is an open-addressed index: keys are digests already, so eight of their bytes are their hash. A key that goes
// leaves no mark: those behind it move up.
type table struct {
	slots []entry
	n     int
	moved uint64 // the least place of those that moved up since it was reset: a pass over the slots may have missed them
}

// entry is what is known of one key: 64 bytes.
type entry struct {
	key    Key
	body   uint64
	until  uint64 // its window is over then, by the clock that goes on while the node is stopped
	place  uint64 // in the log: of its result, or of its intent
	window uint64
	bytes  uint32 // of its records
	state  State
}

func newTable(room int) table {
	size := 64
	for size*3 < room*4 {
		size *= 2
	}
	return table{slots: make([]entry, size)}
}

func (t *table) home(k *Key) int {
	return int(binary.LittleEndian.Uint64(k[:8]) & uint64(len(t.slots)-1))
}

// find gives a key's entry, nil where there is none. It is good until the next put or drop.
func (t *table) find(k Key) *entry {
	for i := t.home(&k); ; i = (i + 1) & (len(t.slots) - 1) {
		e := &t.slots[i]
		if e.state == Unknown {
			return nil
		}
		if e.key == k {
			return e
		}
	}
}

// put gives the place of a key that is not there. Past three quarters the table doubles.
func (t *table) put(k Key) *entry {
	if 4*(t.n+1) > 3*len(t.slots) {
		old := t.slots
		t.slots = make([]entry, 2*len(old))
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
		i = (i + 1) & (len(t.slots) - 1)
	}
	return &t.slots[i]
}

// drop takes a key out, and moves up what a look-up would not find past the gap.
func (t *table) drop(k Key) {
	mask := len(t.slots) - 1
	i := t.home(&k)
	for t.slots[i].key != k || t.slots[i].state == Unknown {
		if t.slots[i].state == Unknown {
			return
		}
		i = (i + 1) & mask
	}
	t.n--
	for at := (i + 1) & mask; t.slots[at].state != Unknown; at = (at + 1) & mask {
		home := t.home(&t.slots[at].key)
		if (at-home)&mask >= (at-i)&mask {
			t.slots[i] = t.slots[at]
			t.moved = min(t.moved, t.slots[i].place)
			i = at
		}
	}
	t.slots[i] = entry{}
}
