package wire

import "testing"

// TestRecordedMessages checks messages that the other tests don't cover, with all fields set, against the bytes that
// version 2a0a97e wrote.
func TestRecordedMessages(t *testing.T) {
	for name, c := range map[string]struct{ got, want string }{
		"report, ready": {string(AppendReadinessReport(nil, "127.0.0.1:7946", "n3", true)), "PUT /v2/endpoints/n3 HTTP/1.1\r\n" +
			"Host: 127.0.0.1:7946\r\nContent-Type: application/json\r\nContent-Length: 21\r\n\r\n{\"condition\":\"Ready\"}"},
		"report, not ready": {string(AppendReadinessReport(nil, "h", "n", false)), "PUT /v2/endpoints/n HTTP/1.1\r\nHost: h\r\n" +
			"Content-Type: application/json\r\nContent-Length: 24\r\n\r\n{\"condition\":\"NotReady\"}"},
		"response, all fields": {string(AppendResponse(nil, Response{Status: 500, RetryAfterMS: 1200, NoRetry: true, Close: true,
			HasOverloadSignal: true, OverloadSignal: 0.12345, Body: []byte("b")})), "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 1\r\n" +
			"Back-Off-Ms: 1200\r\nFinal-Refusal: 1\r\nServer-Hint: 0.1235\r\nConnection: close\r\n\r\nb"},
		"response, no body": {string(AppendResponse(nil, Response{Status: 400})),
			"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %q, want %q", name, c.got, c.want)
		}
	}
}

// TestParseRequestAllFields checks that every field of the platform is parsed, in any case of its name.
func TestParseRequestAllFields(t *testing.T) {
	q, n, err := ParseRequest([]byte("POST /rpc/pay?x=1 HTTP/1.1\r\nREQUEST-ID: 9b1f03aa5c7e2d41\r\n"+
		"Received-At: 1764576000123\r\nSent-By: 4\r\nAccount: acme\r\nAttempt-Again: 1\r\nFootprint-Kb: 24.5\r\n"+
		"Priority-Rank: 0.625\r\nOnce-Key: k\r\nResource-Key: r\r\nBudget-Ms: 12.5\r\nWork-Estimate: 3.25\r\n"+
		"Connection: close\r\nContent-Length: 3\r\n\r\nabc"), Bounds{HeadBytes: 600, BodyBytes: 64})
	if err != nil || n == 0 {
		t.Fatalf("ParseRequest() n = %d, error = %v, want a complete request", n, err)
	}
	if string(q.Method) != "POST" || string(q.Path) != "/rpc/pay" || string(q.ID) != "9b1f03aa5c7e2d41" ||
		string(q.Tenant) != "acme" || string(q.IdempotencyKey) != "k" || string(q.ResourceKey) != "r" ||
		string(q.Body) != "abc" || q.ReceivedAtMS != 1764576000123 || q.Caller != 4 || !q.HasCaller || !q.IsRetry ||
		q.TimeoutMS != 12.5 || !q.HasTimeout || q.ExpectedWorkMS != 3.25 || q.FootprintKB != 24.5 ||
		q.Priority != 0.625 || !q.Close {
		t.Errorf("ParseRequest() = %+v, want the fields as sent", q)
	}
}
