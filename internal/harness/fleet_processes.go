package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/simulation"
)

// fleet.go is the one rig for fleets: a group and nodes as processes of the built programs, emulated kernels, a list of
// who is ready, callers that try elsewhere, and a forwarder on every line that can cut, mute and slow it. What happened
// is read from the processes' own logs afterwards.

// FleetProcessesPlan says what a rig is made of.
type FleetProcessesPlan struct {
	Program   string // umberctl; the node's program stands beside it, or is its hidden command
	Dir       string
	Seed      int64
	Instances int
	Nodes     int
	Folders   bool // nodes keep their policy on disk
	Rate      float64
	Without   string
	Keep      bool // what ends is started again, by a pace of its own
	Odd       int  // this node's platform has no class "fill"; 0: none
	Patient   bool // callers that are turned away come back when they are told to, not sooner
	Eager     bool // callers that are turned away ask on at once, elsewhere
	Below     bool // each zone has a service below, which each run calls once; what it bears is in rigBelow
}

// FleetProcesses is a fleet at work.
type FleetProcesses struct {
	FleetProcessesPlan
	group  *controlProcesses
	nodes  []*nodeProcess
	ready  *readiness
	client *http.Client
	events []simulation.FleetEvent // the rig's own: kills and stops
	mu     sync.Mutex
	loads  sync.WaitGroup
	ending context.CancelFunc
	ctx    context.Context
	seq    int
	closed sync.Once
	// ms from a change's first step to its being in force, by the instances' logs, as of the last History: the group's own
	// time stands between beats, so it can't tell.
	inForce map[uint64]float64
	stores  map[string]*EmulatedStore // by zone
}

// rigBelow is a zone's service below: four workers and 8 ms a call, so 500 calls a second; cold a call takes twelve times
// as long, and 200 calls fill the cache.
const (
	belowWorkers = 4
	belowCost    = 8 * time.Millisecond
	belowCold    = 12
	belowFill    = 200
)

// nodeProcess is one node's process with its kernel.
type nodeProcess struct {
	r                   *FleetProcesses
	name, zone          string
	listen, front       string
	folder, config, ini string
	log                 *os.File
	cmd                 *exec.Cmd
	ended               chan struct{}
	kernel              *EmulatedKernel
	down, stopped       bool
}

// rigClasses are the reqs of a rig: light, so that a dozen nodes fit a small machine.
const rigClasses = `cores 4
tenants 2
class view work=2 share=70 tail=0 target=300 timeout=3000 value=1
class fill work=4 share=20 tail=0 target=500 timeout=3000 value=2
class submit work=5 share=10 tail=0 target=1000 timeout=5000 value=20
cheapest view
dearest submit`

// readiness is the platform's list: who said Ready within the last three seconds.
type readiness struct {
	mu   sync.Mutex
	said map[string]time.Time // ready, and when it said so last
	ln   net.Listener
}

func newReadiness() (*readiness, error) {
	ln, err := net.Listen("tcp", loopback(7500))
	if err != nil {
		return nil, err
	}
	p := &readiness{said: map[string]time.Time{}, ln: ln}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var said struct {
			Condition string `json:"condition"`
		}
		json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&said)
		p.mu.Lock()
		if name := filepath.Base(r.URL.Path); said.Condition == "Ready" {
			p.said[name] = time.Now()
		} else {
			delete(p.said, name)
		}
		p.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	}))
	return p, nil
}

func (p *readiness) is(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.said[name]
	return ok && time.Since(t) < 3*time.Second
}

