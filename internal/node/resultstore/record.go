package resultstore

import (
	"encoding/binary"
	"fmt"
)

// RecordKind is what a record says. Its numbers stand in logs on disk.
type RecordKind uint8

// The kinds of records. The first four are of a key.
const (
	Intent      RecordKind = 1 + iota // the key will run
	Result                            // it ran, with this result
	Failure                           // it ran to an error
	NotExecuted                       // it did not run after all
	ClockChange                       // records behind it have times of another boot's clock, whose first one is At
	Damage                            // something before it can't be read: any key whose window was open at At
)

var kindNames = [...]string{Intent: "intent", Result: "result", Failure: "failure", NotExecuted: "not-executed record",
	ClockChange: "clock change", Damage: "damage"}

// String names the kind, for errors.
func (k RecordKind) String() string {
	if k >= Intent && k <= Damage {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Record is one entry of the log.
type Record struct {
	Kind       RecordKind
	Key        Key
	BodyDigest uint64 // of the request's body
	At         Milliseconds
	Window     Milliseconds
	Result     []byte
}

// Places of a record's fields on disk: kind, key, body digest, time, window, each number little-endian; then the
// result.
const (
	keyOffset         = 1
	bodyOffset        = keyOffset + len(Key{})
	timeOffset        = bodyOffset + 8
	windowOffset      = timeOffset + 8
	recordHeaderBytes = windowOffset + 8
)

// frameBytes is what the log adds to a record, and the record's part of a segment's head.
const frameBytes = 24

func (r *Record) sizeOnDisk() int64 { return maxRecordBytes(len(r.Result)) }

// maxRecordBytes is what a record with a result of so many bytes takes on disk.
func maxRecordBytes(result int) int64 { return int64(recordHeaderBytes + frameBytes + result) }

// Append writes the record behind out.
func (r *Record) Append(out []byte) []byte {
	out = append(append(out, byte(r.Kind)), r.Key[:]...)
	for _, n := range [...]uint64{r.BodyDigest, r.At, r.Window} {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return append(out, r.Result...)
}

// ParseRecord reads what Append wrote; the result belongs to raw. An error wraps ErrMalformedRecord.
func ParseRecord(raw []byte) (Record, error) {
	if len(raw) < recordHeaderBytes {
		return Record{}, fmt.Errorf("%w: a record of %d bytes, expected %d at least", ErrMalformedRecord, len(raw),
			recordHeaderBytes)
	}
	r := Record{Kind: RecordKind(raw[0]), BodyDigest: binary.LittleEndian.Uint64(raw[bodyOffset:]),
		At: binary.LittleEndian.Uint64(raw[timeOffset:]), Window: binary.LittleEndian.Uint64(raw[windowOffset:])}
	copy(r.Key[:], raw[keyOffset:])
	if r.Kind < Intent || r.Kind > Damage {
		return Record{}, fmt.Errorf("%w: a record of %s, expected %d to %d", ErrMalformedRecord, r.Kind, Intent, Damage)
	}
	rest := raw[recordHeaderBytes:]
	if r.Kind == Result {
		r.Result = rest
	} else if len(rest) > 0 {
		return Record{}, fmt.Errorf("%w: a record of an %s with %d bytes behind it, expected none",
			ErrMalformedRecord, r.Kind,
			len(rest))
	}
	return r, nil
}
