package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A segment's file opens with a header whose last four bytes are the sum that its first record takes in:
//
//	"umberwal" | sum of what follows u32 | format u32 | sequence u64 | next entry u64 | sum before u32
const (
	segmentHeaderBytes = 36
	segmentMagic       = "umberwal"
	segmentFormat      = 1
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

func segmentName(seq uint64) string { return fmt.Sprintf("%016x", seq) + segmentSuffix }

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
