package simulation

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"strings"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/zonegate"
)

// vfleet.go is a fleet in virtual time: the group's replicated part and its leaders' stewards, the nodes' members, all
// of them the real code, on played clocks, lines and crashes. The log is played too: what a leader proposes is committed
// after a while, or lost with it. Times are ms.

// The baselines: a version is in force as soon as it is proposed, or as soon as half of the nodes have prepared it, and
// nodes hold no leases.
const (
	WayEach     = "each"
	WayMajority = "majority"
)

// FleetPlan is what one schedule is drawn from.
type FleetPlan struct {
	Seed    int64
	Nodes   int
	Ctl     int
	Span    int64 // ms in which faults come; then all heals
	Changes int
	Without policy.Guard
	Lease   int64 // of the policy, ms
	Calm    bool  // no faults
	Down    float64
	Way     string // "", or a baseline

	Loses        int    // times that the group loses state, see vlost.go
	Zones        int    // 0: three
	Rules        string // [zones] of the policy; empty: none
	WithoutZones zones.Guard
}

type timedEvent struct {
	at  float64
	seq int
	do  func()
}
type timedEvents []timedEvent

func (q timedEvents) Len() int { return len(q) }
func (q timedEvents) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].seq < q[k].seq
}
func (q timedEvents) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *timedEvents) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *timedEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

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

// controlInstance is one instance of the group.
type controlInstance struct {
	s    *coordinator.Leader
	up   bool
	rate float64
	last float64
}

// Fleet is one schedule.
type Fleet struct {
	FleetPlan
	random     *rand.Rand
	Now        float64
	seq        int
	events     timedEvents
	state      *coordinator.State
	control    []*controlInstance
	leader     int // -1: nobody
	term       uint64
	index      uint64
	nodes      []*node
	texts      []string // by version less one
	hashes     []string
	History    []FleetEvent
	known      map[uint64]policy.Step // step by change
	Broken     string
	Heartbeats int
	Entries    int
	Bytes      int
	Times      []float64           // ms from proposed to in force
	Ends       map[policy.Step]int // of changes
	Causes     map[string]int      // of those called off
	Overlap    int64
	Shed       float64 // node-ms fenced while up and reachable
	Served     float64
	done       int
	bad        map[string]bool         // hashes of texts that any trial fails
	stale      []api.HeartbeatResponse // answers of long ago, as an instance that is behind would give them

	stateLoss
	load    func(n *node) *api.LoadReport                   // what a node reports of itself; nil: nothing
	look    func(n *node, l api.ProbeTarget) api.PeerHealth // what it sees of another
	applied func(end any)                                   // hears of each entry's end
}

// Last is the newest version of the policy.
func (w *Fleet) Last() uint64 { return uint64(len(w.texts)) }

// Text gives a version as the group keeps it.
func (w *Fleet) Text(n uint64) (string, string, bool) {
	if n == 0 || n > uint64(len(w.texts)) || w.hashes[n-1] == "" {
		return "", "", false
	}
	return w.texts[n-1], w.hashes[n-1], true
}

func (w *Fleet) after(ms float64, f func()) {
	w.seq++
	heap.Push(&w.events, timedEvent{w.Now + ms, w.seq, f})
}

// NewFleet readies a schedule.
func NewFleet(p FleetPlan) *Fleet {
	w := &Fleet{FleetPlan: p, random: rand.New(rand.NewSource(p.Seed)), state: coordinator.NewState(p.Without), leader: -1,
		known: map[uint64]policy.Step{}, Ends: map[policy.Step]int{}, Causes: map[string]int{}, bad: map[string]bool{},
		stateLoss: stateLoss{group: "g1", ofHash: map[string]string{}, decidedAs: map[uint64]string{}, said: map[string]bool{}}}
	w.state.DisabledZoneGuards = p.WithoutZones
	if w.Zones == 0 {
		w.Zones = 3
	}
	if p.Way != "" {
		w.Without |= policy.LeaseGuard | policy.Fence | policy.PrepareAll
		w.state.DisabledGuards = w.Without
	}
	if w.Lease == 0 {
		w.Lease = 4000
	}
	w.put()
	for i := 0; i < max(1, p.Ctl); i++ {
		w.control = append(w.control, &controlInstance{s: w.currentLeader(), up: true, rate: 1 + (w.random.Float64()-0.5)*0.008})
	}
	for i := 0; i < p.Nodes; i++ {
		n := &node{fleet: w, name: fmt.Sprintf("n%04d", i), zone: i % w.Zones, rate: 1 + (w.random.Float64()-0.5)*0.008,
			diskless: w.random.Intn(2) == 0 && p.Loses == 0} // what only such a node knew is gone with it
		w.nodes = append(w.nodes, n)
		w.after(w.random.Float64()*500, n.start)
	}
	w.after(10, w.elect)
	for i := range w.control {
		w.tick(i)
	}
	return w
}

