package wire

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

var smallBounds = Bounds{HeadBytes: 300, BodyBytes: 64}

// parseAll parses b as a stream that arrives in chunks of the given size. It returns the messages as lines, and the
// number of bytes left or "bad" after an error.
func parseAll(b []byte, chunk int, parse parseFunc) (out string) {
	var buffered []byte
	for len(b) > 0 {
		n := min(chunk, len(b))
		buffered, b = append(buffered, b[:n]...), b[n:]
		for {
			s, n, err := parse(buffered)
			if err != nil {
				return out + "bad"
			}
			if n == 0 {
				break
			}
			if n < 0 || n > len(buffered) {
				panic(fmt.Sprintf("message size %d, want 0 to %d", n, len(buffered)))
			}
			out += s + "\n"
			buffered = append([]byte(nil), buffered[n:]...)
		}
	}
	return out + fmt.Sprint(len(buffered), " left")
}

func parseRequest(b []byte) (string, int, error) {
	q, n, err := ParseRequest(b, smallBounds)
	return fmt.Sprintf("%s %s %q id=%s at=%d by=%d %v %g %g %q %q %q %v %g %g", q.Method, q.Path, q.Body, q.ID,
		q.ReceivedAtMS, q.Caller, q.IsRetry, q.FootprintKB, q.Priority, q.Tenant, q.IdempotencyKey, q.ResourceKey,
		q.Close, q.TimeoutMS, q.ExpectedWorkMS), n, err
}

func parseResponse(b []byte) (string, int, error) {
	p, n, err := ParseResponseHead(b, smallBounds)
	return fmt.Sprint(p), n, err
}

func parseReply(b []byte) (string, int, error) {
	r, n, err := ParseCallReply(b, smallBounds)
	return fmt.Sprintf("%s %d %q", r.ID, r.Outcome, r.Body), n, err
}

// parseKernelEvent copies the line first, as ParseKernelEvent decodes in place.
func parseKernelEvent(b []byte) (string, int, error) {
	line, n, err := NextLine(bytes.Clone(b), smallBounds.HeadBytes)
	if n == 0 || err != nil {
		return "", 0, err
	}
	event, err := ParseKernelEvent(line)
	return fmt.Sprintf("%s %s %s %s %q %d %g %v", event.Kind, event.RunID, event.Outcome, event.Nonce, event.Body,
		event.Sequence, event.RunMS, event.Gauges[:event.GaugeCount]), n, err
}

// parseFunc parses the first message in b; it returns the message as text and its size in bytes.
type parseFunc = func(b []byte) (string, int, error)

var parsers = map[string]parseFunc{"request": parseRequest, "response": parseResponse, "reply": parseReply,
	"kernel event": parseKernelEvent}

const fullRequest = "POST /rpc/pay?x=1 HTTP/1.1\r\nHost: s\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n" +
	"received-at:1764576000123\r\nSent-By: 4\r\nAccount: acme\r\nAttempt-Again: 1\r\n" +
	"Footprint-Kb: 24.5\r\nPriority-Rank: 0.625\r\n" +
	"Once-Key: k\r\nResource-Key: r\r\nBudget-Ms: 12\r\nContent-Length: 3\r\n\r\na\r\n"

