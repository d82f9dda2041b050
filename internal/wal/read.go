package wal

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Read reads an entry from disk and verifies its checksum. Errors are *Damage and *EntryNotFoundError.
func (l *Log) Read(number uint64) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number < l.index.first || number >= l.index.next() {
		return nil, &EntryNotFoundError{number, l.index.first, l.index.next() - 1}
	}
	start := l.index.find(number)
	s := l.segment(start.seg)
	damageAt := func(off int64, problem string) error {
		return &Damage{s.name, off, fmt.Sprintf("entry %d", number), problem}
	}
	off, length, err := seek(func(header []byte, off int64) error {
		_, err := s.file.ReadAt(header, off)
		return err
	}, start, number)
	if err != nil {
		return nil, damageAt(off, err.Error())
	}
	raw := make([]byte, checksumBytes+recordHeaderBytes+length+checksumBytes)
	if _, err := s.file.ReadAt(raw, off-checksumBytes); err != nil {
		return nil, damageAt(off, err.Error())
	}
	kind, n, data, ok := readRecord(raw[checksumBytes:], binary.LittleEndian.Uint32(raw))
	if !ok || kind&kindMask != kindEntry || n != number {
		return nil, damageAt(off, "its sum does not fit")
	}
	return data, nil
}

// ForEach calls f for all entries in order. It reads whole segments and relies on the checksums that Open verified, so
// it is for a start, before anything is appended; f must not use the log.
func (l *Log) ForEach(f func(number uint64, data []byte) error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var s *segment
	var raw []byte
	read := func(header []byte, off int64) error {
		if off+recordHeaderBytes > s.size {
			return io.ErrUnexpectedEOF
		}
		copy(header, raw[off:])
		return nil
	}
	for i, extent := range l.index.extentStarts { // the entries of an extent are consecutive on disk
		if s == nil || s.sequence != extent.seg {
			s = l.segment(extent.seg)
			raw = make([]byte, s.size)
			if _, err := s.file.ReadAt(raw, 0); err != nil {
				return &Damage{s.name, 0, "its records", err.Error()}
			}
		}
		number, end := max(extent.number, l.index.first), l.index.next()
		if i+1 < len(l.index.extentStarts) {
			end = l.index.extentStarts[i+1].number
		}
		for start := l.index.find(number); number < end; number++ {
			off, length, err := seek(read, start, number)
			if off += recordHeaderBytes; err == nil && off+int64(length) > s.size {
				err = io.ErrUnexpectedEOF
			}
			if err != nil {
				return &Damage{s.name, off, fmt.Sprintf("entry %d", number), err.Error()}
			}
			if err = f(number, raw[off:off+int64(length)]); err != nil {
				return err
			}
			start = entryPosition{number + 1, extent.seg, uint32(off + int64(length) + checksumBytes)}
		}
	}
	return nil
}
