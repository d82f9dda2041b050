package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// On disk a record is a header, its data and a checksum (CRC-32C) that continues the checksum of the previous record:
//
//	length u32 | kind and flags u8 | number u64 | data | checksum u32
//
// The four bytes before a record are the previous checksum, so a record can be verified at any offset. That
// distinguishes a torn tail, which was never durable, from damage, which is followed by valid records.
const (
	recordHeaderBytes = 13
	checksumBytes     = 4

	kindEntry    byte = 1
	kindMark     byte = 2
	kindCut      byte = 3 // the number is that of the next entry; entries from it on are dropped
	kindMask     byte = 0x0f
	firstOfFlush byte = 0x80 // a flush is the records of one write; it is synced before the next one is written
	lastOfFlush  byte = 0x40
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// position is the place of a written record.
type position struct {
	seg uint64 // sequence number of the segment
	off int64  // of the record's header, in bytes
}

// recordWriter encodes the records of one flush.
type recordWriter struct {
	buf              []byte
	checksum         uint32     // of the last record
	segment          uint64     // sequence number
	offset           int64      // of buf in the segment's file
	next             uint64     // number of the next entry
	lastRecord       int        // offset of the last record in buf, -1 if there is none
	previousChecksum uint32     // of the record before the last one
	positions        []position // of the entries
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

// appendMarks adds the marks that are set; the index in marks is the kind.
func (w *recordWriter) appendMarks(marks [][]byte) {
	for kind, data := range marks {
		if data != nil {
			w.append(kindMark, uint64(kind), data)
		}
	}
}

// appendBatch adds the records of a batch and returns the number of its first entry.
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

// finishFlush sets lastOfFlush in the last record and recomputes its checksum.
func (w *recordWriter) finishFlush() {
	w.buf[w.lastRecord+4] |= lastOfFlush
	end := len(w.buf) - checksumBytes
	w.checksum = crc32.Update(w.previousChecksum, castagnoli, w.buf[w.lastRecord:end])
	binary.LittleEndian.PutUint32(w.buf[end:], w.checksum)
}

// batchBytes returns the size of a batch on disk.
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

// readRecord decodes the record at the start of raw. ok is false if it is incomplete, invalid or does not match its
// checksum. kind includes the flags.
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

// flushStartsAfter reports whether a flush starts anywhere after an offset. That distinguishes damage from a torn tail:
// each flush is synced before the next is written, so all data before a flush was durable.
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

// readRecordWithBadChecksum decodes the record at the start of raw if only its stored checksum is damaged: the checksum
// computed for it is confirmed by the next record, which continues it. nextKind is the next record's kind with flags.
func readRecordWithBadChecksum(raw []byte, previousChecksum uint32) (kind byte, number uint64, data []byte,
	nextKind byte, ok bool) {
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
