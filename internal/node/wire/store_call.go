package wire

import (
	"bytes"
	"strconv"
)

// CallOutcome is the outcome of a call to the store.
type CallOutcome uint8

// Outcomes of a call.
const (
	CallSucceeded   CallOutcome = iota
	CallRejected                // not executed, as the store was overloaded
	CallFailed                  // executed, and failed
	CallTimedOut                // unknown whether it was executed
	CallNotExecuted             // not executed
)

// CallReply is one reply of the store. Its slices are views into the parsed bytes.
type CallReply struct {
	ID      []byte // of the request that made the call
	Outcome CallOutcome
	Body    []byte
}

// ParseCallReply parses the reply at the start of b; n is its size in bytes, 0 while it is incomplete.
func ParseCallReply(b []byte, bounds Bounds) (r CallReply, n int, err error) {
	i := bytes.Index(b, crlf)
	if i < 0 && len(b) > bounds.HeadBytes || i > bounds.HeadBytes {
		return r, 0, ErrTooLarge
	}
	if i < 0 {
		return r, 0, nil
	}
	id, rest, _ := bytes.Cut(b[:i], []byte(" "))
	keyword, size, hasSize := bytes.Cut(rest, []byte(" "))
	n = i + len(crlf)
	if !IsID(id) {
		return r, 0, ErrLine
	}
	r.ID = id
	if string(keyword) == "OK" {
		return r.withBody(b, n, size, bounds)
	}
	outcome, known := callOutcomes[string(keyword)]
	if !known || hasSize {
		return r, 0, ErrLine
	}
	r.Outcome = outcome
	return r, n, nil
}

// callOutcomes are the outcomes of replies without a body, by the store's keyword.
var callOutcomes = map[string]CallOutcome{
	"BUSY": CallRejected, "ERR": CallFailed, "LATE": CallTimedOut, "VOID": CallNotExecuted,
}

// withBody parses the body of a reply, which starts at start and has the length in size.
func (r CallReply) withBody(b []byte, start int, size []byte, bounds Bounds) (CallReply, int, error) {
	length, err := parseDigits(size, int64(bounds.BodyBytes))
	if err != nil {
		return r, 0, ErrLine
	}
	end := start + int(length)
	if len(b) < end+len(crlf) {
		return r, 0, nil
	}
	if string(b[end:end+len(crlf)]) != "\r\n" {
		return r, 0, ErrLine
	}
	r.Body = b[start:end]
	return r, end + len(crlf), nil
}

// AppendCall appends a call with its timeout in milliseconds.
func AppendCall(b []byte, id string, timeoutMS int64, body []byte) []byte {
	b = append(b, "CALL "+id+" "...)
	b = strconv.AppendInt(b, timeoutMS, 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(append(b, crlf...), body...)
	return append(b, crlf...)
}

// AppendCallCancel appends the message that cancels a call.
func AppendCallCancel(b []byte, id string) []byte { return append(b, "DROP "+id+"\r\n"...) }
