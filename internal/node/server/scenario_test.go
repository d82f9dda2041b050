package server

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"io"

	"golang.org/x/sys/unix"
)

// scenario runs a file of testdata: the program is started with its fakes, and each line is a step. A text with spaces
// or escapes is quoted as in Go.
//
//	node KEY=VALUE ...               overrides of the default start; only as the first line
//	NAME sends CLASS ID [key=K] [about=K] [body=T] [age=MS] [budget=MS] [account=N] [again] [close]
//	                                 [split=N] [wall=STEP]   client NAME sends a request; wall: its clock's offset
//	NAME raw TEXT                    it sends raw bytes
//	NAME floods N                    it sends N bytes that are no message, as far as the node reads them
//	NAME gets STATUS [body=T] [close] [back] [final[=any]] [hint=any] [| STATUS ...]
//	                                 it reads a response; | separates alternatives
//	NAME checks STATUS               a health check
//	NAME ends                        the node closes the connection and sends nothing more
//	NAME closes | resets | halves    the client closes it, resets it, or shuts down its sending side
//	kernel gets COMMAND ...          the next command other than SYSINFO
//	kernel says ID OUTCOME [TEXT]    a run ends: OK, ERROR, STOPPED, MOOT
//	kernel asks ID TEXT              a run asks for a call
//	kernel invalid ID COMMAND        a command was not executed
//	kernel writes TEXT               raw bytes
//	SIDE mute | talks                SYSINFO or reports are not answered, or are again
//	kernel hangs                     SYSINFO is not answered any more on the newest connection
//	kernel cut | silent | boots      closes its connections; keeps events unsent; sends a delayed BOOTED
//	kernel confirms                  each PREEMPT is confirmed with STOPPED at once; then no SYSINFO is answered on that
//	                                 connection
//	kernel crosses says|asks ID ...  sends that event behind the gauges that end the next link's replay, before it reads
//	                                 any further command
//	kernel gauges N N                runs that want the cores and open connections, in the gauges from now on
//	kernel heard N COMMAND ...       N commands begin like this, once the loop has sent all
//	store gets LINE ..., store says ID WORD [TEXT], store cut | down | up
//	store writes ID TEXT             raw bytes on the connection of that request's last call;
//	                                 ID' is the call before
//	store resets ID                  resets that connection
//	SIDE moves                       it listens elsewhere; open connections stay open
//	control writes TEXT              raw bytes on its newest connection
//	reload [KEY=VALUE ...] | reload TEXT   writes a new start-up file, or one with just the text, and sends SIGHUP
//	control gets CONDITION           the next report with it, skipping others; control down | up | cut
//	wall STEP                        sets the wall clock's offset from the true time; needs node clock=stepped
//	after MS                         sleeps, for behaviour that depends on elapsed time
//	dies                             waits for the program's end, as by node or again with die=POINT:N;
//	                                 with die=hangs:N the disk hangs for a while at its Nth write
//	disk full | well                 the program can't write to files, or can again
//	rots N                           flips a bit of byte N of the first segment in its folder
//	again [KEY=VALUE ...]            starts the program again with the same folder and new connections
//	signal TERM | USR1 | STOP | CONT | KILL, exits, log TEXT ..., counts KEY=N ...
//	logged TEXT ...                  one log line contains all of these
type scenario struct {
	*node
	file    string
	line    int
	conns   map[string]net.Conn
	readers map[string]*bufio.Reader

	wallStep time.Duration
}

// Each scenario runs the program against fake clients, kernel, store and service discovery, step by step. It fails at
// the first step whose expectation is not met within testTimeout.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			if first, _, _ := strings.Cut(string(text), "\n"); !strings.HasPrefix(first, "# ") {
				t.Errorf("%s: first line = %q, want a comment that describes the scenario", f, first)
			}
			p := &scenario{file: f, conns: map[string]net.Conn{}, readers: map[string]*bufio.Reader{}}
			for i, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, " #")
				p.line = i + 1
				if w := splitWords(t, line); len(w) > 0 && w[0][0] != '#' {
					p.step(t, w)
				}
			}
		})
	}
}

