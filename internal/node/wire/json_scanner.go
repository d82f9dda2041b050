package wire

import (
	"bytes"
	"strconv"
)

// Bounds of JSON in a kernel's line.
const (
	maxNumberBytes  = 32
	maxNestingDepth = 8 // of a skipped value; bounds the recursion on a peer's input
)

// jsonScanner reads JSON from input, unescaping strings in place. err is its first error.
type jsonScanner struct {
	input []byte
	pos   int
	err   error
}

func (s *jsonScanner) skipSpace() {
	for s.pos < len(s.input) && (s.input[s.pos] == ' ' || s.input[s.pos] == '\t' || s.input[s.pos] == '\r') {
		s.pos++
	}
}

// accept skips white space and then c, if c is next.
func (s *jsonScanner) accept(c byte) bool {
	s.skipSpace()
	if s.err != nil || s.pos >= len(s.input) || s.input[s.pos] != c {
		return false
	}
	s.pos++
	return true
}

// expect is accept, with an error if c is not next.
func (s *jsonScanner) expect(c byte) {
	if s.err == nil && !s.accept(c) {
		s.err = ErrLine
	}
}

// readString reads a string and unescapes it in place, as an unescaped string is never longer.
func (s *jsonScanner) readString() []byte {
	s.expect('"')
	from, to := s.pos, s.pos
	for s.err == nil && s.pos < len(s.input) {
		c := s.input[s.pos]
		s.pos++
		switch {
		case c == '"':
			return s.input[from:to]
		case c < ' ':
			s.err = ErrLine
			return nil
		case c != '\\':
			s.input[to] = c
			to++
			continue
		}
		to += s.readEscape(to)
	}
	s.err = ErrLine
	return nil
}

// readEscape reads an escape after its backslash, writes its value at to and returns the value's length in bytes.
func (s *jsonScanner) readEscape(to int) int {
	if s.pos >= len(s.input) {
		s.err = ErrLine
		return 0
	}
	c := s.input[s.pos]
	s.pos++
	switch i := bytes.IndexByte([]byte(`"\/bfnrt`), c); {
	case i >= 0:
		s.input[to] = "\"\\/\b\f\n\r\t"[i]
		return 1
	case c == 'u' && s.pos+4 <= len(s.input):
		v, err := strconv.ParseUint(string(s.input[s.pos:s.pos+4]), 16, 16)
		s.pos += 4
		if err == nil {
			return copy(s.input[to:], string(rune(v)))
		}
	}
	s.err = ErrLine
	return 0
}

func (s *jsonScanner) readNumber() float64 {
	s.skipSpace()
	from := s.pos
	for s.pos < len(s.input) && bytes.IndexByte([]byte("+-.0123456789eE"), s.input[s.pos]) >= 0 {
		s.pos++
	}
	if s.err != nil || s.pos-from > maxNumberBytes {
		s.err = ErrLine
		return 0
	}
	v, err := strconv.ParseFloat(string(s.input[from:s.pos]), 64)
	if err != nil {
		s.err = ErrLine
	}
	return v
}

// skipValue skips a value of any type; depth is the nesting depth of the value.
func (s *jsonScanner) skipValue(depth int) {
	s.skipSpace()
	if s.err != nil || s.pos >= len(s.input) || depth > maxNestingDepth {
		s.err = ErrLine
		return
	}
	switch c := s.input[s.pos]; c {
	case '"':
		s.readString()
	case '{', '[':
		s.pos++
		// In ASCII the closing brace or bracket is the opening one plus 2.
		for k := 0; s.err == nil && !s.accept(c+2); k++ {
			if k > 0 {
				s.expect(',')
			}
			if c == '{' {
				s.readString()
				s.expect(':')
			}
			s.skipValue(depth + 1)
		}
	case 't', 'f', 'n':
		for _, w := range []string{"true", "false", "null"} {
			if bytes.HasPrefix(s.input[s.pos:], []byte(w)) {
				s.pos += len(w)
				return
			}
		}
		s.err = ErrLine
	default:
		s.readNumber()
	}
}
