package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/simulation"
)

// A fleet of processes is a control group and nodes of the built programs, emulated kernels, an endpoint list, callers
// that retry at other nodes, and a forwarder on every link that can cut, drop and delay it. What happened is read from
// the processes' own logs afterwards.

// FleetProcessesConfig says what a fleet is made of.
type FleetProcessesConfig struct {
	Program          string // umberctl; the node's program stands beside it, or is its hidden command
	Dir              string
	Seed             int64
	Instances        int
	Nodes            int
	PersistPolicy    bool // nodes keep their policy on disk
	DisabledGuards   string
	RestartExited    bool // what ends is started again, by a pace of its own
	NodeWithoutFill  int  // this node's platform has no class "fill"; 0: none
	HonorRetryAfter  bool // callers that are turned away come back when they are told to, not sooner
	RetryImmediately bool // callers that are turned away ask on at once, elsewhere
	WithStores       bool // each zone has a service below, which each run calls once
}

// FleetProcesses is a fleet at work.
type FleetProcesses struct {
	FleetProcessesConfig
	group         *controlProcesses
	nodes         []*nodeProcess
	readiness     *readiness
	client        *http.Client
	processEvents []simulation.FleetEvent // the fleet's own: kills and stops
	mu            sync.Mutex
	loads         sync.WaitGroup
	background    sync.WaitGroup // what starts processes again
	cancel        context.CancelFunc
	ctx           context.Context
	lastOpNumber  int
	closeOnce     sync.Once
	// ms from a change's first step to its being in force, by the instances' logs, as of the last History: the group's
	// own time stands between beats, so it can't tell.
	commitTimes map[uint64]float64
	stores      map[string]*EmulatedStore // by zone
}

// A zone's service below has four workers and takes 8 ms a call, so it serves 500 calls a second; cold, a call takes
// twelve times as long, and 200 calls warm the cache.
const (
	storeWorkers     = 4
	storeCallTime    = 8 * time.Millisecond
	storeColdFactor  = 12
	storeWarmUpCalls = 200
)

// fleetScenario are the requests of a fleet: light, so that a dozen nodes fit a small machine.
const fleetScenario = `cores 4
tenants 2
class view work=2 share=70 tail=0 target=300 timeout=3000 value=1
class fill work=4 share=20 tail=0 target=500 timeout=3000 value=2
class submit work=5 share=10 tail=0 target=1000 timeout=5000 value=20
cheapest view
dearest submit`

// NewFleetProcesses starts a group and its nodes and waits until all nodes serve.
func NewFleetProcesses(ctx context.Context, config FleetProcessesConfig) (*FleetProcesses, error) {
	r := &FleetProcesses{FleetProcessesConfig: config, stores: map[string]*EmulatedStore{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64,
			IdleConnTimeout: 5 * time.Second, DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext}}}
	r.ctx, r.cancel = context.WithCancel(ctx)
	if err := r.startAll(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// startAll starts the group, then the nodes, and waits until all of them serve.
func (r *FleetProcesses) startAll(ctx context.Context) (err error) {
	extraConfig := "[log]\nform = json\n"
	if r.group, err = newControlProcesses(ctx, r.Program, r.Dir, r.Instances, extraConfig,
		disabledGuardsEnv+"="+r.DisabledGuards); err != nil {
		return err
	}
	if r.RestartExited {
		for _, p := range r.group.instances {
			r.background.Go(func() { p.restartOnExit(r.ctx, func() error { return r.group.start(p, "") }) })
		}
	}
	if r.readiness, err = newReadiness(); err != nil {
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
	for i := 0; i < r.FleetProcessesConfig.Nodes; i++ {
		n, err := r.addNode(i)
		if err != nil {
			return err
		}
		if err = n.Start(); err != nil {
			return err
		}
		if r.RestartExited {
			r.background.Go(func() { n.process.restartOnExit(r.ctx, n.Start) })
		}
	}
	return r.AwaitAllServing(0, time.Minute)
}

// disabledGuardsEnv names guards that processes of a fleet leave out.
const disabledGuardsEnv = "UMBERWINCH_WITHOUT"

// Close ends all processes.
func (r *FleetProcesses) Close() { r.closeOnce.Do(r.close) }

func (r *FleetProcesses) close() {
	r.cancel()
	r.loads.Wait()
	r.background.Wait()
	for _, n := range r.nodes {
		n.close()
	}
	for _, s := range r.stores { // each is ended alone
		s.Close()
	}
	if r.group != nil {
		r.group.close()
	}
	if r.readiness != nil {
		r.readiness.close()
	}
	r.client.CloseIdleConnections()
}

func (r *FleetProcesses) recordEvent(kind, node string) {
	r.mu.Lock()
	r.processEvents = append(r.processEvents, simulation.FleetEvent{At: time.Now().UnixMicro() / 100, Kind: kind, Node: node})
	r.mu.Unlock()
}

// partitionFromGroup parts nodes from all instances, both ways; heal ends every trouble of the lines.
func (r *FleetProcesses) partitionFromGroup(nodes ...*nodeProcess) {
	r.setLinkFault(linkFault{cut: true}, nodes...)
}

// setLinkFault does something to the lines between nodes and instances, in the direction asked for by each fault.
func (r *FleetProcesses) setLinkFault(f linkFault, nodes ...*nodeProcess) {
	for _, n := range nodes {
		for _, p := range r.group.instances {
			r.group.forwarders.set(n.name, p.name, f)
		}
	}
}

func (r *FleetProcesses) heal() { r.group.forwarders.heal() }

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
	p, err := r.group.awaitLeader(r.ctx, 10*time.Second)
	if err != nil {
		return nil, err
	}
	r.group.kill(p)
	return p, nil
}

// A caller tries three nodes one after the other without a pause, then waits before each further try, twice as long
// each time from 30 ms: nine attempts in the 3 s that most requests have. Without a pace callers take the cores that a
// fleet which is down needs to come up, where machines are short of them.
const (
	maxAttempts       = 20 // of those that are Eager; the others' time is over before
	immediateAttempts = 3
	initialBackoff    = 30 * time.Millisecond
)
