package resultstore

import "fmt"

// Milliseconds is a time of the boot clock, or a duration.
type Milliseconds = uint64

// Bounds of what limits may ask for.
const (
	// maxKeys bounds the index: 3.2 GB of memory, past what a node has.
	maxKeys = 1 << 26
	// maxResultBytes bounds one result: so much room is reserved for each run in flight.
	maxResultBytes = 1 << 20
	// recordsPerRun is how many records a run leaves at most: its intent and its end.
	recordsPerRun = 2
)

// Limits of an index.
type Limits struct {
	Keys          int          // that may be known at one time
	Bytes         int64        // of records on disk
	ResultBytes   int          // of one result
	LongestWindow Milliseconds // of all keys: for so long keys may be missing after damage
}

// Validate says what is wrong with them; the error wraps ErrInvalidLimits.
func (l *Limits) Validate() error {
	switch {
	case l.Keys < 1 || l.Keys > maxKeys:
		return fmt.Errorf("%w: entries: found %d, expected 1 to %d", ErrInvalidLimits, l.Keys, maxKeys)
	case l.ResultBytes < 0 || l.ResultBytes > maxResultBytes:
		return fmt.Errorf("%w: result: found %d bytes, expected 0 to %d", ErrInvalidLimits, l.ResultBytes,
			maxResultBytes)
	case l.Bytes < l.runBytes():
		return fmt.Errorf("%w: bytes: found %d, expected %d at least, for one run", ErrInvalidLimits, l.Bytes,
			l.runBytes())
	}
	return nil
}

// recordBytes is what the largest record takes on disk.
func (l *Limits) recordBytes() int64 { return maxRecordBytes(l.ResultBytes) }

// runBytes is what one run may leave on disk.
func (l *Limits) runBytes() int64 { return recordsPerRun * l.recordBytes() }
