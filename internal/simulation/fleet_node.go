package simulation

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/zonegate"
)

// node simulates one node: its process, its agent, its zone gate and its disk.
type node struct {
	fleet       *Fleet
	name        string
	zone        int
	clockRate   float64 // virtual ms of its clock per ms
	incarnation int
	up          bool
	notStarted  bool // started only later, by the zones simulation
	nodeFaults
	agent            *agent.Agent
	gate             *zonegate.Gate
	storedRecord     agent.Record // on its disk, kept over restarts
	serves           bool
	activeVersion    uint64
	nextRound        float64
	preparingVersion uint64          // version being prepared
	lastPrepared     api.VersionHash // last prepared version
	peerHealth       []api.PeerHealth
}

// nodeFaults are the active faults of a node.
type nodeFaults struct {
	paused          bool
	partitioned     bool   // from the group
	rejectedVersion uint64 // version it rejects
	neverPrepares   bool   // its preparations never complete
	diskless        bool   // doesn't keep its record over restarts
}

func (n *node) nonce() string { return fmt.Sprintf("%s-%08d", n.name, n.incarnation) }

func (n *node) clock() uint64 { return uint64(n.fleet.Now*n.clockRate) + 1000 }

func (n *node) start() {
	if n.notStarted {
		return
	}
	n.incarnation++
	n.up, n.paused, n.preparingVersion, n.nextRound = true, false, 0, 0
	config := agent.Config{Name: n.name, Zone: fmt.Sprint("z", n.zone), Address: n.name, Nonce: n.nonce(),
		JitterSeed: uint32(n.fleet.random.Int31()), DisabledGuards: n.fleet.DisabledGuards}
	for i := range n.fleet.instances {
		config.ControlAddresses = append(config.ControlAddresses, fmt.Sprint(i))
	}
	var record *agent.Record
	if !n.diskless && n.storedRecord.Cluster != "" {
		record = &n.storedRecord
	}
	n.agent, n.gate = agent.New(config, record, n.clock()), zonegate.NewGate(1, config.JitterSeed)
	n.gate.SetOrder(n.clock(), n.agent.ZoneOrder())
	n.step()
}

// kill ends the node's process. start begins another incarnation.
func (n *node) kill() {
	n.setServing(false)
	n.up, n.incarnation = false, n.incarnation+1
}

// setServing records in the history that a node begins to serve under a version, or stops.
func (n *node) setServing(serves bool) {
	if serves == n.serves && (!serves || n.activeVersion == n.agent.ActiveVersion()) {
		return
	}
	n.serves = serves
	if serves {
		n.activeVersion = n.agent.ActiveVersion()
		n.fleet.recordEvent(FleetEvent{Kind: "serves", Node: n.name, Version: n.activeVersion})
	} else {
		n.fleet.recordEvent(FleetEvent{Kind: "stops", Node: n.name})
	}
}

// step runs one iteration of the node's loop.
func (n *node) step() {
	f := n.fleet
	if !n.up || n.paused {
		return
	}
	now := n.clock()
	if v, ok := n.agent.VersionToActivate(now); ok {
		n.agent.MarkActive(now, v, false)
		n.storedRecord.ActiveVersion, n.storedRecord.ActiveHash = v.Version, v.Hash
		n.storeRecord()
	}
	ok, _ := n.agent.MayServe(now)
	n.setServing(ok)
	if request, number, due := n.agent.Heartbeat(now); due {
		f.Heartbeats++
		if f.loadReport != nil && n.agent.ZoneOrder() != nil {
			request.Load, request.Peers, n.peerHealth = f.loadReport(n), n.peerHealth, nil
		}
		n.send(request, number)
	}
	if v, decided, ok := n.agent.VersionToFetch(); ok && n.preparingVersion != v.Version {
		n.preparingVersion = v.Version
		if n.neverPrepares && !decided {
			return
		}
		n.prepare(v, decided)
	}
	n.scheduleRound(now)
}

// prepare accepts or rejects a version after the time for fetching it and for its trial. A decided version isn't
// rejected.
func (n *node) prepare(v api.VersionHash, decided bool) {
	f, incarnation := n.fleet, n.incarnation
	f.after(10+f.random.ExpFloat64()*150, func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		n.preparingVersion = 0
		fails := n.rejectedVersion == v.Version ||
			f.failsTrial[v.Hash] && !f.DisabledGuards.Has(policy.ShadowEvaluation)
		if fails && !decided {
			n.agent.RejectVersion(n.clock(), v.Version, "it says no", false)
		} else {
			n.agent.MarkPrepared(n.clock(), v)
			n.lastPrepared = v
		}
		n.step()
	})
}

