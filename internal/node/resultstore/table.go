package resultstore

import (
	"encoding/binary"
	"math/bits"
)

// Size of a table.
const (
	// minTableKeys and maxTableKeys are the smallest and largest initial capacity. A table that needs more grows.
	minTableKeys, maxTableKeys = 48, 4_000_000
	// maxLoadNumerator / maxLoadDenominator is the maximum load factor.
	maxLoadNumerator, maxLoadDenominator = 4, 5
	// uint32Bytes is the size of a uint32.
	uint32Bytes = 4
	// hashBytes is the length of the prefix of a key that is its hash.
	hashBytes = 8
	// maxKeyRecordBytes is the maximum of entry.recordBytes24.
	maxKeyRecordBytes = 1<<24 - 1
)

// table is a hash table with open addressing and linear probing. Keys are digests, so a prefix is their hash. Removal
// shifts later keys back instead of leaving tombstones. The table is allocated for its limit of keys, up to
// maxTableKeys, so that it does not grow while a node serves; unused pages take no memory.
type table struct {
	slots []entry
	count int // used slots
	// minMovedPosition is the lowest log position of the keys that were shifted since it was reset, which a pass over
	// the slots may have missed.
	minMovedPosition uint64
}

// entry is the state of one key, in 48 bytes.
type entry struct {
	key           Key
	bodyDigest    uint64
	expiresAt     Milliseconds // end of its window
	position      uint64       // in the log, of its result or else its intent
	window        uint32       // ms
	recordBytes24 [3]byte      // size of its records on disk, little-endian
	state         State
}

// recordBytes returns the size of the key's records on disk.
func (e *entry) recordBytes() int64 {
	var number [uint32Bytes]byte
	copy(number[:], e.recordBytes24[:])
	return int64(binary.LittleEndian.Uint32(number[:]))
}

// addRecordBytes adds n bytes; the sum saturates at maxKeyRecordBytes.
func (e *entry) addRecordBytes(n int64) {
	n = min(e.recordBytes()+n, maxKeyRecordBytes)
	var number [uint32Bytes]byte
	binary.LittleEndian.PutUint32(number[:], uint32(n))
	copy(e.recordBytes24[:], number[:])
}

// newTable returns a table with an initial capacity, within minTableKeys and maxTableKeys.
func newTable(keys int) table {
	keys = min(max(keys, minTableKeys), maxTableKeys)
	return table{slots: make([]entry, keys*maxLoadDenominator/maxLoadNumerator+1)}
}

// homeSlot returns the slot at which the search for a key starts.
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

// find returns the entry of a key, or nil if there is none. The entry is valid until the next insert or remove.
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

// insert returns a free entry for a key that is not in the table, for the caller to fill. A table at its maximum load
// factor grows by half.
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

// freeSlot returns the first free slot for a key.
func (t *table) freeSlot(k *Key) *entry {
	i := t.homeSlot(k)
	for t.slots[i].state != Unknown {
		i = t.nextSlot(i)
	}
	return &t.slots[i]
}

// remove removes a key, if present, and shifts later keys that a search would not find past the gap.
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

// distance returns the number of steps from one slot to another, in the direction of probing.
func (t *table) distance(from, to int) int {
	if to < from {
		return to - from + len(t.slots)
	}
	return to - from
}
