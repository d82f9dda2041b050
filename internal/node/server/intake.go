package server

import (
	"errors"

	"github.com/cloudwego/netpoll"
)

var (
	errNoBuffer = errors.New("no buffer is free")
	errTooLong  = errors.New("message is longer than a buffer")
)

// intake gathers what a connection brings until a message is complete. It belongs to the connection's callback, which
// netpoll never runs twice at once, and ends with drop; until then it owns the one buffer of what is incomplete. It
// gives up with errNoBuffer while none is free: see row "no buffer free" in docs/design/shutdown.md.
type intake struct {
	pool *bufferPool
	buf  *buffer
}

// parser reads the message at the start of b into the event that b holds for it; n is 0 while the message is
// incomplete.
type parser func(b *buffer) (e event, n int, err error)

// read takes all that has come. Each complete message goes to put together with the buffer it lies in.
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

// parse hands over each message that is complete, and keeps what is left in a buffer of its own.
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

// drop gives up what is incomplete.
func (in *intake) drop() {
	in.pool.put(in.buf)
	in.buf = nil
}
