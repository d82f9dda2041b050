package server

// Test helpers: the program, built once and started on free ports with the fakes of fakes_test.go, which
// implement the protocol independently of the code under test. Every wait is bounded by testTimeout.

import (
	"bufio"
	"fmt"
	"net"
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
