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

type storeConnections struct {
	backoff
	addr        string
	connections table[storeConnection]
	parser      linkParser
}

// wire is one connection to the store.
type storeConnection struct {
	dialed   *dialed
	calls    []handle       // reqs whose calls are out on it, or wait for it to open
	lastUsed admission.Time // when it last carried anything
	retired  bool           // not trusted with another call
}

func (w *storeConnection) idle() bool { return len(w.calls) == 0 }

// call makes the call that a run stands at.
func (l *loop) startCall(h handle, r *request, until admission.Time) {
	r.setCall(callQueued)
	r.callStarted, r.callDeadline = l.now, until
	l.counters.Calls++
	l.trace(r, "call until %.1f ms", milliseconds(until-l.now))
	held := l.deferredDials
	at, w := l.pickStoreConnection(r)
	if w == nil {
		if l.deferredDials != held {
			r.setCall(callNone) // by the zone's order: it says nothing about the store
		}
		l.callEnded(h, r, admission.NotExecuted)
		return
	}
	// Only wires that are still there matter, so this stays as short as their table.
	gone := func(h handle) bool { return l.store.connections.get(h) == nil }
	r.storeConn, r.usedStoreConns = at, append(slices.DeleteFunc(r.usedStoreConns, gone), at)
	w.calls = append(w.calls, h)
	l.timers.set(until+l.limits.CallGrace, timerCall, h)
	if w.dialed.writer != nil {
		l.sendCall(h, r, w)
	}
}

// pickStoreConnection finds the wire for a call: the idle one used last, else a new one, else the one with the fewest
// calls.
func (l *loop) pickStoreConnection(r *request) (best handle, _ *storeConnection) {
	s := &l.store
	l.closeIdleStoreConnections()
	for h, i := s.connections.next(0); h != 0; h, i = s.connections.next(i) {
		w := s.connections.get(h)
		if w.retired || slices.Contains(r.usedStoreConns, h) {
			continue
		}
		b := s.connections.get(best)
		if b == nil || len(w.calls) < len(b.calls) || w.idle() && b.idle() && w.lastUsed > b.lastUsed {
			best = h
		}
	}
	if b := s.connections.get(best); b != nil && b.idle() || s.addr == "" || l.now < s.notBefore || !l.mayDial() {
		return best, b
	}
	h, w, ok := s.connections.take()
	if !ok {
		return best, s.connections.get(best)
	}
	*w = storeConnection{dialed: &dialed{peer: peerStore, storeConn: h, parser: s.parser}, lastUsed: l.now}
	l.open(w.dialed, s.addr)
	l.fleet.connectionOpened()
	return h, w
}

// closeIdleStoreConnections lets go of wires that were idle for too long to be trusted with a call.
func (l *loop) closeIdleStoreConnections() {
	for h, i := l.store.connections.next(0); h != 0; h, i = l.store.connections.next(i) {
		if w := l.store.connections.get(h); w.idle() && l.now-w.lastUsed > l.limits.StoreIdleTimeout {
			l.dropStoreConnection(h, w)
		}
	}
}

func (l *loop) dropStoreConnection(h handle, w *storeConnection) {
	if w.dialed.writer != nil {
		w.dialed.writer.close()
	}
	l.store.connections.drop(h)
}

// retire has a wire used no more; it ends with its last call.
func (l *loop) retireStoreConnection(h handle, w *storeConnection) {
	w.retired = true
	if w.idle() {
		l.dropStoreConnection(h, w)
	}
}

func (l *loop) sendCall(h handle, r *request, w *storeConnection) {
	wait := max((r.callDeadline-l.now+9)/10, 1)
	l.scratch = wire.AppendCall(l.scratch[:0], r.id, int64(wait), r.callBody)
	if !w.dialed.writer.send(l.scratch, l.limits.LinkQueue) {
		// The queue is full because the store takes nothing: this call never left, the others may have.
		at := r.storeConn
		l.callEnded(h, r, admission.NotExecuted)
		l.storeConnectionLost(at, l.store.connections.get(at), errStuck)
		return
	}
	r.setCall(callSent)
	w.lastUsed = l.now
}

// callEnded tells the module of the end of a call, in the next round.
func (l *loop) callEnded(h handle, r *request, how admission.Outcome) {
	made := r.call != callNone
	l.endCall(h, r)
	l.trace(r, "call ended %d after %.1f ms", how, milliseconds(l.now-r.callStarted))
	if made {
		l.fleet.callEnded(milliseconds(l.now-r.callStarted), how != admission.Succeeded)
	}
	switch how {
	case admission.Succeeded:
		l.counters.CallsOK++
	case admission.NotExecuted:
		l.counters.CallsUnrun++
	default:
		l.counters.CallsOther++
	}
	l.nextRound().CallEnds = append(l.nextRound().CallEnds,
		admission.CallEnd{ID: uint32(h), Outcome: how, Elapsed: l.now - r.callStarted})
}

