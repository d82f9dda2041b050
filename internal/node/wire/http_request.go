package wire

import (
	"bytes"
	"errors"
	"fmt"
)

// Request is an HTTP request with the fields that a server reads; absent fields are zero. Its slices are views into the
// parsed bytes.
type Request struct {
	Method, Path   []byte
	Body           []byte
	ID             []byte // 16 hex digits
	Tenant         []byte
	IdempotencyKey []byte
	ResourceKey    []byte // reads with the same key may share a result
	ReceivedAtMS   int64  // Unix time at the caller's proxy
	Caller         uint32
	HasCaller      bool
	IsRetry        bool
	TimeoutMS      float64 // the caller's timeout, from ReceivedAtMS on
	HasTimeout     bool
	ExpectedWorkMS float64 // 0 if absent
	FootprintKB    float64 // memory held for the request, KiB
	Priority       float64 // in [0, 1)
	Close          bool    // the connection is closed after the response

	length    int
	hasLength bool
}

// Bounds of the platform's fields.
const (
	maxReceivedAtMS = 1 << 50 // about 35,000 years
	maxCaller       = 1<<32 - 1
	maxFootprintKB  = 2000
	maxPriority     = 1
	maxMilliseconds = 1e9 // of a timeout or of expected work; about 11 days
	// maxKeyBytes bounds the memory of stored keys.
	maxKeyBytes = 64
	// maxEmptyLineBytes is the maximum number of line end bytes ignored before a request, as RFC 9112 advises.
	maxEmptyLineBytes = 4
)

// ParseRequest parses the request at the start of b; n is its size in bytes, 0 while it is incomplete.
func ParseRequest(b []byte, bounds Bounds) (q Request, n int, err error) {
	for len(b) > n && (b[n] == '\r' || b[n] == '\n') && n < maxEmptyLineBytes {
		n++
	}
	skipped := n
	line, fields, n, err := splitHead(b[skipped:], bounds.HeadBytes)
	if n == 0 || err != nil {
		return q, 0, err
	}
	if err = q.setRequestLine(line); err != nil {
		return q, 0, err
	}
	for len(fields) > 0 {
		var name, value []byte
		if name, value, fields, err = nextField(fields); err != nil {
			return q, 0, err
		}
		if err = q.setField(name, value, bounds.BodyBytes); errors.Is(err, ErrField) {
			return q, 0, fmt.Errorf("%w: %s", err, name) // names the field in the log
		} else if err != nil {
			return q, 0, err
		}
	}
	n += skipped
	if len(b) < n+q.length {
		return q, 0, nil
	}
	q.Body = b[n : n+q.length]
	return q, n + q.length, nil
}

// setRequestLine parses the method, the path without its query, and the version.
func (q *Request) setRequestLine(line []byte) error {
	q.Method, line, _ = bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(line, []byte(" "))
	q.Path, _, _ = bytes.Cut(target, []byte("?"))
	if !isToken(q.Method) || len(target) == 0 || target[0] != '/' {
		return ErrHead
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		q.Close = true
	default:
		return ErrHead
	}
	return nil
}

// setField sets the value of one field. Fields that neither HTTP framing nor the platform uses are ignored.
func (q *Request) setField(name, value []byte, maxBody int) error {
	switch {
	case equalFold(name, "content-length"):
		return q.setLength(value, maxBody)
	case equalFold(name, "transfer-encoding"):
		return ErrLength
	case equalFold(name, "connection"):
		q.Close = closesConnection(q.Close, value)
		return nil
	}
	return q.setPlatformField(name, value)
}

// setLength sets the body's length. A repeated field must have the same value. Guards against request smuggling, where
// two readers of a stream disagree about the begin of the next request.
func (q *Request) setLength(value []byte, maxBody int) error {
	v, err := parseDigits(value, maxContentLength)
	if err != nil || q.hasLength && int(v) != q.length {
		return ErrLength
	}
	if v > int64(maxBody) {
		return ErrTooLarge
	}
	q.length, q.hasLength = int(v), true
	return nil
}

// setPlatformField sets the value of one of the platform's fields, see the table in the package comment.
func (q *Request) setPlatformField(name, value []byte) (err error) {
	switch {
	case equalFold(name, "request-id"):
		if !IsID(value) || q.ID != nil {
			return ErrField
		}
		q.ID = value
	case equalFold(name, "received-at"):
		if q.ReceivedAtMS != 0 {
			return ErrField
		}
		q.ReceivedAtMS, err = parseDigits(value, maxReceivedAtMS)
	case equalFold(name, "sent-by"):
		var caller int64
		caller, err = parseDigits(value, maxCaller)
		q.Caller, q.HasCaller = uint32(caller), true
	case equalFold(name, "account"):
		q.Tenant = value
	case equalFold(name, "attempt-again"):
		q.IsRetry = string(value) == "1"
	case equalFold(name, "footprint-kb"):
		// The range is (0, maxFootprintKB), while parseDecimal accepts both ends.
		q.FootprintKB, err = parseDecimal(value, maxFootprintKB)
		if q.FootprintKB == 0 || q.FootprintKB == maxFootprintKB {
			err = ErrField
		}
	case equalFold(name, "priority-rank"):
		if q.Priority, err = parseDecimal(value, maxPriority); q.Priority == maxPriority {
			err = ErrField
		}
	case equalFold(name, "budget-ms"):
		q.TimeoutMS, err = parseDecimal(value, maxMilliseconds)
		q.HasTimeout = true
	case equalFold(name, "work-estimate"):
		q.ExpectedWorkMS, err = parseDecimal(value, maxMilliseconds)
	case equalFold(name, "once-key"):
		err = setKeyOnce(&q.IdempotencyKey, value)
	case equalFold(name, "resource-key"):
		err = setKeyOnce(&q.ResourceKey, value)
	}
	return err
}

// setKeyOnce sets a key; a repeated or too long one is an error.
func setKeyOnce(key *[]byte, value []byte) error {
	if *key != nil || len(value) > maxKeyBytes {
		return ErrField
	}
	*key = value
	return nil
}
