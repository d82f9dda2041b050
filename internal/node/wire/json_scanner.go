package wire

import (
	"bytes"
	"strconv"
)

// Bounds of JSON in a kernel's line.
const (
	maxNumberBytes  = 32
	maxNestingDepth = 8 // of a value that is passed over; recursion on what a peer sends is bounded
)

// jsonScanner walks over JSON text in place; after an error it only stands still.
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
		s.err = ErrLine
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
			s.err = ErrLine
			return nil
		case c != '\\':
			s.b[to] = c
			to++
			continue
		}
		to += s.escape(to)
	}
	s.err = ErrLine
	return nil
}

// escape writes what stands after a backslash at to, and says how long that is.
func (s *jsonScanner) escape(to int) int {
	if s.at >= len(s.b) {
		s.err = ErrLine
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
	s.err = ErrLine
	return 0
}

func (s *jsonScanner) number() float64 {
	s.space()
	from := s.at
	for s.at < len(s.b) && bytes.IndexByte([]byte("+-.0123456789eE"), s.b[s.at]) >= 0 {
		s.at++
	}
	if s.err != nil || s.at-from > maxNumberBytes {
		s.err = ErrLine
		return 0
	}
	v, err := strconv.ParseFloat(string(s.b[from:s.at]), 64)
	if err != nil {
		s.err = ErrLine
	}
	return v
}

// pass goes over a value that isn't known.
func (s *jsonScanner) pass(depth int) {
	s.space()
	if s.err != nil || s.at >= len(s.b) || depth > maxNestingDepth {
		s.err = ErrLine
		return
	}
	switch c := s.b[s.at]; c {
	case '"':
		s.text()
	case '{', '[':
		s.at++
		// In ASCII a closing brace or bracket comes two after its opening one.
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
		s.err = ErrLine
	default:
		s.number()
	}
}
