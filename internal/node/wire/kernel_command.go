package wire

import (
	"encoding/base64"
	"strconv"
)

// Commands to the kernel about one run.
const (
	KernelStop   = "PREEMPT" // pauses or ends the run, depending on the start-up settings
	KernelResume = "RESCHED" // resumes a stopped run
	KernelRun    = "SCHED"   // starts a run, see AppendKernelRun

	KernelCallDone    = "IODONE" // resumes a run with the reply to its call, see AppendKernelCallDone
	KernelCallSkipped = "NOIO"   // resumes a run without its call, see AppendKernelCallSkipped
)

// AppendKernelOpen appends the first line of a link, which requests every event after sequence.
func AppendKernelOpen(b []byte, sequence uint64) []byte {
	b = append(b, `{"verb":"OPEN","index":`...)
	return append(strconv.AppendUint(b, sequence, 10), "}\n"...)
}

// AppendKernelRun appends the command that starts a run of a request, with the request's body.
func AppendKernelRun(b []byte, runID, handler string, body []byte) []byte {
	b = append(b, `{"verb":"`+KernelRun+`","task":"`+runID+`","handler":`...)
	b = appendJSONString(b, handler)
	return appendBody(b, body)
}

// AppendKernelCallDone appends the command that resumes a run with the reply to its call.
func AppendKernelCallDone(b []byte, runID string, body []byte) []byte {
	return appendBody(append(b, `{"verb":"`+KernelCallDone+`","task":"`+runID+`"`...), body)
}

// appendBody appends the body in base64 and the end of the command.
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

// AppendKernelCommand appends a command without further fields: KernelStop or KernelResume.
func AppendKernelCommand(b []byte, command, runID string) []byte {
	return append(b, `{"verb":"`+command+`","task":"`+runID+"\"}\n"...)
}

// AppendKernelCallSkipped appends the command that resumes a run without its call; sequence is that of the event that
// asked for the call.
func AppendKernelCallSkipped(b []byte, runID string, sequence uint64) []byte {
	b = append(b, `{"verb":"`+KernelCallSkipped+`","task":"`+runID+`","index":`...)
	return append(strconv.AppendUint(b, sequence, 10), "}\n"...)
}

// AppendKernelGaugesRequest appends a gauges request; the event that answers it has the same nonce.
func AppendKernelGaugesRequest(b []byte, nonce uint64) []byte {
	b = append(b, `{"verb":"SYSINFO","nonce":"`...)
	return append(strconv.AppendUint(b, nonce, 10), "\"}\n"...)
}
