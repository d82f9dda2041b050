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
	input    []byte
	position int
	err      error
}

func (s *jsonScanner) skipSpace() {
	for s.position < len(s.input) && (s.input[s.position] == ' ' || s.input[s.position] == '\t' || s.input[s.position] == '\r') {
		s.position++
	}
}

func (s *jsonScanner) accept(c byte) bool {
	s.skipSpace()
	if s.err != nil || s.position >= len(s.input) || s.input[s.position] != c {
		return false
	}
	s.position++
	return true
}

func (s *jsonScanner) expect(c byte) {
	if s.err == nil && !s.accept(c) {
		s.err = ErrLine
	}
}

// readString reads a string in place: escapes only ever make it shorter.
func (s *jsonScanner) readString() []byte {
	s.expect('"')
	from, to := s.position, s.position
	for s.err == nil && s.position < len(s.input) {
		c := s.input[s.position]
		s.position++
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

// readEscape writes what stands after a backslash at to, and says how long that is.
func (s *jsonScanner) readEscape(to int) int {
	if s.position >= len(s.input) {
		s.err = ErrLine
		return 0
	}
	c := s.input[s.position]
	s.position++
	switch i := bytes.IndexByte([]byte(`"\/bfnrt`), c); {
	case i >= 0:
		s.input[to] = "\"\\/\b\f\n\r\t"[i]
		return 1
	case c == 'u' && s.position+4 <= len(s.input):
		v, err := strconv.ParseUint(string(s.input[s.position:s.position+4]), 16, 16)
		s.position += 4
		if err == nil {
			return copy(s.input[to:], string(rune(v)))
		}
	}
	s.err = ErrLine
	return 0
}

func (s *jsonScanner) readNumber() float64 {
	s.skipSpace()
	from := s.position
	for s.position < len(s.input) && bytes.IndexByte([]byte("+-.0123456789eE"), s.input[s.position]) >= 0 {
		s.position++
	}
	if s.err != nil || s.position-from > maxNumberBytes {
		s.err = ErrLine
		return 0
	}
	v, err := strconv.ParseFloat(string(s.input[from:s.position]), 64)
	if err != nil {
		s.err = ErrLine
	}
	return v
}

// skipValue goes over a value that isn't known.
func (s *jsonScanner) skipValue(depth int) {
	s.skipSpace()
	if s.err != nil || s.position >= len(s.input) || depth > maxNestingDepth {
		s.err = ErrLine
		return
	}
	switch c := s.input[s.position]; c {
	case '"':
		s.readString()
	case '{', '[':
		s.position++
		// In ASCII a closing brace or bracket comes two after its opening one.
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
			if bytes.HasPrefix(s.input[s.position:], []byte(w)) {
				s.position += len(w)
				return
			}
		}
		s.err = ErrLine
	default:
		s.readNumber()
	}
}
