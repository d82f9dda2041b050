package server

// handle identifies a slot and its generation: the low slotBits bits are the slot, the rest the generation. 0 is no
// handle.
type handle uint32

// slotBits is the number of bits of a handle for the slot. It limits each table to maxSlots.
const (
	slotBits = 14
	maxSlots = 1 << slotBits
)

func (h handle) slot() int { return int(h & (maxSlots - 1)) }

// slot is an entry of a table.
type slot[T any] struct {
	generation uint32
	used       bool
	value      T
}

// table is a pool of reusable slots, for connections, requests and keys. A handle from an earlier generation of a slot
// finds nothing, so that late events don't reach the slot's next user. Tables belong to the loop. Iteration is in slot
// order, so that the loop's decisions are deterministic.
type table[T any] struct {
	slots    []slot[T]
	free     []int
	used     int // number of slots in use
	capacity int
}

func newTable[T any](capacity int) table[T] { return table[T]{capacity: min(capacity, maxSlots)} }

// take allocates an empty slot; ok is false if all are in use.
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

// full reports whether all slots are in use.
func (t *table[T]) full() bool { return len(t.free) == 0 && len(t.slots) >= t.capacity }

// get returns the value of a handle, or nil if its slot was freed. The pointer is valid until the next take.
func (t *table[T]) get(h handle) *T {
	i := h.slot()
	if h == 0 || i >= len(t.slots) || !t.slots[i].used || t.slots[i].generation != uint32(h>>slotBits) {
		return nil
	}
	return &t.slots[i].value
}

// drop frees a slot; a stale handle is ignored.
func (t *table[T]) drop(h handle) {
	if t.get(h) == nil {
		return
	}
	s := &t.slots[h.slot()]
	var zero T
	s.value, s.used = zero, false
	t.free = append(t.free, h.slot())
	t.used--
}

// next returns the first handle in use at slot i or above and the slot to continue at; the handle is 0 at the end.
func (t *table[T]) next(i int) (handle, int) {
	for ; i < len(t.slots); i++ {
		if t.slots[i].used {
			return handle(t.slots[i].generation<<slotBits | uint32(i)), i + 1
		}
	}
	return 0, i
}
