package wire

import (
	"encoding/base64"
	"strconv"
)

// Commands to the kernel that name a run alone.
const (
	KernelStop   = "PREEMPT" // take the run off its core, or end it, as the settings say
	KernelResume = "RESCHED" // have a run that was stopped go on
	// KernelRun starts a run; it has a writer of its own, as it carries a body. An event of kind KernelInvalid names
	// it.
	KernelRun = "SCHED"
)

// AppendKernelOpen appends the first line of a link: every event after sequence is wanted.
func AppendKernelOpen(b []byte, sequence uint64) []byte {
	b = append(b, `{"verb":"OPEN","index":`...)
	return append(strconv.AppendUint(b, sequence, 10), "}\n"...)
}

// AppendKernelRun appends the command that starts a run of a request, its body in base64.
func AppendKernelRun(b []byte, runID, handler string, body []byte) []byte {
	b = append(b, `{"verb":"`+KernelRun+`","task":"`+runID+`","handler":`...)
	b = appendJSONString(b, handler)
	return appendBody(b, body)
}

// AppendKernelCallDone appends the reply to a call that a run waits for, its body in base64.
func AppendKernelCallDone(b []byte, runID string, body []byte) []byte {
	return appendBody(append(b, `{"verb":"IODONE","task":"`+runID+`"`...), body)
}

// appendBody ends a command with its body in base64.
func appendBody(b, body []byte) []byte {
	b = append(b, `,"bytes":"`...)
	return append(base64.StdEncoding.AppendEncode(b, body), "\"}\n"...)
}

// appendJSONString appends a JSON string: a handler's name may hold quotes and control characters.
func appendJSONString(b []byte, s string) []byte {
	const hexDigits = "0123456789abcdef"
	b = append(b, '"')
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < ' ':
			b = append(b, `\u00`...)
			b = append(b, hexDigits[c>>4], hexDigits[c&0xf])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}

// AppendKernelCommand appends a command that names a run alone: KernelStop or KernelResume.
func AppendKernelCommand(b []byte, command, runID string) []byte {
	return append(b, `{"verb":"`+command+`","task":"`+runID+"\"}\n"...)
}

// AppendKernelCallSkipped appends the command that has a run go on without the call that it asked for in the event with
// this sequence.
func AppendKernelCallSkipped(b []byte, runID string, sequence uint64) []byte {
	b = append(b, `{"verb":"NOIO","task":"`+runID+`","index":`...)
	return append(strconv.AppendUint(b, sequence, 10), "}\n"...)
}

// AppendKernelGaugesRequest appends the request for the gauges; the event that answers it carries the same nonce.
func AppendKernelGaugesRequest(b []byte, nonce uint64) []byte {
	b = append(b, `{"verb":"SYSINFO","nonce":"`...)
	return append(strconv.AppendUint(b, nonce, 10), "\"}\n"...)
}
