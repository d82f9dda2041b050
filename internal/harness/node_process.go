package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"umberwinch/internal/simulation"
)

// nodeProcess is one node's process with its kernel.
type nodeProcess struct {
	r                   *FleetProcesses
	name, zone          string
	listen, front       string // its own address, and the forwarder before it that callers use
	folder, config, ini string
	log                 *os.File
	proc                process
	kernel              *EmulatedKernel
	down, stopped       bool // guarded by r.mu
}

// add makes a node: its kernel, its links to callers and to the group, and its files. The fleet owns it from the first
// step on, so that Close ends also what was made in part.
func (r *FleetProcesses) add(i int) (*nodeProcess, error) {
	n := &nodeProcess{r: r, name: fmt.Sprintf("n%d", i+1), zone: fmt.Sprintf("z%d", 1+i%3), listen: loopback(8080)}
	n.proc.onEnd = func() { r.event("stops", n.name) }
	r.nodes = append(r.nodes, n)
	s, err := simulation.ReadScenario("fleet", fleetClasses)
	if err != nil {
		return nil, err
	}
	seed := r.Seed + int64(i)
	if n.kernel, err = NewEmulatedKernel(loopback(7400), seed, float64(s.Cores), s.Classes,
		5*time.Millisecond); err != nil {
		return nil, err
	}
	store, peers, err := n.openBelow(seed)
	if err != nil {
		return nil, err
	}
	control, err := n.openLinks()
	if err != nil {
		return nil, err
	}
	if r.OddNode == i+1 {
		s.Classes = []simulation.Class{s.Classes[0], s.Classes[2]}
	}
	if err = n.writeFiles(s, store, peers, control); err != nil {
		return nil, err
	}
	n.log, err = openLog(n.logFile())
	return n, err
}

// openBelow gives the node the service below of its zone, where the fleet has any, and an address at which other nodes
// reach it; both are empty where there is none.
func (n *nodeProcess) openBelow(seed int64) (store, peers string, err error) {
	r := n.r
	if !r.WithStores {
		return "", "", nil
	}
	n.kernel.callsStore = true
	if r.stores[n.zone] == nil {
		if r.stores[n.zone], err = NewEmulatedStore(loopback(9042), seed, belowWorkers, belowCost, belowCold,
			belowFill); err != nil {
			return "", "", err
		}
	}
	peers, err = r.group.forwarders.faultBetween("peers", n.name, n.listen)
	return r.stores[n.zone].ln.Addr().String(), peers, err
}

// openLinks puts a forwarder before the node for its callers, and one between it and each instance. It gives the
// addresses of those.
func (n *nodeProcess) openLinks() (control []string, err error) {
	board := n.r.group.forwarders
	if n.front, err = board.faultBetween("callers", n.name, n.listen); err != nil {
		return nil, err
	}
	for _, p := range n.r.group.procs {
		at, err := board.faultBetween(n.name, p.name, p.listen)
		if err != nil {
			return nil, err
		}
		control = append(control, at)
	}
	return control, nil
}

// writeFiles writes the node's start-up file and its operator's file.
func (n *nodeProcess) writeFiles(s *simulation.Scenario, store, peers string, control []string) error {
	raw, err := nodeConfig(nodeSetUp{name: n.name, listen: n.listen, kernel: n.kernel.ln.Addr().String(), store: store,
		control: n.r.ready.addr(), cores: s.Cores, tenants: s.Tenants, classes: s.Classes, keyed: "submit"})
	if err != nil {
		return err
	}
	n.config, n.ini = filepath.Join(n.r.Dir, n.name+".json"), filepath.Join(n.r.Dir, n.name+".ini")
	if err = os.WriteFile(n.config, raw, 0o600); err != nil {
		return err
	}
	own := fmt.Sprintf("[log]\nform = json\n[fleet]\ncontrol = %s\nzone = %s\n", strings.Join(control, ", "), n.zone)
	if peers != "" {
		own += "at = " + peers + "\n"
	}
	if n.r.Folders {
		n.folder = filepath.Join(n.r.Dir, n.name)
		if err = os.MkdirAll(n.folder, 0o700); err != nil {
			return err
		}
		own += "folder = " + n.folder + "\n"
	}
	return os.WriteFile(n.ini, []byte(own), 0o600)
}

// nodeCommand runs a node: by the program beside umberctl, or by umberctl's hidden command.
func nodeCommand(umberctl string) *exec.Cmd {
	if program := filepath.Join(filepath.Dir(umberctl), "umberwinch"); fileThere(program) {
		return exec.Command(program)
	}
	return exec.Command(umberctl, "node")
}

func fileThere(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// Start runs the node's program.
func (n *nodeProcess) Start() error {
	cmd := nodeCommand(n.r.Program)
	cmd.Stderr = n.log
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+n.config, "UMBERWINCH_FILE="+n.ini, WithoutEnv+"="+n.r.Without)
	n.mark(false, false)
	return n.proc.start(cmd)
}

// mark notes what the scenario has done to the node.
func (n *nodeProcess) mark(down, stopped bool) {
	n.r.mu.Lock()
	n.down, n.stopped = down, stopped
	n.r.mu.Unlock()
}

// up tells whether the scenario has left the node running.
func (n *nodeProcess) up() bool {
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	return !n.down && !n.stopped
}

// Kill ends the node as kill -9 does.
func (n *nodeProcess) Kill() {
	n.mark(true, false)
	n.proc.kill()
}

// Drain ends it with the platform's notice.
func (n *nodeProcess) Drain() {
	n.mark(true, false)
	n.proc.signal(syscall.SIGTERM)
}

// Stop has it stand still; GoOn has it go on as if nothing had happened.
func (n *nodeProcess) Stop() {
	n.proc.signal(syscall.SIGSTOP)
	n.mark(false, true)
	n.r.event("pause", n.name)
}

// GoOn ends a Stop.
func (n *nodeProcess) GoOn() {
	n.r.event("resume", n.name)
	n.mark(false, false)
	n.proc.signal(syscall.SIGCONT)
}

// close ends all that the node has.
func (n *nodeProcess) close() {
	n.proc.close()
	if n.kernel != nil {
		n.kernel.Close()
	}
	if n.log != nil {
		n.log.Close()
	}
}
