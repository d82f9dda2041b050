package server

import (
	"slices"

	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/wire"
)

// storeConnections is the bounded set of connections to the store, over which runs make calls. It is used by the loop's
// goroutine alone. Each call ends as succeeded, failed, not executed (only if that is proven) or unknown. A connection
// ends after StoreIdleTimeout without calls, or, once retired, with its last call.
//
// Guards against taking a reply for that of another call:
//   - A connection carries one call at a time while the bound on connections allows.
//   - No request makes two calls over one connection, as a duplicate of the first reply would match the second call.
//   - A connection is retired after a reply that matches no call, after a call on it is cancelled or times out, and
//     when the store's address changes.
//   - Idle connections are closed early: a reset of a call on one would not show whether the call was executed.
type storeConnections struct {
	backoff
	addr        string
	connections table[storeConnection]
	parser      linkParser
}

// storeConnection is one connection to the store, open or being dialed.
type storeConnection struct {
	dialed   *dialAttempt
	calls    []handle       // requests whose calls are sent on it or wait for it to open
	lastUsed admission.Time // when it last sent or received
	retired  bool           // gets no further calls
}

func (c *storeConnection) idle() bool { return len(c.calls) == 0 }

// startCall makes the call that a run waits for. A call that gets no connection ends as not executed, as nothing was
// sent: see row "socket, connect: any" in docs/design/failures.md.
func (l *loop) startCall(h handle, r *request, deadline admission.Time) {
	r.setCall(callQueued)
	r.callStarted, r.callDeadline = l.now, deadline
	l.counters.Calls++
	if l.debug {
		l.traceWith(r.id, traceCallStarted, logrus.Fields{logging.WithinMS: milliseconds(deadline - l.now)})
	}
	conn, c, overQuota := l.pickStoreConnection(r)
	if c == nil {
		if overQuota {
			// Keeps the call out of the load report, see callEnded: a rejection by the zone's quota is no failure of
			// the store.
			r.setCall(callNone)
		}
		l.callEnded(h, r, admission.NotExecuted)
		return
	}
	// Closed connections are removed, which bounds the list.
	closed := func(h handle) bool { return l.store.connections.get(h) == nil }
	r.storeConn, r.usedStoreConns = conn, append(slices.DeleteFunc(r.usedStoreConns, closed), conn)
	c.calls = append(c.calls, h)
	l.timers.set(deadline+l.limits.CallGrace, timerCall, h)
	if c.dialed.writer != nil {
		l.sendCall(h, r, c)
	}
}

