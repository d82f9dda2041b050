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

// A fleet of processes has a control group and nodes of the built programs, emulated kernels, an endpoint list,
// callers that retry at other nodes, and a forwarder on every link that can cut, drop and delay its traffic. Its
// history is read from the processes' logs.

// FleetProcessesConfig configures a fleet of processes.
type FleetProcessesConfig struct {
	Program          string // umberctl; the node's program is in the same folder, or umberctl's hidden command
	Dir              string
	Seed             int64
	Instances        int
	Nodes            int
	PersistPolicy    bool // nodes store their policy on disk
	DisabledGuards   string
	RestartExited    bool // processes that exit are restarted after restartDelay
	NodeWithoutFill  int  // number of the node whose platform has no class "fill"; 0: none
	HonorRetryAfter  bool // rejected callers wait for the response's Retry-After
	RetryImmediately bool // rejected callers retry at other nodes without backoff
	WithStores       bool // each zone has an emulated store, which each run calls once
}

// FleetProcesses is a running fleet.
type FleetProcesses struct {
	FleetProcessesConfig
	group         *controlProcesses
	nodes         []*nodeProcess
	readiness     *readiness
	client        *http.Client
	processEvents []simulation.FleetEvent // process exits, pauses and resumptions
	mu            sync.Mutex
	loads         sync.WaitGroup
	background    sync.WaitGroup // goroutines that restart processes
	cancel        context.CancelFunc
	ctx           context.Context
	lastOpNumber  int
	closeOnce     sync.Once
	// ms from a change's first step to its commit, as of the last History. From the instances' logs, as the group's
	// own clock advances only with heartbeats.
	commitTimes map[uint64]float64
	stores      map[string]*EmulatedStore // by zone
}

// A zone's store has a capacity of 500 calls a second. With an empty cache a call takes twelve times as long; 200
// calls fill the cache.
const (
	storeWorkers     = 4
	storeCallTime    = 8 * time.Millisecond
	storeColdFactor  = 12
	storeWarmUpCalls = 200
)

// fleetScenario defines the classes of a fleet. Requests are light, so that a dozen nodes fit on a small machine.
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

// startAll starts the group, then the nodes, and waits until all nodes serve.
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
			err = fmt.Errorf("the group is at feature level %d, want %d", v.Level, consensus.LevelFleet)
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

// disabledGuardsEnv names the guards that are disabled in a process, separated by commas.
const disabledGuardsEnv = "UMBERWINCH_WITHOUT"

// Close stops the load, kills all processes and closes the emulated services.
func (r *FleetProcesses) Close() { r.closeOnce.Do(r.close) }

func (r *FleetProcesses) close() {
	r.cancel()
	r.loads.Wait()
	r.background.Wait()
	for _, n := range r.nodes {
		n.close()
	}
	for _, s := range r.stores {
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

// recordEvent adds an event of a node's process to the history.
func (r *FleetProcesses) recordEvent(kind, node string) {
	r.mu.Lock()
	r.processEvents = append(r.processEvents,
		simulation.FleetEvent{At: time.Now().UnixMicro() / 100, Kind: kind, Node: node})
	r.mu.Unlock()
}

// partitionFromGroup cuts nodes off from all instances, in both directions, until heal.
func (r *FleetProcesses) partitionFromGroup(nodes ...*nodeProcess) {
	r.setLinkFault(linkFault{cut: true}, nodes...)
}

// setLinkFault sets a fault on the links between nodes and all instances.
func (r *FleetProcesses) setLinkFault(f linkFault, nodes ...*nodeProcess) {
	for _, n := range nodes {
		for _, p := range r.group.instances {
			r.group.forwarders.set(n.name, p.name, f)
		}
	}
}

// heal removes all link faults and partitions.
func (r *FleetProcesses) heal() { r.group.forwarders.heal() }

// nodesIn returns the nodes of a zone.
func (r *FleetProcesses) nodesIn(zone string) (out []*nodeProcess) {
	for _, n := range r.nodes {
		if n.zone == zone {
			out = append(out, n)
		}
	}
	return out
}

// killLeader kills the leader's process and returns the instance.
func (r *FleetProcesses) killLeader() (*instanceProcess, error) {
	p, err := r.group.awaitLeader(r.ctx, 10*time.Second)
	if err != nil {
		return nil, err
	}
	r.group.kill(p)
	return p, nil
}

// A caller makes its first three attempts without a pause, then backs off for 30 ms, doubled each time: nine
// attempts within a timeout of 3 s. Without backoff, callers would take the cores that a restarting fleet needs.
const (
	maxAttempts       = 20 // reached only with RetryImmediately
	immediateAttempts = 3
	initialBackoff    = 30 * time.Millisecond
)
