package resultstore

import (
	"encoding/binary"
	"math/bits"
)

// Size of a table.
const (
	// minTableKeys and maxTableKeys bound for how many keys a table is made: offline reading allows millions, and
	// grows.
	minTableKeys, maxTableKeys = 48, 4_000_000
	// At most maxLoadNumerator in maxLoadDenominator slots are used: fuller, a look-up takes long; emptier, memory is
	// wasted.
	maxLoadNumerator, maxLoadDenominator = 4, 5
	// uint32Bytes is the size of the number that an entry has three bytes of.
	uint32Bytes = 4
	// hashBytes of a key are its hash.
	hashBytes = 8
	// maxDiskBytes is what an entry can count of its key's records.
	maxDiskBytes = 1<<24 - 1
)

// table is an open-addressed hash table: keys are digests already, so eight of their bytes are their hash. A removed
// key leaves no mark: those behind it move up. It is made as large as it may get, so that it does not grow while a
// node serves; what was never used of it is no memory yet.
type table struct {
	slots []entry
	count int
	// minMovedPosition is the least log position of the keys that moved up since it was reset: a pass over the slots
	// may have missed them.
	minMovedPosition uint64
}

// entry is what is known of one key, in 48 bytes.
type entry struct {
	key           Key
	bodyDigest    uint64
	expiresAt     Milliseconds // its window is over then
	position      uint64       // in the log: of its result, or of its intent
	window        uint32       // ms
	recordBytes24 [3]byte      // of its records, little-endian
	state         State
}

// recordBytes gives the bytes of the key's records.
func (e *entry) recordBytes() int64 {
	var number [uint32Bytes]byte
	copy(number[:], e.recordBytes24[:])
	return int64(binary.LittleEndian.Uint32(number[:]))
}

func (e *entry) addRecordBytes(n int64) {
	n = min(e.recordBytes()+n, maxDiskBytes)
	var number [uint32Bytes]byte
	binary.LittleEndian.PutUint32(number[:], uint32(n))
	copy(e.recordBytes24[:], number[:])
}

// newTable makes a table for so many keys.
func newTable(keys int) table {
	keys = min(max(keys, minTableKeys), maxTableKeys)
	return table{slots: make([]entry, keys+keys/maxLoadNumerator+1)}
}

// homeSlot is where a key's search begins.
func (t *table) homeSlot(k *Key) int {
	slot, _ := bits.Mul64(binary.BigEndian.Uint64(k[:hashBytes]), uint64(len(t.slots)))
	return int(slot)
}

func (t *table) nextSlot(i int) int {
	if i++; i == len(t.slots) {
		return 0
	}
	return i
}

// find gives a key's entry, nil where there is none. It is good until the next insert or remove.
func (t *table) find(k Key) *entry {
	for i := t.homeSlot(&k); ; i = t.nextSlot(i) {
		e := &t.slots[i]
		if e.state == Unknown {
			return nil
		}
		if e.key == k {
			return e
		}
	}
}

// insert gives the entry of a key that is not there, to be filled. A table that is too full grows by half.
func (t *table) insert(k Key) *entry {
	if maxLoadDenominator*(t.count+1) > maxLoadNumerator*len(t.slots) {
		t.grow()
	}
	t.count++
	return t.freeSlot(&k)
}

func (t *table) grow() {
	old := t.slots
	t.slots = make([]entry, len(old)+len(old)/2)
	for i := range old {
		if old[i].state != Unknown {
			*t.freeSlot(&old[i].key) = old[i]
		}
	}
}

// freeSlot is the first free one for a key.
func (t *table) freeSlot(k *Key) *entry {
	i := t.homeSlot(k)
	for t.slots[i].state != Unknown {
		i = t.nextSlot(i)
	}
	return &t.slots[i]
}

// remove takes a key out, if it is there, and moves up what a search would not find past the gap.
func (t *table) remove(k Key) {
	gap := t.homeSlot(&k)
	for t.slots[gap].state == Unknown || t.slots[gap].key != k {
		if t.slots[gap].state == Unknown {
			return
		}
		gap = t.nextSlot(gap)
	}
	t.count--
	for i := t.nextSlot(gap); t.slots[i].state != Unknown; i = t.nextSlot(i) {
		if t.distance(t.homeSlot(&t.slots[i].key), i) >= t.distance(gap, i) {
			t.slots[gap] = t.slots[i]
			t.minMovedPosition = min(t.minMovedPosition, t.slots[gap].position)
			gap = i
		}
	}
	t.slots[gap] = entry{}
}

// distance is how many steps lie between two slots.
func (t *table) distance(from, to int) int {
	if to < from {
		return to - from + len(t.slots)
	}
	return to - from
}
