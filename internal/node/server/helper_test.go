package server

// Test helpers: the program, built once and started on free ports, and fakes of the kernel, the store and service
// discovery that implement the protocol independently of the code under test. Every wait is bounded by testTimeout.

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// testTimeout is the maximum time of any wait.
const testTimeout = 5 * time.Second

var (
	program     string
	buildDir    string
	steppedOnce sync.Once
	steppedErr  error
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "umberwinch")
	if err == nil {
		buildDir, program = dir, filepath.Join(dir, "umberwinch")
		err = buildProgram(program)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func buildProgram(file string, flags ...string) error {
	const strict = "-X umberwinch/internal/node/server.wrongTransitionEndsProgram=yes"
	args := append([]string{"build", "-o", file, "-ldflags", strict}, flags...)
	out, err := exec.Command("go", append(args, "umberwinch/cmd/umberwinch")...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// steppedProgram returns a build of the program whose wall clock tests can step.
func steppedProgram(t testing.TB) string {
	file := filepath.Join(buildDir, "umberwinch-stepped")
	steppedOnce.Do(func() { steppedErr = buildProgram(file, "-tags", "steppedclock") })
	if steppedErr != nil {
		t.Fatal(steppedErr)
	}
	return file
}

// lineRecorder records the lines that a fake or the log receives, in order.
type lineRecorder struct {
	mu       sync.Mutex
	cond     *sync.Cond
	lines    []string
	nextLine int
}

func newLineRecorder() *lineRecorder {
	r := &lineRecorder{}
	r.cond = sync.NewCond(&r.mu)
	return r
}

func (r *lineRecorder) add(line string) {
	r.mu.Lock()
	r.lines = append(r.lines, line)
	r.cond.Broadcast()
	r.mu.Unlock()
}

// waitFor waits until ok returns true, at most testTimeout; ok is called with mu held.
func (r *lineRecorder) waitFor(ok func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := time.Now().Add(testTimeout)
	t := time.AfterFunc(testTimeout, r.cond.Broadcast)
	defer t.Stop()
	for !ok() {
		if !time.Now().Before(end) {
			return false
		}
		r.cond.Wait()
	}
	return true
}

// next returns the next line other than skipped; ok is false if none comes within testTimeout.
func (r *lineRecorder) next(skipped string) (line string, ok bool) {
	ok = r.waitFor(func() bool {
		for ; r.nextLine < len(r.lines); r.nextLine++ {
			if r.lines[r.nextLine] != skipped {
				line = r.lines[r.nextLine]
				r.nextLine++
				return true
			}
		}
		return false
	})
	return line, ok
}

func (r *lineRecorder) count(prefix string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.countLocked(prefix)
}

// countLocked is count for callers that hold mu, as in waitFor.
func (r *lineRecorder) countLocked(prefix string) (n int) {
	for _, l := range r.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

// fakeServer is a fake peer that the node connects to.
type fakeServer struct {
	*lineRecorder
	t             testing.TB
	ln            net.Listener
	addr          string
	mu            sync.Mutex
	newest        net.Conn // the newest connection
	conns         []net.Conn
	connByRequest map[string]net.Conn // store: connection of the last call by request id; id' is the one before
	serveConn     func(net.Conn, *bufio.Reader)
	unresponsive  bool // requests are recorded but not answered
}

func newFakeServer(t testing.TB, serveConn func(net.Conn, *bufio.Reader)) *fakeServer {
	s := &fakeServer{lineRecorder: newLineRecorder(), t: t, serveConn: serveConn, connByRequest: map[string]net.Conn{}}
	return s
}

// start listens; state used by serveConn has to be set before.
func (s *fakeServer) start() {
	s.listen("127.0.0.1:0")
	s.t.Cleanup(s.stop)
}

func (s *fakeServer) listen(addr string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.ln, s.addr = ln, ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.newest, s.conns = c, append(s.conns, c)
			s.mu.Unlock()
			go s.serveConn(c, bufio.NewReader(c))
		}
	}()
}

func (s *fakeServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
}

// move listens at another address; open connections stay open.
func (s *fakeServer) move() {
	s.ln.Close()
	s.listen("127.0.0.1:0")
}

func (s *fakeServer) stop() {
	s.ln.Close()
	s.closeConns()
}

// writeTo writes to the connection of a request's last call; empty text resets it.
func (s *fakeServer) writeTo(id, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.connByRequest[id]
	if c == nil {
		s.t.Fatalf("no call received for request %s", id)
	}
	if text == "" {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return
	}
	io.WriteString(c, text)
}

func (s *fakeServer) write(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.newest != nil {
		s.newest.Write(b)
	}
}

// fakeKernel is the fake kernel. It sends events only as the test asks, keeps them for replay on new links, and answers
// OPEN and SYSINFO by itself.
type fakeKernel struct {
	*fakeServer
	events                   [][]byte
	coresWanted, connections string     // values of the gauges
	bootDelayed              bool       // BOOTED is delayed until the test sends it
	withholdEvents           bool       // events are kept but not sent, as if the link broke first
	confirmsStops            bool       // each PREEMPT is confirmed at once, and no SYSINFO is answered after it
	stuckConn                net.Conn   // no SYSINFO on it is answered
	crossing                 [][]string // events sent behind the first gauges of the next link: verb, id, outcome, text
	crossingArmed            bool       // that link is open
}

func newFakeKernel(t testing.TB) *fakeKernel {
	k := &fakeKernel{coresWanted: "1", connections: "3"}
	k.fakeServer = newFakeServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadBytes('\n')
			if err != nil {
				return
			}
			var m struct {
				Verb, Task, Handler, Nonce string
				Bytes                      []byte
				Index                      int
			}
			if err := json.Unmarshal(line, &m); err != nil {
				t.Errorf("kernel: invalid command %q: %v", line, err)
				c.Close()
				return
			}
			switch m.Verb {
			case "OPEN":
				k.add(fmt.Sprintf("OPEN %d", m.Index))
				k.mu.Lock()
				if !k.bootDelayed {
					fmt.Fprintf(c, "{\"verb\":\"BOOTED\",\"outcome\":\"WARM\",\"spent\":1000}\n")
					for _, n := range k.events[min(m.Index, len(k.events)):] {
						c.Write(n)
					}
				}
				k.crossingArmed = len(k.crossing) > 0
				k.mu.Unlock()
			case "SYSINFO":
				k.mu.Lock()
				if !k.unresponsive && c != k.stuckConn {
					fmt.Fprintf(c, "{\"verb\":\"INFO\",\"nonce\":%q,\"readings\":[0.5,%s,0.1,%s]}\n",
						m.Nonce, k.coresWanted, k.connections)
					k.sendCrossing()
				}
				k.mu.Unlock()
				k.add("SYSINFO")
			default:
				line := m.Verb + " " + testID(m.Task)
				if m.Handler != "" {
					line += " " + m.Handler
				}
				if m.Index > 0 {
					line += fmt.Sprint(" ", m.Index)
				}
				if len(m.Bytes) > 0 {
					line += " " + string(m.Bytes)
				}
				if m.Verb == "PREEMPT" {
					k.confirmStop(testID(m.Task))
				}
				k.add(line)
			}
		}
	})
	k.start()
	return k
}

