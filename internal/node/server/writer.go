package server

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// writer is the sending side of a connection. It never blocks its caller: bytes are queued, and flushed by a goroutine
// that ends once the queue is empty. The writer owns the queued buffers, and the close of the connection if the loop
// asks for it; it ends with finish, close or an error. The queue and the time of a flush are limited, so that a peer
// that reads nothing holds up no others. See row "client that does not read" in docs/design/shutdown.md and row "write:
// EAGAIN, short" in docs/design/failures.md.
type writer struct {
	conn     netpoll.Connection
	pool     *bufferPool
	workers  workers
	busy     *atomic.Int64 // number of writers that are sending
	mu       sync.Mutex
	queue    []*buffer // buffers that flush has not taken yet
	flushing bool
	closed   bool         // send fails
	ending   writerEnding // what to do once the queue is empty

	sendsResponses bool   // responses, which get a buffer beyond the pool's capacity
	shutDown       func() // shuts down the sending side

	peerEnded func() bool // nil, or reports whether the peer can read nothing any more: then nothing is sent
	aborted   bool
	begun     uint64 // bytes that were sent, or may have been
}

// newWriter returns the writer of an outgoing connection.
func (s *crossGoroutine) newWriter(conn netpoll.Connection) *writer {
	return &writer{conn: conn, pool: &s.pool, workers: s.workers, busy: &s.busy}
}

// writerEnding is what happens to a connection once its queue is empty.
type writerEnding uint8

const (
	keepOpen         writerEnding = iota
	shutDownWhenSent              // shuts down the sending side
	closeWhenSent
)

// send queues b. It returns false if the queue would exceed limit buffers, or the writer is closed.
func (w *writer) send(b []byte, limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.queue)+len(b)/bufferBytes >= limit {
		return false
	}
	for len(b) > 0 {
		n := len(w.queue)
		if n == 0 || w.queue[n-1].length == bufferBytes {
			t := w.newBuffer()
			if t == nil {
				w.closed, w.ending = true, closeWhenSent // the message is incomplete, so nothing may follow it
				w.startFlush()
				return false
			}
			w.queue = append(w.queue, t)
			n++
		}
		t := w.queue[n-1]
		k := copy(t.data[t.length:], b)
		t.length += k
		b = b[k:]
	}
	w.startFlush()
	return true
}

// newBuffer returns an empty buffer; nil if none is free.
func (w *writer) newBuffer() *buffer {
	if w.sendsResponses {
		return w.pool.getForResponse()
	}
	return w.pool.get()
}

// finish shuts down the sending side once the queue is empty.
func (w *writer) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed, w.ending = true, max(w.ending, shutDownWhenSent)
	w.startFlush()
}

// close closes the connection once the queue is empty.
func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed, w.ending = true, closeWhenSent
	w.startFlush()
}

// abort closes the connection without sending the rest of the queue. Of all bytes that were queued on it, the peer may
// have read the first begun ones; the others were never sent.
func (w *writer) abort() (begun uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed, w.aborted, w.ending = true, true, closeWhenSent
	for _, b := range w.queue {
		w.pool.put(b)
	}
	w.queue = w.queue[:0]
	w.startFlush()
	return w.begun
}

// begin counts the bytes of buffers that are about to be sent. It returns false if they must not be sent, as the
// connection was aborted or its peer has ended it.
func (w *writer) begin(out []*buffer) bool {
	if w.peerEnded != nil && w.peerEnded() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.aborted {
		return false
	}
	for _, b := range out {
		w.begun += uint64(b.length)
	}
	return true
}

// startFlush starts a flush unless one is in progress.
func (w *writer) startFlush() {
	if !w.flushing {
		w.flushing = true
		w.busy.Add(1)
		w.workers.run(w.flush)
	}
}

// flush sends the queue until it is empty, and then ends the connection as requested.
func (w *writer) flush() {
	defer w.busy.Add(-1)
	var out []*buffer
	var writeErr error
	for {
		w.mu.Lock()
		if writeErr != nil {
			w.closed, w.ending = true, closeWhenSent
		}
		out, w.queue = w.queue, out[:0]
		ending := w.ending
		if w.flushing = len(out) > 0; !w.flushing {
			w.mu.Unlock()
			switch ending {
			case shutDownWhenSent:
				w.shutDown()
			case closeWhenSent:
				_ = w.conn.Close() // everything queued has been sent
			}
			return
		}
		w.mu.Unlock()
		if writeErr == nil && !w.begin(out) {
			writeErr = errClosed
		}
		for _, b := range out {
			if writeErr == nil {
				writeErr = w.write(b.bytes())
			}
			w.pool.put(b)
		}
	}
}

// Retries of a write with a transient error; the delay doubles, 63 ms in all.
const (
	writeRetries    = 6
	writeRetryDelay = time.Millisecond
)

// write sends b with netpoll, which keeps unsent data in its buffer for a retry: a short lack of memory must not lose a
// response and its connection. See rows "write: EINTR, ENOBUFS, ENOMEM" and "write: any other" in
// docs/design/failures.md.
func (w *writer) write(b []byte) error {
	// Write is safe against a concurrent close by the peer; netpoll's Writer is not.
	_, err := w.conn.Write(b)
	for attempt := 0; attempt < writeRetries && isTransientWriteError(err); attempt++ {
		time.Sleep(writeRetryDelay << attempt)
		err = w.conn.Writer().Flush()
	}
	return err
}

// isTransientWriteError reports whether a system call failed for a reason unrelated to its connection.
func isTransientWriteError(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