var streamCases = []struct{ kind, in, out string }{
	{"request", fullRequest + "GET /h HTTP/1.0\r\n\r\n",
		`POST /rpc/pay "a\r\n" id=9b1f03aa5c7e2d41 at=1764576000123 by=4 ` +
			"true 24.5 0.625 \"acme\" \"k\" \"r\" false 12 0\n" +
			"GET /h \"\" id= at=0 by=0 false 0 0 \"\" \"\" \"\" true 0 0\n0 left"},
	{"request", "\r\nGET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n",
		"GET / \"\" id= at=0 by=0 false 0 0 \"\" \"\" \"\" true 0 0\n0 left"},
	{"request", "GET / HTTP/1.1\r\nContent-Length: 2\r\n\r\na", "1 short"},
	{"request", "GET / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", "bad"},
	{"request", "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "bad"},
	{"request", "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "bad"},
	{"request", "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "bad"},
	{"request", "GET / HTTP/2.0\r\n\r\n", "bad"},
	{"request", "GET x HTTP/1.1\r\n\r\n", "bad"},
	{"request", "GET / HTTP/1.1\r\nA : b\r\n\r\n", "bad"},
	{"request", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", "bad"},
	{"request", "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", "bad"},
	{"request", "GET / HTTP/1.1\r\nRequest-Id: 9b1f03aa5c7e2d4g\r\n\r\n", "bad"},
	{"request", "GET / HTTP/1.1\r\nFootprint-Kb: NaN\r\n\r\n", "bad"},
	{"request", "GET / HTTP/1.1\r\nReceived-At: 1764576000123999999999\r\n\r\n", "bad"},
	{"request", "GET /" + strings.Repeat("a", 400), "bad"},
	{"response", "HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n" +
		"HTTP/1.1 500 x\r\nContent-Length: 1\r\n\r\na", "{204 false}\n{500 false}\n0 left"},
	{"response", "HTTP/1.1 20 x\r\n\r\n", "bad"},
	{"response", "HTTP/1.1 200 x\r\nContent-Length: 65\r\n\r\n", "bad"},
	{"reply", "9b1f03aa5c7e2d41 OK 4\r\na\r\nb\r\n9b1f03aa5c7e2d42 BUSY\r\n9b1f03aa5c7e2d43 ERR\r\n" +
		"9b1f03aa5c7e2d44 LATE\r\n9b1f03aa5c7e2d45 VOID\r\n9b", `9b1f03aa5c7e2d41 0 "a\r\nb"` + "\n" +
		"9b1f03aa5c7e2d42 1 \"\"\n9b1f03aa5c7e2d43 2 \"\"\n" +
		"9b1f03aa5c7e2d44 3 \"\"\n9b1f03aa5c7e2d45 4 \"\"\n2 left"},
	{"reply", "9b1f03aa5c7e2d41 OK 1\r\nabc", "bad"},
	{"reply", "9b1f03aa5c7e2d41 OK 65\r\n", "bad"},
	{"reply", "9b1f03aa5c7e2d41 BUSY 1\r\n", "bad"},
	{"reply", "9b1f03aa5c7e2d41 WHAT\r\n", "bad"},
	{"reply", "short OK 1\r\n", "bad"},
	{"kernel event", `{"verb":"REAP","index":7,"task":"9b","outcome":"OK","spent":12.5,"bytes":"AP8="}` + "\r\n" +
		` { "verb" : "INFO", "nonce": "a\"\\\u0041", "readings": [1, 2.5e0] , ` +
		`"new": {"a": [null, true, "}"]} }` + "\n{",
		"REAP 9b OK  \"\\x00\\xff\" 7 12.5 []\nINFO   a\"\\A \"\" 0 0 [1 2.5]\n1 left"},
	{"kernel event", `{"verb":"REAP","bytes":"A"}` + "\n", "bad"},
	{"kernel event", `{"verb":"REAP"} x` + "\n", "bad"},
	{"kernel event", `{"index":1}` + "\n", "bad"},
	{"kernel event", `{"verb":"REAP","index":-1}` + "\n", "bad"},
	{"kernel event", `{"verb":"INFO","readings":[1,2,3,4,5,6,7,8,9]}` + "\n", "bad"},
	{"kernel event", `["verb"]` + "\n", "bad"},
	{"kernel event", strings.Repeat(" ", 301), "bad"},
}

// TestParsersIndependentOfSplit checks that a stream parses to the same messages in chunks of any size. Guards against
// a parser that takes an incomplete message for a complete one.
func TestParsersIndependentOfSplit(t *testing.T) {
	for _, c := range streamCases {
		want := c.out
		if want == "1 short" {
			want = fmt.Sprint(len(c.in), " left")
		}
		for _, chunk := range []int{len(c.in), 1, 2, 3, 7, 64} {
			if got := parseAll([]byte(c.in), chunk, parsers[c.kind]); got != want {
				t.Errorf("%s %q in chunks of %d bytes:\n%s\nwant\n%s", c.kind, c.in, chunk, got, want)
			}
		}
	}
}

// FuzzParsers checks that no parser panics on any input, and that the result does not depend on the chunk size.
func FuzzParsers(f *testing.F) {
	for _, c := range streamCases {
		f.Add([]byte(c.in), 3)
	}
	f.Fuzz(func(t *testing.T, in []byte, size int) {
		for kind, parse := range parsers {
			chunk := min(max(size, 1), 100)
			if want, got := parseAll(in, max(len(in), 1), parse), parseAll(in, chunk, parse); want != got {
				t.Errorf("%s %q in chunks of %d bytes:\n%s\nin one chunk:\n%s", kind, in, chunk, got, want)
			}
		}
	})
}

// TestAppendedMessages checks the bytes of written messages, which other programs parse. Guards against a body with
// quotes, line ends or zero bytes that breaks the framing of its message.
func TestAppendedMessages(t *testing.T) {
	body := []byte("a\x00\"\r\n")
	rejection := Response{Status: 503, RetryAfterMS: 20, NoRetry: true, Close: true, HasOverloadSignal: true,
		OverloadSignal: 0.5}
	b64 := base64.StdEncoding.EncodeToString(body)
	for got, want := range map[string]string{
		string(AppendKernelRun(nil, "9b", `q"\`+"\x01", body)): "" +
			`{"verb":"SCHED","task":"9b","handler":"q\"\\\u0001","bytes":"` + b64 + `"}`,
		string(AppendKernelCallDone(nil, "9b", body)):     `{"verb":"IODONE","task":"9b","bytes":"` + b64 + `"}`,
		string(AppendKernelOpen(nil, 12)):                 `{"verb":"OPEN","index":12}`,
		string(AppendKernelCommand(nil, "PREEMPT", "9b")): `{"verb":"PREEMPT","task":"9b"}`,
		string(AppendKernelCallSkipped(nil, "9b", 7)):     `{"verb":"NOIO","task":"9b","index":7}`,
		string(AppendKernelGaugesRequest(nil, 7)):         `{"verb":"SYSINFO","nonce":"7"}`,
		string(AppendCallCancel(nil, "9b")):               "DROP 9b\r",
		string(AppendCall(nil, "9b", 250, body)):          "CALL 9b 250 5\r\n" + string(body) + "\r",
		string(AppendResponse(nil, Response{Status: 200, Body: body})) + "\n": "" +
			"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + string(body),
		string(AppendResponse(nil, rejection)): "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n" +
			"Back-Off-Ms: 20\r\nFinal-Refusal: 1\r\nServer-Hint: 0.5000\r\nConnection: close\r\n\r",
	} {
		if got != want+"\n" {
			t.Errorf("got %q, want %q", got, want)
		}
		if strings.HasPrefix(got, "{") && !json.Valid([]byte(got)) {
			t.Errorf("got %q, want valid JSON", got)
		}
	}
}