// confirmStop sends the event that confirms a stop, if the kernel confirms stops. It then answers no SYSINFO, so that
// the node's next commands stay unacknowledged.
func (k *fakeKernel) confirmStop(task string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.confirmsStops {
		k.sendEventLocked("REAP", task, "STOPPED", "")
		k.unresponsive = true
	}
}

// sendCrossing sends the events that cross the end of a replay: the node's commands after it are not read yet.
func (k *fakeKernel) sendCrossing() {
	if !k.crossingArmed {
		return
	}
	for _, e := range k.crossing {
		k.sendEventLocked(e[0], e[1], e[2], e[3])
	}
	k.crossing, k.crossingArmed = nil, false
}

// sendEvent numbers, keeps and sends a kernel event.
func (k *fakeKernel) sendEvent(verb, task, outcome, body string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sendEventLocked(verb, task, outcome, body)
}

func (k *fakeKernel) sendEventLocked(verb, task, outcome, body string) {
	n := fmt.Sprintf("{\"verb\":%q,\"index\":%d,\"task\":%q,\"outcome\":%q,\"spent\":12.5,\"bytes\":%q}\n", verb,
		len(k.events)+1, wireID(task), outcome, base64.StdEncoding.EncodeToString([]byte(body)))
	k.events = append(k.events, []byte(n))
	if k.newest != nil && !k.withholdEvents {
		k.newest.Write([]byte(n))
	}
}

