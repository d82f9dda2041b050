// Package wire parses and writes what goes over the backend's sockets: HTTP/1.1, the kernel's lines and the
// store's lines. It knows no socket and no clock. Every parser takes all the bytes at hand and says how many
// a whole message took, 0 while it is not whole, so any split of reads gives the same messages; what it
// returns are views into those bytes.
package wire

import (
	"bytes"
	"errors"
	"strconv"
)

// Bounds are the sizes past which a message is bad rather than unfinished.
type Bounds struct {
	HeadBytes int // an HTTP head, or a line
	BodyBytes int
}

// Request is an HTTP request with the fields that a backend reads; absent ones are zero.
type Request struct {
	Method, Path                []byte
	Body                        []byte
	ID                          []byte // 16 hex digits
	Tenant                      []byte
	IdempotencyKey, ResourceKey []byte
	ReceivedAtMS                int64 // Unix milliseconds
	Caller                      uint32
	HasCaller                   bool
	IsRetry                     bool
	TimeoutMS                   float64 // milliseconds that the caller waits, from ReceivedAtMS on
	HasTimeout                  bool
	ExpectedWorkMS              float64 // milliseconds of work expected; 0: not stated
	FootprintKB                 float64
	Priority                    float64
	Close                       bool // the connection is not to be used again
	length                      int
	hasLength                   bool
}

// ResponseHead is the head of an HTTP response; its body is passed over.
type ResponseHead struct {
	Status int
	Close  bool
}

// maxKeyBytes is twice the length of the longest key that the protocol shows; keys are kept for long.
const maxKeyBytes = 64

var (
	errHead   = errors.New("head is not as expected")
	errLarge  = errors.New("message is larger than allowed")
	errField  = errors.New("field is malformed")
	errLength = errors.New("body length is missing, repeated or not supported")
	crlf      = []byte("\r\n")
	headEnd   = []byte("\r\n\r\n")
)

// token says which bytes may stand in a field's name or a method.
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

// head cuts the head off b; n is 0 while it is not whole.
func splitHead(b []byte, limit int) (line, fields []byte, n int, err error) {
	i := bytes.Index(b, headEnd)
	if i < 0 {
		if len(b) > limit {
			return nil, nil, 0, errLarge
		}
		return nil, nil, 0, nil
	}
	if i > limit {
		return nil, nil, 0, errLarge
	}
	n = i + len(headEnd)
	line, fields, _ = bytes.Cut(b[:i+2], crlf)
	if bytes.IndexByte(line, '\n') >= 0 || bytes.IndexByte(line, 0) >= 0 {
		return nil, nil, 0, errHead
	}
	return line, fields, n, nil
}

// field cuts the next field off fields.
func nextField(fields []byte) (name, value, rest []byte, err error) {
	line, rest, _ := bytes.Cut(fields, crlf)
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, nil, errHead
	}
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, nil, errHead
		}
	}
	return name, bytes.Trim(value, " \t"), rest, nil
}

func parseDigits(b []byte, limit int64) (int64, error) {
	if len(b) == 0 || len(b) > 18 {
		return 0, errField
	}
	n := int64(0)
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, errField
		}
		n = n*10 + int64(c-'0')
	}
	if n > limit {
		return 0, errField
	}
	return n, nil
}

func parseDecimal(b []byte, limit float64) (float64, error) {
	if len(b) > 24 {
		return 0, errField
	}
	v, err := strconv.ParseFloat(string(b), 64)
	if err != nil || !(v >= 0 && v <= limit) {
		return 0, errField
	}
	return v, nil
}

