package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"sort"
	"strconv"
	"strings"
)

// A segment's file opens with a header whose last four bytes are the sum that its first record takes in:
//
//	"umberwal" | sum of what follows u32 | format u32 | sequence u64 | next entry u64 | sum before u32
const (
	segmentHeaderBytes = 36
	magic              = "umberwal"
	format             = 1
	segmentSuffix      = ".seg"
	temporarySuffix    = ".tmp"
	maxSegmentBytes    = 1 << 30 // a segment read whole at a start: past this it is not ours
)

type segment struct {
	sequence uint64
	name     string
	size     int64
	file     File
}

// Damage is what a log refuses to start on: something that was synced can't be read.
type Damage struct {
	File   string
	Offset int64
	Record string
	Found  string
}

func (d *Damage) Error() string {
	return fmt.Sprintf("%s at byte %d, %s: %s. What was durable is damaged: this folder can't be used. Take it "+
		"out of the group and add an empty one, or put back a saved snapshot", d.File, d.Offset, d.Record, d.Found)
}

// Repair tells what a start met.
type Repair struct {
	TornAt       string // file and byte from which a tail that was never synced was cut off, empty if none
	TornBytes    int64  // cut off
	RemovedFiles []string
}

func segmentName(seq uint64) string { return fmt.Sprintf("%016x", seq) + segmentSuffix }

func createSegment(fs FS, seq, next uint64, sum uint32) (*segment, error) {
	raw := make([]byte, segmentHeaderBytes)
	copy(raw, magic)
	binary.LittleEndian.PutUint32(raw[12:], format)
	binary.LittleEndian.PutUint64(raw[16:], seq)
	binary.LittleEndian.PutUint64(raw[24:], next)
	binary.LittleEndian.PutUint32(raw[32:], sum)
	binary.LittleEndian.PutUint32(raw[8:], crc32.Checksum(raw[12:], castagnoli))
	s := &segment{sequence: seq, name: segmentName(seq), size: segmentHeaderBytes}
	var err error
	if s.file, err = fs.Create(s.name); err != nil {
		return nil, err
	}
	if _, err = s.file.WriteAt(raw, 0); err == nil {
		err = s.file.Sync()
	}
	if err == nil {
		err = fs.Sync()
	}
	return s, err
}

// check reads one record from the start of raw, given the sum before it.
func readRecord(raw []byte, before uint32) (kind byte, number uint64, data []byte, ok bool) {
	if len(raw) < recordHeaderBytes+checksumBytes {
		return 0, 0, nil, false
	}
	n := binary.LittleEndian.Uint32(raw)
	kind = raw[4]
	if k := kind & kindMask; n > MaxRecordBytes || k < kindEntry || k > kindCut ||
		int(n) > len(raw)-recordHeaderBytes-checksumBytes {
		return 0, 0, nil, false
	}
	end := recordHeaderBytes + int(n)
	if crc32.Update(before, castagnoli, raw[:end]) != binary.LittleEndian.Uint32(raw[end:]) {
		return 0, 0, nil, false
	}
	return kind, binary.LittleEndian.Uint64(raw[5:]), raw[recordHeaderBytes:end], true
}

// begun looks for the start of a flush anywhere behind from. One flush is synced before the next is written,
// so where one is found whatever stands before it was durable once.
func flushStartsAfter(raw []byte, from int) bool {
	for q := from + 1; q+recordHeaderBytes+checksumBytes <= len(raw); q++ {
		if raw[q+4]&firstOfFlush == 0 {
			continue
		}
		if _, _, _, ok := readRecord(raw[q:], binary.LittleEndian.Uint32(raw[q-checksumBytes:])); ok {
			return true
		}
	}
	return false
}

