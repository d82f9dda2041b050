package resultstore

import (
	"encoding/binary"
	"fmt"
)

// RecordKind is what a record says.
type RecordKind uint8

// The kinds.
const (
	Intent      RecordKind = 1 + iota // the key will run
	Result                            // it ran, with this result
	Failure                           // it ran to an error
	NotExecuted                       // it did not run after all
	ClockChange                       // not of a key: what comes after it has times of another boot's clock, At being its first
	Damage                            // nor this: something before it can't be read; it may be of any key whose window was open then
)

var kindNames = [...]string{Intent: "intent", Result: "result", Failure: "fault", NotExecuted: "unrun", ClockChange: "boot", Damage: "doubt"}

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
	BodyDigest uint64 // digest of the req's body
	At         uint64 // ms
	Window     uint64 // ms
	Result     []byte
}

// On disk: kind u8 | key 16 | body u64 | at u64 | window u64 | result.
const recordBytes = 1 + 16 + 8 + 8 + 8

// framed is what the log adds to a record, and its part of a segment's head.
const framed = 24

func (r *Record) size() int64 { return int64(recordBytes + framed + len(r.Result)) }

// recordMost is what a record with a result of so many bytes comes to on disk.
func recordMost(result int) int64 { return int64(recordBytes + framed + result) }

// Append writes the record behind out.
func (r *Record) Append(out []byte) []byte {
	out = append(append(out, byte(r.Kind)), r.Key[:]...)
	for _, n := range [3]uint64{r.BodyDigest, r.At, r.Window} {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	return append(out, r.Result...)
}

// ReadRecord reads one; the result belongs to raw.
func ReadRecord(raw []byte) (Record, error) {
	if len(raw) < recordBytes {
		return Record{}, fmt.Errorf("a record of %d bytes, expected %d at least", len(raw), recordBytes)
	}
	r := Record{Kind: RecordKind(raw[0]), BodyDigest: binary.LittleEndian.Uint64(raw[17:]), At: binary.LittleEndian.Uint64(raw[25:]),
		Window: binary.LittleEndian.Uint64(raw[33:])}
	copy(r.Key[:], raw[1:])
	if r.Kind < Intent || r.Kind > Damage {
		return Record{}, fmt.Errorf("a record of %s, expected %d to %d", r.Kind, Intent, Damage)
	}
	if rest := raw[recordBytes:]; r.Kind == Result {
		r.Result = rest
	} else if len(rest) > 0 {
		return Record{}, fmt.Errorf("a record of an %s with %d bytes behind it, expected none", r.Kind, len(rest))
	}
	return r, nil
}