// splitWords splits a line at spaces outside quotes and unquotes quoted parts.
func splitWords(t *testing.T, line string) (out []string) {
	for line = strings.TrimSpace(line); line != ""; line = strings.TrimSpace(line) {
		i := strings.IndexAny(line, " \"")
		switch {
		case i < 0:
			return append(out, line)
		case line[i] == ' ':
			out, line = append(out, line[:i]), line[i:]
			continue
		}
		q, err := strconv.QuotedPrefix(line[i:])
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		s, _ := strconv.Unquote(q)
		out, line = append(out, line[:i]+s), line[i+len(q):]
	}
	return out
}

// parsePairs parses words of the form KEY=VALUE.
func parsePairs(w []string) map[string]string {
	m := map[string]string{}
	for _, s := range w {
		k, v, _ := strings.Cut(s, "=")
		m[k] = v
	}
	return m
}

func (p *scenario) fatalf(format string, args ...any) {
	p.t.Helper()
	p.t.Fatalf("%s:%d: %s", p.file, p.line, fmt.Sprintf(format, args...))
}

func (p *scenario) step(t *testing.T, w []string) {
	if p.node == nil {
		set := map[string]string{}
		if w[0] == "node" {
			set = parsePairs(w[1:])
		}
		p.node = startNode(t, set)
		if w[0] == "node" {
			return
		}
	}
	if len(w) == 1 {
		w = append(w, "")
	}
	rest := strings.Join(w[2:], " ")
	switch w[0] {
	case "kernel":
		p.kernelStep(w[1], w[2:], rest)
	case "reload":
		text := ""
		for _, s := range w[1:] {
			if k, v, ok := strings.Cut(s, "="); ok {
				p.overrides[k] = v
			} else {
				text = s
			}
		}
		p.writeStartupFile(text)
		p.cmd.Process.Signal(syscall.SIGHUP)
	case "store":
		if w[1] == "writes" || w[1] == "resets" {
			p.store.writeTo(w[2], strings.Join(w[3:], " "))
			return
		}
		p.serverStep(p.store, w[1], rest, func() {
			out := wireID(w[2]) + " " + w[3]
			if w = append(w, ""); w[3] == "OK" {
				out += fmt.Sprintf(" %d\r\n%s", len(w[4]), w[4])
			}
			p.store.writeTo(w[2], out+"\r\n")
		})
	case "control":
		if w[1] == "gets" {
			want := "/v2/endpoints/n3 " + rest
			other := "/v2/endpoints/n3 " + map[string]string{"Ready": "NotReady", "NotReady": "Ready"}[rest]
			if line, ok := p.discovery.next(other); !ok || line != want {
				p.fatalf("service discovery received %q, want %q", line, want)
			}
			return
		}
		if w[1] == "writes" {
			p.discovery.write([]byte(w[2]))
			return
		}
		p.serverStep(p.discovery, w[1], rest, nil)
	case "signal":
		p.cmd.Process.Signal(map[string]os.Signal{"TERM": syscall.SIGTERM, "USR1": syscall.SIGUSR1,
			"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL}[w[1]])
	case "dies":
		select {
		case <-p.ended:
		case <-time.After(testTimeout):
			p.fatalf("program still running after %v", testTimeout)
		}
	case "disk":
		var lim unix.Rlimit
		err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &lim)
		if lim.Cur = 0; w[1] == "well" {
			lim.Cur = lim.Max
		}
		if err = errors.Join(err, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &lim, nil)); err != nil {
			p.fatalf("%v", err)
		}
	case "rots":
		segs, _ := filepath.Glob(filepath.Join(filepath.Dir(p.node.file), "*.seg"))
		n, _ := strconv.Atoi(w[1])
		raw, err := os.ReadFile(segs[0])
		if err != nil {
			p.fatalf("%v", err)
		}
		raw[n] ^= 4
		if err = os.WriteFile(segs[0], raw, 0o600); err != nil {
			p.fatalf("%v", err)
		}
	case "again":
		delete(p.overrides, "die")
		for _, s := range w[1:] {
			if k, v, ok := strings.Cut(s, "="); ok {
				p.overrides[k] = v
			}
		}
		p.conns, p.readers = map[string]net.Conn{}, map[string]*bufio.Reader{}
		p.kernel.mu.Lock()
		p.kernel.events = nil // event numbers start again
		p.kernel.mu.Unlock()
		p.writeStartupFile("")
		p.launch()
	case "wall":
		p.stepWall(w[1])
	case "after":
		ms, _ := strconv.Atoi(w[1])
		time.Sleep(time.Duration(ms) * time.Millisecond)
	case "exits":
		select {
		case <-p.ended:
			if p.err != nil {
				p.fatalf("program exited with %v, want success", p.err)
			}
		case <-time.After(testTimeout):
			p.fatalf("program still running after %v", testTimeout)
		}
	case "logged":
		if !p.waitForLog(w[1:]...) {
			p.fatalf("no log line contains all of %q", w[1:])
		}
	case "log", "counts":
		for _, want := range w[1:] {
			if w[0] == "counts" {
				want = " " + want + " "
			}
			if !p.waitForLog(want) {
				p.fatalf("not logged: %s", want)
			}
		}
	default:
		p.clientStep(w[0], w[1], w[2:])
	}
}

