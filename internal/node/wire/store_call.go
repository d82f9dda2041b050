package wire

import (
	"bytes"
	"strconv"
)

// CallOutcome says how a call ended.
type CallOutcome uint8

// Outcomes of a call to a service below.
const (
	CallSucceeded   CallOutcome = iota
	CallRejected                // the service was overloaded: the call was never executed
	CallFailed                  // it was executed and failed
	CallTimedOut                // whether it was executed isn't known
	CallNotExecuted             // it was never executed
)

// CallReply is one reply of the store. Its slices are views into what was parsed.
type CallReply struct {
	ID      []byte // of the request that made the call
	Outcome CallOutcome
	Body    []byte
}

// ParseCallReply reads the reply at the start of b; n is 0 while it is incomplete.
func ParseCallReply(b []byte, bounds Bounds) (r CallReply, n int, err error) {
	i := bytes.Index(b, crlf)
	if i < 0 && len(b) > bounds.HeadBytes || i > bounds.HeadBytes {
		return r, 0, ErrTooLarge
	}
	if i < 0 {
		return r, 0, nil
	}
	id, rest, _ := bytes.Cut(b[:i], []byte(" "))
	word, size, hasSize := bytes.Cut(rest, []byte(" "))
	n = i + len(crlf)
	if !IsID(id) {
		return r, 0, ErrLine
	}
	r.ID = id
	if string(word) == "OK" {
		return r.withBody(b, n, size, bounds)
	}
	outcome, known := callOutcomes[string(word)]
	if !known || hasSize {
		return r, 0, ErrLine
	}
	r.Outcome = outcome
	return r, n, nil
}

// callOutcomes of replies without a body, by the store's word.
var callOutcomes = map[string]CallOutcome{
	"BUSY": CallRejected, "ERR": CallFailed, "LATE": CallTimedOut, "VOID": CallNotExecuted,
}

// withBody reads the body of a reply whose first line ends at from.
func (r CallReply) withBody(b []byte, from int, size []byte, bounds Bounds) (CallReply, int, error) {
	length, err := parseDigits(size, int64(bounds.BodyBytes))
	if err != nil {
		return r, 0, ErrLine
	}
	end := from + int(length)
	if len(b) < end+len(crlf) {
		return r, 0, nil
	}
	if string(b[end:end+len(crlf)]) != "\r\n" {
		return r, 0, ErrLine
	}
	r.Body = b[from:end]
	return r, end + len(crlf), nil
}

// AppendCall appends a call that is waited for so many milliseconds.
func AppendCall(b []byte, id string, timeoutMS int64, body []byte) []byte {
	b = append(b, "CALL "+id+" "...)
	b = strconv.AppendInt(b, timeoutMS, 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(append(b, crlf...), body...)
	return append(b, crlf...)
}

// AppendCallCancel appends the message that gives up a call.
func AppendCallCancel(b []byte, id string) []byte { return append(b, "DROP "+id+"\r\n"...) }