func (w *Fleet) currentLeader() *coordinator.Leader {
	s := coordinator.NewLeader(w.Without)
	s.DisabledZoneGuards, s.Level = w.WithoutZones, coordinator.LevelSameProcess
	return s
}

// put adds a version to the group's.
func (w *Fleet) put() uint64 {
	n := len(w.texts) + 1
	w.puts++ // no text comes twice, also where a number does after a loss
	d, err := document.Parse("version", []byte(fmt.Sprintf("[fleet]\nlease = %dms\nwhen_alone = fence\n[tenant t]\nrate = %d\n%s",
		w.Lease, w.puts, w.Rules)))
	if err != nil {
		panic(err)
	}
	text := d.Canonical()
	w.texts, w.hashes = append(w.texts, string(text)), append(w.hashes, document.Hash(text))
	w.ofHash[document.Hash(text)] = string(text)
	return uint64(n)
}

// ---- The group.

func (w *Fleet) elect() {
	if w.gone || w.leader >= 0 && w.control[w.leader].up {
		return
	}
	up, most := []int{}, 0
	for i, c := range w.control {
		if c.up {
			up = append(up, i)
			most++
		}
	}
	if 2*most <= len(w.control) {
		w.after(100, w.elect)
		return
	}
	w.leader = up[w.random.Intn(len(up))]
	w.term++
}

// tick lets an instance look at its clock.
func (w *Fleet) tick(i int) {
	c := w.control[i]
	if c.up {
		leads := w.leader == i
		c.s.SetRole(w.group, leads, w.term)
		at := w.Now * c.rate
		ms := uint64(at) - uint64(c.last)
		if ms > 200 {
			ms = 200
		}
		c.last = at
		for _, e := range c.s.Tick(w.state, ms) {
			w.propose(i, e)
		}
	}
	w.after(20+w.random.Float64()*10, func() { w.tick(i) })
}

// propose has an entry committed after a while, unless its leader is lost first; it may be committed all the same then.
func (w *Fleet) propose(i int, e coordinator.Entry) {
	term, lost, part := w.term, w.random.Intn(2) == 0, w.state
	w.after(2+w.random.ExpFloat64()*5, func() {
		if w.state != part { // lost with the state that it was for
			return
		}
		if (w.leader != i || w.term != term) && lost {
			return
		}
		w.index++
		w.Entries++
		w.Bytes += len(e.Body)
		var op policy.Op
		if e.Kind == coordinator.KindPolicy {
			json.Unmarshal(e.Body, &op)
		}
		if op.Kind == "decide" && w.Broken == "" && w.Way == "" {
			w.allPrepared(&op)
		}
		end, err := w.state.Apply(e.Kind, e.Body, w.index, term, w)
		if err != nil {
			w.fail("%v", err)
			return
		}
		w.watch()
		w.notices()
		if w.applied != nil {
			w.applied(end)
		}
		for _, c := range w.control {
			if c.up {
				c.s.EntryApplied(w.state, end)
			}
		}
	})
}

// allPrepared holds a decision that counts to its condition: whoever is in has the version at hand.
func (w *Fleet) allPrepared(op *policy.Op) {
	c := w.state.Policy.Current
	if c == nil || c.Number != op.ChangeNumber || c.Step != policy.Preparing || op.FleetEpoch != w.state.Fleet.Epoch &&
		!w.Without.Has(policy.PrepareAll) {
		return
	}
	for _, n := range w.nodes {
		f := w.state.Fleet.Lookup(n.name)
		if f == nil || f.OutReason != "" || !n.up || n.paused ||
			!strings.HasPrefix(f.Lease.Nonce, n.nonce()+"-") {
			continue
		}
		if !n.agent.IsPrepared(c.Version) && !slices.Contains(op.LeftBehind, n.name) {
			w.fail("change %d was decided and %s, which has a lease, has not prepared version %d", c.Number, n.name, c.Version)
		}
	}
}