func (p *scenario) serverStep(s *fakeServer, verb, rest string, says func()) {
	switch verb {
	case "gets":
		if line, ok := s.next(""); !ok || line != rest {
			p.fatalf("received %q, want %q", line, rest)
		}
	case "says":
		says()
	case "cut":
		s.closeConns()
	case "down":
		s.stop()
	case "up":
		s.listen(s.addr)
	case "moves":
		s.move()
	case "mute", "talks":
		s.mu.Lock()
		s.unresponsive = verb == "mute"
		s.mu.Unlock()
	default:
		p.fatalf("unknown step %q", verb)
	}
}

func (p *scenario) kernelStep(verb string, w []string, rest string) {
	k := p.kernel
	locked := func(f func()) { k.mu.Lock(); f(); k.mu.Unlock() }
	text := ""
	if len(w) > 2 {
		text = w[2]
	}
	switch verb {
	case "gets":
		if line, ok := k.next("SYSINFO"); !ok || line != rest {
			p.fatalf("kernel received %q, want %q", line, rest)
		}
	case "heard":
		if !p.waitForKernelSync() {
			p.fatalf("program no longer requests the gauges")
		}
		if n := k.count(strings.Join(w[1:], " ")); fmt.Sprint(n) != w[0] {
			p.fatalf("kernel received %q %d times, want %s: %q", w[1:], n, w[0], k.lines)
		}
	case "says":
		k.sendEvent("REAP", w[0], w[1], text)
	case "asks":
		k.sendEvent("IOREQ", w[0], "", w[1])
	case "invalid":
		k.write([]byte(fmt.Sprintf("{\"verb\":\"EINVAL\",\"outcome\":%q,\"task\":%q}\n", w[1], wireID(w[0]))))
	case "writes":
		k.write([]byte(w[0]))
	case "gauges":
		locked(func() { k.coresWanted, k.connections = w[0], w[1] })
	case "talks":
		locked(func() { k.unresponsive, k.withholdEvents = false, false })
	case "silent":
		locked(func() { k.withholdEvents = true })
	case "hangs":
		locked(func() { k.stuckConn = k.newest })
	case "confirms":
		locked(func() { k.confirmsStops = true })
	case "crosses":
		e := append([]string{"REAP"}, append(w[1:], "", "")...)
		if w[0] == "asks" {
			e = []string{"IOREQ", w[1], "", w[2]}
		}
		locked(func() { k.crossing = append(k.crossing, e) })
	case "boots":
		locked(func() { k.bootDelayed = false })
		k.write([]byte("{\"verb\":\"BOOTED\",\"outcome\":\"COLD\",\"spent\":0}\n"))
	default:
		p.serverStep(k.fakeServer, verb, rest, nil)
	}
}

// stepWall sets the offset of the wall clock of the program and its clients.
func (p *scenario) stepWall(step string) {
	d, err := time.ParseDuration(step)
	if err == nil {
		err = os.WriteFile(p.stepFile()+".new", []byte(step), 0o600)
	}
	if err == nil { // atomically, as the program may be reading it
		err = os.Rename(p.stepFile()+".new", p.stepFile())
	}
	if err != nil {
		p.fatalf("%v", err)
	}
	p.wallStep = d
}

