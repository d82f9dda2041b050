package consensus

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"umberwinch/internal/config"
)

// A watcher reconnects to other instances. It must miss no version and get none twice.
func TestWatchResumesAtOtherInstances(t *testing.T) {
	instances := startThree(t, nil)
	from := uint64(1)
	for round := 0; round < 6; round++ {
		i := instances[round%3]
		last := instances[0].group.View().Version
		for n := last + 1; n <= last+5; n++ {
			if result := i.put("s", n, n-1); result.Version != n {
				t.Fatalf("put(seq %d) = %+v, want version %d", n, result, n)
			}
		}
		res, err := http.Get(fmt.Sprintf("http://%s/v1/watch?from=%d", i.control.Listen, from))
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(res.Body)
		lines.Buffer(nil, 1<<20)
		for got := 0; got < 3+round%3 && lines.Scan(); {
			var b WatchHeartbeat
			if json.Unmarshal(lines.Bytes(), &b) == nil && b.Heartbeat {
				continue
			}
			v, err := ReadVersion(lines.Bytes())
			if err != nil || v.Number != from {
				t.Fatalf("watch line = version %v, %v, want version %d", v, err, from)
			}
			from++
			got++
		}
		res.Body.Close()
	}
	if code, _ := instances[0].request(http.MethodGet, "/v1/watch?from=0", nil, nil); code != http.StatusGone {
		t.Fatalf("watch from version 0: status %d, want %d", code, http.StatusGone)
	}
}

// Invalid and too large requests must get their status, and an incomplete header must not hold a connection forever.
func TestInvalidClientRequestsAreRejected(t *testing.T) {
	t.Parallel()
	a := startInstance(t, "a", "new", func(c *config.Control) { c.Token = "a token of some length" })
	a.await("role leader", func(v *View) bool { return v.Role == "leader" })
	url := "http://" + a.control.Listen + "/v1/config"
	for _, c := range []struct {
		name, body, token string
		code              int
	}{
		{"no token", "{}", "", 401},
		{"wrong token", "{}", "a token of some lengtH", 401},
		{"invalid JSON", "x", a.control.Token, 400},
		{"unknown field", `{"sesion":"x"}`, a.control.Token, 400},
		{"no session", `{"seq":1,"author":"x"}`, a.control.Token, 400},
		{"no sequence number", `{"session":"s","author":"x"}`, a.control.Token, 400},
		{"no author", `{"session":"s","seq":1}`, a.control.Token, 400},
		{"text too long", `{"session":"s","seq":1,"author":"x","text":"` + strings.Repeat("x", 1<<20+1) + `"}`,
			a.control.Token, 400},
		{"body too large", `{"text":"` + strings.Repeat("x", maxBodyBytes) + `"}`, a.control.Token, 413},
		{"invalid document", `{"session":"s","seq":1,"author":"x","text":"[x]\ny = 1\n"}`, a.control.Token, 422},
		{"rules set by the client", `{"session":"r","seq":1,"author":"x","rules":99,"text":"[tenant a]\nrate = 1\n"}`,
			a.control.Token, 200},
	} {
		req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+c.token)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		raw, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if res.StatusCode != c.code {
			t.Errorf("%s: status %d with body %.200s, want %d", c.name, res.StatusCode, raw, c.code)
		}
	}
	for _, path := range []string{"/v1/config?version=x", "/v1/history?limit=0", "/v1/history?limit=1001",
		"/v1/config?read=quick"} {
		if code, _ := a.request(http.MethodGet, path, nil, nil); code != 400 {
			t.Errorf("GET %s: status %d, want 400", path, code)
		}
	}
	if code, _ := a.request(http.MethodGet, "/v1/config?version=7", nil, nil); code != 404 {
		t.Errorf("GET of version 7: status %d, want 404", code)
	}
	// A client that never completes its header must be disconnected.
	slow, err := net.Dial("tcp", a.control.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.Write([]byte("GET /v1/status HTTP/1.1\r\nX: "))
	slow.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.Copy(io.Discard, slow); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatalf("read after an incomplete header = %v, want EOF or a reset", err)
	}
}