// scheduleRound schedules the next step for the agent's next heartbeat or the end of its lease.
func (n *node) scheduleRound(now uint64) {
	f := n.fleet
	at := n.agent.NextHeartbeat()
	if u := n.agent.LeaseExpiry(); n.serves && u > now {
		at = min(at, u)
	}
	at = max(at, now+1)
	wait := (float64(at-now) + 0.01) / n.clockRate
	if n.nextRound > f.Now && n.nextRound <= f.Now+wait {
		return
	}
	n.nextRound = f.Now + wait
	incarnation := n.incarnation
	f.after(wait, func() {
		if n.incarnation != incarnation {
			return
		}
		if n.agent.NextHeartbeat() <= n.clock() {
			n.agent.ExpireHeartbeat(n.clock())
		}
		n.step()
	})
}

// heartbeatExchange is a heartbeat from a node to an instance of the group, and its response.
type heartbeatExchange struct {
	node            *node
	incarnation     int // of the node when it sent the heartbeat
	instance        int
	heartbeatNumber uint64 // the agent's number of the heartbeat
	request         api.HeartbeatRequest
	lossPercent     int // probability that a message is lost, in percent
}

// maxStaleResponses is the maximum number of earlier responses kept for replay.
const maxStaleResponses = 64

// send sends a heartbeat to the agent's control address; the heartbeat or its response may be lost.
func (n *node) send(request api.HeartbeatRequest, number uint64) {
	f := n.fleet
	x := &heartbeatExchange{node: n, incarnation: n.incarnation, heartbeatNumber: number, request: request}
	fmt.Sscan(n.agent.ControlAddress(), &x.instance)
	if !f.NoFaults {
		x.lossPercent = 3
	}
	if !x.lost() {
		f.after(0.3+f.random.ExpFloat64()*3, x.arrive)
	}
}

func (x *heartbeatExchange) lost() bool {
	return x.node.partitioned || x.node.fleet.random.Intn(100) < x.lossPercent
}

// arrive handles the heartbeat at the instance, which forwards it to the leader.
func (x *heartbeatExchange) arrive() {
	f := x.node.fleet
	if response, ok := f.formerLeaderResponse(x.node, x.instance, &x.request); ok {
		x.respond(response, nil)
		return
	}
	if f.collectingRecords {
		f.collectRecord(x.node)
	}
	if !f.instances[x.instance].up || f.leader < 0 || !f.instances[f.leader].up {
		x.respond(api.HeartbeatResponse{}, coordinator.ErrNotLeader)
		return
	}
	leader := f.leader
	heartbeat := func() { f.instances[leader].coordinator.Heartbeat(f.state, x.request, x.respond) }
	if leader == x.instance {
		heartbeat()
		return
	}
	f.after(0.3+f.random.ExpFloat64(), heartbeat)
}

// respond sends a response to the node, occasionally an earlier one in its place.
func (x *heartbeatExchange) respond(t api.HeartbeatResponse, err error) {
	f := x.node.fleet
	if err == nil && t.LeaseID != 0 && t.LeaseMS == 0 && !f.NoFaults {
		t = f.staleOr(t)
	}
	if !x.lost() {
		f.after(0.3+f.random.ExpFloat64()*3, func() { x.receive(t, err) })
	}
}

// staleOr keeps a response for later replay, and returns it or occasionally an earlier one.
func (f *Fleet) staleOr(t api.HeartbeatResponse) api.HeartbeatResponse {
	if len(f.staleResponses) < maxStaleResponses || f.random.Intn(8) == 0 {
		f.staleResponses = append(f.staleResponses, t)
		f.staleResponses = f.staleResponses[max(0, len(f.staleResponses)-maxStaleResponses):]
	}
	if f.random.Intn(60) == 0 {
		return f.staleResponses[f.random.Intn(len(f.staleResponses))]
	}
	return t
}

// receive passes the response to the agent, unless the node has restarted or is paused.
func (x *heartbeatExchange) receive(t api.HeartbeatResponse, err error) {
	n := x.node
	if n.incarnation != x.incarnation || !n.up || n.paused {
		return
	}
	if err != nil {
		n.agent.HandleFailure(n.clock(), x.heartbeatNumber)
	} else {
		minVersion := n.agent.MinVersion()
		if n.handleResponse(x.heartbeatNumber, t) {
			n.gate.SetOrder(n.clock(), n.agent.ZoneOrder())
			n.probe(t.ProbeTargets)
		}
		if n.agent.MinVersion() > minVersion || n.agent.LastSeen().Generation != n.storedRecord.Generation {
			n.storeRecord()
		}
	}
	n.step()
}

// probe probes other nodes for the next load report.
func (n *node) probe(targets []api.ProbeTarget) {
	if n.fleet.probePeer == nil {
		return
	}
	for _, t := range targets {
		n.peerHealth = append(n.peerHealth, n.fleet.probePeer(n, t))
	}
}
