package server

import (
	"slices"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// storeConnections are the connections to the store, over which runs make their calls. It owns a bounded set of them,
// which of them each call is out on, and how each call ended: not executed, unknown, failed, or succeeded. It never
// says that a call was not executed unless that is proven, never takes a reply for another call than the one it was
// made for, and never makes a call by itself: each is the controller's decision. A connection ends once it was idle
// for StoreIdleTimeout, or with its last call once it is retired.
//
// Guards of one call against another's reply:
//   - A connection carries one call at a time while the bound on connections allows, as whatever spoils one reply
//     spoils all that are out on its connection.
//   - No request calls twice over one connection, so that a second copy of a reply can't pass for the reply to its
//     next call.
//   - A connection is retired once it brought a reply that nobody waits for, a call on it was given up or got no reply
//     in its time, or the store has moved.
//   - A reset at a call after an idle time proves nothing: it looks the same where the call ran and its reply was
//     lost. So idle connections are closed early instead.
type storeConnections struct {
	backoff
	addr        string
	connections table[storeConnection]
	parser      linkParser
}

// storeConnection is one connection to the store.
type storeConnection struct {
	dialed   *dialed
	calls    []handle       // requests whose calls are out on it, or wait for it to open
	lastUsed admission.Time // when it last carried anything
	retired  bool           // gets no further call
}

func (w *storeConnection) idle() bool { return len(w.calls) == 0 }

// startCall makes the call that a run waits for. One that gets no connection ends as not executed, which is proven as
// not a byte of it was sent: see row "socket, connect: any" in docs/design/failures.md.
func (l *loop) startCall(h handle, r *request, until admission.Time) {
	r.setCall(callQueued)
	r.callStarted, r.callDeadline = l.now, until
	l.counters.Calls++
	if l.debug {
		l.traceWith(r.id, traceCallStarted, logrus.Fields{logging.WithinMS: milliseconds(until - l.now)})
	}
	at, w, deferred := l.pickStoreConnection(r)
	if w == nil {
		if deferred {
			// That the zone's quota put a dial off says nothing about the store: the load report is not told of a call
			// that is none by now, see callEnded.
			r.setCall(callNone)
		}
		l.callEnded(h, r, admission.NotExecuted)
		return
	}
	// Only connections that are still there matter, so this stays as short as their table.
	gone := func(h handle) bool { return l.store.connections.get(h) == nil }
	r.storeConn, r.usedStoreConns = at, append(slices.DeleteFunc(r.usedStoreConns, gone), at)
	w.calls = append(w.calls, h)
	l.timers.set(until+l.limits.CallGrace, timerCall, h)
	if w.dialed.writer != nil {
		l.sendCall(h, r, w)
	}
}

// pickStoreConnection finds the connection for a call: the idle one used last, as it is the least likely to be closed
// by the other side; else a new one, unless the bound, the backoff after a failed dial or the zone's quota forbids it;
// else the one with the fewest calls, which shares their fate if it breaks. None: the call ends as not executed, which
// harms only that request. deferred tells that the zone's quota put a new one off.
func (l *loop) pickStoreConnection(r *request) (best handle, _ *storeConnection, deferred bool) {
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
	b := s.connections.get(best)
	if b != nil && b.idle() || s.addr == "" || l.now < s.notBefore {
		return best, b, false
	}
	if !l.fleet.admitConnection() {
		return best, b, true
	}
	h, w, ok := s.connections.take()
	if !ok {
		return best, b, false
	}
	*w = storeConnection{dialed: &dialed{peer: peerStore, storeConn: h, parser: s.parser}, lastUsed: l.now}
	l.open(w.dialed, s.addr)
	l.fleet.connectionOpened()
	return h, w, false
}

// closeIdleStoreConnections closes connections that were idle for too long to be trusted with a call.
func (l *loop) closeIdleStoreConnections() {
	for h, i := l.store.connections.next(0); h != 0; h, i = l.store.connections.next(i) {
		if w := l.store.connections.get(h); w.idle() && l.now-w.lastUsed > l.limits.StoreIdleTimeout {
			l.dropStoreConnection(h, w)
		}
	}
}

// dropStoreConnection ends a connection, after what waits to go out on it.
func (l *loop) dropStoreConnection(h handle, w *storeConnection) {
	if w.dialed.writer != nil {
		w.dialed.writer.close()
	}
	l.store.connections.drop(h)
}

// retireStoreConnection has a connection used for no further call; it ends with its last.
func (l *loop) retireStoreConnection(h handle, w *storeConnection) {
	w.retired = true
	if w.idle() {
		l.dropStoreConnection(h, w)
	}
}

// sendCall sends a call on its connection.
func (l *loop) sendCall(h handle, r *request, w *storeConnection) {
	wait := max(wholeMilliseconds(r.callDeadline-l.now), 1)
	l.scratch = wire.AppendCall(l.scratch[:0], r.id, wait, r.callBody)
	if !w.dialed.writer.send(l.scratch, l.limits.LinkQueue) {
		// The queue is full because the store takes nothing: this call never left, the others may have. See row "link
		// that takes nothing" in docs/design/shutdown.md.
		at := r.storeConn
		l.callEnded(h, r, admission.NotExecuted)
		l.storeConnectionLost(at, l.store.connections.get(at), errStuck)
		return
	}
	r.setCall(callSent)
	w.lastUsed = l.now
}

// callEnded has the controller hear of the end of a call in the next round.
func (l *loop) callEnded(h handle, r *request, how admission.Outcome) {
	made := r.call != callNone
	l.detachCall(h, r)
	if l.debug {
		l.traceWith(r.id, traceCallEnded, logrus.Fields{logging.Outcome: outcomeNames[how],
			logging.ElapsedMS: milliseconds(l.now - r.callStarted)})
	}
	if made {
		l.fleet.callEnded(milliseconds(l.now-r.callStarted), how != admission.Succeeded)
	}
	switch how {
	case admission.Succeeded:
		l.counters.CallsSucceeded++
	case admission.NotExecuted:
		l.counters.CallsNotExecuted++
	default:
		l.counters.CallsFailed++
	}
	l.nextRound().CallEnds = append(l.nextRound().CallEnds,
		admission.CallEnd{ID: uint32(h), Outcome: how, Elapsed: l.now - r.callStarted})
}

// detachCall takes a call off its connection.
func (l *loop) detachCall(h handle, r *request) {
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

// cancelCall gives up a call that nobody waits for any more. Its connection may still bring the reply, so it is
// retired.
func (l *loop) cancelCall(h handle, r *request) {
	if w := l.store.connections.get(r.storeConn); w != nil && r.call == callSent {
		l.scratch = wire.AppendCallCancel(l.scratch[:0], r.id)
		w.dialed.writer.send(l.scratch, l.limits.LinkQueue)
		l.counters.CallsCancelled++
		w.retired = true
	}
	if r.call != callNone {
		// A call that was given up counts by its time alone, not as failed: see zonegate.Meter.CallEnded.
		l.fleet.callEnded(milliseconds(l.now-r.callStarted), false)
	}
	l.detachCall(h, r)
}

// callReplied takes a reply of the store: it counts only for a call that is out on the connection that brought it.
func (l *loop) callReplied(at handle, p wire.CallReply) {
	w := l.store.connections.get(at)
	w.lastUsed = l.now
	h, r := l.findRequest(p.ID)
	if r == nil || r.call != callSent || r.storeConn != at {
		l.counters.StrayReplies++
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

// callTimedOut gives up a call that the store did not end by CallGrace after its deadline. Guards against a store that
// forgets a call: its run would wait, and hold its slot, until its request's deadline. See row "call that the store
// forgets" in docs/design/shutdown.md.
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

// storeConnected sends the calls that waited for a connection to open.
func (l *loop) storeConnected(at handle, w *storeConnection) {
	l.store.backoff = backoff{}
	w.lastUsed = l.now
	for _, h := range slices.Clone(w.calls) {
		if r := l.requests.get(h); r != nil && r.call == callQueued && l.store.connections.get(at) != nil {
			l.sendCall(h, r, w)
		}
	}
}

// storeConnectionLost ends every call on a connection that ended or could not be opened: those that had gone out may
// have run, those that waited for it to open did not. StoreConnectionsLost counts both kinds of connection. See row
// "store connection broken, spoilt, idle" in docs/design/shutdown.md.
func (l *loop) storeConnectionLost(at handle, w *storeConnection, err error) {
	if w == nil {
		return
	}
	if w.dialed.writer == nil {
		l.store.failed(l.now, &l.limits) // it could not be opened
	}
	if len(w.calls) > 0 {
		l.counters.StoreConnectionsLost++
		if log := l.limitLog(); log != nil {
			log.WithFields(logrus.Fields{logging.Error: err, logging.Calls: len(w.calls),
				logging.CallsMayHaveRun: l.callsSent(w)}).Info(logStoreConnectionLost)
		}
	}
	w.retired = false // detachCall drops a retired connection with its last call; this one is dropped below, once
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

// callsSent counts the calls on a connection that went out, and so may have run.
func (l *loop) callsSent(w *storeConnection) (n int) {
	for _, h := range w.calls {
		if r := l.requests.get(h); r != nil && r.call == callSent {
			n++
		}
	}
	return n
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
