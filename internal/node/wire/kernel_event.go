package wire

import (
	"bytes"
	"encoding/base64"
)

// Kinds of kernel events.
const (
	KernelBooted    = "BOOTED" // the kernel booted RunMS ago; Outcome is KernelCold after a cold start
	KernelGauges    = "INFO"   // the gauges; answers the request with the same Nonce
	KernelInvalid   = "EINVAL" // the command in Outcome for the run RunID is invalid and was not executed
	KernelRunEnded  = "REAP"   // a run ended with one of the outcomes below
	KernelCallAsked = "IOREQ"  // a run asks for the call in Body and waits for it
)

// Outcomes of a run; any other is a failure.
const (
	RunSucceeded  = "OK"
	RunStopped    = "STOPPED" // by KernelStop
	RunSuperseded = "MOOT"    // replaced by another run of the same key
	KernelCold    = "COLD"    // not of a run but of KernelBooted: a cold start
)

// maxGauges is the maximum number of gauges in an event.
const maxGauges = 8

// maxSequence is the exclusive bound of sequence numbers: a JSON number is exact below it.
const maxSequence = 1 << 53

// KernelEvent is one line from the kernel; absent fields are zero. Its slices are views into the line.
type KernelEvent struct {
	Kind, RunID, Nonce []byte
	Outcome            []byte  // of a run that ended; for other kinds see InvalidCommand and IsColdStart
	Body               []byte  // decoded from base64
	Sequence           uint64  // number of the event on the link; 0 if it has none
	RunMS              float64 // duration of the run, or time since the boot, ms
	Gauges             [maxGauges]float64
	GaugeCount         int // number of Gauges in the event
}

// InvalidCommand returns the command that a KernelInvalid event rejects, which is in the outcome key.
func (e *KernelEvent) InvalidCommand() []byte { return e.Outcome }

// IsColdStart reports whether a KernelBooted event is of a cold start, which is in the outcome key.
func (e *KernelEvent) IsColdStart() bool { return string(e.Outcome) == KernelCold }

// NextLine returns the line at the start of b without its line end; n is its size in bytes with the line end, 0 while
// the line is incomplete.
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

// ParseKernelEvent parses one line. It decodes in place, so a line can't be parsed twice. Unknown keys, which a newer
// kernel may send, are ignored.
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
	if s.err == nil && s.pos < len(s.input) || len(e.Kind) == 0 {
		s.err = ErrLine
	}
	return e, s.err
}

// setField reads the value of a key. Errors of the scanner are left in s.err.
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
