package server

import (
	"errors"
	"fmt"

	"github.com/cloudwego/netpoll"
)

var (
	errNoBuffer = errors.New("no buffer is free for a message")
	errTooLong  = fmt.Errorf("message exceeds a buffer of %d bytes", bufferBytes)
)

// intake collects the input of a connection into messages. It belongs to the connection's callback, which netpoll never
// runs twice at once, and ends with drop; it owns the buffer of an incomplete message. Without a free buffer it fails
// with errNoBuffer: see row "no buffer free" in docs/design/shutdown.md.
type intake struct {
	pool *bufferPool
	buf  *buffer
}

// parser parses the message at the start of b into the event that b holds for it; n is its length in bytes, 0 while it
// is incomplete.
type parser func(b *buffer) (e event, n int, err error)

// read reads all available input. Each complete message is passed to put with its buffer.
func (in *intake) read(r netpoll.Reader, parse parser, put func(event)) error {
	for r.Len() > 0 {
		if in.buf == nil {
			if in.buf = in.pool.get(); in.buf == nil {
				return errNoBuffer
			}
		}
		n := min(r.Len(), bufferBytes-in.buf.length)
		if n == 0 {
			return errTooLong
		}
		p, err := r.Next(n)
		if err != nil {
			return err
		}
		in.buf.length += copy(in.buf.data[in.buf.length:], p)
		if err := r.Release(); err != nil {
			return err
		}
		if err := in.parse(parse, put); err != nil {
			return err
		}
	}
	return nil
}

// parse passes each complete message to put and moves the remaining bytes to a new buffer.
func (in *intake) parse(parse parser, put func(event)) error {
	for in.buf != nil {
		e, n, err := parse(in.buf)
		if n == 0 || err != nil {
			return err
		}
		complete := in.buf
		in.buf = nil
		if rest := complete.data[n:complete.length]; len(rest) > 0 {
			if in.buf = in.pool.get(); in.buf == nil {
				in.pool.put(complete)
				return errNoBuffer
			}
			in.buf.length = copy(in.buf.data[:], rest)
		}
		put(e)
	}
	return nil
}

// drop discards the incomplete message.
func (in *intake) drop() {
	in.pool.put(in.buf)
	in.buf = nil
}
