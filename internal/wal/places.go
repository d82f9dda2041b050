package wal

import (
	"encoding/binary"
	"fmt"
	"sort"
)

// places knows where the entries held stand: the offset of one in stride, and of each that does not stand behind the one before
// it. What lies between is found by the lengths in the records' heads. An entry costs a byte of memory so, and a read looks at a
// head or two more: a log of many small records, as of keyed results, is mostly entries.
type places struct {
	base  uint64 // number of the first entry held
	n     int    // entries held
	from  uint64 // number of the entry that every[0] is of, a multiple of stride; it may have been let go of
	every []uint32
	jumps []jump // by number; the first is of base or before it, where there are entries
	apart bool   // the next entry does not stand behind the last one: a cut lies between
}

// jump is an entry that is a segment's first, or the first behind a cut.
type jump struct {
	number, seg uint64
	off         uint32 // of its record's head
}

// stride is a power of two; at four a key with intent and result has two bytes, and a read 1.5 more heads in the mean.
const stride = 4

func (p *places) next() uint64 { return p.base + uint64(p.n) }

// add takes in where the next entry stands. Segments are read whole, so an offset has 32 bits.
func (p *places) add(seg uint64, off int64) {
	number := p.next()
	if p.apart || len(p.jumps) == 0 || p.jumps[len(p.jumps)-1].seg != seg {
		p.jumps = append(p.jumps, jump{number, seg, uint32(off)})
		p.apart = false
	}
	if number%stride == 0 {
		if len(p.every) == 0 {
			p.from = number
		}
		p.every = append(p.every, uint32(off))
	}
	p.n++
}

// cut drops what is numbered next or later; where it leaves a gap, all.
func (p *places) cut(next uint64) {
	if next <= p.base || next > p.next() {
		*p = places{base: next}
		return
	}
	p.n, p.apart = int(next-p.base), true
	for len(p.every) > 0 && p.from+stride*uint64(len(p.every)-1) >= next {
		p.every = p.every[:len(p.every)-1]
	}
	for len(p.jumps) > 0 && p.jumps[len(p.jumps)-1].number >= next {
		p.jumps = p.jumps[:len(p.jumps)-1]
	}
}

// release drops n entries from the front. What is needed to find the others stays.
func (p *places) release(n int) {
	p.base, p.n = p.base+uint64(n), p.n-n
	if p.n == 0 {
		*p = places{base: p.base}
		return
	}
	gone := 0
	for gone+1 < len(p.every) && p.from+stride*uint64(gone+1) <= p.base {
		gone++
	}
	p.from += stride * uint64(gone)
	p.every = append(make([]uint32, 0, len(p.every)-gone+16), p.every[gone:]...)
	for gone = 0; gone+1 < len(p.jumps) && p.jumps[gone+1].number <= p.base; gone++ {
	}
	p.jumps = append([]jump{}, p.jumps[gone:]...)
}

// find gives the nearest place that is known at an entry that is held, or before it in its segment.
func (p *places) find(number uint64) jump {
	j := p.jumps[sort.Search(len(p.jumps), func(i int) bool { return p.jumps[i].number > number })-1]
	if len(p.every) > 0 && number >= p.from {
		if i := min(int((number-p.from)/stride), len(p.every)-1); p.from+stride*uint64(i) >= j.number {
			return jump{p.from + stride*uint64(i), j.seg, p.every[i]}
		}
	}
	return j
}

// seek goes on from a place to where an entry's record stands, by the heads of those before it, which read gives. What it comes
// to where a length is damaged is no record of that entry, which its sum tells.
func seek(read func(head []byte, off int64) error, from jump, number uint64) (off int64, length int, err error) {
	var head [headBytes]byte
	for off = int64(from.off); ; off += headBytes + int64(length) + sumBytes {
		if err = read(head[:], off); err != nil {
			return off, 0, err
		}
		n, at := binary.LittleEndian.Uint32(head[:]), binary.LittleEndian.Uint64(head[5:])
		if n > MaxRecord {
			return off, 0, fmt.Errorf("a record of %d bytes, expected at most %d", n, MaxRecord)
		}
		length = int(n)
		switch kind := head[4] & kindBits; {
		case kind == kindEntry && at == number:
			return off, length, nil
		case kind == kindMark:
		case kind != kindEntry || at < from.number || at > number:
			return off, 0, fmt.Errorf("a record of kind %d numbered %d, expected entry %d at most", kind, at, number)
		}
	}
}