// vouched tells whether only the stored sum of the record at the start of raw is wrong: the one behind it takes in the sum that it
// should have. next is that one's kind: where it begins a flush, what stands before it was durable.
func readRecordByNext(raw []byte, before uint32) (kind byte, number uint64, data []byte, next byte, ok bool) {
	if len(raw) < recordHeaderBytes+checksumBytes {
		return 0, 0, nil, 0, false
	}
	n := binary.LittleEndian.Uint32(raw)
	if k := raw[4] & kindMask; n > MaxRecordBytes || k < kindEntry || k > kindCut || int(n) > len(raw)-recordHeaderBytes-checksumBytes {
		return 0, 0, nil, 0, false
	}
	end := recordHeaderBytes + int(n)
	next, _, _, ok = readRecord(raw[end+checksumBytes:], crc32.Update(before, castagnoli, raw[:end]))
	return raw[4], binary.LittleEndian.Uint64(raw[5:]), raw[recordHeaderBytes:end], next, ok
}

// Open reads a folder's log, or begins one in an empty folder. A torn tail is cut off and told of; damage is
// an error of type *Damage and leaves the folder as it is.
func Open(fs FS, sizes Sizes) (*Log, Repair, error) {
	unlock, err := fs.Lock()
	if err != nil {
		return nil, Repair{}, err
	}
	l := &Log{fs: fs, sizes: sizes, unlock: unlock, index: entryIndex{first: 1}}
	found, err := l.recover()
	if err != nil {
		for _, s := range l.segments {
			s.file.Close()
		}
		unlock()
		return nil, found, err
	}
	return l, found, nil
}

func parseFileName(name, suffix string) (uint64, bool) {
	if len(name) != 16+len(suffix) || !strings.HasSuffix(name, suffix) {
		return 0, false
	}
	n, err := strconv.ParseUint(name[:16], 16, 64)
	return n, err == nil
}

func (l *Log) recover() (Repair, error) {
	var found Repair
	names, err := l.fs.List()
	if err != nil {
		return found, err
	}
	var seqs []uint64
	for _, name := range names {
		if n, ok := parseFileName(name, segmentSuffix); ok {
			seqs = append(seqs, n)
		} else if strings.HasSuffix(name, temporarySuffix) {
			if err := l.fs.Remove(name); err != nil {
				return found, err
			}
			found.RemovedFiles = append(found.RemovedFiles, name)
		}
	}
	if err := l.findSnapshots(names); err != nil {
		return found, err
	}
	sort.Slice(seqs, func(i, k int) bool { return seqs[i] < seqs[k] })
	for i, seq := range seqs {
		if err := l.loadSegment(seq, i == 0, i == len(seqs)-1, &found); err != nil {
			return found, err
		}
	}
	if len(l.segments) == 0 {
		s, err := createSegment(l.fs, max(1, l.lastSequence(seqs)), l.index.first, l.checksum)
		if err != nil {
			return found, err
		}
		l.segments = append(l.segments, s)
	}
	return found, nil
}

func (l *Log) lastSequence(seqs []uint64) uint64 {
	if len(seqs) == 0 {
		return 0
	}
	return seqs[len(seqs)-1]
}

// load reads one segment: its header has to go on from the one before, and its records from each other.
func (l *Log) loadSegment(seq uint64, oldest, newest bool, found *Repair) error {
	name := segmentName(seq)
	f, err := l.fs.Open(name)
	if err != nil {
		return err
	}
	s := &segment{sequence: seq, name: name, file: f}
	if s.size, err = f.Size(); err != nil {
		return err
	}
	if s.size > maxSegmentBytes {
		return &Damage{name, 0, "the header", fmt.Sprintf("%d bytes, expected less than %d", s.size, maxSegmentBytes)}
	}
	raw := make([]byte, s.size)
	if s.size > 0 {
		if _, err = f.ReadAt(raw, 0); err != nil {
			return &Damage{name, 0, "the header", err.Error()}
		}
	}
	if bad := l.checkHeader(raw, seq, oldest); bad != "" {
		if newest && !flushStartsAfter(raw, min(segmentHeaderBytes, len(raw))-1) && len(raw) <= segmentHeaderBytes {
			// It was being made: its header is synced before anything follows it.
			f.Close()
			found.TornAt, found.TornBytes = name+" at byte 0", s.size
			if err = l.fs.Remove(name); err != nil {
				return err
			}
			return l.fs.Sync()
		}
		f.Close()
		return &Damage{name, 0, "the header", bad}
	}
	l.segments = append(l.segments, s)
	return l.readRecords(s, raw, newest, found)
}

