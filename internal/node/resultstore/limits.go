package resultstore

import "fmt"

// Milliseconds is a time of CLOCK_BOOTTIME or a duration.
type Milliseconds = uint64

// Ranges of the limits.
const (
	// maxKeys limits the memory of the index, of about 60 bytes per key.
	maxKeys = 1 << 26
	// maxResultBytes is the maximum size of one result, which is reserved for each run in flight.
	maxResultBytes = 1 << 20
	// recordsPerRun is the maximum number of records of a run: its intent and its end.
	recordsPerRun = 2
)

// Limits are the limits of an index.
type Limits struct {
	Keys          int          // maximum number of keys at one time
	Bytes         int64        // maximum size of all records on disk
	ResultBytes   int          // maximum size of one result
	LongestWindow Milliseconds // longest idempotency window of any key: how long keys may be missing after damage
}

// Validate returns an error that wraps ErrInvalidLimits if a limit is out of range.
func (l *Limits) Validate() error {
	switch {
	case l.Keys < 1 || l.Keys > maxKeys:
		return fmt.Errorf("%w: entries: found %d, expected 1 to %d", ErrInvalidLimits, l.Keys, maxKeys)
	case l.ResultBytes < 0 || l.ResultBytes > maxResultBytes:
		return fmt.Errorf("%w: result: found %d bytes, expected 0 to %d", ErrInvalidLimits, l.ResultBytes,
			maxResultBytes)
	case l.Bytes < l.runBytes():
		return fmt.Errorf("%w: bytes: found %d, expected at least %d, the records of one run", ErrInvalidLimits,
			l.Bytes, l.runBytes())
	}
	return nil
}

// recordBytes returns the size of the largest record on disk.
func (l *Limits) recordBytes() int64 { return maxRecordBytes(l.ResultBytes) }

// runBytes returns the maximum size of the records of one run on disk.
func (l *Limits) runBytes() int64 { return recordsPerRun * l.recordBytes() }