// watch records what the group decided.
func (w *Fleet) watch() {
	look := func(c *policy.Change) {
		was := w.known[c.Number]
		if was == c.Step {
			return
		}
		w.known[c.Number] = c.Step
		ev := func(kind string) {
			if w.said[kind+c.Hash] {
				return // by a copy of the state from before: the same once more
			}
			if w.said[kind+c.Hash] = true; kind == "decided" {
				w.decidedAs[c.Version] = c.Hash
			}
			w.record(FleetEvent{Kind: kind, Version: c.Version, From: c.PreviousVersion, Excl: c.Proposal.Exclusive, Why: c.AbortReason})
		}
		switch c.Step {
		case policy.Preparing:
			if w.Way == WayEach {
				w.after(0, func() {
					w.index++
					w.state.Policy.Apply(&policy.Op{Kind: "decide", ChangeNumber: c.Number}, w.state.Fleet, nil, w.Without)
					w.watch()
				})
			}
		case policy.Decided:
			ev("decided")
			w.tried(c)
		case policy.Committed:
			if was == policy.Preparing || was == "" {
				ev("decided")
				w.tried(c)
			}
			ev("forced")
			w.Times = append(w.Times, float64(c.CommittedAtMS-c.ProposedAtMS))
		case policy.Settled:
			ev("settled")
			w.Ends[c.Step]++
		case policy.Aborted:
			ev("off")
			w.Ends[c.Step]++
			w.Causes[causeOf(c.AbortReason)]++
		}
	}
	for _, c := range w.state.Policy.History {
		look(c)
	}
	if c := w.state.Policy.Current; c != nil {
		look(c)
	}
}

// tried holds a decision to the trial: no version that fails it is decided.
func (w *Fleet) tried(c *policy.Change) {
	if w.bad[c.Hash] {
		w.fail("version %d was decided, and it fails its trial at any node", c.Version)
	}
}

func causeOf(why string) string {
	switch {
	case len(why) > 7 && why[:7] == "refused":
		return "a node said no"
	case len(why) > 3 && why[:3] == "not":
		return "not prepared in time"
	}
	return "by the operator"
}

func (w *Fleet) record(e FleetEvent) {
	e.At = int64(w.Now * 10)
	w.History = append(w.History, e)
}

func (w *Fleet) fail(format string, args ...any) {
	if w.Broken == "" {
		w.Broken = fmt.Sprintf("%.1f ms: ", w.Now) + fmt.Sprintf(format, args...)
	}
}

// ---- Nodes.

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

// ---- The operator and the troubles.

// change proposes a version, as an operator would: asked again under one key until there is an answer.
func (w *Fleet) change(excl bool, spare int) {
	if w.leader < 0 || w.state.Policy.Current != nil {
		w.after(200, func() { w.change(excl, spare) })
		return
	}
	v := w.put()
	w.bad[w.hashes[v-1]] = v > 2 && !w.Calm && w.random.Intn(12) == 0
	w.submit(policy.Op{Kind: "propose", Proposal: &policy.Proposal{Version: v, Exclusive: excl,
		PrepareWithinMS: 2*uint64(w.Lease) + 4000, MaxLeftBehind: spare, Author: "lab", IdempotencyKey: fmt.Sprintf("change-%08d", v)}})
}

func (w *Fleet) submit(op policy.Op) {
	answered := false
	if w.leader >= 0 && w.control[w.leader].up {
		w.control[w.leader].s.SubmitPolicy(op, func(r policy.Result, err error) {
			if answered || err != nil {
				return
			}
			answered = true
			if r.Rejection != "" { // another change came first: a later version, as this one may be behind by then
				w.change(op.Proposal.Exclusive, op.Proposal.MaxLeftBehind)
				return
			}
			w.done++
			if op.Proposal.Version > 2 && !w.Calm && w.random.Intn(3) == 0 { // an operator who thinks better of it
				w.after(w.random.Float64()*3000, func() { w.abort(r.ChangeNumber) })
			}
		})
	}
	w.after(3000, func() {
		if !answered {
			answered = true
			w.submit(op)
		}
	})
}

func (w *Fleet) abort(number uint64) {
	if w.leader >= 0 && w.control[w.leader].up {
		w.control[w.leader].s.SubmitPolicy(policy.Op{Kind: "off", ChangeNumber: number, Author: "lab", Reason: "it is called off"},
			func(policy.Result, error) {})
	}
}

