package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes of a frame, its parts and the read buffer, in bytes.
const (
	eventBytes      = 56
	actionBytes     = 24
	batchHeadBytes  = 16
	replyHeadBytes  = 8
	maxFrameBytes   = 1 << 30
	readBufferBytes = 1 << 16
)

// Batch is one frame of events. Its events and tail are valid until the next Read.
type Batch struct {
	NowUS  uint64 // by the simulator's clock
	Count  int    // of events
	events []byte
	tail   []byte
}

// Event returns the event with index i, from 0 to Count-1.
func (b *Batch) Event(i int) Event { return Event(b.events[i*eventBytes : (i+1)*eventBytes]) }

// Reader reads frames from a stream. It reuses its buffer for each frame.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a Reader of the frames in r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, readBufferBytes)} }

// Read fills b with the next frame. It returns io.EOF if the input ends between frames.
func (r *Reader) Read(b *Batch) error {
	var head [batchHeadBytes]byte
	n, err := io.ReadFull(r.r, head[:])
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return fmt.Errorf("truncated in the header, got %d bytes, expected %d", n, batchHeadBytes)
	}
	size := int(binary.BigEndian.Uint32(head[0:]))
	count := int(binary.BigEndian.Uint32(head[12:]))
	if size < batchHeadBytes || size > maxFrameBytes {
		return fmt.Errorf("size %d, expected %d to %d", size, batchHeadBytes, maxFrameBytes)
	}
	if count*eventBytes > size-batchHeadBytes {
		return fmt.Errorf("%d records do not fit, expected at most %d in %d bytes",
			count, (size-batchHeadBytes)/eventBytes, size)
	}
	if n := size - batchHeadBytes; cap(r.buf) < n {
		r.buf = make([]byte, n+n/2) // spare capacity for larger frames
	}
	body := r.buf[:size-batchHeadBytes]
	if n, err := io.ReadFull(r.r, body); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return fmt.Errorf("truncated, got %d bytes, expected %d", n+batchHeadBytes, size)
		}
		return err
	}
	b.NowUS, b.Count = binary.BigEndian.Uint64(head[4:]), count
	b.events, b.tail = body[:count*eventBytes], body[count*eventBytes:]
	return nil
}
