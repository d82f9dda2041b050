package harness

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/control/zones"
)

// vlost.go has a group in virtual time lose what it knows: older copies of its state are put back, or none is left; it
// finds out by what nodes prove, an operator gathers what they hold, and the next generation is founded from that, all by
// the real code. What was left of the old one may go on speaking to nodes, as a majority that was paused does.

// vlost is a schedule's part in it.
type vlost struct {
	group  string
	ofHash map[string]string // texts
	saves  []vsave
	// decidedAs has the hash that each version was decided by last.
	decidedAs map[uint64]string
	said      map[string]bool // what was recorded of which text
	losses    int
	puts      int
	gone      bool // no instance runs: the state is lost, or being restored
	told      bool // an operator has seen that state is lost
	gathers   bool // who restores it listens in place of an instance
	heard     map[string]api.NodeRecord
	old       []api.HeartbeatResponse // what leaders of generations before would go on saying
	began     uint64                  // the zones' epoch that the present generation began with

	Lost, Found, Restored int // losses, those that the group found by itself, and restorings
}

// vsave is a copy of the group's folders.
type vsave struct {
	raw           []byte
	texts, hashes []string
	index, term   uint64
	known         map[uint64]policy.Step
	events        int // of the history
}

// saveEvery is how often the folders are copied, in ms, saveMost how many copies are kept.
const saveEvery, saveMost = 700, 24

// save copies the folders now and then.
func (w *VFleet) save() {
	w.after(saveEvery, w.save)
	if w.gone || w.part.Fleet.LostState != "" {
		return
	}
	raw, err := w.part.Snapshot()
	if err != nil {
		w.fail("%v", err)
		return
	}
	known := map[uint64]policy.Step{}
	for n, s := range w.known {
		known[n] = s
	}
	w.saves = append(w.saves, vsave{raw, append([]string(nil), w.texts...), append([]string(nil), w.hashes...), w.index, w.term, known,
		len(w.History)})
	w.saves = w.saves[max(0, len(w.saves)-saveMost):]
}

// lose has all instances end, and what is left of their folders is an older copy, or nothing.
func (w *VFleet) lose() {
	if w.gone || w.part.Fleet.LostState != "" || len(w.saves) == 0 || w.part.Policy.CommittedVersion < 2 {
		return
	}
	// What one node alone knows more is no proof, as it may lie: that is a limit of the design, and not played.
	at := w.r.Intn(len(w.saves))
	for ; at > 0 && w.knowMore(w.saves[at].index) == 1; at-- {
	}
	s := w.saves[at]
	if w.knowMore(s.index) == 1 {
		return
	}
	w.ends()
	w.losses, w.Lost = w.losses+1, w.Lost+1
	if w.r.Intn(3) == 0 {
		w.after(500+w.r.Float64()*2000, func() { w.recover(w.r.Intn(2) == 0) })
		return
	}
	w.after(200+w.r.Float64()*3000, func() {
		if err := w.putBack(s); err != nil {
			w.fail("%v", err)
			return
		}
		w.gone = false
		w.begin()
	})
}

// knowMore counts the nodes that were told of entries after one.
func (w *VFleet) knowMore(index uint64) (n int) {
	for _, o := range w.nodes {
		if o.m != nil && o.m.LastSeen().Group == w.group && o.m.LastSeen().Index > index {
			n++
		}
	}
	return n
}

// notices has an operator restore a group that found that it lost state.
func (w *VFleet) notices() {
	if w.part.Fleet.LostState == "" || w.told {
		return
	}
	w.told = true
	w.Found++
	w.after(1000+w.r.Float64()*5000, func() { w.recover(w.r.Intn(4) > 0) })
}

// ends has no instance run any more.
func (w *VFleet) ends() {
	w.gone, w.lead = true, -1
	for _, c := range w.ctl {
		c.up = false
	}
}

// begin starts all instances.
func (w *VFleet) begin() {
	for _, c := range w.ctl {
		c.s, c.up, c.last = w.steward(), true, w.now*c.rate
	}
	w.after(100+w.r.Float64()*900, w.elect)
}

// putBack puts a copy of the folders in place of what they held.
func (w *VFleet) putBack(s vsave) error {
	p := coordinator.NewState(w.Without)
	p.DisabledZoneGuards = w.WithoutZones
	if err := p.Restore(s.raw); err != nil {
		return err
	}
	w.forgets(p.Policy.DecidedVersion, s.events)
	w.part, w.index, w.term, w.known = p, s.index, s.term, s.known
	w.texts, w.hashes = append([]string(nil), s.texts...), append([]string(nil), s.hashes...)
	return nil
}