// endCall takes a call off its wire.
func (l *loop) endCall(h handle, r *request) {
	if w := l.store.connections.get(r.storeConn); w != nil {
		if i := slices.Index(w.calls, h); i >= 0 {
			w.calls = slices.Delete(w.calls, i, i+1)
		}
		if w.retired && w.idle() {
			l.dropStoreConnection(r.storeConn, w)
		}
	}
	r.setCall(callNone)
	r.storeConn = 0
}

// cancelCall gives up a call that nobody waits for any more. Its wire may still bring the reply.
func (l *loop) cancelCall(h handle, r *request) {
	if w := l.store.connections.get(r.storeConn); w != nil && r.call == callSent {
		l.scratch = wire.AppendCallCancel(l.scratch[:0], r.id)
		w.dialed.writer.send(l.scratch, l.limits.LinkQueue)
		l.counters.Dropped++
		w.retired = true
	}
	if r.call != callNone {
		l.fleet.callEnded(milliseconds(l.now-r.callStarted), false)
	}
	l.endCall(h, r)
}

// replied takes a reply of the store: it counts only for a call that is out on the wire that brought it.
func (l *loop) callReplied(at handle, p wire.CallReply) {
	w := l.store.connections.get(at)
	w.lastUsed = l.now
	h, r := l.findRequest(p.ID)
	if r == nil || r.call != callSent || r.storeConn != at {
		l.counters.Strays++
		l.retireStoreConnection(at, w)
		return
	}
	how := admission.Unknown
	switch p.Outcome {
	case wire.CallSucceeded:
		how = admission.Succeeded
		l.sendCallReply(r, p.Body)
	case wire.CallRejected, wire.CallNotExecuted:
		how = admission.NotExecuted
	case wire.CallFailed:
		how = admission.Failed
	}
	l.callEnded(h, r, how)
}

// callTimedOut gives up a call that the store did not end in its time.
func (l *loop) callTimedOut(h handle) {
	r := l.requests.get(h)
	if r == nil || r.call == callNone {
		return
	}
	if end := r.callDeadline + l.limits.CallGrace; l.now < end {
		return // an earlier call's time; the present one has its own
	}
	how := admission.Unknown
	if r.call == callQueued {
		how = admission.NotExecuted
	}
	l.cancelCall(h, r)
	l.callEnded(h, r, how)
}

// storeConnected sends the calls that waited for a wire.
func (l *loop) storeConnected(at handle, w *storeConnection) {
	l.store.backoff = backoff{}
	w.lastUsed = l.now
	for _, h := range slices.Clone(w.calls) {
		if r := l.requests.get(h); r != nil && r.call == callQueued && l.store.connections.get(at) != nil {
			l.sendCall(h, r, w)
		}
	}
}

// storeConnectionLost ends every call on a wire: those that had gone out may have run.
func (l *loop) storeConnectionLost(at handle, w *storeConnection, err error) {
	if w == nil {
		return
	}
	if w.dialed.writer == nil {
		l.store.failed(l) // it could not be opened
	}
	if len(w.calls) > 0 {
		l.counters.WiresLost++
		l.logf("store: %v with %d calls out", err, len(w.calls))
	}
	w.retired = false // or the last of its calls would end it again
	for _, h := range slices.Clone(w.calls) {
		how := admission.NotExecuted
		if r := l.requests.get(h); r != nil {
			if r.call == callSent {
				how = admission.Unknown
			}
			l.callEnded(h, r, how)
		}
	}
	l.dropStoreConnection(at, w)
}

// moveStore has new calls go to another address; those that are out stay where they are.
func (l *loop) moveStore(addr string) {
	s := &l.store
	if s.addr == addr {
		return
	}
	s.addr, s.backoff = addr, backoff{}
	for h, i := s.connections.next(0); h != 0; h, i = s.connections.next(i) {
		w := s.connections.get(h)
		if w.dialed.writer != nil {
			l.retireStoreConnection(h, w)
			continue
		}
		// Not open yet, so nothing went out: what waits for it goes to the new address.
		w.dialed = &dialed{peer: peerStore, storeConn: h, parser: s.parser}
		l.open(w.dialed, addr)
	}
}

// storeParser reads replies of the store.
func storeParser(bounds wire.Bounds) linkParser {
	return func(from *dialed, b *buffer) (event, int, error) {
		e := &b.reply
		e.dialed, e.buffer = from, b
		var n int
		var err error
		e.reply, n, err = wire.ParseCallReply(b.bytes(), bounds)
		return e, n, err
	}
}
