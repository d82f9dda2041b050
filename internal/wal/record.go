package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// On disk a record is a header, its data, and a checksum at its end that takes in the checksum before it:
//
//	length u32 | kind u8 | number u64 | bytes | sum u32
//
// As the checksum stands last, a reader can check a record from anywhere, with the four bytes before it as the checksum
// before. That tells a torn tail, which was never durable, from damage with sound records after it, which was.
const (
	recordHeaderBytes = 13
	checksumBytes     = 4

	kindEntry    byte = 1
	kindMark     byte = 2
	kindCut      byte = 3 // the next entry has this number; entries from it on are dropped
	kindMask     byte = 0x0f
	firstOfFlush byte = 0x80 // a flush is synced before the next is written
	lastOfFlush  byte = 0x40
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// position is where a record that was just written stands.
type position struct {
	seg uint64 // sequence number of the segment
	off int64  // of the record's head
}

// recordWriter puts records together for one flush.
type recordWriter struct {
	buf              []byte
	checksum         uint32
	segment          uint64
	offset           int64
	next             uint64
	lastRecord       int // where the last record's head stands in buf
	previousChecksum uint32
	positions        []position
}

func (w *recordWriter) append(kind byte, number uint64, data []byte) {
	if w.lastRecord < 0 {
		kind |= firstOfFlush
	}
	w.lastRecord, w.previousChecksum = len(w.buf), w.checksum
	w.buf = binary.LittleEndian.AppendUint32(w.buf, uint32(len(data)))
	w.buf = append(w.buf, kind)
	w.buf = binary.LittleEndian.AppendUint64(w.buf, number)
	w.buf = append(w.buf, data...)
	w.checksum = crc32.Update(w.previousChecksum, castagnoli, w.buf[w.lastRecord:])
	w.buf = binary.LittleEndian.AppendUint32(w.buf, w.checksum)
}

// appendMarks adds the marks that there are.
func (w *recordWriter) appendMarks(marks [][]byte) {
	for kind, data := range marks {
		if data != nil {
			w.append(kindMark, uint64(kind), data)
		}
	}
}

func (w *recordWriter) appendBatch(b Batch) uint64 {
	if b.Cut > 0 {
		w.append(kindCut, b.Cut, nil)
		w.next = b.Cut
	}
	first := w.next
	for _, e := range b.Entries {
		w.positions = append(w.positions, position{w.segment, w.offset + int64(len(w.buf))})
		w.append(kindEntry, w.next, e)
		w.next++
	}
	for _, m := range b.Marks {
		w.append(kindMark, uint64(m.Kind), m.Data)
	}
	return first
}

// finishFlush marks the last record as such and sums it again.
func (w *recordWriter) finishFlush() {
	w.buf[w.lastRecord+4] |= lastOfFlush
	end := len(w.buf) - checksumBytes
	w.checksum = crc32.Update(w.previousChecksum, castagnoli, w.buf[w.lastRecord:end])
	binary.LittleEndian.PutUint32(w.buf[end:], w.checksum)
}

func batchBytes(b Batch) int64 {
	n := int64(0)
	if b.Cut > 0 {
		n += recordHeaderBytes + checksumBytes
	}
	for _, e := range b.Entries {
		n += int64(len(e)) + recordHeaderBytes + checksumBytes
	}
	for _, m := range b.Marks {
		n += int64(len(m.Data)) + recordHeaderBytes + checksumBytes
	}
	return n
}

// readRecord reads the record at the start of raw, given the checksum before it; ok is false if there is none.
func readRecord(raw []byte, previousChecksum uint32) (kind byte, number uint64, data []byte, ok bool) {
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
	if crc32.Update(previousChecksum, castagnoli, raw[:end]) != binary.LittleEndian.Uint32(raw[end:]) {
		return 0, 0, nil, false
	}
	return kind, binary.LittleEndian.Uint64(raw[5:]), raw[recordHeaderBytes:end], true
}

// flushStartsAfter looks for the start of a flush anywhere after an offset. It tells damage from a torn tail: each
// flush is synced before the next is written, so whatever stands before one was durable.
func flushStartsAfter(raw []byte, from int) bool {
	for off := from + 1; off+recordHeaderBytes+checksumBytes <= len(raw); off++ {
		if raw[off+4]&firstOfFlush == 0 {
			continue
		}
		if _, _, _, ok := readRecord(raw[off:], binary.LittleEndian.Uint32(raw[off-checksumBytes:])); ok {
			return true
		}
	}
	return false
}

// readRecordWithBadChecksum reads the record at the start of raw where its stored checksum alone is wrong: the record after it
// takes in the checksum that it should have. next is that record's kind and flags.
func readRecordWithBadChecksum(raw []byte, previousChecksum uint32) (kind byte, number uint64, data []byte, nextKind byte, ok bool) {
	if len(raw) < recordHeaderBytes+checksumBytes {
		return 0, 0, nil, 0, false
	}
	n := binary.LittleEndian.Uint32(raw)
	maxData := len(raw) - recordHeaderBytes - checksumBytes
	if k := raw[4] & kindMask; n > MaxRecordBytes || k < kindEntry || k > kindCut || int(n) > maxData {
		return 0, 0, nil, 0, false
	}
	end := recordHeaderBytes + int(n)
	nextKind, _, _, ok = readRecord(raw[end+checksumBytes:], crc32.Update(previousChecksum, castagnoli, raw[:end]))
	return raw[4], binary.LittleEndian.Uint64(raw[5:]), raw[recordHeaderBytes:end], nextKind, ok
}
