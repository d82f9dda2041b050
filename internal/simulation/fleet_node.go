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
	rate        float64 // of its clock
	incarnation int
	up          bool
	notStarted  bool // not started yet
	nodeFaults
	agent         *agent.Agent
	gate          *zonegate.Gate
	record        agent.Record // on its disk
	serves        bool
	activeVersion uint64
	armed         float64
	busy          uint64          // version being prepared
	at            api.VersionHash // prepared last
	peerHealth    []api.PeerHealth
}

// nodeFaults is what is wrong with a node.
type nodeFaults struct {
	paused        bool
	cut           bool   // from the group
	rejects       uint64 // a version it refuses
	neverPrepares bool   // never gets to prepare anything
	diskless      bool   // has no disk
}

func (n *node) nonce() string { return fmt.Sprintf("%s-%08d", n.name, n.incarnation) }

func (n *node) clock() uint64 { return uint64(n.fleet.Now*n.rate) + 1000 }

func (n *node) start() {
	if n.notStarted {
		return
	}
	n.incarnation++
	n.up, n.paused, n.busy, n.armed = true, false, 0, 0
	plan := agent.Config{Name: n.name, Zone: fmt.Sprint("z", n.zone), Address: n.name, Nonce: n.nonce(),
		JitterSeed: uint32(n.fleet.random.Int31()), DisabledGuards: n.fleet.Without}
	for i := range n.fleet.control {
		plan.ControlAddresses = append(plan.ControlAddresses, fmt.Sprint(i))
	}
	var kept *agent.Record
	if !n.diskless && n.record.Cluster != "" {
		kept = &n.record
	}
	n.agent, n.gate = agent.New(plan, kept, n.clock()), zonegate.NewGate(1, plan.JitterSeed)
	n.gate.SetOrder(n.clock(), n.agent.ZoneOrder())
	n.step()
}

// kill ends its process; a name that comes back begins a new life.
func (n *node) kill() {
	n.set(false)
	n.up, n.incarnation = false, n.incarnation+1
}

func (n *node) set(serves bool) {
	if serves == n.serves && (!serves || n.activeVersion == n.agent.ActiveVersion()) {
		return
	}
	n.serves = serves
	if serves {
		n.activeVersion = n.agent.ActiveVersion()
		n.fleet.record(FleetEvent{Kind: "serves", Node: n.name, Version: n.activeVersion})
	} else {
		n.fleet.record(FleetEvent{Kind: "stops", Node: n.name})
	}
}

// step is a round of the node's loop.
func (n *node) step() {
	w := n.fleet
	if !n.up || n.paused {
		return
	}
	now := n.clock()
	if v, ok := n.agent.VersionToActivate(now); ok {
		n.agent.MarkActive(now, v, false)
		n.record.ActiveVersion, n.record.ActiveHash = v.Version, v.Hash
		n.note()
	}
	ok, _ := n.agent.MayServe(now)
	n.set(ok)
	if a, no, due := n.agent.Heartbeat(now); due {
		w.Heartbeats++
		if w.load != nil && n.agent.ZoneOrder() != nil {
			a.Load, a.Peers, n.peerHealth = w.load(n), n.peerHealth, nil
		}
		n.send(a, no)
	}
	if v, decided, ok := n.agent.VersionToFetch(); ok && n.busy != v.Version {
		n.busy = v.Version
		life := n.incarnation
		if n.neverPrepares && !decided {
			return
		}
		w.after(10+w.random.ExpFloat64()*150, func() {
			if n.incarnation != life || !n.up {
				return
			}
			n.busy = 0
			if (n.rejects == v.Version || w.bad[v.Hash] && !w.Without.Has(policy.Shadow)) && !decided {
				n.agent.Reject(n.clock(), v.Version, "it says no", false)
			} else {
				n.agent.MarkPrepared(n.clock(), v)
				n.at = v
			}
			n.step()
		})
	}
	n.arm(now)
}

