package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"sort"
	"strings"
)

// Salvage reads the records of a damaged log that are still readable and reports a gap where some are not. It is only
// for logs whose records are independent of each other, such as stored results: raft needs every entry of its log.
//
// SetAside renames the segments, Salvage reads them while the caller writes a new log, and FinishSalvage ends it.

// setAsideSuffix is the suffix of segments that were set aside. They are kept until the next salvage.
const setAsideSuffix = ".bad"

// Marker files of an unfinished salvage, which is continued after a crash: the first exists while segments are renamed,
// the second while the salvaged records are written to a new log.
const (
	settingAsideFile = "salvage-aside"
	rewritingFile    = "salvage-anew"
)

// SalvagedRecord is a readable record, or a gap of unreadable data.
type SalvagedRecord struct {
	Gap  bool
	Mark bool // a mark; false means an entry
	Kind int  // of a mark; meaningless for an entry
	Data []byte
}

// SetAside renames the segments of a damaged log, so that a new log can be created in their place, and continues an
// interrupted salvage, in which it also removes the segments of an unfinished new log. damaged allows it to begin a
// salvage if none is unfinished. It reports whether there is anything to salvage.
func SetAside(fs FS, damaged bool) (bool, error) {
	unlock, err := fs.Lock()
	if err != nil {
		return false, err
	}
	defer unlock()
	names, err := fs.List()
	if err != nil {
		return false, err
	}
	exists := map[string]bool{}
	for _, n := range names {
		exists[n] = true
	}
	switch {
	case exists[rewritingFile]: // all segments belong to the unfinished new log
		for _, n := range names {
			if _, ok := parseFileName(n, segmentSuffix); ok {
				if err = fs.Remove(n); err != nil {
					return false, err
				}
			}
		}
		return true, fs.Sync()
	case exists[settingAsideFile]:
	case !damaged:
		return false, nil
	default:
		for _, n := range names {
			if strings.HasSuffix(n, setAsideSuffix) {
				if err = fs.Remove(n); err != nil {
					return false, err
				}
			}
		}
		if err = createMarker(fs, settingAsideFile); err != nil {
			return false, err
		}
	}
	for _, n := range names {
		if _, ok := parseFileName(n, segmentSuffix); ok {
			if err = fs.Rename(n, n+setAsideSuffix); err != nil {
				return false, err
			}
		}
	}
	if err = fs.Sync(); err == nil {
		err = fs.Rename(settingAsideFile, rewritingFile)
	}
	return true, errors.Join(err, fs.Sync())
}

// createMarker creates an empty file durably.
func createMarker(fs FS, name string) error {
	f, err := fs.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close(), fs.Sync())
}

// SalvageStarted reports whether a salvage was started and not finished.
func SalvageStarted(fs FS) (bool, error) {
	names, err := fs.List()
	return slices.Contains(names, settingAsideFile) || slices.Contains(names, rewritingFile), err
}

// FinishSalvage ends a salvage, once the new log is durable.
func FinishSalvage(fs FS) error { return errors.Join(fs.Remove(rewritingFile), fs.Sync()) }

// Salvage reads the segments that were set aside, in order, and calls emit for each record and gap. The data of a
// record is valid until the next call of emit.
func Salvage(fs FS, emit func(SalvagedRecord) error) (gaps int, err error) {
	names, err := fs.List()
	if err != nil {
		return 0, err
	}
	var setAside []string
	for _, n := range names {
		if _, ok := parseFileName(n, segmentSuffix+setAsideSuffix); ok {
			setAside = append(setAside, n)
		}
	}
	sort.Strings(setAside) // names have sixteen digits each
	gap := func() error {
		gaps++
		return emit(SalvagedRecord{Gap: true})
	}
	previous := uint64(0)
	for _, n := range setAside {
		seq, _ := parseFileName(n, segmentSuffix+setAsideSuffix)
		if previous > 0 && seq != previous+1 {
			if err = gap(); err != nil {
				return gaps, err
			}
		}
		previous = seq
		raw, err := readFile(fs, n)
		if err != nil { // the whole segment is one gap
			if err = gap(); err != nil {
				return gaps, err
			}
			continue
		}
		if err = salvageSegment(raw, emit, gap); err != nil {
			return gaps, err
		}
	}
	return gaps, nil
}

// readFile reads a file of at most maxSegmentBytes.
func readFile(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size > maxSegmentBytes {
		return nil, fmt.Errorf("%s: %d bytes, expected at most %d", name, size, maxSegmentBytes)
	}
	raw := make([]byte, size)
	if size > 0 {
		_, err = f.ReadAt(raw, 0)
	}
	return raw, err
}

// salvageSegment reads one segment. After unreadable data it looks for a record at each offset: the four bytes before
// a record are the previous checksum, so its own checksum can be verified anywhere.
func salvageSegment(raw []byte, emit func(SalvagedRecord) error, gap func() error) error {
	if len(raw) < segmentHeaderBytes {
		return gap()
	}
	inGap, checksum := false, binary.LittleEndian.Uint32(raw[segmentHeaderBytes-checksumBytes:])
	for off := segmentHeaderBytes; off < len(raw); {
		if inGap {
			checksum = binary.LittleEndian.Uint32(raw[off-checksumBytes:])
		}
		kind, number, data, ok := readRecord(raw[off:], checksum)
		checksumOK := ok
		if !ok {
			kind, number, data, _, ok = readRecordWithBadChecksum(raw[off:], checksum)
		}
		if !ok {
			inGap = true
			off++
			continue
		}
		if inGap {
			inGap = false
			if err := gap(); err != nil {
				return err
			}
		}
		end := off + recordHeaderBytes + len(data)
		if checksumOK {
			checksum = binary.LittleEndian.Uint32(raw[end:])
		} else {
			checksum = crc32.Update(checksum, castagnoli, raw[off:end])
		}
		off = end + checksumBytes
		if k := kind & kindMask; k != kindCut {
			if err := emit(SalvagedRecord{Mark: k == kindMark, Kind: int(number), Data: data}); err != nil {
				return err
			}
		}
	}
	if inGap {
		return gap()
	}
	return nil
}
