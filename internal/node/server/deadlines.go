// Deadlines: one ordered structure for everything that is to happen at a time: the module's wake-ups, gauges
// that don't come, calls, reports, links to be tried again, the sweep of connections, keys. It knows
// times only; what has come is dealt with by the loop. An entry can't be taken back: whoever it names sees
// whether it still means anything.

package server

import "umberwinch/admission"

type what uint8

const (
	dueWake what = iota
	dueGauge
	dueReplay
	dueCall
	dueReport
	dueKernel
	dueControl
	dueSweep
	dueKey
	dueLeave
	dueFleet
	dueKept
)

// deadline names what is due, and for which slot.
type deadline struct {
	at  admission.Time
	no  uint64 // those of one time come in the order they were set
	wh  what
	who handle
}

// deadlines is a binary heap, the earliest first.
type deadlines struct {
	heap []deadline
	no   uint64
}

func (d *deadlines) before(i, j int) bool {
	a, b := &d.heap[i], &d.heap[j]
	return a.at < b.at || a.at == b.at && a.no < b.no
}

func (d *deadlines) set(at admission.Time, wh what, h handle) {
	d.no++
	d.heap = append(d.heap, deadline{at, d.no, wh, h})
	for i := len(d.heap) - 1; i > 0 && d.before(i, (i-1)/2); i = (i - 1) / 2 {
		d.heap[i], d.heap[(i-1)/2] = d.heap[(i-1)/2], d.heap[i]
	}
}

// next takes out the earliest that has come.
func (d *deadlines) next(now admission.Time) (deadline, bool) {
	if len(d.heap) == 0 || d.heap[0].at > now {
		return deadline{}, false
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
func (d *deadlines) first() (admission.Time, bool) {
	if len(d.heap) == 0 {
		return 0, false
	}
	return d.heap[0].at, true
}
