package server

import "umberwinch/admission"

// timerKind says what is to happen at a timer's time.
type timerKind uint8

const (
	timerWake timerKind = iota
	timerGauges
	timerReplay
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

// timer names what is to happen at a time, and for which slot.
type timer struct {
	at      admission.Time
	order   uint64 // those of one time fire in the order in which they were set
	kind    timerKind
	subject handle
}

// timers is a binary heap of all that is to happen at a time, the earliest first. It knows times only; the loop deals
// with what is due. It belongs to the loop and ends with it. A timer can't be taken back: what it names is looked at
// when it fires, and may have changed.
type timers struct {
	heap      []timer
	lastOrder uint64
}

func (d *timers) before(i, j int) bool {
	a, b := &d.heap[i], &d.heap[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

// set adds a timer.
func (d *timers) set(at admission.Time, kind timerKind, subject handle) {
	d.lastOrder++
	d.heap = append(d.heap, timer{at, d.lastOrder, kind, subject})
	for i := len(d.heap) - 1; i > 0 && d.before(i, (i-1)/2); i = (i - 1) / 2 {
		d.heap[i], d.heap[(i-1)/2] = d.heap[(i-1)/2], d.heap[i]
	}
}

// next takes out the earliest timer that is due.
func (d *timers) next(now admission.Time) (timer, bool) {
	if len(d.heap) == 0 || d.heap[0].at > now {
		return timer{}, false
	}
	top := d.heap[0]
	last := len(d.heap) - 1
	d.heap[0] = d.heap[last]
	d.heap = d.heap[:last]
	for i := 0; ; {
		k := 2*i + 1
		if k >= last {
			return top, true
		}
		if k+1 < last && d.before(k+1, k) {
			k++
		}
		if !d.before(k, i) {
			return top, true
		}
		d.heap[i], d.heap[k] = d.heap[k], d.heap[i]
		i = k
	}
}

// first is the time of the earliest timer, if there is one.
func (d *timers) first() (admission.Time, bool) {
	if len(d.heap) == 0 {
		return 0, false
	}
	return d.heap[0].at, true
}
