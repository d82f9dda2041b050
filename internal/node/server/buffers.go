// Buffers of one size, used again from a pool, and the ways into and out of a connection that are built on
// them. Callbacks and the loop share the pool, so it is safe for both; what a buffer holds belongs to whoever
// took it. The way out must never make its caller wait for a socket: bytes are queued, and flushed by a
// goroutine of their own.

package server

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

var (
	errNoBuffer = errors.New("no buffer is free")
	errTooLong  = errors.New("message is longer than a buffer")
)

// buffer is a piece of memory of the one size, with the event that hands over the message in it: one of the four is in use.
type buffer struct {
	n int // bytes in use
	b [bufferBytes]byte

	request requestRead
	kernel  kernelEventRead
	reply   callReplyRead
	report  reportAnswerRead
}

func (b *buffer) bytes() []byte { return b.b[:b.n] }

// pool keeps buffers that are out of use.
type bufferPool struct {
	mu       sync.Mutex
	free     []*buffer
	out      int
	capacity int
}

// get gives an empty buffer, or nil while too many are out: who asked then gives up what it was to hold.
func (p *bufferPool) get() *buffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out >= p.capacity {
		return nil
	}
	p.out++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		b.n = 0
		return b
	}
	return new(buffer)
}

// must gives an empty buffer however many are out, for an answer that is owed. Guards against clients that hold
// all buffers and so take answers from others; there are few such buffers, as each connection has one answer
// at a time.
func (p *bufferPool) getOwed() *buffer {
	if b := p.get(); b != nil {
		return b
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out++
	return new(buffer)
}

func (p *bufferPool) put(b *buffer) {
	if b == nil {
		return
	}
	p.mu.Lock()
	p.out--
	p.free = append(p.free, b)
	p.mu.Unlock()
}

// workers are goroutines that wait for work, so that a piece of it need not start one and grow its stack: that
// was a tenth of the CPU samples. What comes while all are at work gets one of its own, so nothing waits for
// another.
type workers chan func()

func newWorkers(n int) workers {
	c := make(workers)
	for range n {
		go func() {
			for f := range c {
				f()
			}
		}()
	}
	return c
}

func (c workers) run(f func()) {
	select {
	case c <- f:
	default:
		go f()
	}
}

// writer is the way out of one connection.
type writer struct {
	conn     netpoll.Connection
	pool     *bufferPool
	workers  workers
	busy     *atomic.Int64 // ways that still have something to send
	mu       sync.Mutex
	queue    []*buffer // waits for the flush that goes on
	flushing bool
	closed   bool         // nothing more is taken
	ending   writerEnding // once the queue is empty

	owesAnswers bool   // what is sent is owed: it never lacks a buffer
	shutDown    func() // ends the sending side
}

// end is what becomes of a connection once all that was queued has gone out.
type writerEnding uint8

const (
	keepOpen         writerEnding = iota
	shutDownWhenSent              // its sending side is shut down
	endClose
)

// send queues b; false if it would make more than most buffers wait, or nothing is taken any more.
func (w *writer) send(b []byte, most int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.queue)+len(b)/bufferBytes >= most {
		return false
	}
	for len(b) > 0 {
		n := len(w.queue)
		if n == 0 || w.queue[n-1].n == bufferBytes {
			t := w.buffer()
			if t == nil {
				w.closed, w.ending = true, endClose // half a message must not stand before another one
				w.kick()
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
	w.kick()
	return true
}

func (w *writer) buffer() *buffer {
	if w.owesAnswers {
		return w.pool.getOwed()
	}
	return w.pool.get()
}

// finish shuts the sending side down once what is queued has gone out.
func (w *writer) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed, w.ending = true, max(w.ending, shutDownWhenSent)
	w.kick()
}

// close ends the connection once what is queued has gone out.
func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed, w.ending = true, endClose
	w.kick()
}

func (w *writer) kick() {
	if !w.flushing {
		w.flushing = true
		w.busy.Add(1)
		w.workers.run(w.flush)
	}
}

func (w *writer) flush() {
	defer w.busy.Add(-1)
	var out []*buffer
	var failed error
	for {
		w.mu.Lock()
		if failed != nil {
			w.closed, w.ending = true, endClose
		}
		out, w.queue = w.queue, out[:0]
		last := w.ending
		if w.flushing = len(out) > 0; !w.flushing {
			w.mu.Unlock()
			switch last {
			case shutDownWhenSent:
				w.shutDown()
			case endClose:
				w.conn.Close()
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
	writeRetries = 6
	writePause   = time.Millisecond
)

// write has netpoll send b. What it could not send for a moment stays in its buffer and is sent again. Guards
// against an answer lost with its connection over a lack of memory that passes.
func (w *writer) write(b []byte) error {
	// Write holds netpoll's own lock against a close from the other side; its Writer does not.
	_, err := w.conn.Write(b)
	for try := 0; try < writeRetries && isMomentary(err); try++ {
		time.Sleep(writePause << try)
		err = w.conn.Writer().Flush()
	}
	return err
}

// isMomentary tells errors of a system call that say nothing about what it was to act on.
func isMomentary(err error) bool {
	return errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// intake gathers what a connection brings until a message is whole. It belongs to the connection's callback,
// which netpoll never runs twice at once.
type intake struct {
	pool *bufferPool
	buf  *buffer
}

// parser reads the message at the start of b into the event that b holds for it; n is 0 while the message is incomplete.
type parser func(b *buffer) (e event, n int, err error)

// read takes all that has come. Each whole message goes to put together with the buffer it lies in.
func (in *intake) read(r netpoll.Reader, parse parser, put func(event)) error {
	for r.Len() > 0 {
		if in.buf == nil {
			if in.buf = in.pool.get(); in.buf == nil {
				return errNoBuffer
			}
		}
		n := min(r.Len(), bufferBytes-in.buf.n)
		if n == 0 {
			return errTooLong
		}
		p, err := r.Next(n)
		if err != nil {
			return err
		}
		in.buf.n += copy(in.buf.b[in.buf.n:], p)
		if err := r.Release(); err != nil {
			return err
		}
		if err := in.parse(parse, put); err != nil {
			return err
		}
	}
	return nil
}

func (in *intake) parse(parse parser, put func(event)) error {
	for in.buf != nil {
		e, n, err := parse(in.buf)
		if n == 0 || err != nil {
			return err
		}
		complete := in.buf
		in.buf = nil
		if rest := complete.b[n:complete.n]; len(rest) > 0 {
			if in.buf = in.pool.get(); in.buf == nil {
				in.pool.put(complete)
				return errNoBuffer
			}
			in.buf.n = copy(in.buf.b[:], rest)
		}
		put(e)
	}
	return nil
}

func (in *intake) drop() {
	in.pool.put(in.buf)
	in.buf = nil
}