func (l *Log) checkHeader(raw []byte, seq uint64, oldest bool) string {
	switch {
	case len(raw) < segmentHeaderBytes || string(raw[:8]) != magic:
		return "no header of a log"
	case binary.LittleEndian.Uint32(raw[8:]) != crc32.Checksum(raw[12:segmentHeaderBytes], castagnoli):
		return "its sum does not fit"
	case binary.LittleEndian.Uint32(raw[12:]) != format:
		return fmt.Sprintf("format %d, expected %d", binary.LittleEndian.Uint32(raw[12:]), format)
	case binary.LittleEndian.Uint64(raw[16:]) != seq:
		return fmt.Sprintf("segment %d, expected %d", binary.LittleEndian.Uint64(raw[16:]), seq)
	}
	next, sum := binary.LittleEndian.Uint64(raw[24:]), binary.LittleEndian.Uint32(raw[32:])
	if oldest {
		l.index.first, l.checksum = next, sum
		return ""
	}
	if before := l.segments[len(l.segments)-1].sequence; before+1 != seq {
		return fmt.Sprintf("it follows segment %d, expected %d: one is missing", before, seq-1)
	}
	if sum != l.checksum || next != l.index.next() {
		return "it does not go on from the segment before"
	}
	return ""
}

// records reads a segment's records flush by flush; a flush counts once it is whole.
func (l *Log) readRecords(s *segment, raw []byte, newest bool, found *Repair) error {
	type rec struct {
		kind   byte
		number uint64
		data   []byte
		off    int64
	}
	var flush []rec
	sum, start, off := l.checksum, segmentHeaderBytes, segmentHeaderBytes
	next := l.index.next()
	bad := ""
	for off < len(raw) {
		kind, number, data, ok := readRecord(raw[off:], sum)
		switch {
		case !ok:
			bad = "its sum does not fit"
		case (kind&firstOfFlush != 0) != (len(flush) == 0):
			bad = "it is out of its flush"
		case kind&kindMask == kindEntry && number != next:
			bad = fmt.Sprintf("entry %d, expected %d", number, next)
		case kind&kindMask == kindMark && number >= MaxMarkKinds:
			bad = fmt.Sprintf("mark %d, expected one below %d", number, MaxMarkKinds)
		case kind&kindMask == kindCut && number == 0:
			bad = "a cut to entry 0"
		}
		if bad != "" {
			break
		}
		switch kind & kindMask {
		case kindEntry:
			next++
		case kindCut:
			next = number
		}
		flush = append(flush, rec{kind, number, data, int64(off)})
		off += recordHeaderBytes + len(data) + checksumBytes
		sum = binary.LittleEndian.Uint32(raw[off-checksumBytes:])
		if kind&lastOfFlush == 0 {
			continue
		}
		for _, r := range flush {
			switch r.kind & kindMask {
			case kindEntry:
				l.index.add(s.sequence, r.off)
			case kindMark:
				l.marks[r.number] = append([]byte{}, r.data...)
			case kindCut:
				l.index.cut(r.number)
			}
		}
		l.checksum, start, flush = sum, off, flush[:0]
	}
	if start == len(raw) {
		return l.settle(s, newest)
	}
	what := fmt.Sprintf("the record of entry %d or a mark before it", next)
	if _, _, _, after, ok := readRecordByNext(raw[off:], sum); !newest || flushStartsAfter(raw, off) || ok && after&firstOfFlush != 0 {
		if bad == "" {
			bad = "the flush it belongs to has no end"
		}
		return &Damage{s.name, int64(off), what, bad}
	}
	found.TornAt, found.TornBytes = fmt.Sprintf("%s at byte %d", s.name, start), int64(len(raw)-start)
	if err := s.file.Truncate(int64(start)); err != nil {
		return err
	}
	s.size = int64(start)
	return l.settle(s, newest)
}

// settle makes what was read durable, names too: a process that was killed may have left it written but not
// synced.
func (l *Log) settle(s *segment, newest bool) error {
	if !newest {
		return nil
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	return l.fs.Sync()
}
