package harness

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

type vevent struct {
	at  float64
	seq int
	do  func()
}
type vevents []vevent

func (q vevents) Len() int { return len(q) }
func (q vevents) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].seq < q[k].seq
}
func (q vevents) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *vevents) Push(x any)   { *q = append(*q, x.(vevent)) }
func (q *vevents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// vnode is one node.
type vnode struct {
	w      *VFleet
	name   string
	zone   int
	rate   float64 // of its clock
	m      *agent.Agent
	life   int
	up     bool
	paused bool
	missed bool   // something came while it was paused
	says   uint64 // a version it refuses
	mute   bool   // never gets to prepare anything
	forget bool   // has no disk
	kept   agent.Record
	serves bool
	under  uint64
	cut    bool // from the group
	armed  float64
	busy   uint64          // version being prepared
	at     api.VersionHash // prepared last
	gate   *zonegate.Gate
	seen   []api.PeerHealth
	held   bool // not started yet
}

// vctl is one instance of the group.
type vctl struct {
	s    *coordinator.Leader
	up   bool
	rate float64
	last float64
}

// VFleet is one schedule.
type VFleet struct {
	FleetPlan
	r       *rand.Rand
	now     float64
	seq     int
	events  vevents
	part    *coordinator.State
	ctl     []*vctl
	lead    int // -1: nobody
	term    uint64
	index   uint64
	nodes   []*vnode
	texts   []string // by version less one
	hashes  []string
	History []FleetEvent
	known   map[uint64]policy.Step // step by change
	Broken  string
	Asks    int
	Entries int
	Bytes   int
	Times   []float64           // ms from proposed to in force
	Ends    map[policy.Step]int // of changes
	Causes  map[string]int      // of those called off
	Overlap int64
	Shed    float64 // node-ms fenced while up and reachable
	Served  float64
	done    int
	bad     map[string]bool         // hashes of texts that any trial fails
	stale   []api.HeartbeatResponse // answers of long ago, as an instance that is behind would give them

	vlost
	load    func(n *vnode) *api.LoadReport                   // what a node reports of itself; nil: nothing
	look    func(n *vnode, l api.ProbeTarget) api.PeerHealth // what it sees of another
	applied func(end any)                                    // hears of each entry's end
}

func (w *VFleet) Last() uint64 { return uint64(len(w.texts)) }

// Text gives a version as the group keeps it.
func (w *VFleet) Text(n uint64) (string, string, bool) {
	if n == 0 || n > uint64(len(w.texts)) || w.hashes[n-1] == "" {
		return "", "", false
	}
	return w.texts[n-1], w.hashes[n-1], true
}

func (w *VFleet) after(ms float64, f func()) {
	w.seq++
	heap.Push(&w.events, vevent{w.now + ms, w.seq, f})
}

// NewVFleet readies a schedule.
func NewVFleet(p FleetPlan) *VFleet {
	w := &VFleet{FleetPlan: p, r: rand.New(rand.NewSource(p.Seed)), part: coordinator.NewState(p.Without), lead: -1,
		known: map[uint64]policy.Step{}, Ends: map[policy.Step]int{}, Causes: map[string]int{}, bad: map[string]bool{},
		vlost: vlost{group: "g1", ofHash: map[string]string{}, decidedAs: map[uint64]string{}, said: map[string]bool{}}}
	w.part.DisabledZoneGuards = p.WithoutZones
	if w.Zones == 0 {
		w.Zones = 3
	}
	if p.Way != "" {
		w.Without |= policy.LeaseGuard | policy.Fence | policy.PrepareAll
		w.part.DisabledGuards = w.Without
	}
	if w.Lease == 0 {
		w.Lease = 4000
	}
	w.put()
	for i := 0; i < max(1, p.Ctl); i++ {
		w.ctl = append(w.ctl, &vctl{s: w.steward(), up: true, rate: 1 + (w.r.Float64()-0.5)*0.008})
	}
	for i := 0; i < p.Nodes; i++ {
		n := &vnode{w: w, name: fmt.Sprintf("n%04d", i), zone: i % w.Zones, rate: 1 + (w.r.Float64()-0.5)*0.008,
			forget: w.r.Intn(2) == 0 && p.Loses == 0} // what only such a node knew is gone with it
		w.nodes = append(w.nodes, n)
		w.after(w.r.Float64()*500, n.start)
	}
	w.after(10, w.elect)
	for i := range w.ctl {
		w.tick(i)
	}
	return w
}

func (w *VFleet) steward() *coordinator.Leader {
	s := coordinator.NewLeader(w.Without)
	s.DisabledZoneGuards, s.Level = w.WithoutZones, coordinator.LevelSameProcess
	return s
}

// put adds a version to the group's.
func (w *VFleet) put() uint64 {
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

func (w *VFleet) elect() {
	if w.gone || w.lead >= 0 && w.ctl[w.lead].up {
		return
	}
	up, most := []int{}, 0
	for i, c := range w.ctl {
		if c.up {
			up = append(up, i)
			most++
		}
	}
	if 2*most <= len(w.ctl) {
		w.after(100, w.elect)
		return
	}
	w.lead = up[w.r.Intn(len(up))]
	w.term++
}

// tick lets an instance look at its clock.
func (w *VFleet) tick(i int) {
	c := w.ctl[i]
	if c.up {
		leads := w.lead == i
		c.s.SetRole(w.group, leads, w.term)
		at := w.now * c.rate
		ms := uint64(at) - uint64(c.last)
		if ms > 200 {
			ms = 200
		}
		c.last = at
		for _, e := range c.s.Tick(w.part, ms) {
			w.propose(i, e)
		}
	}
	w.after(20+w.r.Float64()*10, func() { w.tick(i) })
}

// propose has an entry committed after a while, unless its leader is lost first; it may be committed all the same then.
func (w *VFleet) propose(i int, e coordinator.Entry) {
	term, lost, part := w.term, w.r.Intn(2) == 0, w.part
	w.after(2+w.r.ExpFloat64()*5, func() {
		if w.part != part { // lost with the state that it was for
			return
		}
		if (w.lead != i || w.term != term) && lost {
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
		end, err := w.part.Apply(e.Kind, e.Body, w.index, term, w)
		if err != nil {
			w.fail("%v", err)
			return
		}
		w.watch()
		w.notices()
		if w.applied != nil {
			w.applied(end)
		}
		for _, c := range w.ctl {
			if c.up {
				c.s.EntryApplied(w.part, end)
			}
		}
	})
}

// allPrepared holds a decision that counts to its condition: whoever is in has the version at hand.
func (w *VFleet) allPrepared(op *policy.Op) {
	c := w.part.Policy.Current
	if c == nil || c.Number != op.ChangeNumber || c.Step != policy.Preparing || op.FleetEpoch != w.part.Fleet.Epoch &&
		!w.Without.Has(policy.PrepareAll) {
		return
	}
	for _, n := range w.nodes {
		f := w.part.Fleet.Lookup(n.name)
		if f == nil || f.OutReason != "" || !n.up || n.paused ||
			!strings.HasPrefix(f.Lease.Nonce, n.nonce()+"-") {
			continue
		}
		if !n.m.IsPrepared(c.Version) && !slices.Contains(op.LeftBehind, n.name) {
			w.fail("change %d was decided and %s, which has a lease, has not prepared version %d", c.Number, n.name, c.Version)
		}
	}
}

// watch records what the group decided.
func (w *VFleet) watch() {
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
					w.part.Policy.Apply(&policy.Op{Kind: "decide", ChangeNumber: c.Number}, w.part.Fleet, nil, w.Without)
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
	for _, c := range w.part.Policy.History {
		look(c)
	}
	if c := w.part.Policy.Current; c != nil {
		look(c)
	}
}

// tried holds a decision to the trial: no version that fails it is decided.
func (w *VFleet) tried(c *policy.Change) {
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

func (w *VFleet) record(e FleetEvent) {
	e.At = int64(w.now * 10)
	w.History = append(w.History, e)
}

func (w *VFleet) fail(format string, args ...any) {
	if w.Broken == "" {
		w.Broken = fmt.Sprintf("%.1f ms: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// ---- Nodes.

func (n *vnode) nonce() string { return fmt.Sprintf("%s-%08d", n.name, n.life) }

func (n *vnode) clock() uint64 { return uint64(n.w.now*n.rate) + 1000 }

func (n *vnode) start() {
	if n.held {
		return
	}
	n.life++
	n.up, n.paused, n.busy, n.armed = true, false, 0, 0
	plan := agent.Config{Name: n.name, Zone: fmt.Sprint("z", n.zone), Address: n.name, Nonce: n.nonce(),
		JitterSeed: uint32(n.w.r.Int31()), DisabledGuards: n.w.Without}
	for i := range n.w.ctl {
		plan.ControlAddresses = append(plan.ControlAddresses, fmt.Sprint(i))
	}
	var kept *agent.Record
	if !n.forget && n.kept.Cluster != "" {
		kept = &n.kept
	}
	n.m, n.gate = agent.New(plan, kept, n.clock()), zonegate.NewGate(1, plan.JitterSeed)
	n.gate.SetOrder(n.clock(), n.m.ZoneOrder())
	n.step()
}

// kill ends its process; a name that comes back begins a new life.
func (n *vnode) kill() {
	n.set(false)
	n.up, n.life = false, n.life+1
}

func (n *vnode) set(serves bool) {
	if serves == n.serves && (!serves || n.under == n.m.ActiveVersion()) {
		return
	}
	n.serves = serves
	if serves {
		n.under = n.m.ActiveVersion()
		n.w.record(FleetEvent{Kind: "serves", Node: n.name, Version: n.under})
	} else {
		n.w.record(FleetEvent{Kind: "stops", Node: n.name})
	}
}

// step is a round of the node's loop.
func (n *vnode) step() {
	w := n.w
	if !n.up {
		return
	}
	if n.paused {
		n.missed = true
		return
	}
	now := n.clock()
	if v, ok := n.m.VersionToActivate(now); ok {
		n.m.MarkActive(now, v, false)
		n.kept.ActiveVersion, n.kept.ActiveHash = v.Version, v.Hash
		n.note()
	}
	ok, _ := n.m.MayServe(now)
	n.set(ok)
	if a, no, due := n.m.Heartbeat(now); due {
		w.Asks++
		if w.load != nil && n.m.ZoneOrder() != nil {
			a.Load, a.Peers, n.seen = w.load(n), n.seen, nil
		}
		n.send(a, no)
	}
	if v, decided, ok := n.m.VersionToFetch(); ok && n.busy != v.Version {
		n.busy = v.Version
		life := n.life
		if n.mute && !decided {
			return
		}
		w.after(10+w.r.ExpFloat64()*150, func() {
			if n.life != life || !n.up {
				return
			}
			n.busy = 0
			if (n.says == v.Version || w.bad[v.Hash] && !w.Without.Has(policy.Shadow)) && !decided {
				n.m.Reject(n.clock(), v.Version, "it says no", false)
			} else {
				n.m.MarkPrepared(n.clock(), v)
				n.at = v
			}
			n.step()
		})
	}
	n.arm(now)
}

// arm has the next round come when the member wants one or its lease ends.
func (n *vnode) arm(now uint64) {
	w := n.w
	at := n.m.NextHeartbeat()
	if u := n.m.LeaseExpiry(); n.serves && u > now {
		at = min(at, u)
	}
	at = max(at, now+1)
	wait := (float64(at-now) + 0.01) / n.rate
	if n.armed > w.now && n.armed <= w.now+wait {
		return
	}
	n.armed = w.now + wait
	life := n.life
	w.after(wait, func() {
		if n.life != life {
			return
		}
		if n.m.NextHeartbeat() <= n.clock() {
			n.m.ExpireHeartbeat(n.clock())
		}
		n.step()
	})
}

// send brings an asking to the instance and its answer back, unless either is lost.
func (n *vnode) send(a api.HeartbeatRequest, no uint64) {
	w := n.w
	to, life := 0, n.life
	fmt.Sscan(n.m.ControlAddress(), &to)
	lossy := 0
	if !w.Calm {
		lossy = 3
	}
	if n.cut || w.r.Intn(100) < lossy {
		return
	}
	back := func(t api.HeartbeatResponse, err error) {
		if err == nil && t.LeaseID != 0 && t.LeaseMS == 0 && !w.Calm {
			if len(w.stale) < 64 || w.r.Intn(8) == 0 {
				w.stale = append(w.stale, t)
				w.stale = w.stale[max(0, len(w.stale)-64):]
			}
			if w.r.Intn(60) == 0 {
				t = w.stale[w.r.Intn(len(w.stale))]
			}
		}
		if n.cut || w.r.Intn(100) < lossy {
			return
		}
		w.after(0.3+w.r.ExpFloat64()*3, func() {
			if n.life != life || !n.up {
				return
			}
			if n.paused { // it waits in the socket
				n.missed = true
				return
			}
			if err != nil {
				n.m.HandleFailure(n.clock(), no)
			} else {
				was := n.m.MinVersion()
				if n.believes(no, t) {
					n.gate.SetOrder(n.clock(), n.m.ZoneOrder())
					for _, l := range t.ProbeTargets {
						if w.look == nil {
							break
						}
						n.seen = append(n.seen, w.look(n, l))
					}
				}
				if n.m.MinVersion() > was || n.m.LastSeen().Generation != n.kept.Generation {
					n.note()
				}
			}
			n.step()
		})
	}
	w.after(0.3+w.r.ExpFloat64()*3, func() {
		if t, speaks := w.ghost(n, to, &a); speaks {
			back(t, nil)
			return
		}
		if w.gathers {
			w.hears(n)
		}
		if !w.ctl[to].up || w.lead < 0 || !w.ctl[w.lead].up {
			back(api.HeartbeatResponse{}, coordinator.ErrNotLeader)
			return
		}
		if w.lead == to {
			w.ctl[to].s.Heartbeat(w.part, a, back)
			return
		}
		lead := w.lead
		w.after(0.3+w.r.ExpFloat64(), func() { w.ctl[lead].s.Heartbeat(w.part, a, back) })
	})
}

// ---- The operator and the troubles.

// change proposes a version, as an operator would: asked again under one key until there is an answer.
func (w *VFleet) change(excl bool, spare int) {
	if w.lead < 0 || w.part.Policy.Current != nil {
		w.after(200, func() { w.change(excl, spare) })
		return
	}
	v := w.put()
	w.bad[w.hashes[v-1]] = v > 2 && !w.Calm && w.r.Intn(12) == 0
	w.ask(policy.Op{Kind: "propose", Proposal: &policy.Proposal{Version: v, Exclusive: excl,
		PrepareWithinMS: 2*uint64(w.Lease) + 4000, MaxLeftBehind: spare, Author: "lab", IdempotencyKey: fmt.Sprintf("change-%08d", v)}})
}

func (w *VFleet) ask(op policy.Op) {
	answered := false
	if w.lead >= 0 && w.ctl[w.lead].up {
		w.ctl[w.lead].s.SubmitPolicy(op, func(r policy.Result, err error) {
			if answered || err != nil {
				return
			}
			answered = true
			if r.Rejection != "" { // another change came first: a later version, as this one may be behind by then
				w.change(op.Proposal.Exclusive, op.Proposal.MaxLeftBehind)
				return
			}
			w.done++
			if op.Proposal.Version > 2 && !w.Calm && w.r.Intn(3) == 0 { // an operator who thinks better of it
				w.after(w.r.Float64()*3000, func() { w.callOff(r.ChangeNumber) })
			}
		})
	}
	w.after(3000, func() {
		if !answered {
			answered = true
			w.ask(op)
		}
	})
}

func (w *VFleet) callOff(number uint64) {
	if w.lead >= 0 && w.ctl[w.lead].up {
		w.ctl[w.lead].s.SubmitPolicy(policy.Op{Kind: "off", ChangeNumber: number, Author: "lab", Reason: "it is called off"},
			func(policy.Result, error) {})
	}
}

// trouble does one thing that goes wrong, and has it heal.
func (w *VFleet) trouble() {
	n := w.nodes[w.r.Intn(len(w.nodes))]
	lease := float64(w.Lease)
	switch w.r.Intn(11) {
	case 0: // killed and back
		if n.up {
			n.kill()
			w.after(w.r.Float64()*2*lease, func() {
				if !n.up {
					n.start()
				}
			})
		}
	case 1, 2: // stopped, past its lease or not
		if n.up && !n.paused {
			n.set(false) // it decides nothing
			n.paused, n.missed = true, true
			life := n.life
			w.after(w.r.Float64()*2*lease, func() {
				if n.life == life && n.paused {
					n.paused = false
					n.m.ExpireHeartbeat(n.clock())
					n.step()
				}
			})
		}
	case 3: // a zone cut off from the group
		zone := w.r.Intn(3)
		for _, o := range w.nodes {
			if o.zone == zone {
				o.cut = true
			}
		}
		w.after(w.r.Float64()*2*lease, func() {
			for _, o := range w.nodes {
				if o.zone == zone {
					o.cut = false
				}
			}
		})
	case 4: // cut off alone
		n.cut = true
		w.after(w.r.Float64()*2*lease, func() { n.cut = false })
	case 5, 6, 7: // the leader, or an instance
		i := w.r.Intn(len(w.ctl))
		if w.r.Intn(2) == 0 && w.lead >= 0 {
			i = w.lead
		}
		c := w.ctl[i]
		if !c.up {
			return
		}
		if w.gone {
			return
		}
		c.up = false
		if w.lead == i {
			w.lead = -1
			w.after(300+w.r.Float64()*700, w.elect)
		}
		part := w.part
		w.after(500+w.r.Float64()*lease, func() {
			if w.part != part || w.gone { // all were started anew meanwhile
				return
			}
			c.s, c.up, c.last = w.steward(), true, w.now*c.rate
			w.elect()
		})
	case 8: // says no to what comes next
		n.says = w.Last() + 1
	case 9: // never prepares, for a while
		n.mute = true
		w.after(2*lease, func() { n.mute, n.busy = false, 0 })
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
func (w *VFleet) Play() {
	if w.Span == 0 {
		w.Span = 30_000
	}
	// The first version of all: until it is settled nodes hold what they had before on other terms.
	w.after(1500, func() { w.change(false, 0) })
	w.Changes++
	w.until(begins)
	at := 500.0
	for i := 1; i < w.Changes; i++ {
		excl, spare := w.r.Intn(3) == 0, 0
		if w.r.Intn(4) == 0 {
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
		for t := 1000.0; t < float64(w.Span); t += w.r.ExpFloat64() * float64(w.Span) / 12 {
			w.after(t, w.trouble)
		}
	}
	if w.Loses > 0 {
		w.save()
		w.outdated()
		w.drill()
	}
	for i := 0; i < w.Loses; i++ {
		w.after(2000+w.r.Float64()*float64(w.Span), w.lose)
	}
	w.until(w.now + float64(w.Span) + 3*float64(w.Lease) + float64(len(w.nodes))*10*w.Down)
	// All heals: then every change ends and every node serves under what is in force.
	for _, n := range w.nodes {
		n.cut, n.mute, n.busy = false, false, 0
	}
	w.Calm = true
	if w.Loses > 0 { // one may have come last of all
		w.until(w.now + 30_000)
	}
	w.until(w.now + 12*float64(w.Lease) + 65_000)
	if w.Way != "" {
		w.Overlap = longestOverlap(w.History)
		return
	}
	w.check()
}

func (w *VFleet) until(at float64) {
	for len(w.events) > 0 && w.events[0].at <= at {
		e := heap.Pop(&w.events).(vevent)
		w.now = e.at
		e.do()
	}
	w.now = at
}

func (w *VFleet) check() {
	if w.Broken != "" {
		return
	}
	if c := w.part.Policy.Current; c != nil {
		w.fail("change %d to version %d is still %s", c.Number, c.Version, c.Step)
	}
	if w.done < w.Changes {
		w.fail("%d of %d changes were never taken", w.Changes-w.done, w.Changes)
	}
	for _, n := range w.nodes {
		if !n.serves || n.under != w.part.Policy.CommittedVersion {
			_, why := n.m.MayServe(n.clock())
			w.fail("%s serves %v under version %d at the end (%s), expected version %d", n.name, n.serves, n.under, why,
				w.part.Policy.CommittedVersion)
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
