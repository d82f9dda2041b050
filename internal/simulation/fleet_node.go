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
	fleet         *Fleet
	name          string
	zone          int
	rate          float64 // of its clock
	agent         *agent.Agent
	incarnation   int
	up            bool
	paused        bool
	missed        bool   // something came while it was paused
	rejects       uint64 // a version it refuses
	neverPrepares bool   // never gets to prepare anything
	diskless      bool   // has no disk
	record        agent.Record
	serves        bool
	activeVersion uint64
	cut           bool // from the group
	armed         float64
	busy          uint64          // version being prepared
	at            api.VersionHash // prepared last
	gate          *zonegate.Gate
	peerHealth    []api.PeerHealth
	notStarted    bool // not started yet
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
	if !n.up {
		return
	}
	if n.paused {
		n.missed = true
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

// send brings an asking to the instance and its answer back, unless either is lost.
func (n *node) send(a api.HeartbeatRequest, no uint64) {
	w := n.fleet
	to, life := 0, n.incarnation
	fmt.Sscan(n.agent.ControlAddress(), &to)
	lossy := 0
	if !w.Calm {
		lossy = 3
	}
	if n.cut || w.random.Intn(100) < lossy {
		return
	}
	back := func(t api.HeartbeatResponse, err error) {
		if err == nil && t.LeaseID != 0 && t.LeaseMS == 0 && !w.Calm {
			if len(w.stale) < 64 || w.random.Intn(8) == 0 {
				w.stale = append(w.stale, t)
				w.stale = w.stale[max(0, len(w.stale)-64):]
			}
			if w.random.Intn(60) == 0 {
				t = w.stale[w.random.Intn(len(w.stale))]
			}
		}
		if n.cut || w.random.Intn(100) < lossy {
			return
		}
		w.after(0.3+w.random.ExpFloat64()*3, func() {
			if n.incarnation != life || !n.up {
				return
			}
			if n.paused { // it waits in the socket
				n.missed = true
				return
			}
			if err != nil {
				n.agent.HandleFailure(n.clock(), no)
			} else {
				was := n.agent.MinVersion()
				if n.believes(no, t) {
					n.gate.SetOrder(n.clock(), n.agent.ZoneOrder())
					for _, l := range t.ProbeTargets {
						if w.look == nil {
							break
						}
						n.peerHealth = append(n.peerHealth, w.look(n, l))
					}
				}
				if n.agent.MinVersion() > was || n.agent.LastSeen().Generation != n.record.Generation {
					n.note()
				}
			}
			n.step()
		})
	}
	w.after(0.3+w.random.ExpFloat64()*3, func() {
		if t, speaks := w.ghost(n, to, &a); speaks {
			back(t, nil)
			return
		}
		if w.gathers {
			w.hears(n)
		}
		if !w.control[to].up || w.leader < 0 || !w.control[w.leader].up {
			back(api.HeartbeatResponse{}, coordinator.ErrNotLeader)
			return
		}
		if w.leader == to {
			w.control[to].s.Heartbeat(w.state, a, back)
			return
		}
		lead := w.leader
		w.after(0.3+w.random.ExpFloat64(), func() { w.control[lead].s.Heartbeat(w.state, a, back) })
	})
}
