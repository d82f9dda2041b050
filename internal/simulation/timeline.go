package simulation

import "container/heap"

// ordered is an item of a queue that comes before others.
type ordered[T any] interface{ before(other T) bool }

// priorityQueue gives the item first that comes before all others. The order of equal ones is not defined, but it
// is the same in each run.
type priorityQueue[T ordered[T]] []T

func (q *priorityQueue[T]) add(x T) { heap.Push(q, x) }

func (q *priorityQueue[T]) take() T { return heap.Pop(q).(T) }

// Len, with the methods below, is container/heap's.
func (q priorityQueue[T]) Len() int { return len(q) }

// Less tells whether an item comes before another.
func (q priorityQueue[T]) Less(i, k int) bool { return q[i].before(q[k]) }

// Swap swaps two items.
func (q priorityQueue[T]) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push appends an item; add keeps the order.
func (q *priorityQueue[T]) Push(x any) { *q = append(*q, x.(T)) }

// Pop removes the last item; take gives the first.
func (q *priorityQueue[T]) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// timedEvent is something done at a time; of one time's events the one added first comes first.
type timedEvent[T int64 | float64] struct {
	at       T
	sequence uint64
	action   func()
}

func (e timedEvent[T]) before(o timedEvent[T]) bool {
	return e.at < o.at || e.at == o.at && e.sequence < o.sequence
}

// scheduler is virtual time, in ms, and what is to be done in it.
type scheduler[T int64 | float64] struct {
	Now          T
	events       priorityQueue[timedEvent[T]]
	lastSequence uint64
	eventsRun    int
}

// after has something done some ms from now.
func (t *scheduler[T]) after(ms T, do func()) {
	t.lastSequence++
	t.events.add(timedEvent[T]{t.Now + ms, t.lastSequence, do})
}

// runEvents plays all events up to a time, or until the run is over.
func (t *scheduler[T]) runEvents(until T, over func() bool) {
	for !over() && len(t.events) > 0 && t.events[0].at <= until {
		e := t.events.take()
		t.Now = max(t.Now, e.at)
		t.eventsRun++
		e.action()
	}
}
