// Numbered slots: connections, reqs and keys live in tables whose slots are used again. A handle names a slot
// and the generation it was taken in, so that late news of what had the slot before finds nothing. A table
// belongs to the loop alone; it must never be ranged over to decide anything but in slot order.

package server

// handle is a slot's number with its generation above; 0 names nothing.
type handle uint32

const (
	slotBits = 14
	maxSlots = 1 << slotBits
)

func (h handle) slot() int { return int(h & (maxSlots - 1)) }

type slot[T any] struct {
	generation uint32
	used       bool
	value      T
}

// table is a set of numbered slots.
type table[T any] struct {
	slots    []slot[T]
	free     []int
	used     int // in use
	capacity int
}

func newTable[T any](most int) table[T] { return table[T]{capacity: min(most, maxSlots)} }

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

// get finds what a handle names; nil if it is no longer there. It lasts until the next take.
func (t *table[T]) get(h handle) *T {
	i := h.slot()
	if h == 0 || i >= len(t.slots) || !t.slots[i].used || t.slots[i].generation != uint32(h>>slotBits) {
		return nil
	}
	return &t.slots[i].value
}

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