// IsID says whether b is a request id: 16 hex digits.
func IsID(b []byte) bool {
	for _, c := range b {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return len(b) == 16
}

// listed says whether a comma-separated list holds word.
func containsToken(value []byte, word string) bool {
	for len(value) > 0 {
		part, rest, _ := bytes.Cut(value, []byte(","))
		if bytes.EqualFold(bytes.Trim(part, " \t"), []byte(word)) {
			return true
		}
		value = rest
	}
	return false
}

// closes says what a Connection field makes of whether the connection is to be closed.
func endsConnection(already bool, value []byte) bool {
	return already && !containsToken(value, "keep-alive") || containsToken(value, "close")
}

func equalFold(name []byte, word string) bool { return bytes.EqualFold(name, []byte(word)) }

// ParseRequest reads the request at the start of b; n is 0 while it is not whole.
func ParseRequest(b []byte, bounds Bounds) (q Request, n int, err error) {
	for len(b) > n && (b[n] == '\r' || b[n] == '\n') && n < 4 {
		n++ // empty lines before a request are passed over
	}
	skip := n
	line, fields, n, err := splitHead(b[skip:], bounds.HeadBytes)
	if n == 0 || err != nil {
		return q, 0, err
	}
	q.Method, line, _ = bytes.Cut(line, []byte(" "))
	path, version, _ := bytes.Cut(line, []byte(" "))
	q.Path, _, _ = bytes.Cut(path, []byte("?"))
	if !isToken(q.Method) || len(path) == 0 || path[0] != '/' {
		return q, 0, errHead
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		q.Close = true
	default:
		return q, 0, errHead
	}
	for len(fields) > 0 {
		var name, value []byte
		if name, value, fields, err = nextField(fields); err != nil {
			return q, 0, err
		}
		if err = q.setField(name, value, bounds.BodyBytes); err != nil {
			return q, 0, err
		}
	}
	n += skip
	if len(b) < n+q.length {
		return q, 0, nil
	}
	q.Body = b[n : n+q.length]
	return q, n + q.length, nil
}

func (q *Request) setField(name, value []byte, maxBody int) (err error) {
	var v int64
	switch {
	case equalFold(name, "content-length"):
		v, err = parseDigits(value, 1<<40)
		if err != nil || q.hasLength && int(v) != q.length {
			return errLength
		}
		if v > int64(maxBody) {
			return errLarge
		}
		q.length, q.hasLength = int(v), true
	case equalFold(name, "transfer-encoding"):
		return errLength
	case equalFold(name, "connection"):
		q.Close = endsConnection(q.Close, value)
	case equalFold(name, "request-id"):
		if !IsID(value) || q.ID != nil {
			return errField
		}
		q.ID = value
	case equalFold(name, "received-at"):
		if q.ReceivedAtMS != 0 {
			return errField
		}
		q.ReceivedAtMS, err = parseDigits(value, 1<<50)
	case equalFold(name, "sent-by"):
		v, err = parseDigits(value, 1<<32-1)
		q.Caller, q.HasCaller = uint32(v), true
	case equalFold(name, "account"):
		q.Tenant = value
	case equalFold(name, "attempt-again"):
		q.IsRetry = string(value) == "1"
	case equalFold(name, "footprint-kb"):
		if q.FootprintKB, err = parseDecimal(value, 2000); q.FootprintKB == 0 || q.FootprintKB == 2000 {
			err = errField
		}
	case equalFold(name, "priority-rank"):
		if q.Priority, err = parseDecimal(value, 1); q.Priority == 1 {
			err = errField
		}
	case equalFold(name, "budget-ms"):
		q.TimeoutMS, err = parseDecimal(value, 1e9)
		q.HasTimeout = true
	case equalFold(name, "work-estimate"):
		q.ExpectedWorkMS, err = parseDecimal(value, 1e9)
	case equalFold(name, "once-key"):
		if q.IdempotencyKey != nil || len(value) > maxKeyBytes {
			return errField
		}
		q.IdempotencyKey = value
	case equalFold(name, "resource-key"):
		if q.ResourceKey != nil || len(value) > maxKeyBytes {
			return errField
		}
		q.ResourceKey = value
	}
	return err
}

// ParseResponseHead reads the response at the start of b, body included; n is 0 while it is not whole.
func ParseResponseHead(b []byte, bounds Bounds) (p ResponseHead, n int, err error) {
	line, fields, n, err := splitHead(b, bounds.HeadBytes)
	if n == 0 || err != nil {
		return p, 0, err
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" || len(code) != 3 {
		return p, 0, errHead
	}
	v, err := parseDigits(code, 999)
	if err != nil || v < 100 {
		return p, 0, errHead
	}
	p.Status, p.Close = int(v), string(version) == "HTTP/1.0"
	length, has := int64(0), false
	for len(fields) > 0 {
		var name, value []byte
		if name, value, fields, err = nextField(fields); err != nil {
			return p, 0, err
		}
		switch {
		case equalFold(name, "content-length"):
			was := length
			if length, err = parseDigits(value, int64(bounds.BodyBytes)); err != nil || has && was != length {
				return p, 0, errLength
			}
			has = true
		case equalFold(name, "transfer-encoding"):
			return p, 0, errLength
		case equalFold(name, "connection"):
			p.Close = endsConnection(p.Close, value)
		}
	}
	if p.Status == 204 || p.Status == 304 || p.Status < 200 {
		length = 0
	} else if !has {
		p.Close = true // its body ends with the connection
	}
	if len(b) < n+int(length) {
		return p, 0, nil
	}
	return p, n + int(length), nil
}

var reasons = map[int]string{200: "OK", 400: "Bad Request",
	500: "Internal Server Error", 503: "Service Unavailable"}

// Response is what goes out for a request.
type Response struct {
	Status            int
	RetryAfterMS      int64 // milliseconds to keep away; 0: not said
	NoRetry           bool  // no other backend is to be tried
	Close             bool
	OverloadSignal    float64 // the free value that goes with every answer, where Says is set
	HasOverloadSignal bool
	Body              []byte
}

// AppendResponse writes the answer whole.
func AppendResponse(b []byte, a Response) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[a.Status]...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(a.Body)), 10)
	if a.RetryAfterMS > 0 {
		b = append(b, "\r\nBack-Off-Ms: "...)
		b = strconv.AppendInt(b, a.RetryAfterMS, 10)
	}
	if a.NoRetry {
		b = append(b, "\r\nFinal-Refusal: 1"...)
	}
	if a.HasOverloadSignal {
		b = append(b, "\r\nServer-Hint: "...)
		b = strconv.AppendFloat(b, a.OverloadSignal, 'f', 4, 64)
	}
	if a.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, a.Body...)
}

// AppendReadinessReport writes a report to the control plane.
func AppendReadinessReport(b []byte, host, name string, ready bool) []byte {
	word := "NotReady"
	if ready {
		word = "Ready"
	}
	body := `{"condition":"` + word + `"}`
	b = append(b, "PUT /v2/endpoints/"+name+" HTTP/1.1\r\nHost: "+host+
		"\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