// newFakeStore returns a fake store.
func newFakeStore(t testing.TB) *fakeServer {
	var s *fakeServer
	s = newFakeServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			w := strings.Fields(line)
			switch {
			case len(w) == 4 && w[0] == "CALL":
				var wait, n int
				fmt.Sscan(w[2], &wait)
				fmt.Sscan(w[3], &n)
				body := make([]byte, n+2)
				if _, err := io.ReadFull(r, body); err != nil || !bytes.HasSuffix(body, []byte("\r\n")) || wait < 1 {
					t.Errorf("store: invalid call %q with body %q: %v", line, body, err)
				}
				s.mu.Lock()
				s.connByRequest[testID(w[1])+"'"] = s.connByRequest[testID(w[1])]
				s.connByRequest[testID(w[1])] = c
				s.mu.Unlock()
				s.add("CALL " + testID(w[1]) + " " + string(body[:n]))
			case len(w) == 2 && w[0] == "DROP":
				s.add("DROP " + testID(w[1]))
			default:
				t.Errorf("store: unknown command %q", line)
			}
		}
	})
	s.start()
	return s
}

// newFakeDiscovery returns a fake service discovery.
func newFakeDiscovery(t testing.TB) *fakeServer {
	var s *fakeServer
	s = newFakeServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			var m struct{ Condition string }
			if err := json.NewDecoder(q.Body).Decode(&m); err != nil || q.Method != "PUT" {
				t.Errorf("service discovery: invalid report by %s: %v", q.Method, err)
			}
			s.mu.Lock()
			if !s.unresponsive {
				io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
			}
			s.mu.Unlock()
			s.add(q.URL.Path + " " + m.Condition)
		}
	})
	s.start()
	return s
}

// wireID pads the short id of a test to 16 hex digits, as on the wire.
func wireID(id string) string { return strings.Repeat("0", 16-len(id)) + id }

// testID is the inverse of wireID.
func testID(id string) string {
	if s := strings.TrimLeft(id, "0"); s != "" {
		return s
	}
	return "0"
}

// node is the program under test and its fakes.
type node struct {
	t            testing.TB
	addr         string
	kernel       *fakeKernel
	store        *fakeServer
	discovery    *fakeServer
	cmd          *exec.Cmd
	log          *lineRecorder
	ended        chan struct{}
	err          error
	file         string
	operatorFile string // path of the operator's file; empty: none
	overrides    map[string]string
}

func (n *node) writeOperatorFile(text string) {
	if err := os.WriteFile(n.operatorFile, []byte(text), 0o600); err != nil {
		n.t.Fatal(err)
	}
}

const familyInfo = `"family_info":{"below":"tier","cancel_seen":true,"cores":2,"degraded_worth":[0.5,0,0],
 "fresh":%s,"idle":30000000,"key_kb":10,"memory_kb":50000,
 "meters":["core_use","on_cores","heap_share","links"],
 "preemption":"%s","run_factor":2,"say":"%s","senders":2}`

const classes = `"classes":[
 {"name":"get","gain":1,"give_up":GIVEUP,"promise":PROMISE,"semantics":"idempotent"},
 {"name":"put","gain":2,"give_up":GIVEUP,"promise":PROMISE,"semantics":"deduplicated","window":WINDOW},
 {"name":"act","gain":2,"give_up":GIVEUP,"promise":PROMISE,"semantics":"at_most_once"}]`

// startNode starts the program; overrides replaces defaults of the start-up file and the environment (stop_ms, sockets,
// store=none and so on).
func startNode(t testing.TB, overrides map[string]string) *node {
	return startNodeWith(t, overrides, newFakeKernel(t), newFakeStore(t))
}

// startNodeWith starts the program with this kernel and store.
func startNodeWith(t testing.TB, overrides map[string]string, kernel *fakeKernel, store *fakeServer) *node {
	n := &node{t: t, overrides: overrides, kernel: kernel, store: store, discovery: newFakeDiscovery(t)}
	n.kernel.bootDelayed = overrides["kernel"] == "late"
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n.addr = ln.Addr().String()
	ln.Close()
	n.file = filepath.Join(t.TempDir(), "config.json")
	n.writeStartupFile("")
	if own := overrides["own"]; own != "" { // the operator's file
		n.operatorFile = filepath.Join(filepath.Dir(n.file), "node.ini")
		n.writeOperatorFile(strings.ReplaceAll(own, "DIR", filepath.Dir(n.file)))
	}
	n.launch()
	return n
}