// pickStoreConnection picks the connection for a call: the most recently used idle one, as it is the least likely to be
// closed by the peer; else a new one, unless the bound, the backoff or the zone's connection rate limit forbids it;
// else the one with the fewest calls; else none. overQuota reports that the zone's limit forbade a new one.
func (l *loop) pickStoreConnection(r *request) (best handle, _ *storeConnection, overQuota bool) {
	s := &l.store
	l.closeIdleStoreConnections()
	for h, i := s.connections.next(0); h != 0; h, i = s.connections.next(i) {
		c := s.connections.get(h)
		if c.retired || slices.Contains(r.usedStoreConns, h) {
			continue
		}
		b := s.connections.get(best)
		if b == nil || len(c.calls) < len(b.calls) || c.idle() && b.idle() && c.lastUsed > b.lastUsed {
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
	h, c, ok := s.connections.take()
	if !ok {
		return best, b, false
	}
	*c = storeConnection{dialed: &dialAttempt{peer: peerStore, storeConn: h, parser: s.parser}, lastUsed: l.now}
	l.open(c.dialed, s.addr)
	l.fleet.connectionOpened()
	return h, c, false
}

// closeIdleStoreConnections closes connections that were idle for longer than StoreIdleTimeout.
func (l *loop) closeIdleStoreConnections() {
	for h, i := l.store.connections.next(0); h != 0; h, i = l.store.connections.next(i) {
		if c := l.store.connections.get(h); c.idle() && l.now-c.lastUsed > l.limits.StoreIdleTimeout {
			l.dropStoreConnection(h, c)
		}
	}
}

// dropStoreConnection removes a connection and closes it through its writer.
func (l *loop) dropStoreConnection(h handle, c *storeConnection) {
	if c.dialed.writer != nil {
		c.dialed.writer.close()
	}
	l.store.connections.drop(h)
}

// retireStoreConnection bars a connection from further calls; it ends with its last call.
func (l *loop) retireStoreConnection(h handle, c *storeConnection) {
	c.retired = true
	if c.idle() {
		l.dropStoreConnection(h, c)
	}
}

// sendCall sends a call on its connection.
func (l *loop) sendCall(h handle, r *request, c *storeConnection) {
	wait := max(wholeMilliseconds(r.callDeadline-l.now), 1)
	l.scratch = wire.AppendCall(l.scratch[:0], r.id, wait, r.callBody)
	if !c.dialed.writer.send(l.scratch, l.limits.LinkQueue) {
		// The queue is full as the store does not read: this call was not sent, the others may have been. See row "link
		// whose peer does not read" in docs/design/shutdown.md.
		conn := r.storeConn
		l.callEnded(h, r, admission.NotExecuted)
		l.storeConnectionLost(conn, l.store.connections.get(conn), errStuck)
		return
	}
	r.setCall(callSent)
	c.lastUsed = l.now
}

// callEnded adds the end of a call to the next round.
func (l *loop) callEnded(h handle, r *request, outcome admission.Outcome) {
	counted := r.call != callNone
	l.detachCall(h, r)
	if l.debug {
		l.traceWith(r.id, traceCallEnded, logrus.Fields{logging.Outcome: outcomeNames[outcome],
			logging.ElapsedMS: milliseconds(l.now - r.callStarted)})
	}
	if counted {
		l.fleet.callEnded(milliseconds(l.now-r.callStarted), outcome != admission.Succeeded)
	}
	switch outcome {
	case admission.Succeeded:
		l.counters.CallsSucceeded++
	case admission.NotExecuted:
		l.counters.CallsNotExecuted++
	default:
		l.counters.CallsFailed++
	}
	l.nextRound().CallEnds = append(l.nextRound().CallEnds,
		admission.CallEnd{ID: uint32(h), Outcome: outcome, Elapsed: l.now - r.callStarted})
}

// detachCall removes a call from its connection.
func (l *loop) detachCall(h handle, r *request) {
	if c := l.store.connections.get(r.storeConn); c != nil {
		if i := slices.Index(c.calls, h); i >= 0 {
			c.calls = slices.Delete(c.calls, i, i+1)
		}
		if c.retired && c.idle() {
			l.dropStoreConnection(r.storeConn, c)
		}
	}
	r.setCall(callNone)
	r.storeConn = 0
}

// cancelCall cancels a call whose result is no longer needed. Its connection is retired, as the reply may still arrive.
func (l *loop) cancelCall(h handle, r *request) {
	if c := l.store.connections.get(r.storeConn); c != nil && r.call == callSent {
		l.scratch = wire.AppendCallCancel(l.scratch[:0], r.id)
		c.dialed.writer.send(l.scratch, l.limits.LinkQueue)
		l.counters.CallsCancelled++
		c.retired = true
	}
	if r.call != callNone {
		// The load report counts the time of a cancelled call, not a failure: see zonegate.Meter.CallEnded.
		l.fleet.callEnded(milliseconds(l.now-r.callStarted), false)
	}
	l.detachCall(h, r)
}

// callReplied handles a reply of the store. It ends a call only if that was sent on the connection of the reply.
func (l *loop) callReplied(conn handle, p wire.CallReply) {
	c := l.store.connections.get(conn)
	c.lastUsed = l.now
	h, r := l.findRequest(p.ID)
	if r == nil || r.call != callSent || r.storeConn != conn {
		l.counters.StrayReplies++
		l.retireStoreConnection(conn, c)
		return
	}
	outcome := admission.Unknown
	switch p.Outcome {
	case wire.CallSucceeded:
		outcome = admission.Succeeded
		l.sendCallReply(r, p.Body)
	case wire.CallRejected, wire.CallNotExecuted:
		outcome = admission.NotExecuted
	case wire.CallFailed:
		outcome = admission.Failed
	}
	l.callEnded(h, r, outcome)
}

// callTimedOut ends a call without a reply at CallGrace after its deadline. Guards against a store that forgets a call:
// the run would wait, and hold its run slot, until its request's deadline. See row "call without a reply" in
// docs/design/shutdown.md.
func (l *loop) callTimedOut(h handle) {
	r := l.requests.get(h)
	if r == nil || r.call == callNone {
		return
	}
	if end := r.callDeadline + l.limits.CallGrace; l.now < end {
		return // the timer of an earlier call
	}
	outcome := admission.Unknown
	if r.call == callQueued {
		outcome = admission.NotExecuted
	}
	l.cancelCall(h, r)
	l.callEnded(h, r, outcome)
}

// storeConnected sends the calls that waited for a connection to open.
func (l *loop) storeConnected(conn handle, c *storeConnection) {
	l.store.backoff = backoff{}
	c.lastUsed = l.now
	for _, h := range slices.Clone(c.calls) {
		if r := l.requests.get(h); r != nil && r.call == callQueued && l.store.connections.get(conn) != nil {
			l.sendCall(h, r, c)
		}
	}
}

// storeConnectionLost ends every call on a connection that ended or could not be opened: calls that were sent as
// unknown, those that waited for it to open as not executed. StoreConnectionsLost counts both kinds of connection. See
// row "store connection broken, invalid, idle" in docs/design/shutdown.md.
func (l *loop) storeConnectionLost(conn handle, c *storeConnection, err error) {
	if c == nil {
		return
	}
	if c.dialed.writer == nil {
		l.store.recordFailure(l.now, &l.limits) // the dial failed
	}
	if len(c.calls) > 0 {
		l.counters.StoreConnectionsLost++
		if log := l.limitLog(); log != nil {
			log.WithFields(logrus.Fields{logging.Error: err, logging.Calls: len(c.calls),
				logging.CallsMayHaveRun: l.callsSent(c)}).Info(logStoreConnectionLost)
		}
	}
	c.retired = false // keeps detachCall from dropping the connection, which is dropped below
	for _, h := range slices.Clone(c.calls) {
		outcome := admission.NotExecuted
		if r := l.requests.get(h); r != nil {
			if r.call == callSent {
				outcome = admission.Unknown
			}
			l.callEnded(h, r, outcome)
		}
	}
	l.dropStoreConnection(conn, c)
}

// callsSent counts the calls on a connection that were sent, and so may have been executed.
func (l *loop) callsSent(c *storeConnection) (n int) {
	for _, h := range c.calls {
		if r := l.requests.get(h); r != nil && r.call == callSent {
			n++
		}
	}
	return n
}

// setStoreAddress changes the store's address. Calls that were sent stay on their connections, which are retired.
func (l *loop) setStoreAddress(addr string) {
	s := &l.store
	if s.addr == addr {
		return
	}
	s.addr, s.backoff = addr, backoff{}
	for h, i := s.connections.next(0); h != 0; h, i = s.connections.next(i) {
		c := s.connections.get(h)
		if c.dialed.writer != nil {
			l.retireStoreConnection(h, c)
			continue
		}
		// Not open yet, so nothing was sent: the waiting calls go to the new address.
		c.dialed = &dialAttempt{peer: peerStore, storeConn: h, parser: s.parser}
		l.open(c.dialed, addr)
	}
}

// storeParser returns the parser of the store's replies.
func storeParser(bounds wire.Bounds) linkParser {
	return func(from *dialAttempt, b *buffer) (event, int, error) {
		e := &b.reply
		e.dialed, e.buffer = from, b
		var n int
		var err error
		e.reply, n, err = wire.ParseCallReply(b.bytes(), bounds)
		return e, n, err
	}
}
