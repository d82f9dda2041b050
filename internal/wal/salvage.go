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

// Salvage is for logs whose records stand for themselves, as those of stored results: what can still be read of a
// damaged log is read, with a gap told where something can't. A group's log must never be read so: raft needs all of
// it.

// setAsideSuffix marks segments that were set aside. They are held until the next salvage.
const setAsideSuffix = ".bad"

// These files mark a salvage under way, so that a start after a crash goes on with it: the first while segments are
// renamed, the second while what was read of them is written anew.
const (
	settingAsideFile = "salvage-aside"
	rewritingFile    = "salvage-anew"
)

// SalvagedRecord is a record that was read, or a gap where something can't be.
type SalvagedRecord struct {
	Gap  bool
	Mark bool // else an entry
	Kind int  // of a mark
	Data []byte
}

// SetAside sets the segments of a damaged log aside, so that a new log can be begun in their place. It tells whether
// there is anything to salvage: if damaged, or if an earlier salvage was interrupted.
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
	case exists[rewritingFile]: // all segments are copies of what was put aside
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

func createMarker(fs FS, name string) error {
	f, err := fs.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close(), fs.Sync())
}

// SalvageStarted tells whether a salvage was begun and not finished.
func SalvageStarted(fs FS) (bool, error) {
	names, err := fs.List()
	return slices.Contains(names, settingAsideFile) || slices.Contains(names, rewritingFile), err
}

// FinishSalvage ends a salvage: all was written anew.
func FinishSalvage(fs FS) error { return errors.Join(fs.Remove(rewritingFile), fs.Sync()) }

// Salvage reads what was set aside, in order, and calls take for each record and gap. Data is valid until the next
// call.
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
	sort.Strings(setAside) // sixteen digits each
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
		if err != nil { // a segment that can't be read at all is a gap of many
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
		return nil, fmt.Errorf("%s: %d bytes, expected less than %d", name, size, maxSegmentBytes)
	}
	raw := make([]byte, size)
	if size > 0 {
		_, err = f.ReadAt(raw, 0)
	}
	return raw, err
}

// salvageSegment reads one segment. Each record's checksum takes in the one before it, which stands right before it,
// so a record can be told from anything else wherever it begins.
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