// injectFault does one thing that goes wrong, and has it heal.
func (w *Fleet) injectFault() {
	n := w.nodes[w.random.Intn(len(w.nodes))]
	lease := float64(w.Lease)
	switch w.random.Intn(11) {
	case 0: // killed and back
		if n.up {
			n.kill()
			w.after(w.random.Float64()*2*lease, func() {
				if !n.up {
					n.start()
				}
			})
		}
	case 1, 2: // stopped, past its lease or not
		if n.up && !n.paused {
			n.set(false) // it decides nothing
			n.paused, n.missed = true, true
			life := n.incarnation
			w.after(w.random.Float64()*2*lease, func() {
				if n.incarnation == life && n.paused {
					n.paused = false
					n.agent.ExpireHeartbeat(n.clock())
					n.step()
				}
			})
		}
	case 3: // a zone cut off from the group
		zone := w.random.Intn(3)
		for _, o := range w.nodes {
			if o.zone == zone {
				o.cut = true
			}
		}
		w.after(w.random.Float64()*2*lease, func() {
			for _, o := range w.nodes {
				if o.zone == zone {
					o.cut = false
				}
			}
		})
	case 4: // cut off alone
		n.cut = true
		w.after(w.random.Float64()*2*lease, func() { n.cut = false })
	case 5, 6, 7: // the leader, or an instance
		i := w.random.Intn(len(w.control))
		if w.random.Intn(2) == 0 && w.leader >= 0 {
			i = w.leader
		}
		c := w.control[i]
		if !c.up {
			return
		}
		if w.gone {
			return
		}
		c.up = false
		if w.leader == i {
			w.leader = -1
			w.after(300+w.random.Float64()*700, w.elect)
		}
		part := w.state
		w.after(500+w.random.Float64()*lease, func() {
			if w.state != part || w.gone { // all were started anew meanwhile
				return
			}
			c.s, c.up, c.last = w.currentLeader(), true, w.Now*c.rate
			w.elect()
		})
	case 8: // says no to what comes next
		n.rejects = w.Last() + 1
	case 9: // never prepares, for a while
		n.neverPrepares = true
		w.after(2*lease, func() { n.neverPrepares, n.busy = false, 0 })
	case 10: // restarts in a loop
		for k := 0; k < 6; k++ {
			w.after(float64(k)*300, func() {
				if n.up {
					n.kill()
				}
				n.start()
			})
		}
	}
}

// begins is when the first version is long settled: ten seconds of leases from before it, and its own changes.
const begins = 16_000

// Play lets the schedule run to its end.
func (w *Fleet) Play() {
	if w.Span == 0 {
		w.Span = 30_000
	}
	// The first version of all: until it is settled nodes hold what they had before on other terms.
	w.after(1500, func() { w.change(false, 0) })
	w.Changes++
	w.until(begins)
	at := 500.0
	for i := 1; i < w.Changes; i++ {
		excl, spare := w.random.Intn(3) == 0, 0
		if w.random.Intn(4) == 0 {
			spare = 1
		}
		w.after(at, func() { w.change(excl, spare) })
		at += float64(w.Span) / float64(w.Changes+1)
	}
	if w.Down > 0 { // a share of the fleet is cut off while changes are made, back one by one afterwards
		for i, n := range w.nodes {
			if float64(i) < w.Down*float64(len(w.nodes)) {
				w.after(200, func() { n.cut = true })
				w.after(float64(w.Span)+float64(i)*10, func() { n.cut = false })
			}
		}
	}
	if !w.Calm {
		for t := 1000.0; t < float64(w.Span); t += w.random.ExpFloat64() * float64(w.Span) / 12 {
			w.after(t, w.injectFault)
		}
	}
	if w.Loses > 0 {
		w.save()
		w.outdated()
		w.drill()
	}
	for i := 0; i < w.Loses; i++ {
		w.after(2000+w.random.Float64()*float64(w.Span), w.lose)
	}
	w.until(w.Now + float64(w.Span) + 3*float64(w.Lease) + float64(len(w.nodes))*10*w.Down)
	// All heals: then every change ends and every node serves under what is in force.
	for _, n := range w.nodes {
		n.cut, n.neverPrepares, n.busy = false, false, 0
	}
	w.Calm = true
	if w.Loses > 0 { // one may have come last of all
		w.until(w.Now + 30_000)
	}
	w.until(w.Now + 12*float64(w.Lease) + 65_000)
	if w.Way != "" {
		w.Overlap = longestOverlap(w.History)
		return
	}
	w.check()
}

func (w *Fleet) until(at float64) {
	for len(w.events) > 0 && w.events[0].at <= at {
		e := heap.Pop(&w.events).(timedEvent)
		w.Now = e.at
		e.do()
	}
	w.Now = at
}

func (w *Fleet) check() {
	if w.Broken != "" {
		return
	}
	if c := w.state.Policy.Current; c != nil {
		w.fail("change %d to version %d is still %s", c.Number, c.Version, c.Step)
	}
	if w.done < w.Changes {
		w.fail("%d of %d changes were never taken", w.Changes-w.done, w.Changes)
	}
	for _, n := range w.nodes {
		if !n.serves || n.activeVersion != w.state.Policy.CommittedVersion {
			_, why := n.agent.MayServe(n.clock())
			w.fail("%s serves %v under version %d at the end (%s), expected version %d", n.name, n.serves, n.activeVersion, why,
				w.state.Policy.CommittedVersion)
		}
	}
	// A lease, its margin by the group's count, and a clock a hundredth off: what design/policy.md promises.
	over := int64(membership.LeaseSpanMS(uint64(w.Lease)))*10*101/100 + 500
	broken, overlap := CheckFleet(w.History, FleetPromises{Overlap: over, Fences: w.Changes > 0})
	w.Overlap = overlap
	if broken != "" {
		w.fail("%s", broken)
	}
}