// launch starts the program with its current files, also again after it ended.
func (n *node) launch() {
	t := n.t
	file := program
	if n.overrides["clock"] == "stepped" {
		file = steppedProgram(t)
	}
	n.cmd, n.log, n.ended = exec.Command(file), newLineRecorder(), make(chan struct{})
	n.cmd.Env = append(os.Environ(), "NODE_CONFIG="+n.file, "UMBERWINCH_LOG=debug",
		"UMBERWINCH_DIE_AT="+n.overrides["die"], "UMBERWINCH_WALL_STEP="+n.stepFile())
	if n.operatorFile != "" {
		n.cmd.Env = append(n.cmd.Env, "UMBERWINCH_FILE="+n.operatorFile)
	}
	out, err := n.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd, log, ended := n.cmd, n.log, n.ended
	go func() {
		for r := bufio.NewScanner(out); r.Scan(); {
			log.add(r.Text())
		}
		n.err = cmd.Wait()
		close(ended)
	}()
	t.Cleanup(func() {
		cmd.Process.Kill()
		<-ended
		if t.Failed() {
			t.Logf("log:\n%s", strings.Join(log.lines, "\n"))
		}
	})
	if !n.kernel.bootDelayed && !n.waitForLog(`msg="kernel is up" `) {
		t.Fatal("not logged: kernel is up")
	}
}

// stepFile is the path of the file with the wall clock's offset from the true time.
func (n *node) stepFile() string { return filepath.Join(filepath.Dir(n.file), "step") }

// writeStartupFile writes the start-up file; a non-empty content replaces the default one.
func (n *node) writeStartupFile(content string) {
	get := func(key, defaultValue string) string {
		if v, ok := n.overrides[key]; ok {
			return v
		}
		return defaultValue
	}
	store := n.store.addr
	if get("store", "") == "none" {
		store = ""
	}
	text := fmt.Sprintf(`{"name":"n3","listen":%q,"kernel":%q,"control":%q,"store":%q,"seed":"1","stop_ms":%s,
 "limits":{"cores":%s,"memory_mb":%s,"sockets":%s},"settings":{`+
		strings.NewReplacer("GIVEUP", get("give_up", "6000000"), "WINDOW", get("window", "8000000"), "PROMISE",
			get("promise", "2000000")).Replace(classes)+`,`+familyInfo+`,
 "customers":[{"name":"home","quota_per_s":5},{"name":"acme","quota_per_s":5}],
 "fleet_size":2,"granularity":2000,"invariants":{"drain_grace":500000,"fall_multiple":5},
 "limits":{"max_retry_after":1000000,"retry_after":true}}}`, n.addr, n.kernel.addr, n.discovery.addr, store,
		get("stop_ms", "3000"), get("cores", "1"), get("memory_mb", "64"), get("sockets", "256"), get("fresh", "0"),
		get("preemption", "pause"), get("say", "off"))
	if content != "" {
		text = content
	}
	err := os.WriteFile(n.file+".new", []byte(text), 0o600)
	if err == nil { // atomically, as the program may be reading it
		err = os.Rename(n.file+".new", n.file)
	}
	if err != nil {
		n.t.Fatal(err)
	}
}

// waitForLog waits for a log line that contains each of texts.
func (n *node) waitForLog(texts ...string) bool {
	return n.log.waitFor(func() bool {
		return slices.ContainsFunc(n.log.lines, func(line string) bool {
			return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line+" ", text) })
		})
	})
}

// dial opens a client connection, and retries while the program is starting.
func (n *node) dial() net.Conn {
	for end := time.Now().Add(testTimeout); ; {
		c, err := net.Dial("tcp", n.addr)
		if err == nil {
			c.SetDeadline(time.Now().Add(2 * testTimeout))
			n.t.Cleanup(func() { c.Close() })
			return c
		}
		select {
		case <-n.ended:
			n.t.Fatalf("the program ended: %v", n.err)
		case <-time.After(5 * time.Millisecond):
		}
		if time.Now().After(end) {
			n.t.Fatal(err)
		}
	}
}

// waitForKernelSync waits for further gauges requests, by which the loop has sent all its pending commands to the
// kernel. Half of them may follow such commands; the others are those of later wake-ups.
func (n *node) waitForKernelSync() bool {
	before := n.kernel.count("SYSINFO")
	return n.kernel.waitFor(func() bool { return n.kernel.countLocked("SYSINFO") >= before+6 })
}

// signal sends a signal and waits for its delivery, as two pending signals of a kind are merged.
func (n *node) signal(s syscall.Signal) {
	n.t.Helper()
	n.cmd.Process.Signal(s)
	pending := func() bool {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
		if err != nil {
			n.t.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(status), "ShdPnd:")
		var set uint64
		if _, err := fmt.Sscanf(rest, "%x", &set); err != nil {
			n.t.Fatalf("ShdPnd in /proc/PID/status: %v, want a hexadecimal signal set", err)
		}
		return set&(1<<(s-1)) != 0
	}
	if !waitUntil(func() bool { return !pending() }) {
		n.t.Fatalf("signal %v is not delivered", s)
	}
}

// waitUntil polls a condition for up to testTimeout and reports whether it became true.
func waitUntil(condition func() bool) bool {
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}
