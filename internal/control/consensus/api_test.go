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

// A watcher loses its connection and goes on at another instance, several times. It must miss no version and get none
// twice, or a node would serve under an old one.
func TestWatchResumesAtOtherInstances(t *testing.T) {
	instances := startThree(t, nil)
	from := uint64(1)
	for round := 0; round < 6; round++ {
		i := instances[round%3]
		last := instances[0].group.View().Version
		for n := last + 1; n <= last+5; n++ {
			if result := i.put("s", n, n-1); result.Version != n {
				t.Fatalf("put %d: %+v", n, result)
			}
		}
		res, err := http.Get(fmt.Sprintf("http://%s/v1/watch?from=%d", i.control.Listen, from))
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(res.Body)
		lines.Buffer(nil, 1<<20)
		for got := 0; got < 3+round%3 && lines.Scan(); {
			var b Heartbeat
			if json.Unmarshal(lines.Bytes(), &b) == nil && b.Heartbeat {
				continue
			}
			v, err := ReadVersion(lines.Bytes())
			if err != nil || v.Number != from {
				t.Fatalf("version %v (%v), expected %d", v, err, from)
			}
			from++
			got++
		}
		res.Body.Close()
	}
	if code, _ := instances[0].request(http.MethodGet, "/v1/watch?from=0", nil, nil); code != http.StatusGone {
		t.Fatalf("watch from 0: %d, expected %d", code, http.StatusGone)
	}
}

// Clients send what is wrong or too much. Each must get the status and reason that it stands for, and a header that
// never ends must not hold a connection.
func TestInvalidClientRequestsAreRejected(t *testing.T) {
	t.Parallel()
	a := startInstance(t, "a", "new", func(c *config.Control) { c.Token = "a token of some length" })
	a.await("it leads", func(v *View) bool { return v.Role == "leader" })
	url := "http://" + a.control.Listen + "/v1/config"
	for _, c := range []struct {
		name, body, token string
		code              int
	}{
		{"no token", "{}", "", 401},
		{"another token", "{}", "a token of some lengtH", 401},
		{"no JSON", "x", a.control.Token, 400},
		{"an unknown key", `{"sesion":"x"}`, a.control.Token, 400},
		{"no session", `{"seq":1,"author":"x"}`, a.control.Token, 400},
		{"no number", `{"session":"s","author":"x"}`, a.control.Token, 400},
		{"no author", `{"session":"s","seq":1}`, a.control.Token, 400},
		{"a long text", `{"session":"s","seq":1,"author":"x","text":"` + strings.Repeat("x", 1<<20+1) + `"}`,
			a.control.Token, 400},
		{"a body without end", `{"text":"` + strings.Repeat("x", maxBodyBytes) + `"}`, a.control.Token, 413},
		{"a wrong document", `{"session":"s","seq":1,"author":"x","text":"[x]\ny = 1\n"}`, a.control.Token, 422},
		{"rules of its own", `{"session":"r","seq":1,"author":"x","rules":99,"text":"[tenant a]\nrate = 1\n"}`,
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
			t.Errorf("%s: %d %.200s, expected %d", c.name, res.StatusCode, raw, c.code)
		}
	}
	for _, path := range []string{"/v1/config?version=x", "/v1/history?limit=0", "/v1/history?limit=1001",
		"/v1/config?read=quick"} {
		if code, _ := a.request(http.MethodGet, path, nil, nil); code != 400 {
			t.Errorf("%s: %d, expected 400", path, code)
		}
	}
	if code, _ := a.request(http.MethodGet, "/v1/config?version=7", nil, nil); code != 404 {
		t.Errorf("version 7: %d, expected 404", code)
	}
	slow, err := net.Dial("tcp", a.control.Listen) // a head that never ends
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.Write([]byte("GET /v1/status HTTP/1.1\r\nX: "))
	slow.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.Copy(io.Discard, slow); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatalf("a head that never ends: %v, expected a close", err)
	}
}

// Clients announce large bodies and send nothing. They must not occupy more memory than the bound; others are told to
// come again, and are served once those are gone.
func TestTotalBodySizeIsBounded(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	a.await("it leads", func(v *View) bool { return v.Role == "leader" })
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
			t.Fatalf("body %d: %q, %v", i, line, err)
		}
		conns = append(conns, c)
	}
	put := Put{Session: "s", Seq: 1, Author: "x", Text: documentText(1) + strings.Repeat(";\n", 1<<19-100)}
	if code, header := a.request(http.MethodPut, "/v1/config", put, nil); code != 503 || header.Get("Retry-After") == "" {
		t.Fatalf("a put beside full bodies: %d, expected 503 and a time to come back", code)
	}
	for _, c := range conns {
		c.Close()
	}
	if result := a.put("t", 1, 0); result.Outcome != PutCommitted {
		t.Fatalf("a put after them: %+v", result)
	}
}

// TestPutIsInViewBeforeItsResult: a client puts a version, is told its number, and looks at the same instance. The instance's view,
// which every answer's headers and stale reads go by, must have that version by then: a client that waits for its
// version by the header would take the put for lost.
func TestPutIsInViewBeforeItsResult(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	a.await("it leads", func(v *View) bool { return v.Role == "leader" })
	for seq := uint64(1); seq <= 3000; seq++ {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		result, err := a.group.Put(ctx, Put{Session: "s", Seq: seq, Base: seq - 1, Author: "x",
			Text: fmt.Sprintf("[tenant t]\nrate = %d\n", seq)})
		cancel()
		if err != nil || result.Outcome != PutCommitted {
			t.Fatalf("put %d: %+v, %v", seq, result, err)
		}
		if v := a.group.View(); v.Version < result.Version {
			t.Fatalf("put %d was told, and the view has %d", result.Version, v.Version)
		}
	}
}

// TestStopFreesAddressAndErrorLog: an instance ends within a process that goes on, as in tests and in a restart of it. The goroutine
// that logs for the server has to end with it, as its pipe is closed, and the address has to be free.
func TestStopFreesAddressAndErrorLog(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	stopped := a.api
	a.stop()
	if _, err := stopped.errorLog.Write([]byte("late\n")); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("found %v, expected %v", err, io.ErrClosedPipe)
	}
	l, err := net.Listen("tcp", a.control.Listen)
	if err != nil {
		t.Fatalf("the address is not free: %v", err)
	}
	if err = l.Close(); err != nil {
		t.Error(err)
	}
}

// Many clients put at once. Each must get one result, and one sync must serve many puts.
func TestConcurrentPutsShareSyncs(t *testing.T) {
	a := startInstance(t, "a", "new", nil)
	a.await("it leads", func(v *View) bool { return v.Role == "leader" })
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
		t.Fatalf("ends %v, version %d", outcomes, v.Version)
	}
	if v.Syncs >= 640 {
		t.Fatalf("%d syncs for 640 puts", v.Syncs)
	}
}
