package wire

import (
	"bytes"
	"encoding/base64"
	"errors"
	"strconv"
)

// KernelEvent is one line from the kernel; absent fields are zero.
type KernelEvent struct {
	Kind, RunID, Outcome, Nonce []byte
	Body                        []byte // decoded
	Sequence                    uint64
	RunMS                       float64 // milliseconds
	Gauges                      [8]float64
	GaugeCount                  int // readings given
}

var errLine = errors.New("line is not as expected")

// NextLine cuts the line at the start of b, without its end; n is 0 while it is not whole.
func NextLine(b []byte, limit int) (line []byte, n int, err error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 && len(b) > limit || i > limit {
		return nil, 0, errLarge
	}
	if i < 0 {
		return nil, 0, nil
	}
	return bytes.TrimSuffix(b[:i], []byte("\r")), i + 1, nil
}

// ParseKernelEvent reads one line. The line's own bytes are used to decode into, so it can't be read twice.
func ParseKernelEvent(line []byte) (n KernelEvent, err error) {
	s := jsonScanner{b: line}
	s.want('{')
	for k := 0; s.err == nil; k++ {
		s.space()
		if k == 0 && s.has('}') {
			break
		}
		key := s.text()
		s.want(':')
		switch string(key) {
		case "verb":
			n.Kind = s.text()
		case "task":
			n.RunID = s.text()
		case "outcome":
			n.Outcome = s.text()
		case "nonce":
			n.Nonce = s.text()
		case "bytes":
			raw := s.text()
			w, err := base64.StdEncoding.Decode(raw, raw)
			if err != nil {
				return n, errLine
			}
			n.Body = raw[:w]
		case "index":
			v := s.number()
			if !(v >= 0 && v < 1<<53) {
				return n, errLine
			}
			n.Sequence = uint64(v)
		case "spent":
			n.RunMS = s.number()
		case "readings":
			s.want('[')
			for s.err == nil && !s.has(']') {
				if n.GaugeCount > 0 {
					s.want(',')
				}
				if n.GaugeCount == len(n.Gauges) {
					return n, errLine
				}
				n.Gauges[n.GaugeCount] = s.number()
				n.GaugeCount++
			}
		default:
			s.pass(0)
		}
		if s.has('}') {
			break
		}
		s.want(',')
	}
	s.space()
	if s.err == nil && s.at < len(s.b) || len(n.Kind) == 0 {
		s.err = errLine
	}
	return n, s.err
}

// scan walks over JSON text; after an error it only stands still.
type jsonScanner struct {
	b   []byte
	at  int
	err error
}

func (s *jsonScanner) space() {
	for s.at < len(s.b) && (s.b[s.at] == ' ' || s.b[s.at] == '\t' || s.b[s.at] == '\r') {
		s.at++
	}
}

func (s *jsonScanner) has(c byte) bool {
	s.space()
	if s.err != nil || s.at >= len(s.b) || s.b[s.at] != c {
		return false
	}
	s.at++
	return true
}

func (s *jsonScanner) want(c byte) {
	if s.err == nil && !s.has(c) {
		s.err = errLine
	}
}

// text reads a string in place: escapes only ever make it shorter.
func (s *jsonScanner) text() []byte {
	s.want('"')
	from, to := s.at, s.at
	for s.err == nil && s.at < len(s.b) {
		c := s.b[s.at]
		s.at++
		switch {
		case c == '"':
			return s.b[from:to]
		case c < ' ':
			s.err = errLine
			return nil
		case c != '\\':
			s.b[to] = c
			to++
			continue
		}
		to += s.escape(to)
	}
	s.err = errLine
	return nil
}

// escape writes what stands after a backslash at to, and says how long that is.
func (s *jsonScanner) escape(to int) int {
	if s.at >= len(s.b) {
		s.err = errLine
		return 0
	}
	c := s.b[s.at]
	s.at++
	switch i := bytes.IndexByte([]byte(`"\/bfnrt`), c); {
	case i >= 0:
		s.b[to] = "\"\\/\b\f\n\r\t"[i]
		return 1
	case c == 'u' && s.at+4 <= len(s.b):
		v, err := strconv.ParseUint(string(s.b[s.at:s.at+4]), 16, 16)
		s.at += 4
		if err == nil {
			return copy(s.b[to:], string(rune(v)))
		}
	}
	s.err = errLine
	return 0
}

func (s *jsonScanner) number() float64 {
	s.space()
	from := s.at
	for s.at < len(s.b) && bytes.IndexByte([]byte("+-.0123456789eE"), s.b[s.at]) >= 0 {
		s.at++
	}
	if s.err != nil || s.at-from > 32 {
		s.err = errLine
		return 0
	}
	v, err := strconv.ParseFloat(string(s.b[from:s.at]), 64)
	if err != nil {
		s.err = errLine
	}
	return v
}

// pass goes over a value that isn't known.
func (s *jsonScanner) pass(depth int) {
	s.space()
	if s.err != nil || s.at >= len(s.b) || depth > 8 {
		s.err = errLine
		return
	}
	switch c := s.b[s.at]; c {
	case '"':
		s.text()
	case '{', '[':
		s.at++
		for k := 0; s.err == nil && !s.has(c+2); k++ {
			if k > 0 {
				s.want(',')
			}
			if c == '{' {
				s.text()
				s.want(':')
			}
			s.pass(depth + 1)
		}
	case 't', 'f', 'n':
		for _, w := range []string{"true", "false", "null"} {
			if bytes.HasPrefix(s.b[s.at:], []byte(w)) {
				s.at += len(w)
				return
			}
		}
		s.err = errLine
	default:
		s.number()
	}
}

// AppendKernelOpen writes the first line of a link.
func AppendKernelOpen(b []byte, index uint64) []byte {
	b = append(b, `{"verb":"OPEN","index":`...)
	return append(strconv.AppendUint(b, index, 10), "}\n"...)
}

// AppendKernelRun has a request run; AppendKernelCallDone passes on a reply, both with their body in base64.
func AppendKernelRun(b []byte, task, handler string, body []byte) []byte {
	b = append(b, `{"verb":"SCHED","task":"`+task+`","handler":`...)
	b = appendText(b, handler)
	return appendBytes(b, body)
}

func AppendKernelCallDone(b []byte, task string, body []byte) []byte {
	return appendBytes(append(b, `{"verb":"IODONE","task":"`+task+`"`...), body)
}

func appendBytes(b, body []byte) []byte {
	b = append(b, `,"bytes":"`...)
	return append(base64.StdEncoding.AppendEncode(b, body), "\"}\n"...)
}

func appendText(b []byte, s string) []byte {
	b = append(b, '"')
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < ' ':
			b = append(b, `\u00`...)
			b = append(b, "0123456789abcdef"[c>>4], "0123456789abcdef"[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}

// AppendKernelCommand writes a command that names only a task: PREEMPT or RESCHED.
func AppendKernelCommand(b []byte, verb, task string) []byte {
	return append(b, `{"verb":"`+verb+`","task":"`+task+"\"}\n"...)
}

// AppendKernelCallSkipped has a run go on without the call that the notice asked for.
func AppendKernelCallSkipped(b []byte, task string, index uint64) []byte {
	b = append(b, `{"verb":"NOIO","task":"`+task+`","index":`...)
	return append(strconv.AppendUint(b, index, 10), "}\n"...)
}

// AppendKernelGaugesRequest asks for the gauges.
func AppendKernelGaugesRequest(b []byte, nonce uint64) []byte {
	b = append(b, `{"verb":"SYSINFO","nonce":"`...)
	return append(strconv.AppendUint(b, nonce, 10), "\"}\n"...)
}
