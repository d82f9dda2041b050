// Store: the calls that runs make below. It owns a bounded set of connections to the store, called wires,
// which of them each call is out on, and says how each call ended: never ran, may have run, went well. It
// must never say that a call did not run unless that is proven, never take a reply for another call than the
// one it was made for, and never make a call by itself: each is the module's decision.
//
// A wire carries one call at a time while the bound on wires allows, as whatever spoils one reply spoils all
// that is out on its wire. No req calls twice over one wire, so that a second copy of a reply can't pass for
// the reply to its next call. A wire is used no more, and ends with its last call, once it brought a reply
// that nobody waits for, a call on it was given up or got no reply in its time, or the store has moved. That
// a wire is reset at a call after it was idle proves nothing: the same is seen where the call ran and its
// reply was lost. So idle wires are let go of early instead.

package server

import (
	"slices"

	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

type store struct {
	backoff
	addr   string
	wires  table[storeConnection]
	parser parser
}

// wire is one connection to the store.
type storeConnection struct {
	line *line
	out  []handle       // reqs whose calls are out on it, or wait for it to open
	used admission.Time // when it last carried anything
	done bool           // not trusted with another call
}

func (w *storeConnection) idle() bool { return len(w.out) == 0 }

// call makes the call that a run stands at.
func (l *loop) call(h handle, r *request, until admission.Time) {
	r.call, r.callAt, r.callUntil = callWaits, l.now, until
	l.counters.Calls++
	l.trace(r, "call until %.1f ms", inMS(until-l.now))
	held := l.heldDials
	at, w := l.pickWire(r)
	if w == nil {
		if l.heldDials != held {
			r.call = callNone // by the zone's order: it says nothing about the store
		}
		l.callEnded(h, r, admission.Unrun)
		return
	}
	// Only wires that are still there matter, so this stays as short as their table.
	gone := func(h handle) bool { return l.store.wires.get(h) == nil }
	r.wire, r.wires = at, append(slices.DeleteFunc(r.wires, gone), at)
	w.out = append(w.out, h)
	l.deadlines.set(until+l.limits.CallGrace, dueCall, h)
	if w.line.writer != nil {
		l.sendCall(h, r, w)
	}
}

// pickWire finds the wire for a call: the idle one used last, else a new one, else the one with the fewest
// calls.
func (l *loop) pickWire(r *request) (best handle, _ *storeConnection) {
	s := &l.store
	l.sweepWires()
	for h, i := s.wires.next(0); h != 0; h, i = s.wires.next(i) {
		w := s.wires.get(h)
		if w.done || slices.Contains(r.wires, h) {
			continue
		}
		b := s.wires.get(best)
		if b == nil || len(w.out) < len(b.out) || w.idle() && b.idle() && w.used > b.used {
			best = h
		}
	}
	if b := s.wires.get(best); b != nil && b.idle() || s.addr == "" || l.now < s.again || !l.mayDial() {
		return best, b
	}
	h, w, ok := s.wires.take()
	if !ok {
		return best, s.wires.get(best)
	}
	*w = storeConnection{line: &line{which: toStore, wire: h, parser: s.parser}, used: l.now}
	l.open(w.line, s.addr)
	if l.fleet != nil {
		l.fleet.meter.ConnectionOpened(steadyMS())
	}
	return h, w
}

// sweepWires lets go of wires that were idle for too long to be trusted with a call.
func (l *loop) sweepWires() {
	for h, i := l.store.wires.next(0); h != 0; h, i = l.store.wires.next(i) {
		if w := l.store.wires.get(h); w.idle() && l.now-w.used > l.limits.StoreIdle {
			l.dropWire(h, w)
		}
	}
}

func (l *loop) dropWire(h handle, w *storeConnection) {
	if w.line.writer != nil {
		w.line.writer.close()
	}
	l.store.wires.drop(h)
}

// retire has a wire used no more; it ends with its last call.
func (l *loop) retire(h handle, w *storeConnection) {
	w.done = true
	if w.idle() {
		l.dropWire(h, w)
	}
}

func (l *loop) sendCall(h handle, r *request, w *storeConnection) {
	wait := max((r.callUntil-l.now+9)/10, 1)
	l.scratch = wire.AppendCall(l.scratch[:0], r.task, int64(wait), r.ask)
	if !w.line.writer.send(l.scratch, l.limits.LinkQueue) {
		// The queue is full because the store takes nothing: this call never left, the others may have.
		at := r.wire
		l.callEnded(h, r, admission.Unrun)
		l.wireLost(at, l.store.wires.get(at), errStuck)
		return
	}
	r.call, w.used = callOut, l.now
}

// callEnded tells the module of the end of a call, in the next round.
func (l *loop) callEnded(h handle, r *request, how admission.Outcome) {
	made := r.call != callNone
	l.endCall(h, r)
	l.trace(r, "call ended %d after %.1f ms", how, inMS(l.now-r.callAt))
	if l.fleet != nil && made {
		l.fleet.meter.CallEnded(steadyMS(), inMS(l.now-r.callAt), how != admission.OK)
	}
	switch how {
	case admission.OK:
		l.counters.CallsOK++
	case admission.Unrun:
		l.counters.CallsUnrun++
	default:
		l.counters.CallsOther++
	}
	l.next().Returned = append(l.next().Returned,
		admission.Return{ID: uint32(h), How: how, Took: l.now - r.callAt})
}

// endCall takes a call off its wire.
func (l *loop) endCall(h handle, r *request) {
	if w := l.store.wires.get(r.wire); w != nil {
		if i := slices.Index(w.out, h); i >= 0 {
			w.out = slices.Delete(w.out, i, i+1)
		}
		if w.done && w.idle() {
			l.dropWire(r.wire, w)
		}
	}
	r.call, r.wire = callNone, 0
}

// dropCall gives up a call that nobody waits for any more. Its wire may still bring the reply.
func (l *loop) dropCall(h handle, r *request) {
	if w := l.store.wires.get(r.wire); w != nil && r.call == callOut {
		l.scratch = wire.AppendCallCancel(l.scratch[:0], r.task)
		w.line.writer.send(l.scratch, l.limits.LinkQueue)
		l.counters.Dropped++
		w.done = true
	}
	if l.fleet != nil && r.call != callNone {
		l.fleet.meter.CallEnded(steadyMS(), inMS(l.now-r.callAt), false)
	}
	l.endCall(h, r)
}

// replied takes a reply of the store: it counts only for a call that is out on the wire that brought it.
func (l *loop) replied(at handle, w *storeConnection, p wire.CallReply) {
	w.used = l.now
	h, r := l.byTask(p.ID)
	if r == nil || r.call != callOut || r.wire != at {
		l.counters.Strays++
		l.retire(at, w)
		return
	}
	how := admission.Unclear
	switch p.Outcome {
	case wire.CallSucceeded:
		how = admission.OK
		l.ioDone(r, p.Body)
	case wire.CallRejected, wire.CallNotExecuted:
		how = admission.Unrun
	case wire.CallFailed:
		how = admission.Errored
	}
	l.callEnded(h, r, how)
}

// callLate gives up a call that the store did not end in its time.
func (l *loop) callLate(h handle) {
	r := l.requests.get(h)
	if r == nil || r.call == callNone {
		return
	}
	if end := r.callUntil + l.limits.CallGrace; l.now < end {
		return // an earlier call's time; the present one has its own
	}
	how := admission.Unclear
	if r.call == callWaits {
		how = admission.Unrun
	}
	l.dropCall(h, r)
	l.callEnded(h, r, how)
}

// wireUp sends the calls that waited for a wire.
func (l *loop) wireUp(at handle, w *storeConnection) {
	l.store.backoff = backoff{}
	w.used = l.now
	for _, h := range slices.Clone(w.out) {
		if r := l.requests.get(h); r != nil && r.call == callWaits && l.store.wires.get(at) != nil {
			l.sendCall(h, r, w)
		}
	}
}

// wireLost ends every call on a wire: those that had gone out may have run.
func (l *loop) wireLost(at handle, w *storeConnection, err error) {
	if w == nil {
		return
	}
	if w.line.writer == nil {
		l.store.failed(l) // it could not be opened
	}
	if len(w.out) > 0 {
		l.counters.WiresLost++
		l.logf("store: %v with %d calls out", err, len(w.out))
	}
	w.done = false // or the last of its calls would end it again
	for _, h := range slices.Clone(w.out) {
		how := admission.Unrun
		if r := l.requests.get(h); r != nil {
			if r.call == callOut {
				how = admission.Unclear
			}
			l.callEnded(h, r, how)
		}
	}
	l.dropWire(at, w)
}

// moveStore has new calls go to another address; those that are out stay where they are.
func (l *loop) moveStore(addr string) {
	s := &l.store
	if s.addr == addr {
		return
	}
	s.addr, s.backoff = addr, backoff{}
	for h, i := s.wires.next(0); h != 0; h, i = s.wires.next(i) {
		w := s.wires.get(h)
		if w.line.writer != nil {
			l.retire(h, w)
			continue
		}
		// Not open yet, so nothing went out: what waits for it goes to the new address.
		w.line = &line{which: toStore, wire: h, parser: s.parser}
		l.open(w.line, addr)
	}
}
