package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes of a frame's parts in bytes.
const (
	eventSize  = 56
	actionSize = 24
	batchHead  = 16
	replyHead  = 8
	maxFrame   = 1 << 30
	readBuffer = 1 << 16
)

// Batch is one frame read; its events and tail last until the next Read.
type Batch struct {
	NowUS uint64 // by the simulator's clock
	Count int    // of events
	recs  []byte
	tail  []byte
}

// Event is the i-th event, from 0 on.
func (b *Batch) Event(i int) Event { return Event(b.recs[i*eventSize : (i+1)*eventSize]) }

// Reader takes frames off a stream.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader reads frames from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readBuffer)} }

// Read fills b with the next frame; io.EOF says that the input ended between frames.
func (r *Reader) Read(b *Batch) error {
	var head [batchHead]byte
	n, err := io.ReadFull(r.r, head[:])
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return fmt.Errorf("truncated in the header, got %d bytes, expected %d", n, batchHead)
	}
	size := int(binary.BigEndian.Uint32(head[0:]))
	count := int(binary.BigEndian.Uint32(head[12:]))
	if size < batchHead || size > maxFrame {
		return fmt.Errorf("size %d, expected %d to %d", size, batchHead, maxFrame)
	}
	if count*eventSize > size-batchHead {
		return fmt.Errorf("%d records do not fit, expected at most %d in %d bytes",
			count, (size-batchHead)/eventSize, size)
	}
	if n := size - batchHead; cap(r.buf) < n {
		r.buf = make([]byte, n+n/2) // room for larger frames to come
	}
	body := r.buf[:size-batchHead]
	if n, err := io.ReadFull(r.r, body); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return fmt.Errorf("truncated, got %d bytes, expected %d", n+batchHead, size)
		}
		return err
	}
	b.NowUS, b.Count = binary.BigEndian.Uint64(head[4:]), count
	b.recs, b.tail = body[:count*eventSize], body[count*eventSize:]
	return nil
}
