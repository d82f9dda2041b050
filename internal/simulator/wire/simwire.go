// Package wire reads and writes the frames of the simulator's wire.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Codes of events and of actions.
const (
	Spawn, Order, Ended, ReadyToCall, Called, Sigterm = 10, 20, 30, 40, 50, 60
	Hangup, TimeoutFired, Halt, About                 = 70, 80, 90, 100

	DropRequest, Dial, Die, AnswerFrom, MarkHealth, Memo = 10, 20, 30, 40, 50, 60
	Source, Announce, GoOn, Erase, Keepalive, Emit       = 70, 80, 90, 100, 110, 120
	WakeAt, Preempt, Launch, Shed                        = 130, 140, 150, 160
)

const (
	eventSize  = 56
	actionSize = 24
	batchHead  = 16
	replyHead  = 8
	maxFrame   = 1 << 30
)

// Batch is one frame read; its records and tail last until the next Read.
type Batch struct {
	Now   uint64
	Count int
	recs  []byte
	tail  []byte
}

// Event is one record, code included.
type Event []byte

func (b *Batch) Event(i int) Event { return Event(b.recs[i*eventSize : (i+1)*eventSize]) }

func (e Event) Code() int         { return int(e[0]) }
func (e Event) U8(at int) uint8   { return e[at] }
func (e Event) U16(at int) int    { return int(binary.BigEndian.Uint16(e[at:])) }
func (e Event) U32(at int) uint32 { return binary.BigEndian.Uint32(e[at:]) }
func (e Event) U64(at int) uint64 { return binary.BigEndian.Uint64(e[at:]) }
func (e Event) F32(at int) float64 {
	return float64(math.Float32frombits(binary.BigEndian.Uint32(e[at:])))
}

// Tail is the part of the tail that the record names at offset at.
func (b *Batch) Tail(e Event, at int) ([]byte, error) {
	off, n := uint64(e.U32(at)), uint64(e.U32(at+4))
	if off+n > uint64(len(b.tail)) {
		return nil, fmt.Errorf("tail reference %d+%d out of range, expected at most %d", off, n, len(b.tail))
	}
	return b.tail[off : off+n], nil
}

// Reader takes frames off a stream.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 1<<16)} }

// Read fills b with the next frame; io.EOF says that the input ended between frames.
func (r *Reader) Read(b *Batch) error {
	var head [batchHead]byte
	n, err := io.ReadFull(r.r, head[:])
	if err == io.EOF {
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
		r.buf = make([]byte, n+n/2)
	}
	body := r.buf[:size-batchHead]
	if n, err := io.ReadFull(r.r, body); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return fmt.Errorf("truncated, got %d bytes, expected %d", n+batchHead, size)
		}
		return err
	}
	b.Now, b.Count = binary.BigEndian.Uint64(head[4:]), count
	b.recs, b.tail = body[:count*eventSize], body[count*eventSize:]
	return nil
}

// Reply gathers the actions of one frame.
type Reply struct {
	recs  []byte
	tail  []byte
	count int
}

func (p *Reply) Reset() { p.recs, p.tail, p.count = p.recs[:0], p.tail[:0], 0 }

// rec adds an empty record and gives its bytes.
func (p *Reply) rec(code byte) []byte {
	n := len(p.recs)
	p.recs = append(p.recs, make([]byte, actionSize)...)
	p.recs[n] = code
	p.count++
	return p.recs[n : n+actionSize]
}

// ID adds an action that names one req, or an instance for Source.
func (p *Reply) ID(code byte, id uint32) { binary.BigEndian.PutUint32(p.rec(code)[1:], id) }

// IDSpan adds an action that names one req and a span.
func (p *Reply) IDSpan(code byte, id, span uint32) {
	r := p.rec(code)
	binary.BigEndian.PutUint32(r[1:], id)
	binary.BigEndian.PutUint32(r[5:], span)
}

func (p *Reply) Dial(id uint32, until uint64) {
	r := p.rec(Dial)
	binary.BigEndian.PutUint32(r[1:], id)
	binary.BigEndian.PutUint64(r[5:], until)
}

func (p *Reply) Shed(id uint32, last bool, pause uint32) {
	r := p.rec(Shed)
	binary.BigEndian.PutUint32(r[1:], id)
	if last {
		r[5] = 1
	}
	binary.BigEndian.PutUint32(r[6:], pause)
}

func (p *Reply) Health(good bool) {
	r := p.rec(MarkHealth)
	r[1] = 1
	if good {
		r[2] = 1
	}
}

func (p *Reply) Announce(v float64) {
	binary.BigEndian.PutUint32(p.rec(Announce)[1:], math.Float32bits(float32(v)))
}

func (p *Reply) Keepalive(span uint32) { binary.BigEndian.PutUint32(p.rec(Keepalive)[1:], span) }

func (p *Reply) Wake(at, handle uint64) {
	r := p.rec(WakeAt)
	binary.BigEndian.PutUint64(r[1:], at)
	binary.BigEndian.PutUint64(r[9:], handle)
}

// Text adds an action that carries a line.
func (p *Reply) Text(code byte, line string) {
	r := p.rec(code)
	binary.BigEndian.PutUint32(r[1:], uint32(len(p.tail)))
	binary.BigEndian.PutUint32(r[5:], uint32(len(line)))
	p.tail = append(p.tail, line...)
}

// Mark and Cut take back what was added since; tail text stays, unreferenced.
func (p *Reply) Mark() int { return p.count }

func (p *Reply) Cut(mark int) { p.recs, p.count = p.recs[:mark*actionSize], mark }

// WriteTo writes the frame.
func (p *Reply) WriteTo(w io.Writer) (int64, error) {
	var head [replyHead]byte
	size := replyHead + len(p.recs) + len(p.tail)
	binary.BigEndian.PutUint32(head[0:], uint32(size))
	binary.BigEndian.PutUint32(head[4:], uint32(p.count))
	for _, part := range [][]byte{head[:], p.recs, p.tail} {
		if _, err := w.Write(part); err != nil {
			return 0, err
		}
	}
	return int64(size), nil
}
