package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"umberwinch/internal/simulation"
)

// The demo serves a load above capacity and prints a table a second. Nine in ten requests of the class with a capped
// pool complete in time.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	res, err := (&Demo{Seed: 1, Load: 1.2, Pools: true, Seconds: 3, Plain: true}).Run(context.Background(), &out)
	if err != nil {
		t.Fatal(err)
	}
	if len(res) != 4 || strings.Count(out.String(), "IN TIME SO FAR") != 3 {
		t.Fatalf("got results %+v, want 4, and 3 tables in\n%s", res, out.String())
	}
	for _, r := range res {
		if r.Requests < 20 {
			t.Errorf("%s: got %d requests, want at least 20", r.Class, r.Requests)
		}
	}
	if view := res[0]; view.InTime < 0.9 {
		t.Errorf("view: got %.3f in time, want at least 0.9", view.InTime)
	}
}

// `umberctl demo --json` prints the results: their keys stay when fields are renamed.
func TestDemoResultJSONKeys(t *testing.T) {
	raw, err := json.Marshal(DemoResult{Class: "view", Requests: 3, InTime: 0.5, Shed: 0.25, P95: 12})
	if want := `{"Class":"view","Asked":3,"InTime":0.5,"Shed":0.25,"P95":12}`; err != nil || string(raw) != want {
		t.Errorf("Marshal() = %s, %v; want %s", raw, err, want)
	}
}

// The emulated kernel rejects invalid commands, reports the end of a run, resends the event over a new link that has
// not received it, and closes a link on input that it can't parse.
func TestEmulatedKernelProtocol(t *testing.T) {
	s, err := simulation.ReadScenario("demo", demoScenario)
	if err != nil {
		t.Fatal(err)
	}
	k, err := NewEmulatedKernel(newLoopbackAddr(7400), 1, 2, s.Classes, kernelStepInterval)
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", k.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(5 * time.Second))
		return c, bufio.NewReader(c)
	}
	expectLine := func(r *bufio.Reader, want string) {
		t.Helper()
		line, err := r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, want) {
			t.Fatalf("got %q, %v; want a line that begins with %s", line, err, want)
		}
	}
	c, r := dial()
	fmt.Fprintln(c, `{"verb":"OPEN","index":0}`)
	expectLine(r, `{"verb":"BOOTED"`)
	fmt.Fprintln(c, `{"verb":"SCHED","task":"00000000000000aa","handler":"fly"}`)
	expectLine(r, `{"verb":"EINVAL"`)
	fmt.Fprintln(c, `{"verb":"SCHED","task":"00000000000000aa","handler":"view"}`)
	expectLine(r, `{"verb":"REAP","index":1,"task":"00000000000000aa","outcome":"OK"`)
	c, r = dial() // a new link that has received no event gets it again
	fmt.Fprintln(c, `{"verb":"OPEN","index":0}`)
	expectLine(r, `{"verb":"BOOTED"`)
	expectLine(r, `{"verb":"REAP","index":1,`)
	fmt.Fprintln(c, `noise`)
	if _, err := r.ReadString('\n'); err == nil {
		t.Fatal("the link is open after invalid input, want it closed")
	}
}
