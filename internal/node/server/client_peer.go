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

// errTooManyPipelined is what a client gets that sends more requests on one connection than are taken ahead of their
// responses.
var errTooManyPipelined = errors.New("too many requests ahead of their answers")

// peer is one connection of a client as its callbacks know it, which share it with the loop: what has been read of it,
// and the end of each of its two directions. A connection is ended in order: reading is sealed once nothing is on its
// way, the last response goes out, the sending side is shut down, what still comes is discarded until the client
// closes or a bound is reached, then the descriptor is closed. Whatever was read before the seal is answered first,
// and nothing that comes after it ever reaches the controller. It owns the descriptor, which netpoll closes once for
// it, and the buffer of what is incomplete, until release.
type peer struct {
	writer
	fd              int
	handle          handle       // the loop's
	pipelined       atomic.Int32 // messages handed over and not begun
	incompleteSince atomic.Int64 // since when a message is incomplete; 0: none is

	// intake is held while input is read, never while it is handed over: the loop takes it too, and a callback that
	// hands over may be waiting for the loop.
	intake              sync.Mutex
	in                  intake
	sealed              bool // what comes is discarded
	closed              bool // the descriptor is about to be closed and may soon be another's
	discarded           int  // bytes that came after the seal
	discardLimitReached bool // they were more than is passed over
}

func newPeer(nc netpoll.Connection, fd int, s *crossGoroutine) *peer {
	p := &peer{fd: fd, in: intake{pool: &s.pool}}
	p.writer = writer{conn: nc, pool: &s.pool, workers: s.workers, busy: &s.busy, sendsResponses: true,
		shutDown: p.shutDownWrite}
	return p
}

// readConnection reads what a connection has brought and hands it over; it runs in a callback, never twice at once.
func (s *crossGoroutine) readConnection(p *peer, nc netpoll.Connection, now admission.Time) error {
	events, err := p.readInput(nc.Reader(), &s.limits, now)
	for _, e := range events {
		s.post(e)
	}
	return err
}

// readInput reads all that has come. Guards against a seal between the reading of a request and its handing over, which
// would leave it without a response: each event is counted in pipelined before the lock is released. See row "idle
// close" in docs/design/shutdown.md.
func (p *peer) readInput(r netpoll.Reader, limits *Limits, now admission.Time) (events []event, err error) {
	p.intake.Lock()
	defer p.intake.Unlock()
	if !p.sealed {
		collect := func(e event) {
			p.pipelined.Add(1)
			events = append(events, e)
		}
		err = p.in.read(r, func(b *buffer) (event, int, error) { return p.parse(b, limits) }, collect)
		if err == nil {
			p.updateIncompleteSince(now)
			return events, nil
		}
		p.stopReading()
		collect(&requestUnreadable{peer: p, err: err})
	}
	if p.discard(r, limits.DiscardBytes) {
		events = append(events, discardLimitExceeded{peer: p})
	}
	return events, r.Release()
}

// stopReading has all that comes discarded from here on.
func (p *peer) stopReading() {
	p.sealed = true
	p.in.drop()
	p.incompleteSince.Store(0)
}

// parse reads one request. Guards against clients that send requests without end and read no response, which would
// fill the queue: netpoll reads on whatever is done here, so the only bound that holds is to end the connection. See
// row "bad input" in docs/design/shutdown.md.
func (p *peer) parse(b *buffer, limits *Limits) (event, int, error) {
	e := &b.request
	e.peer, e.buffer = p, b
	var n int
	var err error
	e.request, n, err = wire.ParseRequest(b.bytes(), limits.RequestBounds)
	if n > 0 && err == nil && int(p.pipelined.Load()) > limits.Pipelined {
		err = errTooManyPipelined
	}
	return e, n, err
}

// updateIncompleteSince keeps since when a message is incomplete. Empty lines between requests are no message.
func (p *peer) updateIncompleteSince(now admission.Time) {
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

// discard passes over what comes after the seal, and tells once when it has become more than a bound. Guards against
// endless bodies, which take a core for as long as they are read: the loop closes the connection then. See rows "the
// same, and the client goes on" and "endless input" in docs/design/shutdown.md.
func (p *peer) discard(r netpoll.Reader, limit int) (tooMuch bool) {
	n := r.Len()
	_ = r.Skip(n) // n bytes are there
	p.discarded += n
	if p.discarded <= limit || p.discardLimitReached {
		return false
	}
	p.discardLimitReached = true
	return true
}

// seal ends the reading of requests, unless one is on its way: handed over and not begun, begun to be read, or in a
// buffer of this process or of the system. With force only complete requests count. Guards against a close that
// crosses a request: the client could not tell whether it ran. It holds as reading and the seal exclude each other by
// intake. See row "idle close" and the order in which a connection ends in docs/design/shutdown.md.
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

// hasUnread tells whether bytes wait in a socket's receive buffer; the end of the stream is none. A look that was
// interrupted says nothing, and counts as bytes: the end of the connection is tried again later. See row "recv with
// MSG_PEEK: EINTR" in docs/design/failures.md.
func hasUnread(fd int) bool {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n > 0 || err == syscall.EINTR
}

// shutDownWrite ends the sending side: the client reads the end of the stream after the last response. Guards against a
// reset: a close with bytes unread would send one, and it could take that response with it. See row "answer that closes
// (client's wish, bad input, a run that the kernel does not take up)" in docs/design/shutdown.md.
func (p *peer) shutDownWrite() {
	p.intake.Lock()
	defer p.intake.Unlock()
	if !p.closed {
		_ = syscall.Shutdown(p.fd, syscall.SHUT_WR) // see row "shutdown: any" in docs/design/failures.md
	}
}

// release gives back what the peer holds, as its descriptor is about to be closed. Guards against a shutdown of
// another connection that gets the descriptor's number: closed is set under the lock that shutDownWrite takes. See row
// "shutdown: any" in docs/design/failures.md.
func (p *peer) release() {
	p.intake.Lock()
	defer p.intake.Unlock()
	p.closed = true
	p.in.drop()
}
