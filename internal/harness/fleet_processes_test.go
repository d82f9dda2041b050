package harness

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// buildPrograms builds umberctl and the node's program once, side by side.
var buildPrograms = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lab-programs-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "umberwinch/cmd/umberctl",
		"umberwinch/cmd/umberwinch").CombinedOutput()
	if err != nil {
		os.Stderr.Write(out)
	}
	return filepath.Join(dir, "umberctl"), err
})

func builtProgram(t *testing.T) string {
	t.Helper()
	p, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestMain(m *testing.M) {
	flag.Parse()
	// Fleets at once: three on four cores, as one takes some 0.6 of a core. With six busy loops beside them on the same
	// four cores three fleets keep all, and four are swamped.
	flag.Set("test.parallel", fmt.Sprint(min(5, max(3, runtime.NumCPU()-1))))
	// Runs that break a promise leave their logs, and here many are meant to; they stay where a test fails.
	dir, err := os.MkdirTemp("", "harness-tests-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Setenv("TMPDIR", dir)
	code := m.Run()
	if code == 0 {
		os.RemoveAll(dir)
	}
	os.Exit(code)
}

// TestPolicyCasesOnProcesses plays every hard case on processes, then changes under load that no caller may notice, in three
// fleets side by side.
func TestPolicyCasesOnProcesses(t *testing.T) {
	t.Parallel()
	const parts = 3
	cases := 0
	for _, c := range policyCases {
		if !c.long {
			cases++
		}
	}
	for part := 0; part < parts; part++ {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			rep, err := (&PolicyTest{Seed: int64(3 + part), Quick: true, Mode: "real", Changes: 3, Part: part,
				Parts: parts, Program: builtProgram(t)}).Run(context.Background(), &out)
			if err != nil || rep.Broken != "" {
				t.Fatalf("%v\n%s", err, out.String())
			}
			if strings.Count(out.String(), " kept, ") < cases/parts ||
				!strings.Contains(out.String(), "real_changes=3 ") {
				t.Fatalf("last line of\n%s", out.String())
			}
		})
	}
}

// TestPolicyCasesFailWithoutGuard takes out each guard: the case that needs it breaks. Each guard that a command takes has
// to have a case here.
func TestPolicyCasesFailWithoutGuard(t *testing.T) {
	t.Parallel()
	cases := map[string]string{"fence": "stopped past its lease and continued",
		"shadow": "a version that would shed everything", "prepare-all": "a node never answers",
		"lease":       "killed between the decision and being told",
		"decide-once": "called off before it is decided, and not after",
		"incarnation": "its next incarnation hears nothing",
		"no-way-back": "an instance that is behind speaks to a node that starts"}
	for _, guard := range policy.GuardNames() {
		if !slices.Contains(PolicyCases(), cases[guard]) {
			t.Errorf("guard %s: no case shows what breaks without it, found %q", guard, cases[guard])
		}
	}
	for guard, only := range cases {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			expectViolationWithout(t, guard, only, func(seed int64, w io.Writer) (*report.Report, error) {
				return (&PolicyTest{Seed: seed, Quick: true, Mode: "real", ProcessGuards: guard, Only: only, Size: 6,
					Program: builtProgram(t)}).Run(context.Background(), w)
			})
		})
	}
}

// expectViolationWithout plays a case on processes with a guard out. They go at the machine's pace, so it is played three times
// at most: a promise has to break in one.
func expectViolationWithout(t *testing.T, guard, only string, run func(seed int64, w io.Writer) (*report.Report, error)) {
	t.Helper()
	var out bytes.Buffer
	for seed := int64(21); seed < 24; seed++ {
		rep, err := run(seed, &out)
		if err != nil {
			t.Fatalf("without %s: %v\n%s", guard, err, out.String())
		}
		if rep.Broken != "" {
			t.Log(rep.Broken)
			return
		}
	}
	t.Errorf("without %s no promise broke in %q\n%s", guard, only, out.String())
}

