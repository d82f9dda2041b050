package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"sort"
	"strconv"
	"strings"
)

// Repair reports the remains of a crash that Open removed.
type Repair struct {
	TornAt       string   // file and byte offset where a torn tail began; empty if there was none
	TornBytes    int64    // size of the torn tail
	RemovedFiles []string // temporary files
}

// Open opens the log of a folder, or creates one in an empty folder. A torn tail, which was never durable, is truncated
// and reported in Repair. Errors are *Damage, ErrLocked and those of the disk.
func Open(fs FS, sizes Sizes) (*Log, Repair, error) {
	unlock, err := fs.Lock()
	if err != nil {
		return nil, Repair{}, err
	}
	l := &Log{fs: fs, sizes: sizes, unlock: unlock, index: entryIndex{first: 1}}
	repair, err := l.recover()
	if err != nil {
		err = errors.Join(err, l.closeSegments())
		unlock()
		return nil, repair, err
	}
	return l, repair, nil
}

func (l *Log) recover() (Repair, error) {
	var repair Repair
	names, err := l.fs.List()
	if err != nil {
		return repair, err
	}
	var seqs []uint64
	for _, name := range names {
		if n, ok := parseFileName(name, segmentSuffix); ok {
			seqs = append(seqs, n)
		} else if strings.HasSuffix(name, temporarySuffix) {
			if err := l.fs.Remove(name); err != nil {
				return repair, err
			}
			repair.RemovedFiles = append(repair.RemovedFiles, name)
		}
	}
	if err := l.findSnapshots(names); err != nil {
		return repair, err
	}
	sort.Slice(seqs, func(i, k int) bool { return seqs[i] < seqs[k] })
	for i, seq := range seqs {
		if err := l.loadSegment(seq, i == 0, i == len(seqs)-1, &repair); err != nil {
			return repair, err
		}
	}
	if len(l.segments) == 0 {
		s, err := createSegment(l.fs, max(1, l.lastSequence(seqs)), l.index.first, l.checksum)
		if err != nil {
			return repair, err
		}
		l.segments = append(l.segments, s)
	}
	return repair, nil
}

func (l *Log) lastSequence(seqs []uint64) uint64 {
	if len(seqs) == 0 {
		return 0
	}
	return seqs[len(seqs)-1]
}

// loadSegment reads one segment and checks that its header continues the previous segment and that its records are
// consecutive. A newest segment without a valid header and without records is removed: a crash interrupted its
// creation.
func (l *Log) loadSegment(seq uint64, oldest, newest bool, repair *Repair) error {
	f, err := l.fs.Open(segmentName(seq))
	if err != nil {
		return err
	}
	s := &segment{sequence: seq, name: segmentName(seq), file: f}
	raw, err := s.readWhole()
	if err != nil {
		return errors.Join(err, f.Close())
	}
	if problem := l.checkHeader(raw, seq, oldest); problem != "" {
		if err = f.Close(); err != nil {
			return err
		}
		if newest && !flushStartsAfter(raw, min(segmentHeaderBytes, len(raw))-1) && len(raw) <= segmentHeaderBytes {
			// The header is synced before the first record is written, so the segment never held any.
			repair.TornAt, repair.TornBytes = s.name+" at byte 0", s.size
			if err = l.fs.Remove(s.name); err != nil {
				return err
			}
			return l.fs.Sync()
		}
		return &Damage{s.name, 0, "the header", problem}
	}
	l.segments = append(l.segments, s) // Open or Close closes it from here on
	return l.readRecords(s, raw, newest, repair)
}

// readWhole reads the file of a segment and sets its size.
func (s *segment) readWhole() ([]byte, error) {
	var err error
	if s.size, err = s.file.Size(); err != nil {
		return nil, err
	}
	if s.size > maxSegmentBytes {
		return nil, &Damage{s.name, 0, "the file",
			fmt.Sprintf("%d bytes, expected at most %d", s.size, maxSegmentBytes)}
	}
	raw := make([]byte, s.size)
	if s.size > 0 {
		if _, err = s.file.ReadAt(raw, 0); err != nil {
			return nil, &Damage{s.name, 0, "the file", err.Error()}
		}
	}
	return raw, nil
}

// checkHeader returns the problem of a segment's header, or an empty text. The oldest segment's header sets the first
// entry number and the checksum that precedes its first record.
func (l *Log) checkHeader(raw []byte, seq uint64, oldest bool) string {
	switch {
	case len(raw) < segmentHeaderBytes || string(raw[:8]) != segmentMagic:
		return "no header of a log"
	case binary.LittleEndian.Uint32(raw[8:]) != crc32.Checksum(raw[12:segmentHeaderBytes], castagnoli):
		return "its sum does not fit"
	case binary.LittleEndian.Uint32(raw[12:]) != segmentFormat:
		return fmt.Sprintf("format %d, expected %d", binary.LittleEndian.Uint32(raw[12:]), segmentFormat)
	case binary.LittleEndian.Uint64(raw[16:]) != seq:
		return fmt.Sprintf("segment %d, expected %d", binary.LittleEndian.Uint64(raw[16:]), seq)
	}
	next, checksum := binary.LittleEndian.Uint64(raw[24:]), binary.LittleEndian.Uint32(raw[32:])
	if oldest {
		l.index.first, l.checksum = next, checksum
		return ""
	}
	if before := l.segments[len(l.segments)-1].sequence; before+1 != seq {
		return fmt.Sprintf("it follows segment %d, expected %d: one is missing", before, seq-1)
	}
	if checksum != l.checksum || next != l.index.next() {
		return "it does not go on from the segment before"
	}
	return ""
}

