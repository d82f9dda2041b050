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

// nodeProcess is a node that runs as a process, with its emulated kernel.
type nodeProcess struct {
	fleet                                *FleetProcesses
	name, zone                           string
	listen, callerAddr                   string // the node's own address, and the forwarder that callers use
	policyDir, startupFile, operatorFile string
	log                                  *os.File
	process                              process
	kernel                               *EmulatedKernel
	down, paused                         bool // guarded by fleet.mu
}

// addNode prepares a node: its kernel, its forwarders to callers and the group, and its files. The fleet owns the
// node from the start, so that Close also cleans up after a failure.
func (r *FleetProcesses) addNode(i int) (*nodeProcess, error) {
	n := &nodeProcess{fleet: r, name: fmt.Sprintf("n%d", i+1), zone: fmt.Sprintf("z%d", 1+i%3),
		listen: newLoopbackAddr(8080)}
	n.process.onExit = func() { r.recordEvent("stops", n.name) }
	r.nodes = append(r.nodes, n)
	s, err := simulation.ReadScenario("fleet", fleetScenario)
	if err != nil {
		return nil, err
	}
	seed := r.Seed + int64(i)
	if n.kernel, err = NewEmulatedKernel(newLoopbackAddr(7400), seed, float64(s.Cores), s.Classes,
		5*time.Millisecond); err != nil {
		return nil, err
	}
	store, peerAddr, err := n.openStore(seed)
	if err != nil {
		return nil, err
	}
	control, err := n.openForwarders()
	if err != nil {
		return nil, err
	}
	if r.NodeWithoutFill == i+1 {
		s.Classes = []simulation.Class{s.Classes[0], s.Classes[2]}
	}
	if err = n.writeFiles(s, store, peerAddr, control); err != nil {
		return nil, err
	}
	n.log, err = openLog(n.logPath())
	return n, err
}

// openStore returns the address of the emulated store of the node's zone, and an address at which other nodes reach
// this one. Both are empty if the fleet has no stores.
func (n *nodeProcess) openStore(seed int64) (store, peerAddr string, err error) {
	r := n.fleet
	if !r.WithStores {
		return "", "", nil
	}
	n.kernel.callsStore = true
	if r.stores[n.zone] == nil {
		if r.stores[n.zone], err = NewEmulatedStore(newLoopbackAddr(9042), seed, storeWorkers, storeCallTime,
			storeColdFactor, storeWarmUpCalls); err != nil {
			return "", "", err
		}
	}
	peerAddr, err = r.group.forwarders.listenBetween("peers", n.name, n.listen)
	return r.stores[n.zone].listener.Addr().String(), peerAddr, err
}

// openForwarders opens a forwarder from callers to the node and one from the node to each instance. It returns the
// latter's addresses.
func (n *nodeProcess) openForwarders() (control []string, err error) {
	forwarders := n.fleet.group.forwarders
	if n.callerAddr, err = forwarders.listenBetween("callers", n.name, n.listen); err != nil {
		return nil, err
	}
	for _, p := range n.fleet.group.instances {
		at, err := forwarders.listenBetween(n.name, p.name, p.listen)
		if err != nil {
			return nil, err
		}
		control = append(control, at)
	}
	return control, nil
}

// writeFiles writes the node's start-up file and its operator's file.
func (n *nodeProcess) writeFiles(s *simulation.Scenario, store, peerAddr string, control []string) error {
	raw, err := encodeStartupFile(startupParams{name: n.name, listen: n.listen,
		kernel: n.kernel.listener.Addr().String(), store: store, control: n.fleet.readiness.addr(), cores: s.Cores,
		tenants: s.Tenants, classes: s.Classes, keyedClass: "submit"})
	if err != nil {
		return err
	}
	n.startupFile = filepath.Join(n.fleet.Dir, n.name+".json")
	n.operatorFile = filepath.Join(n.fleet.Dir, n.name+".ini")
	if err = os.WriteFile(n.startupFile, raw, 0o600); err != nil {
		return err
	}
	text := fmt.Sprintf("[log]\nform = json\n[fleet]\ncontrol = %s\nzone = %s\n", strings.Join(control, ", "), n.zone)
	if peerAddr != "" {
		text += "at = " + peerAddr + "\n"
	}
	if n.fleet.PersistPolicy {
		n.policyDir = filepath.Join(n.fleet.Dir, n.name)
		if err = os.MkdirAll(n.policyDir, 0o700); err != nil {
			return err
		}
		text += "folder = " + n.policyDir + "\n"
	}
	return os.WriteFile(n.operatorFile, []byte(text), 0o600)
}

// nodeCommand returns the command of a node: the program beside umberctl, or umberctl's hidden command.
func nodeCommand(umberctl string) *exec.Cmd {
	if program := filepath.Join(filepath.Dir(umberctl), "umberwinch"); fileExists(program) {
		return exec.Command(program)
	}
	return exec.Command(umberctl, "node")
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

// Start starts the node's process.
func (n *nodeProcess) Start() error {
	cmd := nodeCommand(n.fleet.Program)
	cmd.Stderr = n.log
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+n.startupFile, "UMBERWINCH_FILE="+n.operatorFile,
		disabledGuardsEnv+"="+n.fleet.DisabledGuards)
	n.setState(false, false)
	return n.process.start(cmd)
}

// setState records whether the scenario has the node down or paused.
func (n *nodeProcess) setState(down, paused bool) {
	n.fleet.mu.Lock()
	n.down, n.paused = down, paused
	n.fleet.mu.Unlock()
}

// isUp reports whether the scenario has the node running.
func (n *nodeProcess) isUp() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return !n.down && !n.paused
}

// Kill kills the node with SIGKILL.
func (n *nodeProcess) Kill() {
	n.setState(true, false)
	n.process.kill()
}

// Drain sends SIGTERM, by which the platform drains a node.
func (n *nodeProcess) Drain() {
	n.setState(true, false)
	n.process.signal(syscall.SIGTERM)
}

// Pause suspends the process with SIGSTOP.
func (n *nodeProcess) Pause() {
	n.process.signal(syscall.SIGSTOP)
	n.setState(false, true)
	n.fleet.recordEvent("pause", n.name)
}

// Resume continues the process with SIGCONT.
func (n *nodeProcess) Resume() {
	n.fleet.recordEvent("resume", n.name)
	n.setState(false, false)
	n.process.signal(syscall.SIGCONT)
}

// close kills the process for good and closes the emulated kernel and the log.
func (n *nodeProcess) close() {
	n.process.close()
	if n.kernel != nil {
		n.kernel.Close()
	}
	if n.log != nil {
		n.log.Close()
	}
}