// forgets takes what the group decided after a copy and told nobody off the history: nobody can know of it.
func (w *VFleet) forgets(need uint64, events int) {
	told := uint64(0)
	for _, n := range w.nodes {
		if n.m != nil {
			told = max(told, n.m.MinVersion(), n.kept.MinVersion)
		}
	}
	kept := w.History[:min(events, len(w.History))]
	for _, e := range w.History[len(kept):] {
		if group := e.Kind != "serves" && e.Kind != "stops"; group && e.Version > max(told, need) {
			continue
		}
		kept = append(kept, e)
	}
	w.History = kept
}

// note keeps on a node's disk what its record has.
func (n *vnode) note() {
	t := n.m.LastSeen()
	n.kept.MinVersion, n.kept.Cluster, n.kept.Generation, n.kept.Term, n.kept.Index = n.m.MinVersion(), n.m.Cluster(), t.Generation, t.Term, t.Index
	n.kept.EntryChecksum, n.kept.ZoneOrder = t.EntryChecksum, n.m.StoredZoneOrder()
}

// believes gives a node an answer, and holds it to its generation.
func (n *vnode) believes(no uint64, t api.HeartbeatResponse) bool {
	was := n.m.LastSeen().Generation
	if n.m.HandleResponse(n.clock(), no, t) != nil {
		return false
	}
	if now := n.m.LastSeen().Generation; now < was || t.Cluster != "" && max(1, t.Generation) < was {
		n.w.fail("%s follows generation %d, and knew of %d", n.name, t.Generation, was)
	}
	return true
}

// ghost is a leader of a generation before, paused meanwhile, that answers nodes at one of the addresses as if nothing was.
func (w *VFleet) ghost(n *vnode, to int, a *api.HeartbeatRequest) (t api.HeartbeatResponse, speaks bool) {
	if len(w.old) == 0 || w.Calm || to != 0 || w.r.Intn(4) != 0 {
		return t, false
	}
	t = w.old[w.r.Intn(len(w.old))]
	if t.Generation >= n.m.LastSeen().Generation { // who has not heard the later one may follow it: that is what old leases are waited for
		return t, false
	}
	t.LeaseID, t.LeaseMS, t.Index = a.LeaseID, uint64(w.Lease), t.Index+uint64(w.r.Intn(5000))
	return t, true
}

// recover founds the next generation from what nodes tell within some seconds, and from the folders as they are, if they
// are at hand.
func (w *VFleet) recover(folders bool) {
	w.ends()
	w.gathers, w.heard = true, map[string]api.NodeRecord{}
	w.after(7000, func() {
		w.gathers = false
		var all []api.NodeRecord
		for _, n := range w.nodes {
			if k, ok := w.heard[n.name]; ok {
				all = append(all, k)
			}
		}
		var base *recovery.StoredGroup
		p := coordinator.NewState(w.Without)
		p.DisabledZoneGuards = w.WithoutZones
		if folders {
			p = w.part
			base = &recovery.StoredGroup{GroupIdentity: api.GroupIdentity{Group: w.group, Generation: p.Generation, Predecessors: p.Predecessors}, LastVersion: w.Last(), DecidedVersion: p.Policy.DecidedVersion,
				CommittedVersion: p.Policy.CommittedVersion, Index: p.Index, ZoneEpoch: p.Zones.Epoch, TextOf: w.Text, LeaseMS: p.Policy.ActiveRules().LeaseMS}
			for _, n := range p.Fleet.Nodes() {
				if n.OutReason == "" {
					base.Nodes = append(base.Nodes, n.Name)
				}
			}
		}
		found := recovery.PlanRestore(all, base, "")
		two := uint64(0)
		if n, _ := fmt.Sscanf(found.Conflict, "version %d goes by", &two); n == 1 { // the operator has his notes of what was decided
			found = recovery.PlanRestore(all, base, w.decidedAs[two])
		}
		if found.Conflict != "" || !folders && found.Version == 0 || len(all) < len(w.nodes) {
			w.after(3000, func() { w.recover(folders) }) // listens once more: not all were heard who may serve
			return
		}
		w.found(p, found, folders)
	})
}

