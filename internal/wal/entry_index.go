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
	first        uint64 // number of the first entry held
	count        int    // entries held
	sampledFrom  uint64 // number of the entry that every[0] is of, a multiple of stride; it may have been let go of
	samples      []uint32
	extentStarts []entryPosition // by number; the first is of base or before it, where there are entries
	afterCut     bool            // the next entry does not stand behind the last one: a cut lies between
}

func (x *entryIndex) next() uint64 { return x.first + uint64(x.count) }

// add notes where the next entry stands. Segments are read whole, so an offset has 32 bits.
func (x *entryIndex) add(seg uint64, off int64) {
	number := x.next()
	if x.afterCut || len(x.extentStarts) == 0 || x.extentStarts[len(x.extentStarts)-1].seg != seg {
		x.extentStarts = append(x.extentStarts, entryPosition{number, seg, uint32(off)})
		x.afterCut = false
	}
	if number%sampleInterval == 0 {
		if len(x.samples) == 0 {
			x.sampledFrom = number
		}
		x.samples = append(x.samples, uint32(off))
	}
	x.count++
}

// cut drops entries from a number on; all of them where that leaves a gap.
func (x *entryIndex) cut(next uint64) {
	if next <= x.first || next > x.next() {
		*x = entryIndex{first: next}
		return
	}
	x.count, x.afterCut = int(next-x.first), true
	for len(x.samples) > 0 && x.sampledFrom+sampleInterval*uint64(len(x.samples)-1) >= next {
		x.samples = x.samples[:len(x.samples)-1]
	}
	for len(x.extentStarts) > 0 && x.extentStarts[len(x.extentStarts)-1].number >= next {
		x.extentStarts = x.extentStarts[:len(x.extentStarts)-1]
	}
}

// truncateFront drops n entries from the front. What is needed to find the others stays.
func (x *entryIndex) truncateFront(n int) {
	x.first, x.count = x.first+uint64(n), x.count-n
	if x.count == 0 {
		*x = entryIndex{first: x.first}
		return
	}
	dropped := 0
	for dropped+1 < len(x.samples) && x.sampledFrom+sampleInterval*uint64(dropped+1) <= x.first {
		dropped++
	}
	x.sampledFrom += sampleInterval * uint64(dropped)
	x.samples = append(make([]uint32, 0, len(x.samples)-dropped+16), x.samples[dropped:]...)
	dropped = 0
	for dropped+1 < len(x.extentStarts) && x.extentStarts[dropped+1].number <= x.first {
		dropped++
	}
	x.extentStarts = append([]entryPosition{}, x.extentStarts[dropped:]...)
}

// find returns the nearest known place at an entry or before it in its segment.
func (x *entryIndex) find(number uint64) entryPosition {
	start := x.extentStarts[sort.Search(len(x.extentStarts), func(i int) bool { return x.extentStarts[i].number > number })-1]
	if len(x.samples) > 0 && number >= x.sampledFrom {
		i := min(int((number-x.sampledFrom)/sampleInterval), len(x.samples)-1)
		if sampled := x.sampledFrom + sampleInterval*uint64(i); sampled >= start.number {
			return entryPosition{sampled, start.seg, x.samples[i]}
		}
	}
	return start
}

// seek goes on from a known place to an entry's record by the headers before it, which read gives. Where a length is
// damaged it may end at no record of that entry, which the caller finds by its checksum.
func seek(read func(head []byte, off int64) error, start entryPosition, number uint64) (off int64, length int, err error) {
	var head [recordHeaderBytes]byte
	for off = int64(start.off); ; off += recordHeaderBytes + int64(length) + checksumBytes {
		if err = read(head[:], off); err != nil {
			return off, 0, err
		}
		n, entry := binary.LittleEndian.Uint32(head[:]), binary.LittleEndian.Uint64(head[5:])
		if n > MaxRecordBytes {
			return off, 0, fmt.Errorf("a record of %d bytes, expected at most %d", n, MaxRecordBytes)
		}
		length = int(n)
		switch kind := head[4] & kindMask; {
		case kind == kindEntry && entry == number:
			return off, length, nil
		case kind == kindMark:
		case kind != kindEntry || entry < start.number || entry > number:
			return off, 0, fmt.Errorf("a record of kind %d numbered %d, expected entry %d at most", kind, entry, number)
		}
	}
}

// entryPosition is an entry that is the first of a segment, or the first after a cut; entries after it stand one behind the
// other.
type entryPosition struct {
	number, seg uint64
	off         uint32 // of its record's head
}

// sampleInterval is a power of two. A larger one costs more header reads for each Read, a smaller one more memory for
// each entry.
const sampleInterval = 4
