package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A segment file starts with a header. The header's last four bytes are the checksum of the last record of the previous
// segment, which the checksum of the first record continues. Numbers are little-endian:
//
//	"umberwal" | checksum of the rest u32 | format u32 | sequence u64 | next entry u64 | previous checksum u32
const (
	segmentHeaderBytes = 36
	segmentMagic       = "umberwal"
	segmentFormat      = 1
	segmentSuffix      = ".seg"
	temporarySuffix    = ".tmp"
	maxSegmentBytes    = 1 << 30 // larger files are rejected, as segments are read into memory whole
)

// segment is an open segment file.
type segment struct {
	sequence uint64 // consecutive within a log
	name     string
	size     int64
	file     File
}

func segmentName(seq uint64) string { return fmt.Sprintf("%016x", seq) + segmentSuffix }

// createSegment creates a segment whose first entry will be next, and syncs its header and name.
func createSegment(fs FS, seq, next uint64, checksum uint32) (*segment, error) {
	raw := make([]byte, segmentHeaderBytes)
	copy(raw, segmentMagic)
	binary.LittleEndian.PutUint32(raw[12:], segmentFormat)
	binary.LittleEndian.PutUint64(raw[16:], seq)
	binary.LittleEndian.PutUint64(raw[24:], next)
	binary.LittleEndian.PutUint32(raw[32:], checksum)
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
	if err != nil {
		return nil, errors.Join(err, s.file.Close())
	}
	return s, nil
}
