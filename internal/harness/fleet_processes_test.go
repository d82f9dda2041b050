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

// buildPrograms builds umberctl and the node's program into one folder, once.
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
	// Limits the fleets that run in parallel: one takes about 0.6 of a core.
	flag.Set("test.parallel", fmt.Sprint(min(5, max(3, runtime.NumCPU()-1))))
	// Runs that find a violation keep their work folders, and many tests expect one. The folders are removed unless
	// a test fails.
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

// Every policy case passes on processes, and changes under load go unnoticed by callers. The cases are split over
// three fleets in parallel.
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
				t.Fatalf("want at least %d cases kept and real_changes=3 in\n%s", cases/parts, out.String())
			}
		})
	}
}

// With a guard disabled, the case that depends on it has to find a violation. Every guard that the command can
// disable needs a case.
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
			t.Errorf("guard %s: got case %q, want one of PolicyCases()", guard, cases[guard])
		}
	}
	for guard, only := range cases {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			expectViolationWithout(t, guard, only, func(seed int64, w io.Writer) (*report.Report, error) {
				return (&PolicyTest{Seed: seed, Quick: true, Mode: "real", DisabledProcessGuards: guard, Only: only,
					Size: 6, Program: builtProgram(t)}).Run(context.Background(), w)
			})
		})
	}
}

// expectViolationWithout runs a case on processes with a guard disabled, under three seeds at most, as processes run
// at the machine's pace: one of them has to find a violation.
func expectViolationWithout(t *testing.T, guard, only string,
	run func(seed int64, w io.Writer) (*report.Report, error)) {
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
	t.Errorf("without guard %s case %q found no violation, want one\n%s", guard, only, out.String())
}

// With when_alone = go-on, nodes serve without the group, also a node that starts then. A change waits for a node
// that is cut off, is aborted, and settles once that node is forgotten.
func TestFleetServesWithoutGroup(t *testing.T) {
	t.Parallel()
	p := &PolicyTest{Seed: 5, Size: 6, Program: builtProgram(t)}
	b, err := p.startFixture(context.Background(), t.TempDir(), "go-on")
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	check := func(step string, err error) {
		t.Helper()
		if err != nil {
			t.Fatalf("%s: %v\n%s", step, err, b.logTail("n1", 8))
		}
	}
	// A node that is cut off serves autonomously, so a change waits for it and is aborted.
	b.partitionFromGroup(b.nodes[0])
	check("node n1 silent", b.await(20*time.Second, func() error {
		all, err := b.Nodes()
		if err == nil && all["n1"].OutReason == "" {
			err = os.ErrDeadlineExceeded
		}
		return err
	}))
	number, _, err := b.Propose(b.text(""), policyProposal(2000))
	check("change", err)
	c, err := b.AwaitStep(number, 20*time.Second, "called off", "settled")
	check("end of the change", err)
	if c.Step != "called off" || !strings.Contains(c.AbortReason, "n1 (is silent and may serve alone") {
		t.Fatalf("got change %+v, want it called off for n1", c)
	}
	if code, _, _ := b.sendOne("n1"); code != 200 {
		t.Errorf("node n1, cut off from the group: status %d, want 200", code)
	}
	// A node that is killed and forgotten doesn't block a change.
	b.nodes[0].Kill()
	var out map[string]string
	_, err = b.requestAny("POST", "/v1/nodes/forget", map[string]string{"name": "n1"}, &out)
	check("forget n1", err)
	b.extraText = "[zones]\ndecide = auto\nfirst = 0.125\nhold = 500ms\nsmall_start = yes\n"
	number, version, err := b.Propose(b.text(""), policyProposal(10000))
	check("change", err)
	_, err = b.awaitSettled(number, version)
	check("change without the forgotten node", err)
	// Without the group all nodes serve, and a node that starts then serves its last version.
	for _, p := range b.group.instances {
		b.group.kill(p)
	}
	b.nodes[1].Kill()
	check("start of n2 without the group", b.nodes[1].Start())
	time.Sleep(2 * b.lease)
	check("serving without the group", b.await(20*time.Second, func() error {
		for _, n := range b.nodes[1:] {
			if code, _, err := b.sendOne(n.name); code != 200 {
				return err
			}
		}
		return nil
	}))
	if !strings.Contains(b.logTail("n2", 20), `"msg":"node serves autonomously, without the group","policy_version":`) {
		t.Errorf("n2 does not log that it serves autonomously:\n%s", b.logTail("n2", 8))
	}
	if !strings.Contains(b.logTail("n2", 20),
		`"msg":"cold start without the group: serving begins with a quota","share":32,`) {
		t.Errorf("n2 does not log a cold start with a quota of 32:\n%s", b.logTail("n2", 8))
	}
	for _, p := range b.group.instances {
		check("restart of the group", b.group.start(p, ""))
	}
	b.heal()
	check("serving with the group", b.AwaitAllServing(version, 30*time.Second))
	if _, err = b.Check(simulation.FleetInvariants{}); err != nil {
		t.Error(err)
	}
}

// The local fleet starts, restarts a killed node and a killed instance, and leaves no process behind when its
// context ends.
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
	t.Cleanup(func() { cancel(); <-done }) // no process is left behind if the test fails
	pid := 0
	waitFor := func(event string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(40 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
			select {
			case err := <-result:
				t.Fatalf("%s: Run() returned early: %v\n%s", event, err, out.String())
			default:
			}
			if time.Now().After(end) {
				t.Fatalf("%s: not within 40 s\n%s", event, out.String())
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
		t.Errorf("process %d of node n1 runs after Run() has returned", pid)
	}
}

// lockedBuffer is a buffer that is safe for concurrent use.
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

// Callers that every node rejects back off, so that they don't take the cores that a restarting fleet needs. With
// RetryImmediately they don't.
func TestRejectedCallersBackOff(t *testing.T) {
	overloaded := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer overloaded.Close()
	s, err := simulation.ReadScenario("fleet", fleetScenario)
	if err != nil {
		t.Fatal(err)
	}
	s.Classes[0].Handler.Timeout = 10_000 // 1 s: three attempts at once, then after 30, 90, 210, 450 and 930 ms
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
