package wire

import (
	"bytes"
	"strconv"
)

// Bounds are the maximum sizes of a message in bytes; a larger one is an error rather than incomplete.
type Bounds struct {
	HeadBytes int // of an HTTP head, or of a line
	BodyBytes int
}

// Bounds of numbers in fields, far above the values of the protocol. Larger numbers are errors.
const (
	maxDigits        = 18 // digits of an integer; fits an int64
	maxDecimalBytes  = 24 // bytes of a decimal number
	maxContentLength = 1 << 40
	maxStatus        = 999
	minStatus        = 100
)

const idDigits = 16 // hex digits of a request id

var (
	crlf    = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// isTokenByte is true for the bytes allowed in field names and methods.
var isTokenByte = func() (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-32] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte[c] {
			return false
		}
	}
	return len(b) > 0
}

// splitHead returns the first line and the fields of the head at the start of b, and its size n in bytes, 0 while it is
// incomplete.
func splitHead(b []byte, limit int) (line, fields []byte, n int, err error) {
	i := bytes.Index(b, headEnd)
	if i < 0 {
		if len(b) > limit {
			return nil, nil, 0, ErrTooLarge
		}
		return nil, nil, 0, nil
	}
	if i > limit {
		return nil, nil, 0, ErrTooLarge
	}
	n = i + len(headEnd)
	line, fields, _ = bytes.Cut(b[:i+2], crlf)
	if bytes.IndexByte(line, '\n') >= 0 || bytes.IndexByte(line, 0) >= 0 {
		return nil, nil, 0, ErrHead
	}
	return line, fields, n, nil
}

// nextField returns the name and value of the first field, and the remaining fields.
func nextField(fields []byte) (name, value, rest []byte, err error) {
	line, rest, _ := bytes.Cut(fields, crlf)
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, nil, ErrHead
	}
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, nil, ErrHead
		}
	}
	return name, bytes.Trim(value, " \t"), rest, nil
}

// parseDigits parses an unsigned integer up to limit.
func parseDigits(b []byte, limit int64) (int64, error) {
	if len(b) == 0 || len(b) > maxDigits {
		return 0, ErrField
	}
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, ErrField
		}
		n = n*10 + int64(c-'0')
	}
	if n > limit {
		return 0, ErrField
	}
	return n, nil
}

// parseDecimal parses a decimal number from 0 to limit.
func parseDecimal(b []byte, limit float64) (float64, error) {
	if len(b) > maxDecimalBytes {
		return 0, ErrField
	}
	v, err := strconv.ParseFloat(string(b), 64)
	if err != nil || !(v >= 0 && v <= limit) {
		return 0, ErrField
	}
	return v, nil
}

// IsID reports whether b is a request id: 16 hex digits.
func IsID(b []byte) bool {
	for _, c := range b {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return len(b) == idDigits
}

// containsToken reports whether a comma-separated list contains token, in any case.
func containsToken(value []byte, token string) bool {
	for len(value) > 0 {
		part, rest, _ := bytes.Cut(value, []byte(","))
		if bytes.EqualFold(bytes.Trim(part, " \t"), []byte(token)) {
			return true
		}
		value = rest
	}
	return false
}

// closesConnection reports whether the connection is to be closed after a Connection field with this value; before is
// the result without the field.
func closesConnection(before bool, value []byte) bool {
	return before && !containsToken(value, "keep-alive") || containsToken(value, "close")
}

func equalFold(name []byte, s string) bool { return bytes.EqualFold(name, []byte(s)) }
