package resultstore

import (
	"encoding/binary"
	"fmt"
)

// RecordKind is the kind of a record. Its values are stored in logs.
type RecordKind uint8

// The kinds of records. The first four belong to a key.
const (
	Intent      RecordKind = 1 + iota // the key is going to run
	Result                            // the key ran and has this result
	Failure                           // the key ran and has no result
	NotExecuted                       // the key did not run
	ClockChange                       // later records have times of another boot's clock, which read At at the change
	Damage                            // records of any key whose window was open at At may be lost
)

var kindNames = [...]string{Intent: "intent", Result: "result", Failure: "failure", NotExecuted: "not-executed record",
	ClockChange: "clock change", Damage: "damage"}

// String returns the name of the kind for errors.
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
	BodyDigest uint64       // of the request's body
	At         Milliseconds // when the record was made
	Window     Milliseconds // idempotency window of the key; of Damage, how long keys may be missing
	Result     []byte       // only of the kind Result
}

// Offsets of the fields of a record on disk: kind, key, body digest, time, window and result. Numbers are
// little-endian.
const (
	keyOffset         = 1
	bodyOffset        = keyOffset + len(Key{})
	timeOffset        = bodyOffset + 8
	windowOffset      = timeOffset + 8
	recordHeaderBytes = windowOffset + 8
)

// frameBytes is the overhead per record of the log's framing and of the segment headers.
const frameBytes = 24

func (r *Record) sizeOnDisk() int64 { return maxRecordBytes(len(r.Result)) }

// maxRecordBytes returns the size on disk of a record with a result of the given size.
func maxRecordBytes(result int) int64 { return int64(recordHeaderBytes + frameBytes + result) }

// Append appends the encoded record to out.
func (r *Record) Append(out []byte) []byte {
	out = append(append(out, byte(r.Kind)), r.Key[:]...)
	for _, n := range [...]uint64{r.BodyDigest, r.At, r.Window} {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return append(out, r.Result...)
}

// ParseRecord decodes a record. Its result aliases raw. Errors wrap ErrMalformedRecord.
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