// unixMilliseconds returns a client's wall clock, with the scenario's offset or its own.
func (p *scenario) unixMilliseconds(ownStep string) int64 {
	step := p.wallStep
	if ownStep != "" {
		var err error
		if step, err = time.ParseDuration(ownStep); err != nil {
			p.fatalf("%v", err)
		}
	}
	return time.Now().Add(step).UnixMilli()
}

// isExpected reports whether a response matches the words of a step, or one of the alternatives separated by |.
func isExpected(a *http.Response, body string, words []string) bool {
	if i := slices.Index(words, "|"); i >= 0 {
		return isExpected(a, body, words[:i]) || isExpected(a, body, words[i+1:])
	}
	m := parsePairs(words)
	_, closes := m["close"]
	_, back := m["back"]
	_, final := m["final"]
	return fmt.Sprint(a.StatusCode) == words[0] && body == m["body"] && a.Close == closes &&
		back == (a.Header.Get("Back-Off-Ms") != "") &&
		(m["final"] == "any" || final == (a.Header.Get("Final-Refusal") == "1")) &&
		(m["hint"] == "any") == (a.Header.Get("Server-Hint") != "")
}

// clientStep runs a step of one client's connection.
func (p *scenario) clientStep(name, verb string, w []string) {
	if p.conns[name] == nil {
		p.conns[name] = p.dial()
		p.readers[name] = bufio.NewReader(p.conns[name])
	}
	c, r, m := p.conns[name], p.readers[name], parsePairs(w)
	_, again := m["again"]
	_, closes := m["close"]
	switch verb {
	case "sends":
		age, _ := strconv.Atoi(m["age"])
		text := fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: service.internal\r\nrequest-id: %s\r\n"+
			"Received-At: %d\r\nSent-By: 4\r\nFootprint-Kb: 24.5\r\n"+
			"Priority-Rank: 0.6250\r\nContent-Length: %d\r\n", w[0], wireID(w[1]),
			p.unixMilliseconds(m["wall"])-int64(age), len(m["body"]))
		for field, on := range map[string]string{"Once-Key: " + m["key"]: m["key"],
			"Resource-Key: " + m["about"]: m["about"],
			"Account: " + m["account"]:    m["account"], "Budget-Ms: " + m["budget"]: m["budget"],
			"Attempt-Again: 1":  fmt.Sprint(map[bool]string{true: "1"}[again]),
			"Connection: close": fmt.Sprint(map[bool]string{true: "1"}[closes])} {
			if on != "" {
				text += field + "\r\n"
			}
		}
		text += "\r\n" + m["body"]
		n := len(text)
		if m["split"] != "" {
			n, _ = strconv.Atoi(m["split"])
		}
		for ; text != ""; text = text[min(n, len(text)):] {
			if _, err := io.WriteString(c, text[:min(n, len(text))]); err != nil {
				p.fatalf("%v", err)
			}
		}
	case "raw":
		io.WriteString(c, w[0])
	case "floods":
		n, _ := strconv.Atoi(w[0])
		c.Write(bytes.Repeat([]byte("x"), n))
	case "gets":
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			p.fatalf("%v", err)
		}
		body, err := io.ReadAll(a.Body)
		if err != nil || !isExpected(a, string(body), w) {
			p.fatalf("client %s: response %v %v %q, %v, want %q", name, a.Status, a.Header, body, err, w)
		}
	case "checks":
		io.WriteString(c, "GET /health HTTP/1.1\r\nHost: service.internal\r\n\r\n")
		p.clientStep(name, "gets", w)
	case "ends":
		if b, err := io.ReadAll(r); err != nil || len(b) > 0 {
			p.fatalf("client %s read %q, %v, want the end of the stream", name, b, err)
		}
	case "closes":
		c.Close()
	case "resets":
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	case "halves":
		c.(*net.TCPConn).CloseWrite()
	default:
		p.fatalf("unknown step %q", verb)
	}
}
