package server

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// writer is the sending side of one connection. It never makes its caller wait for a socket: bytes are queued, and
// flushed by a goroutine that ends once the queue is empty. What is queued belongs to the writer, and so does the
// connection's close where the loop asks for it. It ends with finish, close, or an error. Guards against a peer that
// takes nothing, for which all others would wait: the queue is bounded and a flush takes WriteTimeout at most. See row
// "client that takes nothing" in docs/design/shutdown.md and row "write: EAGAIN, short" in docs/design/failures.md.
type writer struct {
	conn     netpoll.Connection
	pool     *bufferPool
	workers  workers
	busy     *atomic.Int64 // writers that still have something to send
	mu       sync.Mutex
	queue    []*buffer // not taken by flush yet
	flushing bool
	closed   bool         // nothing more is taken
	ending   writerEnding // once the queue is empty

	sendsResponses bool   // what is sent are responses, which never lack a buffer
	shutDown       func() // ends the sending side
}

// newWriter gives the sending side of a connection that the server opened itself.
func (s *crossGoroutine) newWriter(conn netpoll.Connection) *writer {
	return &writer{conn: conn, pool: &s.pool, workers: s.workers, busy: &s.busy}
}

// writerEnding is what becomes of a connection once all that was queued has gone out.
type writerEnding uint8

const (
	keepOpen         writerEnding = iota
	shutDownWhenSent              // its sending side is shut down
	closeWhenSent
)

// send queues b; false if it would make more than limit buffers wait, or nothing is taken any more.
func (w *writer) send(b []byte, limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.queue)+len(b)/bufferBytes >= limit {
		return false
	}
	for len(b) > 0 {
		n := len(w.queue)
		if n == 0 || w.queue[n-1].n == bufferBytes {
			t := w.newBuffer()
			if t == nil {
				w.closed, w.ending = true, closeWhenSent // or half a message would stand before the next one
				w.startFlush()
				return false
			}
			w.queue = append(w.queue, t)
			n++
		}
		t := w.queue[n-1]
		k := copy(t.b[t.n:], b)
		t.n += k
		b = b[k:]
	}
	w.startFlush()
	return true
}

// newBuffer gives an empty buffer; nil if there is none.
func (w *writer) newBuffer() *buffer {
	if w.sendsResponses {
		return w.pool.getForResponse()
	}
	return w.pool.get()
}

// finish shuts the sending side down once what is queued has gone out.
func (w *writer) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed, w.ending = true, max(w.ending, shutDownWhenSent)
	w.startFlush()
}

// close ends the connection once what is queued has gone out.
func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed, w.ending = true, closeWhenSent
	w.startFlush()
}

// startFlush starts a flush unless one goes on.
func (w *writer) startFlush() {
	if !w.flushing {
		w.flushing = true
		w.busy.Add(1)
		w.workers.run(w.flush)
	}
}

// flush sends what is queued until the queue is empty, and then ends the connection as it was told to.
func (w *writer) flush() {
	defer w.busy.Add(-1)
	var out []*buffer
	var failed error
	for {
		w.mu.Lock()
		if failed != nil {
			w.closed, w.ending = true, closeWhenSent
		}
		out, w.queue = w.queue, out[:0]
		last := w.ending
		if w.flushing = len(out) > 0; !w.flushing {
			w.mu.Unlock()
			switch last {
			case shutDownWhenSent:
				w.shutDown()
			case closeWhenSent:
				_ = w.conn.Close() // all that was to be sent has been
			}
			return
		}
		w.mu.Unlock()
		for _, b := range out {
			if failed == nil {
				failed = w.write(b.bytes())
			}
			w.pool.put(b)
		}
	}
}

// A write that fails for a moment is tried so often, after a pause that doubles: 63 ms in all.
const (
	writeRetries    = 6
	writeRetryDelay = time.Millisecond
)

// write has netpoll send b. What it could not send for a moment stays in its buffer and is sent again. Guards against
// a response that is lost with its connection over a lack of memory that passes. It holds as netpoll keeps what it
// could not send. See rows "write: EINTR, ENOBUFS, ENOMEM" and "write: any other" in docs/design/failures.md.
func (w *writer) write(b []byte) error {
	// Write holds netpoll's own lock against a close from the other side; its Writer does not.
	_, err := w.conn.Write(b)
	for try := 0; try < writeRetries && isTransientWriteError(err); try++ {
		time.Sleep(writeRetryDelay << try)
		err = w.conn.Writer().Flush()
	}
	return err
}

// isTransientWriteError tells errors of a system call that say nothing about what it was to act on.
func isTransientWriteError(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
