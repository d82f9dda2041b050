package server

// handle is a slot's number with its generation above; 0 names nothing.
type handle uint32

// slotBits is how many bits of a handle are the slot's number, which bounds each table.
const (
	slotBits = 14
	maxSlots = 1 << slotBits
)

func (h handle) slot() int { return int(h & (maxSlots - 1)) }

// slot is one place of a table.
type slot[T any] struct {
	generation uint32
	used       bool
	value      T
}

// table is a set of numbered slots that are used again: for connections, requests and keys. A handle names a slot and
// the generation it was taken in, so that a late event of what had the slot before finds nothing. A table belongs to
// the loop alone; it is only ranged over in slot order, so that what the loop does is the same for the same events.
type table[T any] struct {
	slots    []slot[T]
	free     []int
	used     int // in use
	capacity int
}

func newTable[T any](capacity int) table[T] { return table[T]{capacity: min(capacity, maxSlots)} }

// take gives an empty slot; ok is false while all are in use.
func (t *table[T]) take() (h handle, v *T, ok bool) {
	var i int
	switch n := len(t.free); {
	case n > 0:
		i = t.free[n-1]
		t.free = t.free[:n-1]
	case len(t.slots) < t.capacity:
		i = len(t.slots)
		t.slots = append(t.slots, slot[T]{})
	default:
		return 0, nil, false
	}
	s := &t.slots[i]
	if s.generation++; s.generation >= 1<<(32-slotBits) {
		s.generation = 1
	}
	s.used = true
	t.used++
	return handle(s.generation<<slotBits | uint32(i)), &s.value, true
}

// full tells whether all slots are in use.
func (t *table[T]) full() bool { return len(t.free) == 0 && len(t.slots) >= t.capacity }

// get finds what a handle names; nil if it is no longer there. It lasts until the next take.
func (t *table[T]) get(h handle) *T {
	i := h.slot()
	if h == 0 || i >= len(t.slots) || !t.slots[i].used || t.slots[i].generation != uint32(h>>slotBits) {
		return nil
	}
	return &t.slots[i].value
}

// drop frees a slot; a handle that names none is passed over.
func (t *table[T]) drop(h handle) {
	if t.get(h) == nil {
		return
	}
	s := &t.slots[h.slot()]
	var none T
	s.value, s.used = none, false
	t.free = append(t.free, h.slot())
	t.used--
}

// next is the first handle in use at slot i or after, with the slot to go on from; 0 at the end.
func (t *table[T]) next(i int) (handle, int) {
	for ; i < len(t.slots); i++ {
		if t.slots[i].used {
			return handle(t.slots[i].generation<<slotBits | uint32(i)), i + 1
		}
	}
	return 0, i
}
