package simulation

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/zonegate"
)

// node is one node.
type node struct {
	fleet       *Fleet
	name        string
	zone        int
	clockRate   float64 // of its clock
	incarnation int
	up          bool
	notStarted  bool // not started yet
	nodeFaults
	agent            *agent.Agent
	gate             *zonegate.Gate
	storedRecord     agent.Record // on its disk
	serves           bool
	activeVersion    uint64
	nextRound        float64
	preparingVersion uint64          // version being prepared
	lastPrepared     api.VersionHash // prepared last
	peerHealth       []api.PeerHealth
}

// nodeFaults is what is wrong with a node.
type nodeFaults struct {
	paused          bool
	partitioned     bool   // from the group
	rejectedVersion uint64 // a version it refuses
	neverPrepares   bool   // never gets to prepare anything
	diskless        bool   // has no disk
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
		JitterSeed: uint32(n.fleet.random.Int31()), DisabledGuards: n.fleet.Without}
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

// kill ends its process; it starts again as another incarnation.
func (n *node) kill() {
	n.setServing(false)
	n.up, n.incarnation = false, n.incarnation+1
}

// setServing records when a node begins to serve under a version, and when it stops.
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

// step is a round of the node's loop.
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

// prepare fetches a version and tries it, which takes a while, then accepts or rejects it. One that is decided
// already isn't rejected any more.
func (n *node) prepare(v api.VersionHash, decided bool) {
	f, incarnation := n.fleet, n.incarnation
	f.after(10+f.random.ExpFloat64()*150, func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		n.preparingVersion = 0
		fails := n.rejectedVersion == v.Version || f.failsTrial[v.Hash] && !f.Without.Has(policy.Shadow)
		if fails && !decided {
			n.agent.Reject(n.clock(), v.Version, "it says no", false)
		} else {
			n.agent.MarkPrepared(n.clock(), v)
			n.lastPrepared = v
		}
		n.step()
	})
}

// scheduleRound has the next round come when the agent's next heartbeat is due or its lease ends.
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

// heartbeatExchange is one heartbeat: from a node to an instance of the group, and its response back.
type heartbeatExchange struct {
	node            *node
	incarnation     int // of the node as it sent it
	instance        int
	heartbeatNumber uint64 // the agent's, of the heartbeat
	request         api.HeartbeatRequest
	lossPercent     int // of messages
}

// maxStaleResponses is how many former responses are stored, to be sent in place of later ones.
const maxStaleResponses = 64

// send sends a heartbeat to the agent's control address; the heartbeat or its response may be lost.
func (n *node) send(request api.HeartbeatRequest, number uint64) {
	f := n.fleet
	x := &heartbeatExchange{node: n, incarnation: n.incarnation, heartbeatNumber: number, request: request}
	fmt.Sscan(n.agent.ControlAddress(), &x.instance)
	if !f.Calm {
		x.lossPercent = 3
	}
	if !x.lost() {
		f.after(0.3+f.random.ExpFloat64()*3, x.arrive)
	}
}

func (x *heartbeatExchange) lost() bool {
	return x.node.partitioned || x.node.fleet.random.Intn(100) < x.lossPercent
}

// arrive has the instance answer, by its leader where it isn't the leader itself.
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

// respond sends a response back, now and then one of long ago in its place.
func (x *heartbeatExchange) respond(t api.HeartbeatResponse, err error) {
	f := x.node.fleet
	if err == nil && t.LeaseID != 0 && t.LeaseMS == 0 && !f.Calm {
		t = f.staleOr(t)
	}
	if !x.lost() {
		f.after(0.3+f.random.ExpFloat64()*3, func() { x.receive(t, err) })
	}
}

// staleOr keeps a response to be given again later, and gives it or an earlier one.
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

// receive hands the response to the agent, unless the node restarted or is paused meanwhile.
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

// probe looks at other nodes, for the next load report.
func (n *node) probe(targets []api.ProbeTarget) {
	if n.fleet.probePeer == nil {
		return
	}
	for _, t := range targets {
		n.peerHealth = append(n.peerHealth, n.fleet.probePeer(n, t))
	}
}
