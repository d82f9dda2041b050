package wire

import (
	"bytes"
	"strconv"
)

// ResponseHead is the head of a received HTTP response, without its body.
type ResponseHead struct {
	Status int
	Close  bool // the connection can't be reused
}

// Statuses of the server's responses, and StatusNoContent, with which service discovery accepts a report. They are
// declared here as importing net/http would cost the node too much memory.
const (
	StatusOK                  = 200
	StatusNoContent           = 204
	StatusBadRequest          = 400
	StatusInternalServerError = 500
	StatusServiceUnavailable  = 503

	statusNotModified = 304 // has no body, like StatusNoContent and statuses below StatusOK
)

// ParseResponseHead parses the response at the start of b and skips its body; n is its size in bytes with the body, 0
// while it is incomplete.
func ParseResponseHead(b []byte, bounds Bounds) (p ResponseHead, n int, err error) {
	line, fields, n, err := splitHead(b, bounds.HeadBytes)
	if n == 0 || err != nil {
		return p, 0, err
	}
	if err = p.setStatusLine(line); err != nil {
		return p, 0, err
	}
	length, err := p.setFields(fields, int64(bounds.BodyBytes))
	if err != nil {
		return p, 0, err
	}
	if len(b) < n+int(length) {
		return p, 0, nil
	}
	return p, n + int(length), nil
}

// setStatusLine parses the version and the status.
func (p *ResponseHead) setStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" || len(code) != 3 {
		return ErrHead
	}
	v, err := parseDigits(code, maxStatus)
	if err != nil || v < minStatus {
		return ErrHead
	}
	p.Status, p.Close = int(v), string(version) == "HTTP/1.0"
	return nil
}

// setFields parses the fields that frame the body and returns the body's length.
func (p *ResponseHead) setFields(fields []byte, maxBody int64) (length int64, err error) {
	hasLength := false
	for len(fields) > 0 {
		var name, value []byte
		if name, value, fields, err = nextField(fields); err != nil {
			return 0, err
		}
		switch {
		case equalFold(name, "content-length"):
			previous := length
			length, err = parseDigits(value, maxBody)
			if err != nil || hasLength && previous != length {
				return 0, ErrLength
			}
			hasLength = true
		case equalFold(name, "transfer-encoding"):
			return 0, ErrLength
		case equalFold(name, "connection"):
			p.Close = closesConnection(p.Close, value)
		}
	}
	if p.Status < StatusOK || p.Status == StatusNoContent || p.Status == statusNotModified {
		return 0, nil
	}
	if !hasLength {
		p.Close = true // the body ends with the connection
	}
	return length, nil
}

// reasonPhrases are the reason phrases of the server's statuses.
var reasonPhrases = map[int]string{StatusOK: "OK", StatusBadRequest: "Bad Request",
	StatusInternalServerError: "Internal Server Error", StatusServiceUnavailable: "Service Unavailable"}

// Response is the response to a request.
type Response struct {
	Status            int
	RetryAfterMS      int64 // when the caller may retry; not sent if 0
	NoRetry           bool  // the caller must not try another server
	Close             bool  // the connection is closed after the response
	OverloadSignal    float64
	HasOverloadSignal bool
	Body              []byte
}

// AppendResponse appends the complete response to b.
func AppendResponse(b []byte, r Response) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasonPhrases[r.Status]...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	if r.RetryAfterMS > 0 {
		b = append(b, "\r\nBack-Off-Ms: "...)
		b = strconv.AppendInt(b, r.RetryAfterMS, 10)
	}
	if r.NoRetry {
		b = append(b, "\r\nFinal-Refusal: 1"...)
	}
	if r.HasOverloadSignal {
		b = append(b, "\r\nServer-Hint: "...)
		b = strconv.AppendFloat(b, r.OverloadSignal, 'f', 4, 64)
	}
	if r.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}

// AppendReadinessReport appends the request that reports this server's readiness to service discovery.
func AppendReadinessReport(b []byte, host, name string, ready bool) []byte {
	condition := "NotReady"
	if ready {
		condition = "Ready"
	}
	body := `{"condition":"` + condition + `"}`
	b = append(b, "PUT /v2/endpoints/"+name+" HTTP/1.1\r\nHost: "+host+
		"\r\nContent-Type: application/json\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}