// Clients announce large bodies and send nothing. Memory for bodies must stay bounded: further puts get 503, and
// succeed after the connections are closed.
func TestTotalBodySizeIsBounded(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	a.await("role leader", func(v *View) bool { return v.Role == "leader" })
	var conns []net.Conn
	for i := 0; i < maxTotalBodyBytes/maxBodyBytes; i++ {
		c, err := net.Dial("tcp", a.control.Listen)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "PUT /v1/config HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n",
			maxBodyBytes)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, "100 Continue") {
			t.Fatalf("response to announced body %d = %q, %v, want 100 Continue", i, line, err)
		}
		conns = append(conns, c)
	}
	put := Put{Session: "s", Seq: 1, Author: "x", Text: documentText(1) + strings.Repeat(";\n", 1<<19-100)}
	code, header := a.request(http.MethodPut, "/v1/config", put, nil)
	if retryAfter := header.Get("Retry-After"); code != 503 || retryAfter == "" {
		t.Fatalf("put beyond the limit: status %d, Retry-After %q, want 503 with Retry-After", code, retryAfter)
	}
	for _, c := range conns {
		c.Close()
	}
	if result := a.put("t", 1, 0); result.Outcome != PutCommitted {
		t.Fatalf("put after the bodies were released = %+v, want %s", result, PutCommitted)
	}
}

// The view, which headers and stale reads use, must have a version before the put's result is returned. Otherwise a
// client that compares the version header would take the put for lost.
func TestPutIsInViewBeforeItsResult(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	a.await("role leader", func(v *View) bool { return v.Role == "leader" })
	for seq := uint64(1); seq <= 3000; seq++ {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		result, err := a.group.Put(ctx, Put{Session: "s", Seq: seq, Base: seq - 1, Author: "x",
			Text: fmt.Sprintf("[tenant t]\nrate = %d\n", seq)})
		cancel()
		if err != nil || result.Outcome != PutCommitted {
			t.Fatalf("Put(seq %d) = %+v, %v, want %s", seq, result, err, PutCommitted)
		}
		if v := a.group.View(); v.Version < result.Version {
			t.Fatalf("view has version %d after the result of version %d", v.Version, result.Version)
		}
	}
}

// Stop must end the goroutine of the server's error log, by closing its pipe, and free the address.
func TestStopFreesAddressAndErrorLog(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	stopped := a.api
	a.stop()
	if _, err := stopped.errorLog.Write([]byte("late\n")); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("errorLog.Write() after Stop = %v, want %v", err, io.ErrClosedPipe)
	}
	l, err := net.Listen("tcp", a.control.Listen)
	if err != nil {
		t.Fatalf("Listen on the address after Stop: %v", err)
	}
	if err = l.Close(); err != nil {
		t.Error(err)
	}
}

// Each of many concurrent puts must get one result, and one sync must serve several puts.
func TestConcurrentPutsShareSyncs(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	a.await("role leader", func(v *View) bool { return v.Role == "leader" })
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[PutOutcome]int{}
	for n := 0; n < 32; n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seq := uint64(1); seq <= 20; seq++ {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				result, err := a.group.Put(ctx, Put{Session: fmt.Sprint("s", n), Seq: seq, Base: a.group.View().Version,
					Author: "x", Text: fmt.Sprintf("[tenant t%d]\nrate = %d\n", n, seq)})
				cancel()
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				outcomes[result.Outcome]++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	v := a.group.View()
	if outcomes[PutCommitted]+outcomes[PutConflict] != 640 || uint64(outcomes[PutCommitted]) != v.Version {
		t.Fatalf("outcomes = %v at version %d, want 640 committed or in conflict, and one version per commit", outcomes,
			v.Version)
	}
	if v.Syncs >= 640 {
		t.Fatalf("%d syncs for 640 puts, want fewer", v.Syncs)
	}
}