// found makes what was found the first state of the next generation.
func (w *VFleet) found(p *coordinator.State, found *recovery.RestorePlan, folders bool) {
	w.old = append(w.old, api.HeartbeatResponse{Cluster: w.group, Generation: max(1, found.Lost.Generation), Predecessors: w.part.Predecessors, Term: w.term + 1, Index: w.index,
		DecidedVersion: w.part.Policy.DecidedVersion, CommittedVersion: api.VersionHash{Version: w.part.Policy.CommittedVersion, Hash: w.part.Policy.CommittedHash}, ClockMS: w.part.Fleet.ClockMS})
	if !folders {
		w.texts, w.hashes, w.index, w.term = nil, nil, 1, 1
	}
	if found.Version > 0 {
		if _, hash, ok := w.Text(found.Version); !ok || hash != found.Hash {
			for uint64(len(w.texts)) < found.Version {
				w.texts, w.hashes = append(w.texts, ""), append(w.hashes, "")
			}
			w.texts, w.hashes = w.texts[:found.Version], w.hashes[:found.Version]
			w.texts[found.Version-1], w.hashes[found.Version-1] = found.Text, found.Hash
		}
	}
	w.forgets(found.Version, 0)
	if err := p.BeginGeneration(found, w); err != nil {
		w.fail("%v", err)
		return
	}
	w.part, w.began = p, p.Zones.Epoch
	w.group = fmt.Sprintf("g%d-%d", p.Generation, w.losses)
	w.known = map[uint64]policy.Step{}
	for _, c := range p.Policy.History {
		w.known[c.Number] = c.Step
	}
	w.outcome(found)
	w.saves, w.told, w.gone = nil, false, false
	w.Restored++
	w.begin()
}

// outcome records what a restoring decided: the version in force, if it was not before.
func (w *VFleet) outcome(found *recovery.RestorePlan) {
	for _, e := range w.History {
		if e.Kind == "decided" && e.Version == found.Version {
			return
		}
	}
	if v := found.Version; v > 0 && found.Hash != "" {
		w.record(FleetEvent{Kind: "decided", Version: v, From: found.SourceVersion})
		w.record(FleetEvent{Kind: "forced", Version: v})
	}
}

// hears has whoever restores the group hear what a node holds.
func (w *VFleet) hears(n *vnode) {
	if !n.up || n.cut {
		return
	}
	n.note()
	r := n.kept
	k := api.NodeRecord{Name: n.name, Zone: fmt.Sprint("z", n.zone), Addr: n.name, Group: r.Cluster, Generation: max(1, r.Generation), Term: r.Term,
		Index: r.Index, ActiveVersion: n.m.ActiveVersion(), MinVersion: r.MinVersion, LeaseMS: n.m.LeaseDuration()}
	if k.ActiveVersion > 0 {
		k.ActiveHash, k.ActiveText = r.ActiveHash, w.ofHash[r.ActiveHash]
	}
	if v := n.at.Version; v > k.ActiveVersion && n.m.IsPrepared(v) {
		k.PreparedVersion, k.PreparedHash, k.PreparedText = v, n.at.Hash, w.ofHash[n.at.Hash]
	}
	if z := r.ZoneOrder; z != nil {
		k.ZoneEpoch, k.ZoneShare = z.Epoch, z.Share
	}
	w.heard[n.name] = k
}

// outdated holds every node that serves to the group's generation and epoch: nobody acts on a generation before the present
// one once an epoch of this one has settled, nor on an older epoch of it.
func (w *VFleet) outdated() {
	w.after(50, w.outdated)
	if w.gone || w.part.Fleet.LostState != "" || w.part.Zones.SettledEpoch <= w.began {
		return
	}
	for _, n := range w.nodes {
		if !n.up || n.paused || !n.serves {
			continue
		}
		if ok, _ := n.m.MayServe(n.clock()); !ok {
			continue
		}
		o, gen := n.m.ZoneOrder(), n.m.LastSeen().Generation
		switch {
		case gen < w.part.Generation:
			w.fail("%s serves by generation %d, and epoch %d of %d has settled", n.name, gen, w.part.Zones.SettledEpoch, w.part.Generation)
		case gen == w.part.Generation && o != nil && n.m.StoredZoneOrder().Epoch == o.Epoch && o.Epoch < w.part.Zones.SettledEpoch:
			w.fail("%s acts on epoch %d, and %d is settled", n.name, o.Epoch, w.part.Zones.SettledEpoch)
		}
	}
}

// drill has an operator leave and return a zone now and then, so that there are epochs to be stale about.
func (w *VFleet) drill() {
	w.after(1500+w.r.Float64()*3000, w.drill)
	if w.lead < 0 || !w.ctl[w.lead].up || w.part.Fleet.LostState != "" {
		return
	}
	zone := fmt.Sprint("z", w.r.Intn(w.Zones))
	op := zones.Op{Kind: zones.OpEvacuate, Zone: zone, Operator: "lab", Reason: "a drill", IdempotencyKey: fmt.Sprintf("drill-%08.0f", w.now)}
	if step, _ := w.part.Zones.PhaseOf(zone); step != zones.InService {
		op.Kind, op.Share = "step", 1+w.r.Intn(api.FullShare)
	}
	w.ctl[w.lead].s.SubmitZone(w.part, op, func(zones.Result, error) {})
}

// DrawLost draws a schedule in which a group loses state.
func DrawLost(seed int64, without policy.Guard) FleetPlan {
	return FleetPlan{Seed: seed, Nodes: 9, Ctl: 3, Changes: 5, Loses: 2, Without: without, Rules: "[zones]\ndecide = ask\n"}
}
