package wire

import (
	"bytes"
	"encoding/base64"
)

// Kinds of events.
const (
	KernelBooted    = "BOOTED" // the kernel's start; RunMS ago, with KernelCold in Outcome for a cold one
	KernelGauges    = "INFO"   // the gauges; answers the request with the same Nonce
	KernelInvalid   = "EINVAL" // the command in Outcome for RunID wasn't carried out
	KernelRunEnded  = "REAP"   // a run ended, with an outcome below
	KernelCallAsked = "IOREQ"  // a run waits for the call in Body
)

// Outcomes of a run that ended; any other is a failure.
const (
	RunSucceeded  = "OK"
	RunStopped    = "STOPPED" // by KernelStop
	RunSuperseded = "MOOT"    // another run of the same key took its place
	KernelCold    = "COLD"    // of KernelBooted alone: the start was a cold one
)

// maxGauges is how many gauges an event may have.
const maxGauges = 8

// maxSequence is the first number that a JSON number doesn't hold exactly.
const maxSequence = 1 << 53

// KernelEvent is one line from the kernel; absent fields are zero.
type KernelEvent struct {
	Kind, RunID, Nonce []byte
	Outcome            []byte // of a run that ended; for other kinds see InvalidCommand and IsColdStart
	Body               []byte // decoded from base64
	Sequence           uint64 // of this event on the link
	RunMS              float64
	Gauges             [maxGauges]float64
	GaugeCount         int // how many of Gauges were given
}

// InvalidCommand is the command that a KernelInvalid says was not carried out: it stands in the key of outcomes.
func (e *KernelEvent) InvalidCommand() []byte { return e.Outcome }

// IsColdStart tells whether a KernelBooted is of a cold start, which stands in the key of outcomes too.
func (e *KernelEvent) IsColdStart() bool { return string(e.Outcome) == KernelCold }

// NextLine cuts the line at the start of b, without its end; n is 0 while it is incomplete.
func NextLine(b []byte, limit int) (line []byte, n int, err error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 && len(b) > limit || i > limit {
		return nil, 0, ErrTooLarge
	}
	if i < 0 {
		return nil, 0, nil
	}
	return bytes.TrimSuffix(b[:i], []byte("\r")), i + 1, nil
}

// ParseKernelEvent reads one line. It decodes into the line's own bytes, so a line can't be read twice. Unknown keys
// are passed over: a newer kernel may send more.
func ParseKernelEvent(line []byte) (e KernelEvent, err error) {
	s := jsonScanner{input: line}
	s.expect('{')
	for first := true; s.err == nil; first = false {
		s.skipSpace()
		if first && s.accept('}') {
			break
		}
		key := s.readString()
		s.expect(':')
		if err = e.setField(&s, key); err != nil {
			return e, err
		}
		if s.accept('}') {
			break
		}
		s.expect(',')
	}
	s.skipSpace()
	if s.err == nil && s.position < len(s.input) || len(e.Kind) == 0 {
		s.err = ErrLine
	}
	return e, s.err
}

// setField reads the value of a key. An error of the scanner's own is found in it.
func (e *KernelEvent) setField(s *jsonScanner, key []byte) error {
	switch string(key) {
	case "verb":
		e.Kind = s.readString()
	case "task":
		e.RunID = s.readString()
	case "outcome":
		e.Outcome = s.readString()
	case "nonce":
		e.Nonce = s.readString()
	case "bytes":
		raw := s.readString()
		n, err := base64.StdEncoding.Decode(raw, raw)
		if err != nil {
			return ErrLine
		}
		e.Body = raw[:n]
	case "index":
		v := s.readNumber()
		if !(v >= 0 && v < maxSequence) {
			return ErrLine
		}
		e.Sequence = uint64(v)
	case "spent":
		e.RunMS = s.readNumber()
	case "readings":
		return e.setGauges(s)
	default:
		s.skipValue(0)
	}
	return nil
}

// setGauges reads the list of gauges.
func (e *KernelEvent) setGauges(s *jsonScanner) error {
	s.expect('[')
	for s.err == nil && !s.accept(']') {
		if e.GaugeCount > 0 {
			s.expect(',')
		}
		if e.GaugeCount == len(e.Gauges) {
			return ErrLine
		}
		e.Gauges[e.GaugeCount] = s.readNumber()
		e.GaugeCount++
	}
	return nil
}