// NewFleetProcesses starts a group and its nodes and waits until all nodes serve.
func NewFleetProcesses(ctx context.Context, plan FleetProcessesPlan) (*FleetProcesses, error) {
	r := &FleetProcesses{FleetProcessesPlan: plan, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 5 * time.Second, DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext}}}
	r.ctx, r.ending = context.WithCancel(ctx)
	if err := r.startAll(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// startAll starts the group, then the nodes, and waits until all of them serve.
func (r *FleetProcesses) startAll(ctx context.Context) (err error) {
	extra := "[log]\nform = json\n"
	if r.group, err = newControlProcesses(ctx, r.Program, r.Dir, r.Instances, extra, WithoutEnv+"="+r.Without); err != nil {
		return err
	}
	if r.ready, err = newReadiness(); err != nil {
		return err
	}
	if err = r.await(time.Minute, func() error {
		v, err := r.Policy()
		if err == nil && v.Level < consensus.LevelFleet {
			err = fmt.Errorf("the group is at level %d", v.Level)
		}
		return err
	}); err != nil {
		return err
	}
	for i := 0; i < r.FleetProcessesPlan.Nodes; i++ {
		n, err := r.add(i)
		if err != nil {
			return err
		}
		if err = n.start(); err != nil {
			return err
		}
	}
	return r.AllServe(0, time.Minute)
}

// WithoutEnv names guards that processes of a rig leave out.
const WithoutEnv = "UMBERWINCH_WITHOUT"

// Close ends all processes.
func (r *FleetProcesses) Close() { r.closed.Do(r.close) }

func (r *FleetProcesses) close() {
	r.ending()
	r.loads.Wait()
	for _, n := range r.nodes {
		n.Kill()
		n.kernel.Close()
		n.log.Close()
	}
	for _, s := range r.stores { // each is ended alone
		s.Close()
	}
	if r.group != nil {
		r.group.close()
	}
	if r.ready != nil {
		r.ready.ln.Close()
	}
	r.client.CloseIdleConnections()
}

func (r *FleetProcesses) add(i int) (*nodeProcess, error) {
	n := &nodeProcess{r: r, name: fmt.Sprintf("n%d", i+1), zone: fmt.Sprintf("z%d", 1+i%3), listen: loopback(8080)}
	s, err := simulation.ReadScenario("fleet", rigClasses)
	if err != nil {
		return nil, err
	}
	if n.kernel, err = NewEmulatedKernel(loopback(7400), r.Seed+int64(i), float64(s.Cores), s.Classes,
		5*time.Millisecond); err != nil {
		return nil, err
	}
	store, at := "", ""
	if r.Below {
		n.kernel.calls = true
		if r.stores == nil {
			r.stores = map[string]*EmulatedStore{}
		}
		if r.stores[n.zone] == nil {
			if r.stores[n.zone], err = NewEmulatedStore(loopback(9042), r.Seed+int64(i), belowWorkers, belowCost, belowCold,
				belowFill); err != nil {
				return nil, err
			}
		}
		store = r.stores[n.zone].ln.Addr().String()
		peers, err := r.group.board.faultBetween("peers", n.name, n.listen)
		if err != nil {
			return nil, err
		}
		at = "at = " + peers + "\n"
	}
	if n.front, err = r.group.board.faultBetween("callers", n.name, n.listen); err != nil {
		return nil, err
	}
	var control []string
	for _, p := range r.group.procs {
		at, err := r.group.board.faultBetween(n.name, p.name, p.listen)
		if err != nil {
			return nil, err
		}
		control = append(control, at)
	}
	classes := s.Classes
	if r.Odd == i+1 {
		classes = append(append([]simulation.Class{}, s.Classes[0]), s.Classes[2])
	}
	raw, err := nodeConfig(n.name, n.listen, n.kernel.ln.Addr().String(), store, r.ready.ln.Addr().String(), s.Cores, s.Tenants,
		classes, "submit")
	if err != nil {
		return nil, err
	}
	n.config, n.ini = filepath.Join(r.Dir, n.name+".json"), filepath.Join(r.Dir, n.name+".ini")
	if err = os.WriteFile(n.config, raw, 0o600); err != nil {
		return nil, err
	}
	folder := ""
	if r.Folders {
		n.folder = filepath.Join(r.Dir, n.name)
		if err = os.MkdirAll(n.folder, 0o700); err != nil {
			return nil, err
		}
		folder = "folder = " + n.folder + "\n"
	}
	if err = os.WriteFile(n.ini, []byte(fmt.Sprintf("[log]\nform = json\n[fleet]\ncontrol = %s\nzone = %s\n%s%s",
		strings.Join(control, ", "), n.zone, at, folder)), 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.OpenFile(filepath.Join(r.Dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY,
		0o600); err != nil {
		return nil, err
	}
	r.nodes = append(r.nodes, n)
	return n, nil
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

// start runs the node's program.
func (n *nodeProcess) start() error {
	n.cmd = nodeCommand(n.r.Program)
	n.cmd.Stderr = n.log
	n.cmd.Env = append(os.Environ(), "NODE_CONFIG="+n.config, "UMBERWINCH_FILE="+n.ini, WithoutEnv+"="+n.r.Without)
	n.ended, n.down, n.stopped = make(chan struct{}), false, false
	if err := n.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		n.r.event("stops", n.name)
		close(ended)
		if n.r.Keep {
			select {
			case <-n.r.ctx.Done():
			case <-time.After(2 * time.Second): // the platform's pace
				n.r.mu.Lock() // Kill waits for it, and then finds the process that was started
				defer n.r.mu.Unlock()
				if !n.down && n.r.ctx.Err() == nil {
					n.start()
				}
			}
		}
	}(n.cmd, n.ended)
	return nil
}

func (r *FleetProcesses) event(kind, node string) {
	r.mu.Lock()
	r.events = append(r.events, simulation.FleetEvent{At: time.Now().UnixMicro() / 100, Kind: kind, Node: node})
	r.mu.Unlock()
}

// Kill ends a node as kill -9 does, and keeps it down.
func (n *nodeProcess) Kill() {
	n.r.mu.Lock()
	n.down = true
	n.r.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		n.cmd.Process.Kill()
		<-n.ended
	}
}

// Start begins a node that is down.
func (n *nodeProcess) Start() error { return n.start() }

// Drain ends it with the platform's notice, and keeps it down.
func (n *nodeProcess) Drain() {
	n.r.mu.Lock()
	n.down = true
	n.r.mu.Unlock()
	n.cmd.Process.Signal(syscall.SIGTERM)
}

// Stop has it stand still, Go on go on as if nothing was.
func (n *nodeProcess) Stop() {
	n.cmd.Process.Signal(syscall.SIGSTOP)
	n.stopped = true
	n.r.event("pause", n.name)
}

func (n *nodeProcess) GoOn() {
	n.r.event("resume", n.name)
	n.stopped = false
	n.cmd.Process.Signal(syscall.SIGCONT)
}

// cutOff parts nodes from all instances, both ways; heal ends every trouble of the lines.
func (r *FleetProcesses) cutOff(nodes ...*nodeProcess) {
	r.setLinkFault(linkFault{cut: true}, nodes...)
}

// setLinkFault does something to the lines between nodes and instances, in the direction asked for by each fault.
func (r *FleetProcesses) setLinkFault(f linkFault, nodes ...*nodeProcess) {
	for _, n := range nodes {
		for _, p := range r.group.procs {
			r.group.board.set(n.name, p.name, f)
		}
	}
}

func (r *FleetProcesses) heal() { r.group.board.heal() }

// nodesIn gives the nodes of a zone.
func (r *FleetProcesses) nodesIn(zone string) (out []*nodeProcess) {
	for _, n := range r.nodes {
		if n.zone == zone {
			out = append(out, n)
		}
	}
	return out
}

// killLeader ends the leader's process and gives it, to be started again.
func (r *FleetProcesses) killLeader() (*instanceProcess, error) {
	var p *instanceProcess
	if err := r.await(10*time.Second, func() error {
		if p = r.group.leader(); p == nil {
			return errors.New("no leader")
		}
		return nil
	}); err != nil {
		return nil, err
	}
	r.group.kill(p)
	return p, nil
}

// A caller asks three nodes at once, one after the other, then waits before each further try, twice as long each time from 30 ms:
// nine tries in the 3 s that most reqs have. Without a pace callers take the cores that a fleet which is
// down needs to come up, where machines are short of them.
const (
	maxTries = 20 // of those that are Eager; the others' time is over before
	atOnce   = 3
	firstGap = 30 * time.Millisecond
)
