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

// errTooManyPipelined ends a connection whose client sends more requests ahead of their responses than
// Limits.MaxPipelined allows.
var errTooManyPipelined = errors.New("too many pipelined requests")

// peer is the state of a client connection that its callbacks and the loop share. It owns the descriptor, which netpoll
// closes once, and the buffer of an incomplete message, until release.
//
// A connection ends in this order: the input is sealed once no request is pending, the last response is sent, the
// sending side is shut down, further input is discarded until the client closes or a limit is reached, then the
// descriptor is closed. Requests read before the seal get their responses; nothing read after it reaches the
// controller.
type peer struct {
	writer
	fd              int
	handle          handle       // in the loop's table
	pipelined       atomic.Int32 // messages posted to the loop and not handled yet
	incompleteSince atomic.Int64 // when the incomplete message began, as admission.Time; 0: none

	// inputMu guards the fields below. It is never held while events are posted: the loop takes it too, and a callback
	// that posts may wait for the loop.
	inputMu             sync.Mutex
	input               intake
	sealed              bool // further input is discarded
	closed              bool // the descriptor is about to be closed and its number may be reused
	discarded           int  // bytes received after the seal
	discardLimitReached bool // discarded has exceeded the limit
}

func newPeer(nc netpoll.Connection, fd int, s *crossGoroutine) *peer {
	p := &peer{fd: fd, input: intake{pool: &s.pool}}
	p.writer = writer{conn: nc, pool: &s.pool, workers: s.workers, busy: &s.busy, sendsResponses: true,
		shutDown: p.shutDownWrite}
	return p
}

// readConnection reads the input of a connection and posts its events; it runs in a callback, never twice at once.
func (s *crossGoroutine) readConnection(p *peer, nc netpoll.Connection, now admission.Time) error {
	events, err := p.readInput(nc.Reader(), &s.limits, now)
	for _, e := range events {
		s.post(e)
	}
	return err
}

// readInput reads all available input. Each event is counted in pipelined before the lock is released: a seal between
// the reading of a request and its posting would leave it without a response. See row "idle close" in
// docs/design/shutdown.md.
func (p *peer) readInput(r netpoll.Reader, limits *Limits, now admission.Time) (events []event, err error) {
	p.inputMu.Lock()
	defer p.inputMu.Unlock()
	if !p.sealed {
		collect := func(e event) {
			p.pipelined.Add(1)
			events = append(events, e)
		}
		err = p.input.read(r, func(b *buffer) (event, int, error) { return p.parse(b, limits) }, collect)
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

// stopReading seals the input: everything read from now on is discarded.
func (p *peer) stopReading() {
	p.sealed = true
	p.input.drop()
	p.incompleteSince.Store(0)
}

// parse reads one request. A client that pipelines without reading responses would fill the queue; as netpoll keeps
// reading, the only effective limit is to end the connection. See row "invalid input" in docs/design/shutdown.md.
func (p *peer) parse(b *buffer, limits *Limits) (event, int, error) {
	e := &b.request
	e.peer, e.buffer = p, b
	var n int
	var err error
	e.request, n, err = wire.ParseRequest(b.bytes(), limits.RequestBounds)
	if n > 0 && err == nil && int(p.pipelined.Load()) > limits.MaxPipelined {
		err = errTooManyPipelined
	}
	return e, n, err
}

// updateIncompleteSince records when the message in progress began. Empty lines between requests don't count.
func (p *peer) updateIncompleteSince(now admission.Time) {
	if p.input.buf != nil && onlyLineEnds(p.input.buf.bytes()) {
		p.input.drop()
	}
	switch {
	case p.input.buf == nil:
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

// discard skips input after the seal and reports once that it has exceeded the limit, so that the loop closes the
// connection; an endless body would occupy a core. See rows "the same, and the client continues to send" and "endless
// input" in docs/design/shutdown.md.
func (p *peer) discard(r netpoll.Reader, limit int) (exceeded bool) {
	n := r.Len()
	_ = r.Skip(n) // n bytes are available
	p.discarded += n
	if p.discarded <= limit || p.discardLimitReached {
		return false
	}
	p.discardLimitReached = true
	return true
}

// seal stops the reading of requests and reports whether it has; it refuses while a request is pending: posted and not
// handled, partly read, or unread in a buffer of this process or of the system. With force only requests already posted
// count. A close that crosses a request would leave the client unsure whether it ran. See row "idle close" in
// docs/design/shutdown.md.
func (p *peer) seal(force bool) bool {
	p.inputMu.Lock()
	defer p.inputMu.Unlock()
	if p.pipelined.Load() > 0 {
		return false
	}
	if p.sealed || p.closed {
		return true
	}
	if !force && (p.input.buf != nil || p.conn.Reader().Len() > 0 || hasUnread(p.fd)) {
		return false
	}
	p.stopReading()
	return true
}

// shutDownWrite shuts down the sending side: the client reads the end of the stream after the last response. A plain
// close with unread bytes would send a reset, which could discard that response. See row "response that closes
// (client's request, invalid input, a run that the kernel rejects)" in docs/design/shutdown.md.
func (p *peer) shutDownWrite() {
	p.inputMu.Lock()
	defer p.inputMu.Unlock()
	if !p.closed {
		_ = syscall.Shutdown(p.fd, syscall.SHUT_WR) // see row "shutdown: any" in docs/design/failures.md
	}
}

// release frees the buffer as the descriptor is about to be closed. It sets closed under the lock that shutDownWrite
// takes, so that no other connection with the same descriptor number is shut down. See row "shutdown: any" in
// docs/design/failures.md.
func (p *peer) release() {
	p.inputMu.Lock()
	defer p.inputMu.Unlock()
	p.closed = true
	p.input.drop()
}
