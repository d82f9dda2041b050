package wal

import (
	"encoding/binary"
	"fmt"
	"sort"
)

// entryIndex is a sparse index of the entries' offsets on disk. It stores one in sampleInterval, and the start of each
// extent: a sequence of entries that are consecutive on disk in one segment. Entries between are found by the lengths
// in the record headers. That takes about one byte of memory per entry.
type entryIndex struct {
	first        uint64          // number of the first entry held
	count        int             // entries held
	sampledFrom  uint64          // number of the entry at samples[0], a multiple of sampleInterval; may be below first
	samples      []uint32        // offsets in the segment
	extentStarts []entryPosition // by number; the first one is at or below first, unless there are no entries
	afterCut     bool            // a cut separates the next entry from the last one, so it starts an extent
}

func (x *entryIndex) next() uint64 { return x.first + uint64(x.count) }

// add appends the next entry. Its offset fits 32 bits, as segments are limited to maxSegmentBytes.
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

// cut drops the entries from next on, and all of them if next is outside the range held.
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

// truncateFront drops the first n entries. It keeps the sample and extent start that precede the remaining ones.
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

// find returns the nearest indexed position at or before an entry in its extent.
func (x *entryIndex) find(number uint64) entryPosition {
	after := sort.Search(len(x.extentStarts), func(i int) bool { return x.extentStarts[i].number > number })
	start := x.extentStarts[after-1]
	if len(x.samples) > 0 && number >= x.sampledFrom {
		i := min(int((number-x.sampledFrom)/sampleInterval), len(x.samples)-1)
		if sampled := x.sampledFrom + sampleInterval*uint64(i); sampled >= start.number {
			return entryPosition{sampled, start.seg, x.samples[i]}
		}
	}
	return start
}

// seek returns the offset and data length of an entry's record. It walks the record headers from start, which read
// copies to header. After damage the offset may be wrong; the caller detects that by the record's checksum.
func seek(read func(header []byte, off int64) error, start entryPosition, number uint64) (off int64, length int,
	err error) {
	var header [recordHeaderBytes]byte
	for off = int64(start.off); ; off += recordHeaderBytes + int64(length) + checksumBytes {
		if err = read(header[:], off); err != nil {
			return off, 0, err
		}
		n, entry := binary.LittleEndian.Uint32(header[:]), binary.LittleEndian.Uint64(header[5:])
		if n > MaxRecordBytes {
			return off, 0, fmt.Errorf("a record of %d bytes, expected at most %d", n, MaxRecordBytes)
		}
		length = int(n)
		switch kind := header[4] & kindMask; {
		case kind == kindEntry && entry == number:
			return off, length, nil
		case kind == kindMark:
		case kind != kindEntry || entry < start.number || entry > number:
			return off, 0, fmt.Errorf("a record of kind %d numbered %d, expected at most entry %d", kind, entry, number)
		}
	}
}

// entryPosition is the place of an entry's record on disk.
type entryPosition struct {
	number uint64 // of the entry
	seg    uint64 // sequence number of the segment
	off    uint32 // of the record's header in the segment, in bytes
}

// sampleInterval is the number of entries per sample. Read walks at most that many entries' headers, and those of the
// marks between.
const sampleInterval = 4
