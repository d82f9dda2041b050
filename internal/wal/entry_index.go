package wal

import (
	"encoding/binary"
	"fmt"
	"sort"
)

// entryIndex knows where the entries held stand: the offset of one in sampleInterval, and of each that does not
// follow the one before it on disk. Others are found by the lengths in the headers of records between. An entry costs
// a byte of memory so: a log of many small records, as of stored results, is mostly entries.
type entryIndex struct {
	first       uint64 // number of the first entry held
	count       int    // entries held
	sampledFrom uint64 // number of the entry that every[0] is of, a multiple of stride; it may have been let go of
	samples     []uint32
	runs        []run // by number; the first is of base or before it, where there are entries
	afterCut    bool  // the next entry does not stand behind the last one: a cut lies between
}

func (p *entryIndex) next() uint64 { return p.first + uint64(p.count) }

// add notes where the next entry stands. Segments are read whole, so an offset has 32 bits.
func (p *entryIndex) add(seg uint64, off int64) {
	number := p.next()
	if p.afterCut || len(p.runs) == 0 || p.runs[len(p.runs)-1].seg != seg {
		p.runs = append(p.runs, run{number, seg, uint32(off)})
		p.afterCut = false
	}
	if number%sampleInterval == 0 {
		if len(p.samples) == 0 {
			p.sampledFrom = number
		}
		p.samples = append(p.samples, uint32(off))
	}
	p.count++
}

// cut drops entries from a number on; all of them where that leaves a gap.
func (p *entryIndex) cut(next uint64) {
	if next <= p.first || next > p.next() {
		*p = entryIndex{first: next}
		return
	}
	p.count, p.afterCut = int(next-p.first), true
	for len(p.samples) > 0 && p.sampledFrom+sampleInterval*uint64(len(p.samples)-1) >= next {
		p.samples = p.samples[:len(p.samples)-1]
	}
	for len(p.runs) > 0 && p.runs[len(p.runs)-1].number >= next {
		p.runs = p.runs[:len(p.runs)-1]
	}
}

// release drops n entries from the front. What is needed to find the others stays.
func (p *entryIndex) release(n int) {
	p.first, p.count = p.first+uint64(n), p.count-n
	if p.count == 0 {
		*p = entryIndex{first: p.first}
		return
	}
	gone := 0
	for gone+1 < len(p.samples) && p.sampledFrom+sampleInterval*uint64(gone+1) <= p.first {
		gone++
	}
	p.sampledFrom += sampleInterval * uint64(gone)
	p.samples = append(make([]uint32, 0, len(p.samples)-gone+16), p.samples[gone:]...)
	gone = 0
	for gone+1 < len(p.runs) && p.runs[gone+1].number <= p.first {
		gone++
	}
	p.runs = append([]run{}, p.runs[gone:]...)
}

// find returns the nearest known place at an entry or before it in its segment.
func (p *entryIndex) find(number uint64) run {
	j := p.runs[sort.Search(len(p.runs), func(i int) bool { return p.runs[i].number > number })-1]
	if len(p.samples) > 0 && number >= p.sampledFrom {
		i := min(int((number-p.sampledFrom)/sampleInterval), len(p.samples)-1)
		if sampled := p.sampledFrom + sampleInterval*uint64(i); sampled >= j.number {
			return run{sampled, j.seg, p.samples[i]}
		}
	}
	return j
}

// seek goes on from a known place to an entry's record by the headers before it, which read gives. Where a length is
// damaged it may end at no record of that entry, which the caller finds by its checksum.
func seek(read func(head []byte, off int64) error, from run, number uint64) (off int64, length int, err error) {
	var head [recordHeaderBytes]byte
	for off = int64(from.off); ; off += recordHeaderBytes + int64(length) + checksumBytes {
		if err = read(head[:], off); err != nil {
			return off, 0, err
		}
		n, at := binary.LittleEndian.Uint32(head[:]), binary.LittleEndian.Uint64(head[5:])
		if n > MaxRecordBytes {
			return off, 0, fmt.Errorf("a record of %d bytes, expected at most %d", n, MaxRecordBytes)
		}
		length = int(n)
		switch kind := head[4] & kindMask; {
		case kind == kindEntry && at == number:
			return off, length, nil
		case kind == kindMark:
		case kind != kindEntry || at < from.number || at > number:
			return off, 0, fmt.Errorf("a record of kind %d numbered %d, expected entry %d at most", kind, at, number)
		}
	}
}

// run is an entry that is the first of a segment, or the first after a cut; entries after it stand one behind the
// other.
type run struct {
	number, seg uint64
	off         uint32 // of its record's head
}

// sampleInterval is a power of two. A larger one costs more header reads for each Read, a smaller one more memory for
// each entry.
const sampleInterval = 4