// scannedRecord is a record of a flush whose end was not read yet.
type scannedRecord struct {
	kind   byte // without flags
	number uint64
	data   []byte
	offset int
}

// segmentScan reads the records of a segment in order.
type segmentScan struct {
	raw      []byte
	offset   int             // of the next record in raw
	flushEnd int             // end of the last complete flush
	checksum uint32          // of the record before the next one
	next     uint64          // number of the next entry
	flush    []scannedRecord // records of the current flush
}

// readRecords applies the records of a segment flush by flush, each only once it is complete. An incomplete flush at
// the end of the newest segment was never synced and is truncated; unreadable data anywhere else was durable and is
// reported as *Damage.
func (l *Log) readRecords(s *segment, raw []byte, newest bool, repair *Repair) error {
	scan := &segmentScan{raw: raw, offset: segmentHeaderBytes, flushEnd: segmentHeaderBytes, checksum: l.checksum,
		next: l.index.next()}
	problem := ""
	for scan.offset < len(raw) && problem == "" {
		var last bool
		if last, problem = scan.scanRecord(); last {
			l.applyFlush(s, scan.flush)
			l.checksum, scan.flushEnd, scan.flush = scan.checksum, scan.offset, scan.flush[:0]
		}
	}
	if scan.flushEnd == len(raw) {
		return l.syncRecovered(s, newest)
	}
	if !newest || scan.wasDurable() {
		if problem == "" {
			problem = "the flush it belongs to has no end"
		}
		record := fmt.Sprintf("the record of entry %d or a mark before it", scan.next)
		return &Damage{s.name, int64(scan.offset), record, problem}
	}
	repair.TornAt = fmt.Sprintf("%s at byte %d", s.name, scan.flushEnd)
	repair.TornBytes = int64(len(raw) - scan.flushEnd)
	if err := s.file.Truncate(int64(scan.flushEnd)); err != nil {
		return err
	}
	s.size = int64(scan.flushEnd)
	return l.syncRecovered(s, newest)
}

// scanRecord reads the next record. last is true for the last one of a flush; problem says why the record can't be read
// and is empty if it can.
func (s *segmentScan) scanRecord() (last bool, problem string) {
	flags, number, data, ok := readRecord(s.raw[s.offset:], s.checksum)
	kind := flags & kindMask
	switch {
	case !ok:
		return false, "its sum does not fit"
	case (flags&firstOfFlush != 0) != (len(s.flush) == 0):
		return false, "its flush flags do not fit the record before"
	case kind == kindEntry && number != s.next:
		return false, fmt.Sprintf("entry %d, expected %d", number, s.next)
	case kind == kindMark && number >= MaxMarkKinds:
		return false, fmt.Sprintf("a mark of kind %d, expected kinds below %d", number, MaxMarkKinds)
	case kind == kindCut && number == 0:
		return false, "a cut to entry 0, expected at least 1"
	}
	switch kind {
	case kindEntry:
		s.next++
	case kindCut:
		s.next = number
	}
	s.flush = append(s.flush, scannedRecord{kind, number, data, s.offset})
	s.offset += recordHeaderBytes + len(data) + checksumBytes
	s.checksum = binary.LittleEndian.Uint32(s.raw[s.offset-checksumBytes:])
	return flags&lastOfFlush != 0, ""
}

// wasDurable reports whether the unreadable data at the scan's offset had been synced: that is so if a later flush
// follows it, because each flush is synced before the next is written.
func (s *segmentScan) wasDurable() bool {
	if flushStartsAfter(s.raw, s.offset) {
		return true
	}
	_, _, _, next, ok := readRecordWithBadChecksum(s.raw[s.offset:], s.checksum)
	return ok && next&firstOfFlush != 0
}

// applyFlush applies the records of a complete flush to the index and the marks.
func (l *Log) applyFlush(s *segment, flush []scannedRecord) {
	for _, r := range flush {
		switch r.kind {
		case kindEntry:
			l.index.add(s.sequence, int64(r.offset))
		case kindMark:
			l.marks[r.number] = append([]byte{}, r.data...)
		case kindCut:
			l.index.cut(r.number)
		}
	}
}

// syncRecovered syncs the newest segment and the file names: a killed process may have left records written but not
// synced, and they count as durable once they were read.
func (l *Log) syncRecovered(s *segment, newest bool) error {
	if !newest {
		return nil
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	return l.fs.Sync()
}

// parseFileName returns the number in a file name of sixteen hexadecimal digits and a suffix.
func parseFileName(name, suffix string) (uint64, bool) {
	if len(name) != 16+len(suffix) || !strings.HasSuffix(name, suffix) {
		return 0, false
	}
	n, err := strconv.ParseUint(name[:16], 16, 64)
	return n, err == nil
}
