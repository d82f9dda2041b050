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
	Outcome            []byte // of a run that ended; for other kinds see RefusedCommand and IsColdStart
	Body               []byte // decoded from base64
	Sequence           uint64 // of this event on the link
	RunMS              float64
	Gauges             [maxGauges]float64
	GaugeCount         int // how many of Gauges were given
}

// RefusedCommand is the command that a KernelInvalid says was not carried out: it stands in the key of outcomes.
func (e *KernelEvent) RefusedCommand() []byte { return e.Outcome }

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
	s := jsonScanner{b: line}
	s.want('{')
	for first := true; s.err == nil; first = false {
		s.space()
		if first && s.has('}') {
			break
		}
		key := s.text()
		s.want(':')
		if err = e.setKey(&s, key); err != nil {
			return e, err
		}
		if s.has('}') {
			break
		}
		s.want(',')
	}
	s.space()
	if s.err == nil && s.at < len(s.b) || len(e.Kind) == 0 {
		s.err = ErrLine
	}
	return e, s.err
}

// setKey reads the value of a key. An error of the scanner's own is found in it.
func (e *KernelEvent) setKey(s *jsonScanner, key []byte) error {
	switch string(key) {
	case "verb":
		e.Kind = s.text()
	case "task":
		e.RunID = s.text()
	case "outcome":
		e.Outcome = s.text()
	case "nonce":
		e.Nonce = s.text()
	case "bytes":
		raw := s.text()
		n, err := base64.StdEncoding.Decode(raw, raw)
		if err != nil {
			return ErrLine
		}
		e.Body = raw[:n]
	case "index":
		v := s.number()
		if !(v >= 0 && v < maxSequence) {
			return ErrLine
		}
		e.Sequence = uint64(v)
	case "spent":
		e.RunMS = s.number()
	case "readings":
		return e.setGauges(s)
	default:
		s.pass(0)
	}
	return nil
}

// setGauges reads the list of gauges.
func (e *KernelEvent) setGauges(s *jsonScanner) error {
	s.want('[')
	for s.err == nil && !s.has(']') {
		if e.GaugeCount > 0 {
			s.want(',')
		}
		if e.GaugeCount == len(e.Gauges) {
			return ErrLine
		}
		e.Gauges[e.GaugeCount] = s.number()
		e.GaugeCount++
	}
	return nil
}