// TestFleetServesWithoutGroup: under go-on a fleet serves on when the group is gone, also a node that starts then; a change made
// with a node cut off is called off, and made once that node is forgotten.
func TestFleetServesWithoutGroup(t *testing.T) {
	t.Parallel()
	p := &PolicyTest{Seed: 5, Size: 6, Program: builtProgram(t)}
	b, err := p.startFixture(context.Background(), t.TempDir(), "go-on")
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	check := func(what string, err error) {
		t.Helper()
		if err != nil {
			t.Fatalf("%s: %v\n%s", what, err, b.logTail("n1", 8))
		}
	}
	// A node cut off goes on, so a change waits for it and is called off.
	b.partitionFromGroup(b.nodes[0])
	check("the silence of a node", b.await(20*time.Second, func() error {
		all, err := b.Nodes()
		if err == nil && all["n1"].OutReason == "" {
			err = os.ErrDeadlineExceeded
		}
		return err
	}))
	number, _, err := b.Propose(b.text(""), policyProposal(2000))
	check("a change", err)
	c, err := b.AwaitStep(number, 20*time.Second, "called off", "settled")
	check("its end", err)
	if c.Step != "called off" || !strings.Contains(c.AbortReason, "n1 (is silent and may serve alone") {
		t.Fatalf("change %+v, expected it called off for n1", c)
	}
	if code, _, _ := b.sendOne("n1"); code != 200 {
		t.Errorf("the node that is cut off answers %d, expected that it serves", code)
	}
	// Killed and forgotten, it is waited for no more.
	b.nodes[0].Kill()
	var out map[string]string
	_, err = b.requestAny("POST", "/v1/nodes/forget", map[string]string{"name": "n1"}, &out)
	check("forgetting", err)
	b.extraText = "[zones]\ndecide = auto\nfirst = 0.125\nhold = 500ms\nsmall_start = yes\n"
	number, version, err := b.Propose(b.text(""), policyProposal(10000))
	check("a change", err)
	_, err = b.awaitSettled(number, version)
	check("a change without the node that was forgotten", err)
	// The group goes; all serve on, and one that starts now serves its last version.
	for _, p := range b.group.instances {
		b.group.kill(p)
	}
	b.nodes[1].Kill()
	check("a start without the group", b.nodes[1].Start())
	time.Sleep(2 * b.lease)
	check("service without the group", b.await(20*time.Second, func() error {
		for _, n := range b.nodes[1:] {
			if code, _, err := b.sendOne(n.name); code != 200 {
				return err
			}
		}
		return nil
	}))
	if !strings.Contains(b.logTail("n2", 20), `"msg":"node serves autonomously, without the group","policy_version":`) {
		t.Errorf("n2 does not say that it is alone:\n%s", b.logTail("n2", 8))
	}
	if !strings.Contains(b.logTail("n2", 20),
		`"msg":"cold start without the group: serving begins with a quota","share":32,`) {
		t.Errorf("n2 starts without the group and does not begin small:\n%s", b.logTail("n2", 8))
	}
	for _, p := range b.group.instances {
		check("the group's start", b.group.start(p, ""))
	}
	b.heal()
	check("the fleet with the group", b.AwaitAllServing(version, 30*time.Second))
	if _, err = b.Check(simulation.FleetPromises{}); err != nil {
		t.Error(err)
	}
}

// TestLocalFleetRestartsKilledProcesses: what README shows runs, starts again what is killed, and ends clean.
func TestLocalFleetRestartsKilledProcesses(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out, result, done := &lockedBuffer{}, make(chan error, 1), make(chan struct{})
	dir := t.TempDir()
	go func() {
		defer close(done)
		result <- (&LocalFleet{Program: builtProgram(t), Dir: dir, Instances: 3, Nodes: 3, Rate: 50}).Run(ctx, out)
	}()
	t.Cleanup(func() { cancel(); <-done }) // nothing is left behind where the test fails
	pid := 0
	waitFor := func(what string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(40 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
			select {
			case err := <-result:
				t.Fatalf("%s: it ended: %v\n%s", what, err, out.String())
			default:
			}
			if time.Now().After(end) {
				t.Fatalf("%s: not within 40 s\n%s", what, out.String())
			}
		}
	}
	waitFor("the fleet", func() bool { return strings.Contains(out.String(), "Ctrl-C ends all") })
	pid = pidOf(t, out.String(), "node n1 ")
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(pidOf(t, out.String(), "control b "), syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	countLines := func(log, line string) int {
		raw, _ := os.ReadFile(filepath.Join(dir, log))
		return strings.Count(string(raw), line)
	}
	servingLine := `"msg":"node serves","policy_version":1,`
	waitFor("the node's second start", func() bool { return countLines("n1.log", servingLine) >= 1 })
	waitFor("the instance's second start", func() bool { return countLines("instances.log", "instance is up") >= 4 })
	cancel()
	if err := <-result; err != nil {
		t.Error(err)
	}
	if err := syscall.Kill(pid, 0); err == nil {
		t.Error("a node's process is left behind")
	}
}

// lockedBuffer is a buffer that one goroutine writes and another reads.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func pidOf(t *testing.T, out, label string) (pid int) {
	t.Helper()
	_, rest, ok := strings.Cut(out, label)
	_, rest, hasPID := strings.Cut(rest, "pid ")
	if _, err := fmt.Sscan(rest, &pid); !ok || !hasPID || err != nil {
		t.Fatalf("no pid of %q in\n%s", label, out)
	}
	return pid
}

func policyProposal(within uint64) policy.Proposal { return policy.Proposal{PrepareWithinMS: within} }

// TestRejectedCallersBackOff: callers that are turned away by all ask on ever more slowly, so that a fleet that is down stays
// able to come up; eager ones go on at once.
func TestRejectedCallersBackOff(t *testing.T) {
	overloaded := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer overloaded.Close()
	s, err := simulation.ReadScenario("fleet", fleetScenario)
	if err != nil {
		t.Fatal(err)
	}
	s.Classes[0].Handler.Timeout = 10_000 // a second: three at once, then after 30, 90, 210, 450 and 930 ms
	for _, immediate := range []bool{false, true} {
		r := &FleetProcesses{FleetProcessesConfig: FleetProcessesConfig{RetryImmediately: immediate},
			readiness: &readiness{readyAt: map[string]time.Time{"n1": time.Now()}}, client: overloaded.Client()}
		r.nodes = []*nodeProcess{{name: "n1", callerAddr: strings.TrimPrefix(overloaded.URL, "http://")}}
		c := &CallResults{}
		r.sendRequest(c, &s.Classes[0], false, 0, 0)
		if c.Shed != 1 || immediate != (c.Attempts > 8) || c.Attempts < 4 {
			t.Errorf("eager %v: %v", immediate, c)
		}
	}
}
