package server

import "umberwinch/admission"

// timerKind is the action of a timer.
type timerKind uint8

const (
	timerWake timerKind = iota
	timerGauges
	timerReplay
	timerKernelMove
	timerCommandGate
	timerDoubt
	timerCall
	timerReport
	timerKernelDial
	timerDiscoveryDial
	timerSweep
	timerIdempotencyKey
	timerDrain
	timerFleet
	timerResultStore
)

// timer is an action at a time, for one slot of a table.
type timer struct {
	at      admission.Time
	order   uint64 // order of setting, which breaks ties of at
	kind    timerKind
	subject handle // slot of a table; of timerReplay and timerKernelMove, the number of their gauges request
}

// timers is a binary min-heap of timers by time. It belongs to the loop, which handles the timers that are due. Timers
// can't be cancelled: the handler checks whether the subject still needs it.
type timers struct {
	heap      []timer
	lastOrder uint64
}

func (t *timers) before(i, j int) bool {
	a, b := &t.heap[i], &t.heap[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

// set adds a timer.
func (t *timers) set(at admission.Time, kind timerKind, subject handle) {
	t.lastOrder++
	t.heap = append(t.heap, timer{at, t.lastOrder, kind, subject})
	for i := len(t.heap) - 1; i > 0 && t.before(i, (i-1)/2); i = (i - 1) / 2 {
		t.heap[i], t.heap[(i-1)/2] = t.heap[(i-1)/2], t.heap[i]
	}
}

// next removes and returns the earliest timer, if it is due.
func (t *timers) next(now admission.Time) (timer, bool) {
	if len(t.heap) == 0 || t.heap[0].at > now {
		return timer{}, false
	}
	top := t.heap[0]
	last := len(t.heap) - 1
	t.heap[0] = t.heap[last]
	t.heap = t.heap[:last]
	for i := 0; ; {
		k := 2*i + 1
		if k >= last {
			return top, true
		}
		if k+1 < last && t.before(k+1, k) {
			k++
		}
		if !t.before(k, i) {
			return top, true
		}
		t.heap[i], t.heap[k] = t.heap[k], t.heap[i]
		i = k
	}
}

// first returns the time of the earliest timer, if there is one.
func (t *timers) first() (admission.Time, bool) {
	if len(t.heap) == 0 {
		return 0, false
	}
	return t.heap[0].at, true
}
