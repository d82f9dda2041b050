package wire

import (
	"bytes"
	"strconv"
)

// Verdict is how the store says a call went.
type Verdict uint8

const (
	CallOK Verdict = iota
	CallBusy
	CallErr
	CallLate
	CallVoid
)

// Reply is one reply of the store.
type Reply struct {
	ID      []byte
	Verdict Verdict
	Body    []byte
}

// ParseReply reads the reply at the start of b; n is 0 while it is not whole.
func ParseReply(b []byte, max Bounds) (r Reply, n int, err error) {
	i := bytes.Index(b, crlf)
	if i < 0 && len(b) > max.Head || i > max.Head {
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
		length, err := digits(size, int64(max.Body))
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
		r.Verdict = CallBusy
	case "ERR":
		r.Verdict = CallErr
	case "LATE":
		r.Verdict = CallLate
	case "VOID":
		r.Verdict = CallVoid
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

// AppendDrop gives up a call.
func AppendDrop(b []byte, id string) []byte { return append(b, "DROP "+id+"\r\n"...) }
