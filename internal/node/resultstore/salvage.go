package resultstore

import (
	"bytes"
	"errors"
	"fmt"

	"umberwinch/internal/wal"
)

// openOrSalvage loads a folder. If its log is damaged or an earlier salvage was interrupted, it salvages the log first.
func openOrSalvage(fs wal.FS, sizes wal.Sizes, limits Limits, now Milliseconds, bootID string) (*wal.Log, *Index,
	Recovery, error) {
	if err := limits.Validate(); err != nil {
		return nil, nil, Recovery{}, err
	}
	interrupted, err := wal.SetAside(fs, false)
	if err != nil {
		return nil, nil, Recovery{}, err
	}
	if !interrupted {
		log, index, recovery, err := load(fs, sizes, limits, now, bootID)
		if damage := (*wal.Damage)(nil); !errors.As(err, &damage) {
			return log, index, recovery, err
		}
		if _, err = wal.SetAside(fs, true); err != nil {
			return nil, nil, recovery, err
		}
	}
	gaps, err := salvage(fs, sizes, limits, now, bootID)
	if err != nil {
		return nil, nil, Recovery{Gaps: gaps}, fmt.Errorf("salvage of a damaged log: %w", err)
	}
	log, index, recovery, err := load(fs, sizes, limits, now, bootID)
	recovery.Gaps = gaps
	return log, index, recovery, err
}

// salvage writes the readable records of a damaged log to a new log, followed by a damage record: a key whose intent is
// in a gap would otherwise run a second time. KeysMayBeLost reports that for the longest window.
func salvage(fs wal.FS, sizes wal.Sizes, limits Limits, now Milliseconds, bootID string) (gaps int, err error) {
	log, _, err := wal.Open(fs, sizes)
	if err != nil {
		return 0, err
	}
	s := &salvager{log: log}
	gaps, err = wal.Salvage(fs, s.addSalvaged)
	gaps += s.malformed
	if err == nil {
		s.addRecord(&Record{Kind: ClockChange, At: now})
		s.addRecord(&Record{Kind: Damage, At: now, Window: limits.LongestWindow})
		err = s.flush(wal.Mark{Kind: bootMark, Data: []byte(bootID)})
	}
	if err = errors.Join(err, log.Close()); err != nil {
		return gaps, err
	}
	return gaps, wal.FinishSalvage(fs)
}

// salvager copies records of a damaged log to a new one.
type salvager struct {
	log       *wal.Log
	batch     [][]byte
	afterGap  bool // the last thing read was a gap or a malformed record
	malformed int  // entries of the log that are not valid records
}

// addSalvaged adds a salvaged record. A gap may have held a clock change, so one is added after each gap: time then
// continues from the last record before the gap, and no window ends too early.
func (s *salvager) addSalvaged(salvaged wal.SalvagedRecord) error {
	if salvaged.Gap {
		s.afterGap = true
		return nil
	}
	if salvaged.Mark {
		return nil
	}
	r, err := ParseRecord(salvaged.Data)
	if err != nil {
		s.afterGap = true
		s.malformed++
		return nil
	}
	if s.afterGap {
		s.afterGap = false
		s.addRecord(&Record{Kind: ClockChange, At: r.At})
	}
	s.batch = append(s.batch, bytes.Clone(salvaged.Data))
	if len(s.batch) < maxBatch {
		return nil
	}
	return s.flush()
}

func (s *salvager) addRecord(r *Record) { s.batch = append(s.batch, r.Append(nil)) }

func (s *salvager) flush(marks ...wal.Mark) error {
	_, err := s.log.Commit(wal.Batch{Entries: s.batch, Marks: marks})
	s.batch = s.batch[:0]
	return err
}
