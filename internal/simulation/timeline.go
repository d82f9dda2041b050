package simulation

import "container/heap"

// ordered is an item of a priorityQueue; before reports whether it precedes another.
type ordered[T any] interface{ before(other T) bool }

// priorityQueue returns its items in order. The order of equal items is unspecified, but the same in each run.
type priorityQueue[T ordered[T]] []T

func (q *priorityQueue[T]) add(x T) { heap.Push(q, x) }

func (q *priorityQueue[T]) take() T { return heap.Pop(q).(T) }

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q priorityQueue[T]) Len() int { return len(q) }

// Less implements heap.Interface.
func (q priorityQueue[T]) Less(i, k int) bool { return q[i].before(q[k]) }

// Swap implements heap.Interface.
func (q priorityQueue[T]) Swap(i, k int) { q[i], q[k] = q[k], q[i] }

// Push implements heap.Interface; add inserts in order.
func (q *priorityQueue[T]) Push(x any) { *q = append(*q, x.(T)) }

// Pop implements heap.Interface; take removes the first item.
func (q *priorityQueue[T]) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// timedEvent is an action scheduled at a virtual time. Events of the same time run in the order of scheduling.
type timedEvent[T int64 | float64] struct {
	at       T
	sequence uint64
	action   func()
}

func (e timedEvent[T]) before(o timedEvent[T]) bool {
	return e.at < o.at || e.at == o.at && e.sequence < o.sequence
}

// scheduler is a virtual clock, in ms, with the queue of scheduled events.
type scheduler[T int64 | float64] struct {
	Now          T
	events       priorityQueue[timedEvent[T]]
	lastSequence uint64
	eventsRun    int
}

// after schedules an action some ms from now.
func (t *scheduler[T]) after(ms T, action func()) {
	t.lastSequence++
	t.events.add(timedEvent[T]{t.Now + ms, t.lastSequence, action})
}

// runEvents runs all events up to a time, or until stop returns true.
func (t *scheduler[T]) runEvents(until T, stop func() bool) {
	for !stop() && len(t.events) > 0 && t.events[0].at <= until {
		e := t.events.take()
		t.Now = max(t.Now, e.at)
		t.eventsRun++
		e.action()
	}
}
