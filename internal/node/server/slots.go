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
	gen  uint32
	used bool
	val  T
}

// table is a set of numbered slots.
type table[T any] struct {
	at   []slot[T]
	free []int
	n    int // in use
	most int
}

func newTable[T any](most int) table[T] { return table[T]{most: min(most, maxSlots)} }

// take gives an empty slot; ok is false while all are in use.
func (t *table[T]) take() (h handle, v *T, ok bool) {
	var i int
	switch n := len(t.free); {
	case n > 0:
		i = t.free[n-1]
		t.free = t.free[:n-1]
	case len(t.at) < t.most:
		i = len(t.at)
		t.at = append(t.at, slot[T]{})
	default:
		return 0, nil, false
	}
	s := &t.at[i]
	if s.gen++; s.gen >= 1<<(32-slotBits) {
		s.gen = 1
	}
	s.used = true
	t.n++
	return handle(s.gen<<slotBits | uint32(i)), &s.val, true
}

// get finds what a handle names; nil if it is no longer there. It lasts until the next take.
func (t *table[T]) get(h handle) *T {
	i := h.slot()
	if h == 0 || i >= len(t.at) || !t.at[i].used || t.at[i].gen != uint32(h>>slotBits) {
		return nil
	}
	return &t.at[i].val
}

func (t *table[T]) drop(h handle) {
	if t.get(h) == nil {
		return
	}
	s := &t.at[h.slot()]
	var none T
	s.val, s.used = none, false
	t.free = append(t.free, h.slot())
	t.n--
}

// next is the first handle in use at slot i or after, with the slot to go on from; 0 at the end.
func (t *table[T]) next(i int) (handle, int) {
	for ; i < len(t.at); i++ {
		if t.at[i].used {
			return handle(t.at[i].gen<<slotBits | uint32(i)), i + 1
		}
	}
	return 0, i
}
