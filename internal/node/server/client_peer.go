// Peer: one connection of a client as its callbacks know it: what has been read of it, and the end of each of
// its two directions. A connection is ended in order: reading is sealed once nothing is on its way, the last
// answer goes out, the sending side is shut down, what still comes is discarded until the client closes or a
// bound is reached, then the descriptor is closed. Whatever was read before the seal is answered first, and
// nothing that comes after it is ever forwarded.

package server

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cloudwego/netpoll"

	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

var errAhead = errors.New("too many requests ahead of their answers")

// peer is shared by the connection's callbacks and the loop.
type peer struct {
	writer
	fd              int
	handle          handle       // the loop's
	pipelined       atomic.Int32 // messages handed over and not begun
	incompleteSince atomic.Int64 // since when a message is not whole; 0: there is none

	// intake is held while input is read, never while it is handed over: the loop takes it too, and who hands over
	// may be waiting for the loop.
	intake    sync.Mutex
	in        intake
	sealed    bool // what comes is discarded
	closed    bool // the descriptor is about to be closed and may soon be another's
	discarded int  // bytes that came after the seal
	flooded   bool // they were more than is borne
}

func newPeer(nc netpoll.Connection, fd int, l *loop) *peer {
	p := &peer{fd: fd, in: intake{pool: &l.pool}}
	p.writer = writer{conn: nc, pool: &l.pool, workers: l.workers, busy: &l.busy, owesAnswers: true, shutDown: p.shutDownWrite}
	return p
}

// heard reads what a connection has brought and hands it over; it runs in a callback, never twice at once.
func (l *loop) readConnection(p *peer, nc netpoll.Connection) error {
	events, err := p.take(nc.Reader(), &l.limits, timeOf(l.clock.Now()))
	for _, e := range events {
		l.post(e)
	}
	return err
}

// take reads all that has come. Each event is counted as on its way before the lock is let go of, so that no seal
// can come between its reading and its handing over.
func (p *peer) take(r netpoll.Reader, limits *Limits, now admission.Time) (events []event, err error) {
	p.intake.Lock()
	defer p.intake.Unlock()
	if !p.sealed {
		collect := func(e event) {
			p.pipelined.Add(1)
			events = append(events, e)
		}
		err = p.in.read(r, func(b *buffer) (event, int, error) { return p.parse(b, limits) }, collect)
		if err == nil {
			p.noteUnfinished(now)
			return events, nil
		}
		p.stopReading()
		collect(&requestUnreadable{peer: p, err: err})
	}
	if p.discard(r, limits.DiscardBytes) {
		events = append(events, connectionFlooded{peer: p})
	}
	return events, r.Release()
}

// stopReading has all that comes discarded from here on.
func (p *peer) stopReading() {
	p.sealed = true
	p.in.drop()
	p.incompleteSince.Store(0)
}

// parse reads one request. netpoll reads on whatever is done here, so the only bound on pipelined requests
// that holds is to take no more of them.
func (p *peer) parse(b *buffer, limits *Limits) (event, int, error) {
	e := &b.request
	e.peer, e.buffer = p, b
	var n int
	var err error
	e.request, n, err = wire.ParseRequest(b.bytes(), limits.RequestBounds)
	if n > 0 && err == nil && int(p.pipelined.Load()) > limits.Pipelined {
		err = errAhead
	}
	return e, n, err
}

// noteUnfinished keeps since when a message is not whole. Empty lines between requests are no message.
func (p *peer) noteUnfinished(now admission.Time) {
	if p.in.buf != nil && onlyLineEnds(p.in.buf.bytes()) {
		p.in.drop()
	}
	switch {
	case p.in.buf == nil:
		p.incompleteSince.Store(0)
	case p.incompleteSince.Load() == 0:
		p.incompleteSince.Store(int64(now))
	}
}

func onlyLineEnds(b []byte) bool {
	for _, c := range b {
		if c != '\r' && c != '\n' {
			return false
		}
	}
	return true
}

// discard passes over what comes after the seal, and tells when it has become more than a bound. Guards against
// endless bodies, which take cores for as long as they are read: the loop closes the connection then, once nothing is
// owed on it.
func (p *peer) discard(r netpoll.Reader, most int) (tooMuch bool) {
	n := r.Len()
	r.Skip(n)
	p.discarded += n
	if p.discarded <= most || p.flooded {
		return false
	}
	p.flooded = true
	return true
}

// seal ends the reading of requests, unless one is on its way: handed over and not begun, begun to be read, or
// in a buffer of this process or of the system. With force only what was read whole counts.
func (p *peer) seal(force bool) bool {
	p.intake.Lock()
	defer p.intake.Unlock()
	if p.pipelined.Load() > 0 {
		return false
	}
	if p.sealed || p.closed {
		return true
	}
	if !force && (p.in.buf != nil || p.conn.Reader().Len() > 0 || hasUnread(p.fd)) {
		return false
	}
	p.stopReading()
	return true
}

// hasUnread tells whether bytes wait in a socket's receive buffer; the end of the stream is none.
func hasUnread(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n > 0 || err == syscall.EINTR
}

// shutDownWrite ends the sending side: the client reads the end of the stream after the last answer. A close in
// its place would reset the connection where bytes are unread, and could take that answer with it.
func (p *peer) shutDownWrite() {
	p.intake.Lock()
	defer p.intake.Unlock()
	if !p.closed {
		syscall.Shutdown(p.fd, syscall.SHUT_WR)
	}
}

// release ends what the peer holds as its descriptor is about to be closed.
func (p *peer) release() {
	p.intake.Lock()
	defer p.intake.Unlock()
	p.closed = true
	p.in.drop()
}
