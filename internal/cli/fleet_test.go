package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// output collects the output of a running command.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// startCommand starts a command that runs until the test ends. SIGTERM must then end it with status 0.
func startCommand(t *testing.T, args ...string) *output {
	t.Helper()
	o := &output{}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = o, o
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("umberctl %s: %v\n%s", strings.Join(args, " "), err, o)
		}
	})
	return o
}

// await waits until the output matches a pattern, and returns its last group, or the whole match if it has none.
func (o *output) await(t *testing.T, pattern string) string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	var found []string
	eventually(t, 40*time.Second, func() (string, bool) {
		found = re.FindStringSubmatch(o.String())
		return fmt.Sprintf("%q in\n%s", pattern, o), found != nil
	})
	return found[len(found)-1]
}

// eventually waits until a condition holds. After the timeout it fails the test with the condition's description.
func eventually(t *testing.T, within time.Duration, condition func() (what string, ok bool)) {
	t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		what, ok := condition()
		if ok {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not met within %v: %s", within, what)
		}
	}
}

func killProcess(t *testing.T, pid string) {
	t.Helper()
	n, err := strconv.Atoi(pid)
	if err == nil {
		err = syscall.Kill(n, syscall.SIGKILL)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Ports of a local group: three for clients, and three lower by a hundred for peers.
const (
	portsPerGroup      = 3
	testPeerPortOffset = 100
	portBlock          = 2 * testPeerPortOffset // the lower half is for peers
	maxPort            = 30000
	firstPort          = 17201
	pidSpread          = 500 // test processes that run at the same time use different ranges of ports
	portsPerPID        = 20
)

// portGroupsTried counts the port groups that reservePorts has handed out or found in use. A reserved port is not
// listened on immediately, so a free port may be reserved already.
var portGroupsTried atomic.Int32

// reservePorts returns the first client port of a local group whose client and peer ports are free and not reserved.
func reservePorts(t *testing.T) int {
	t.Helper()
	for {
		n := int(portGroupsTried.Add(1)) - 1
		perBlock := testPeerPortOffset / portsPerGroup
		block := firstPort + os.Getpid()%pidSpread*portsPerPID + n/perBlock*portBlock
		port := block + testPeerPortOffset + n%perBlock*portsPerGroup
		if port+portsPerGroup > maxPort {
			t.Fatal("no free ports")
		}
		if portsAreFree(port) {
			return port
		}
	}
}

// portsAreFree reports whether nothing listens on the ports of a group. No process starts meanwhile: it would inherit a
// listener, and so keep the port in use, until it executes its program.
func portsAreFree(port int) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for i := range portsPerGroup {
		for _, p := range []int{port + i, port - testPeerPortOffset + i} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// If a port were reserved twice, one of two groups that tests run in parallel would fail to listen on it.
func TestReservedPortsAreDistinct(t *testing.T) {
	t.Parallel()
	given := map[int]bool{}
	for range 2 * testPeerPortOffset / portsPerGroup {
		port := reservePorts(t)
		for i := range portsPerGroup {
			for _, p := range []int{port + i, port - testPeerPortOffset + i} {
				if given[p] {
					t.Fatalf("port %d was reserved twice", p)
				}
				given[p] = true
			}
		}
	}
}

// Ports that were found free stay free while processes start. Guards against "address already in use" when a test listens
// on a port that it has reserved.
func TestFreePortsStayFreeWhileProcessesStart(t *testing.T) {
	t.Parallel()
	const starters, checks = 4, 500
	port, stop := reservePorts(t), make(chan struct{})
	var wg sync.WaitGroup
	for range starters {
		wg.Go(func() { startProcesses(t, stop) })
	}
	for i := range checks {
		if !portsAreFree(port) {
			t.Errorf("the ports of the group at %d are in use at check %d of %d, want them free", port, i+1, checks)
			break
		}
	}
	close(stop)
	wg.Wait()
}

// startProcesses starts short processes until stop is closed.
func startProcesses(t *testing.T, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if err := exec.Command("true").Run(); err != nil {
			t.Error(err)
			return
		}
	}
}

// A local group must commit a write while one of its instances is down, and the restarted instance must have it.
func TestLocalGroupRestartsKilledInstance(t *testing.T) {
	t.Parallel()
	dir, port := t.TempDir(), reservePorts(t)
	o := startCommand(t, "control", "local", "--dir", filepath.Join(dir, "group"), "--port", strconv.Itoa(port))
	at := "--at=" + o.await(t, `control status --at (\S+)`)
	killProcess(t, o.await(t, `instance b: pid (\d+)`))
	expect(t, 0, "taken: version 1", "config", "put", writeFile(t, dir, "one.ini", "[tenant t]\nrate = 1\n"), at)
	o.await(t, `instance b exited`)
	o.await(t, `restarted instance b, pid (\d+)`)
	b := fmt.Sprintf("--at=127.0.0.1:%d", port+1)
	eventually(t, 20*time.Second, func() (string, bool) {
		out, _, code := runCommand(t, "config", "get", b, "--within", "1s")
		return "version 1 at the restarted instance", code == 0 && strings.Contains(out, "rate = 1")
	})
}

// Operates a fleet of three nodes: a change settles, invalid ones are refused, an exclusive change settles although a
// node is killed, and a live node that is forgotten joins again. All nodes must end at the last version.
func TestPolicyChangesOfLocalFleet(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	o := startCommand(t, "fleet", "local", "--dir", filepath.Join(dir, "fleet"), "--nodes", "3", "--rate", "20")
	at := "--at=" + o.await(t, `nodes list --at (\S+)`)
	o.await(t, `Ctrl-C ends all`)
	writePolicy := func(n int, more string) string {
		return writeFile(t, dir, fmt.Sprintf("p%d.ini", n),
			fmt.Sprintf("[fleet]\nlease = 2s\nwhen_alone = fence\n[tenant t0]\n"+
				"rate = %d\n%s", n, more))
	}
	expect(t, 0, "no change in progress", "policy", "status", at)
	expect(t, 0, "3 of 3 in, 0 silent, 0 left, 0 fenced\nfleet       full share", "fleet", "status", at)
	expect(t, 3, "no change is in progress", "policy", "call-off", at)
	expect(t, 0, "settled: nobody can serve under an older one", "policy", "propose", writePolicy(2, ""), at,
		"--reason", "more")
	expect(t, 0, "version 2 committed, 2 decided; 3 of 3 nodes in; lease 2s, when_alone fence", "policy", "status", at)
	expect(t, 3, "class other: found it in the policy", "policy", "propose",
		writePolicy(3, "[class other]\nkind = replayable\n"), at)
	expect(t, 3, "was called off: refused by", "policy", "propose", "3", at)
	expect(t, 3, "version 2, expected one after 2", "policy", "propose", "2", at)
	expect(t, 2, "within_ms: found 1, expected 1000", "policy", "propose", "2", "--prepare", "1ms", at)
	expect(t, 0, "called off", "policy", "history", at)
	expect(t, 0, "proposed by", "policy", "explain", "2", at)
	expect(t, 2, "found no change 99", "policy", "explain", "99", at)
	var v consensus.PolicyView
	if err := json.Unmarshal([]byte(expect(t, 0, "", "policy", "status", "--json", at)), &v); err != nil ||
		v.CommittedVersion != 2 || len(v.History) != 4 || v.History[1].Step != policy.Settled {
		t.Errorf("policy status = %+v (%v), want version 2 committed and 4 changes, the second settled", v, err)
	}
	out := expect(t, 0, "n3    z3    serves  2", "nodes", "list", at)
	if strings.Count(out, "\n") != 4 {
		t.Errorf("nodes list printed\n%s, want a heading and three nodes", out)
	}
	address := o.await(t, `node n1 of z1  pid \d+  at (\S+)`)
	row := regexp.MustCompile(`(?m)^address +` + regexp.QuoteMeta(address) + `$`)
	if out := expect(t, 0, "", "nodes", "show", "n1", at); !row.MatchString(out) {
		t.Errorf("nodes show n1 printed\n%s, want the row address with %s", out, address)
	}
	expect(t, 2, `found no node "n9"`, "nodes", "show", "n9", at)
	expect(t, 3, `found no node "n9"`, "nodes", "forget", "n9", at)
	killProcess(t, o.await(t, `node n2 of z2  pid (\d+)`))
	expect(t, 0, "settled", "policy", "propose", writePolicy(4, ""), "--exclusive", at) // n2 is down or restarting
	expect(t, 0, "forgot node n1", "nodes", "forget", "n1", at)                         // n1 runs and joins again
	eventually(t, 20*time.Second, func() (string, bool) {
		out, _, _ := runCommand(t, "nodes", "list", at)
		return "three nodes serving under version 4 in\n" + out, strings.Count(out, " serves  4 ") == 3
	})
}

// fleet status must show a restored group's state loss, its unknown leases, node counts, evacuated zones, the fleet's
// ramp and the minimum time to the full share; after the ramp, a full share.
func TestFleetStatusOfRampAfterStateLoss(t *testing.T) {
	nodes := []consensus.NodeView{{}, {Node: membership.Node{OutReason: membership.OutSilent}},
		{Fenced: "its lease has run out"}, {Node: membership.Node{OutReason: membership.OutLeft}}}
	ramp := consensus.ZoneView{Zone: zones.Zone{Name: zones.WholeFleet, Phase: zones.Ramping, Share: 16, SinceMS: 8000,
		Cause: "restart"}, Evidence: &zones.View{Note: "held"}}
	out := consensus.ZoneView{Zone: zones.Zone{Name: "z1", Phase: zones.Evacuated}}
	in := consensus.ZoneView{Zone: zones.Zone{Name: "z2", Phase: zones.InService}}
	views := fleetViews{nodes: nodes, policy: consensus.PolicyView{Generation: 2, CommittedVersion: 7,
		UnknownLeasesMS: 1500, StateLoss: "n3 was told of entry 812"}, zones: &consensus.ZonesView{ClockMS: 9000,
		Rules: api.ZoneRules{Mode: api.ZoneModeAuto, MinStepMS: 2000}, Zones: []consensus.ZoneView{ramp, out, in}}}
	s := views.status()
	// A step takes 3 s. The share needs two more steps, and 1 s of the current one has passed: 6 + 2 s.
	if s.In != 2 || s.Silent != 1 || s.Left != 1 || s.Fenced != 1 || s.EstimateMS != 8000 || s.Share != 1.0/16 ||
		len(s.Zones) != 1 {
		t.Errorf("status() = %+v, want 2 nodes in, 1 silent, 1 left, 1 fenced, 8000 ms, share 1/16, 1 zone", s)
	}
	printed := fmt.Sprint(s.rows())
	for _, want := range []string{"[state loss n3 was told of entry 812]", "for up to 1.5 s",
		"ramping: share 6% for 1.0 s, cause restart", "[note held]", "at least 8 s", "z1 is out, share 0%",
		"2 of 4 in, 1 silent, 1 left, 1 fenced"} {
		if !strings.Contains(printed, want) {
			t.Errorf("rows() = %s, want %q in it", printed, want)
		}
	}
	views.zones.Zones = []consensus.ZoneView{in}
	if printed := fmt.Sprint(views.status().rows()); !strings.Contains(printed, "[fleet full share]") {
		t.Errorf("rows() = %s, want the full share", printed)
	}
}

// recover must change nothing without --found or while the instance runs. With --found it must create the next
// generation from the stopped instance's folder or a snapshot, with the committed version, and keep the old folder.
func TestRecoverCreatesNextGeneration(t *testing.T) {
	t.Parallel()
	dir, port := t.TempDir(), reservePorts(t)
	data := filepath.Join(dir, "data")
	ini := writeFile(t, dir, "a.ini", fmt.Sprintf("[instance]\nname = a\ndata = %s\npeer = 127.0.0.1:%d\n"+
		"listen = 127.0.0.1:%d\n", data, port-100, port))
	expect(t, 2, "no such file", "control", "recover", "--file", filepath.Join(dir, "none.ini"))
	expect(t, 0, "nobody served under a version", "control", "recover", "--file", ini, "--for", "0s")
	if _, err := os.Stat(data); err == nil {
		t.Fatal("a folder was created without --found")
	}
	at := fmt.Sprintf("--at=127.0.0.1:%d", port)
	startInstance := func() (end func()) {
		cmd := exec.Command(program, "control", "run", "--file", ini)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		return func() { cmd.Process.Kill(); cmd.Wait() }
	}
	end := startInstance()
	defer func() { end() }()
	expect(t, 0, "taken: version 1", "config", "put", writeFile(t, dir, "one.ini", "[tenant t]\nrate = 1\n"), at)
	expect(t, 1, "the folder is in use by another process", "control", "recover", "--file", ini, "--for", "1s")
	saved := filepath.Join(dir, "saved")
	expect(t, 0, "saved version 1", "control", "snapshot", "save", saved, at)
	expect(t, 1, "stop the instance that listens there first", "control", "recover", "--file", ini, "--for", "0s",
		"--from", saved, "--found")
	end()
	var found struct {
		Of struct {
			Generation uint64 `json:"generation"`
		} `json:"of"`
	}
	if err := json.Unmarshal([]byte(expect(t, 0, "", "control", "recover", "--file", ini, "--for", "0s", "--json")),
		&found); err != nil || found.Of.Generation != 1 {
		t.Fatalf("recover --json = %+v (%v), want generation 1", found, err)
	}
	expect(t, 0, "generation 2 is founded, with version 1", "control", "recover", "--file", ini, "--for", "0s",
		"--found")
	if old, _ := filepath.Glob(data + ".generation-1-*"); len(old) != 1 {
		t.Fatalf("found old folders %v, want one", old)
	}
	end = startInstance()
	expect(t, 0, "rate = 1", "config", "get", at)
	end()
	expect(t, 0, "generation 2 is founded", "control", "recover", "--file", ini, "--for", "0s", "--found", "--from",
		saved)
	end = startInstance()
	expect(t, 0, "rate = 1", "config", "get", at)
}
