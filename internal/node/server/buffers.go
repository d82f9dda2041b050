package server

import "sync"

// bufferBytes holds a 4 KiB result in base64 with its line, and a 2 KiB body with its head twice over.
const bufferBytes = 8 << 10

// buffer is a piece of memory of the one size, with the event that hands over the message in it: one of the four is in
// use. It belongs to whoever took it out of the pool, until put gives it back: an intake while it reads, the event that
// hands a message over, the loop, a request in hand, or a writer's queue.
type buffer struct {
	n int // bytes in use
	b [bufferBytes]byte

	request requestRead
	kernel  kernelEventRead
	reply   callReplyRead
	report  reportAnswerRead
}

func (b *buffer) bytes() []byte { return b.b[:b.n] }

// bufferPool keeps buffers that are out of use, for callbacks and the loop alike. Guards against clients that fill the
// memory, by which the process would be killed: no more than capacity are out for what is read, and who gets none gives
// up what it reads. See row "no buffer free" in docs/design/shutdown.md.
type bufferPool struct {
	mu       sync.Mutex
	free     []*buffer
	inUse    int
	capacity int
}

// get gives an empty buffer, or nil while too many are out: the caller then gives up what it was to hold.
func (p *bufferPool) get() *buffer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse >= p.capacity {
		return nil
	}
	p.inUse++
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		b.n = 0
		return b
	}
	return new(buffer)
}

// getForResponse gives an empty buffer however many are out, for a response. Guards against clients that hold all
// buffers, by which others would get no response. It holds as there are few such buffers: a connection has one response
// at a time. See row "no buffer free" in docs/design/shutdown.md.
func (p *bufferPool) getForResponse() *buffer {
	if b := p.get(); b != nil {
		return b
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse++
	return new(buffer)
}

// put gives a buffer back; nil is passed over.
func (p *bufferPool) put(b *buffer) {
	if b == nil {
		return
	}
	p.mu.Lock()
	p.inUse--
	p.free = append(p.free, b)
	p.mu.Unlock()
}