// arm has the next round come when the member wants one or its lease ends.
func (n *node) arm(now uint64) {
	w := n.fleet
	at := n.agent.NextHeartbeat()
	if u := n.agent.LeaseExpiry(); n.serves && u > now {
		at = min(at, u)
	}
	at = max(at, now+1)
	wait := (float64(at-now) + 0.01) / n.rate
	if n.armed > w.Now && n.armed <= w.Now+wait {
		return
	}
	n.armed = w.Now + wait
	life := n.incarnation
	w.after(wait, func() {
		if n.incarnation != life {
			return
		}
		if n.agent.NextHeartbeat() <= n.clock() {
			n.agent.ExpireHeartbeat(n.clock())
		}
		n.step()
	})
}

// exchange is one heartbeat: from a node to an instance of the group, and its response back.
type exchange struct {
	node        *node
	incarnation int // of the node as it sent it
	instance    int
	number      uint64 // the agent's, of the heartbeat
	request     api.HeartbeatRequest
	lossPercent int // of messages
}

// maxStaleResponses is how many responses of long ago are at hand to be given once more.
const maxStaleResponses = 64

// send brings a heartbeat to the instance that the node goes by and the response back, unless either is lost.
func (n *node) send(request api.HeartbeatRequest, number uint64) {
	w := n.fleet
	x := &exchange{node: n, incarnation: n.incarnation, number: number, request: request}
	fmt.Sscan(n.agent.ControlAddress(), &x.instance)
	if !w.Calm {
		x.lossPercent = 3
	}
	if !x.lost() {
		w.after(0.3+w.random.ExpFloat64()*3, x.arrive)
	}
}

func (x *exchange) lost() bool {
	return x.node.cut || x.node.fleet.random.Intn(100) < x.lossPercent
}

// arrive has the instance answer, by its leader where it isn't the leader itself.
func (x *exchange) arrive() {
	w := x.node.fleet
	if t, speaks := w.ghost(x.node, x.instance, &x.request); speaks {
		x.respond(t, nil)
		return
	}
	if w.gathers {
		w.hears(x.node)
	}
	if !w.control[x.instance].up || w.leader < 0 || !w.control[w.leader].up {
		x.respond(api.HeartbeatResponse{}, coordinator.ErrNotLeader)
		return
	}
	leader := w.leader
	heartbeat := func() { w.control[leader].s.Heartbeat(w.state, x.request, x.respond) }
	if leader == x.instance {
		heartbeat()
		return
	}
	w.after(0.3+w.random.ExpFloat64(), heartbeat)
}

// respond sends a response back, now and then one of long ago in its place.
func (x *exchange) respond(t api.HeartbeatResponse, err error) {
	w := x.node.fleet
	if err == nil && t.LeaseID != 0 && t.LeaseMS == 0 && !w.Calm {
		t = w.orStale(t)
	}
	if !x.lost() {
		w.after(0.3+w.random.ExpFloat64()*3, func() { x.receive(t, err) })
	}
}

// orStale keeps a response to be given again later, and gives it or an earlier one.
func (w *Fleet) orStale(t api.HeartbeatResponse) api.HeartbeatResponse {
	if len(w.stale) < maxStaleResponses || w.random.Intn(8) == 0 {
		w.stale = append(w.stale, t)
		w.stale = w.stale[max(0, len(w.stale)-maxStaleResponses):]
	}
	if w.random.Intn(60) == 0 {
		return w.stale[w.random.Intn(len(w.stale))]
	}
	return t
}

// receive hands the response to the agent, unless the node restarted or is paused meanwhile.
func (x *exchange) receive(t api.HeartbeatResponse, err error) {
	n := x.node
	if n.incarnation != x.incarnation || !n.up || n.paused {
		return
	}
	if err != nil {
		n.agent.HandleFailure(n.clock(), x.number)
	} else {
		minVersion := n.agent.MinVersion()
		if n.believes(x.number, t) {
			n.gate.SetOrder(n.clock(), n.agent.ZoneOrder())
			n.probe(t.ProbeTargets)
		}
		if n.agent.MinVersion() > minVersion || n.agent.LastSeen().Generation != n.record.Generation {
			n.note()
		}
	}
	n.step()
}

// probe looks at other nodes, for the next load report.
func (n *node) probe(targets []api.ProbeTarget) {
	if n.fleet.look == nil {
		return
	}
	for _, t := range targets {
		n.peerHealth = append(n.peerHealth, n.fleet.look(n, t))
	}
}
