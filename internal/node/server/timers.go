// Deadlines: one ordered structure for everything that is to happen at a time: the module's wake-ups, gauges
// that don't come, calls, reports, links to be tried again, the sweep of connections, keys. It knows
// times only; what has come is dealt with by the loop. An entry can't be taken back: whoever it names sees
// whether it still means anything.

package server

import "umberwinch/admission"

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

// deadline names what is due, and for which slot.
type timer struct {
	at      admission.Time
	order   uint64 // those of one time come in the order they were set
	kind    timerKind
	subject handle
}

// deadlines is a binary heap, the earliest first.
type timers struct {
	heap      []timer
	lastOrder uint64
}

func (d *timers) before(i, j int) bool {
	a, b := &d.heap[i], &d.heap[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (d *timers) set(at admission.Time, kind timerKind, subject handle) {
	d.lastOrder++
	d.heap = append(d.heap, timer{at, d.lastOrder, kind, subject})
	for i := len(d.heap) - 1; i > 0 && d.before(i, (i-1)/2); i = (i - 1) / 2 {
		d.heap[i], d.heap[(i-1)/2] = d.heap[(i-1)/2], d.heap[i]
	}
}

// next takes out the earliest that has come.
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

// first is the earliest time, if there is one.
func (d *timers) first() (admission.Time, bool) {
	if len(d.heap) == 0 {
		return 0, false
	}
	return d.heap[0].at, true
}
