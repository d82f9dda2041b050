package wire

import (
	"bytes"
	"strconv"
)

// CallOutcome is how the store says a call went.
type CallOutcome uint8

const (
	CallSucceeded CallOutcome = iota
	CallRejected
	CallFailed
	CallTimedOut
	CallNotExecuted
)

// CallReply is one reply of the store.
type CallReply struct {
	ID      []byte
	Outcome CallOutcome
	Body    []byte
}

// ParseCallReply reads the reply at the start of b; n is 0 while it is not whole.
func ParseCallReply(b []byte, bounds Bounds) (r CallReply, n int, err error) {
	i := bytes.Index(b, crlf)
	if i < 0 && len(b) > bounds.HeadBytes || i > bounds.HeadBytes {
		return r, 0, errLarge
	}
	if i < 0 {
		return r, 0, nil
	}
	id, rest, _ := bytes.Cut(b[:i], []byte(" "))
	word, size, sized := bytes.Cut(rest, []byte(" "))
	n = i + 2
	if !IsID(id) {
		return r, 0, errLine
	}
	r.ID = id
	switch string(word) {
	case "OK":
		length, err := parseDigits(size, int64(bounds.BodyBytes))
		if err != nil {
			return r, 0, errLine
		}
		end := n + int(length)
		if len(b) < end+2 {
			return r, 0, nil
		}
		if string(b[end:end+2]) != "\r\n" {
			return r, 0, errLine
		}
		r.Body = b[n:end]
		return r, end + 2, nil
	case "BUSY":
		r.Outcome = CallRejected
	case "ERR":
		r.Outcome = CallFailed
	case "LATE":
		r.Outcome = CallTimedOut
	case "VOID":
		r.Outcome = CallNotExecuted
	default:
		return r, 0, errLine
	}
	if sized {
		return r, 0, errLine
	}
	return r, n, nil
}

// AppendCall writes a call that is waited for so many milliseconds.
func AppendCall(b []byte, id string, wait int64, body []byte) []byte {
	b = append(b, "CALL "+id+" "...)
	b = strconv.AppendInt(b, wait, 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(append(b, crlf...), body...)
	return append(b, crlf...)
}

// AppendCallCancel gives up a call.
func AppendCallCancel(b []byte, id string) []byte { return append(b, "DROP "+id+"\r\n"...) }
