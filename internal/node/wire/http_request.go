package wire

import (
	"bytes"
	"errors"
	"fmt"
)

// Request is an HTTP request with the fields that a server reads; absent ones are zero. Its slices are views into what
// was parsed.
type Request struct {
	Method, Path   []byte
	Body           []byte
	ID             []byte // 16 hex digits
	Tenant         []byte
	IdempotencyKey []byte
	ResourceKey    []byte // reads with the same one may share a result
	ReceivedAtMS   int64  // Unix time at the caller's proxy
	Caller         uint32
	HasCaller      bool
	IsRetry        bool
	TimeoutMS      float64 // how long the caller waits, from ReceivedAtMS on
	HasTimeout     bool
	ExpectedWorkMS float64 // 0 where it isn't stated
	FootprintKB    float64 // memory held for the request
	Priority       float64 // from 0 up to, not including, 1
	Close          bool    // the connection isn't to be used again

	length    int
	hasLength bool
}

// Bounds of the platform's fields; the protocol's own values are far below them.
const (
	maxReceivedAtMS = 1 << 50 // some 35,000 years
	maxCaller       = 1<<32 - 1
	maxFootprintKB  = 2000
	maxPriority     = 1
	maxMilliseconds = 1e9 // of a timeout or of expected work: eleven days
	// maxKeyBytes is twice the length of the longest key that the protocol shows; keys are remembered for long.
	maxKeyBytes = 64
	// maxEmptyLineBytes of line ends before a request are passed over, as RFC 9112 advises; more are an error.
	maxEmptyLineBytes = 4
)

// ParseRequest reads the request at the start of b; n is 0 while it is incomplete.
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
			return q, 0, fmt.Errorf("%w: %s", err, name) // for the log: one of a dozen
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

// setRequestLine reads method, path without its query, and version.
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

// setField takes one field; those that neither HTTP's framing nor the platform needs are passed over.
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

// setLength takes the body's length. It may be repeated with the same value alone: two readers of the stream that chose
// different ones would disagree about where the next request begins.
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

// setPlatformField maps one of the platform's fields to its term; the package comment has the table.
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
		// The protocol's ranges leave out their upper end, which parseDecimal lets pass; a footprint of 0 is none.
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

// setKeyOnce takes a key that may stand once in a request.
func setKeyOnce(key *[]byte, value []byte) error {
	if *key != nil || len(value) > maxKeyBytes {
		return ErrField
	}
	*key = value
	return nil
}
