package server

import "sync"

// bufferBytes is the size of a buffer in bytes. It fits a 4 KiB result in base64 with its line, and twice a 2 KiB body
// with its head.
const bufferBytes = 8 << 10

// buffer is a fixed-size piece of memory and the event for the message in it; only one of the four events is in use. It
// has one owner at a time, from get to put: an intake while it reads, the event, the loop, a request, or a writer's
// queue.
type buffer struct {
	length int // bytes of data in use
	data   [bufferBytes]byte

	request requestRead
	kernel  kernelEventRead
	reply   callReplyRead
	report  reportAnswerRead
}

func (b *buffer) bytes() []byte { return b.data[:b.length] }

// bufferPool recycles buffers between the callbacks and the loop; it is safe for concurrent use. At most capacity
// buffers are in use for input, so that clients can't exhaust the memory and have the process killed: a reader that
// gets no buffer gives up its message. See row "no buffer free" in docs/design/shutdown.md.
type bufferPool struct {
	mu       sync.Mutex
	free     []*buffer
	inUse    int
	capacity int
}

// used returns the number of buffers in use.
func (p *bufferPool) used() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse
}

// get returns an empty buffer, or nil if capacity buffers are in use.
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
		b.length = 0
		return b
	}
	return new(buffer)
}

// getForResponse returns an empty buffer for a response, even beyond capacity, so that clients that hold all buffers
// don't keep others from their responses. The excess is bounded: a connection has one response at a time. See row "no
// buffer free" in docs/design/shutdown.md.
func (p *bufferPool) getForResponse() *buffer {
	if b := p.get(); b != nil {
		return b
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse++
	return new(buffer)
}

// put returns a buffer to the pool; nil is ignored.
func (p *bufferPool) put(b *buffer) {
	if b == nil {
		return
	}
	p.mu.Lock()
	p.inUse--
	p.free = append(p.free, b)
	p.mu.Unlock()
}
