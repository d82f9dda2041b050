package wal

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Read returns an entry, checked against its checksum. The error is *Damage or *EntryNotFoundError.
func (l *Log) Read(number uint64) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number < l.index.first || number >= l.index.next() {
		return nil, &EntryNotFoundError{number, l.index.first, l.index.next() - 1}
	}
	from := l.index.find(number)
	s := l.segment(from.seg)
	bad := func(off int64, what string) error {
		return &Damage{s.name, off, fmt.Sprintf("entry %d", number), what}
	}
	off, length, err := seek(func(head []byte, off int64) error {
		_, err := s.file.ReadAt(head, off)
		return err
	}, from, number)
	if err != nil {
		return nil, bad(off, err.Error())
	}
	raw := make([]byte, checksumBytes+recordHeaderBytes+length+checksumBytes)
	if _, err := s.file.ReadAt(raw, off-checksumBytes); err != nil {
		return nil, bad(off, err.Error())
	}
	kind, n, data, ok := readRecord(raw[checksumBytes:], binary.LittleEndian.Uint32(raw))
	if !ok || kind&kindMask != kindEntry || n != number {
		return nil, bad(off, "its sum does not fit")
	}
	return data, nil
}

// ForEach calls f for all entries in order, segment by segment, as Open has checked them. It is for a start: nothing
// else may use the log meanwhile.
func (l *Log) ForEach(f func(number uint64, data []byte) error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var s *segment
	var raw []byte
	read := func(head []byte, off int64) error {
		if off+recordHeaderBytes > s.size {
			return io.ErrUnexpectedEOF
		}
		copy(head, raw[off:])
		return nil
	}
	for i, j := range l.index.runs { // from each of these on, entries stand one behind the other
		if s == nil || s.sequence != j.seg {
			s = l.segment(j.seg)
			raw = make([]byte, s.size)
			if _, err := s.file.ReadAt(raw, 0); err != nil {
				return &Damage{s.name, 0, "its records", err.Error()}
			}
		}
		number, end := max(j.number, l.index.first), l.index.next()
		if i+1 < len(l.index.runs) {
			end = l.index.runs[i+1].number
		}
		for from := l.index.find(number); number < end; number++ {
			off, length, err := seek(read, from, number)
			if off += recordHeaderBytes; err == nil && off+int64(length) > s.size {
				err = io.ErrUnexpectedEOF
			}
			if err != nil {
				return &Damage{s.name, off, fmt.Sprintf("entry %d", number), err.Error()}
			}
			if err = f(number, raw[off:off+int64(length)]); err != nil {
				return err
			}
			from = run{number + 1, j.seg, uint32(off + int64(length) + checksumBytes)}
		}
	}
	return nil
}
