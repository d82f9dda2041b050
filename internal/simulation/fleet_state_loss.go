package simulation

import (
	"fmt"
	"maps"
	"slices"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/control/zones"
)

// Loss of the group's state in virtual time: an older copy of its folders is put back, or none is left. The group
// detects it by what nodes prove, an operator collects the nodes' records, and the next generation begins from
// them, all by the real code. A leader of a former generation may go on answering nodes, as one does whose majority
// was paused.

// stateLoss is a schedule's state for it.
type stateLoss struct {
	groupID              string
	textByHash           map[string]string // by hash
	savedStates          []savedState
	decidedHashes        map[uint64]string // by version, as it was decided last
	recordedEvents       map[string]bool   // kind of event and hash of the text
	versionsCreated      int
	stopped              bool // no instance runs: the state is lost, or being restored
	restoreScheduled     bool // an operator has seen that state is lost
	collectingRecords    bool // the operator collects nodes' records
	nodeRecords          map[string]api.NodeRecord
	formerResponses      []api.HeartbeatResponse // responses of former generations' leaders
	generationStartEpoch uint64                  // the zones' epoch that the present generation began with

	Losses, DetectedLosses, Restorations int // losses, those that the group found by itself, and restorings
}

// savedState is a copy of the group's folders.
type savedState struct {
	snapshot      []byte
	texts, hashes []string
	index, term   uint64
	changeSteps   map[uint64]policy.Step
	historyLength int // of the history
}

// saveIntervalMS is how often the folders are copied, in ms, maxSavedStates how many copies are there to be put back.
const saveIntervalMS, maxSavedStates = 700, 24

// scheduleStateLosses has the folders copied, and state lost, now and then.
func (w *Fleet) scheduleStateLosses() {
	if w.StateLosses == 0 {
		return
	}
	w.saveState()
	w.checkEpochs()
	w.scheduleZoneDrills()
	for range w.StateLosses {
		w.after(2000+w.random.Float64()*float64(w.Span), w.loseState)
	}
}

// saveState copies the folders now and then.
func (w *Fleet) saveState() {
	w.after(saveIntervalMS, w.saveState)
	if w.stopped || w.state.Fleet.LostState != "" {
		return
	}
	raw, err := w.state.Snapshot()
	if err != nil {
		w.fail("%v", err)
		return
	}
	w.savedStates = append(w.savedStates, savedState{snapshot: raw, texts: slices.Clone(w.versionTexts), hashes: slices.Clone(w.versionHashes),
		index: w.index, term: w.term, changeSteps: maps.Clone(w.changeSteps), historyLength: len(w.History)})
	w.savedStates = w.savedStates[max(0, len(w.savedStates)-maxSavedStates):]
}

// loseState has all instances end, and what is left of their folders is an older copy, or nothing.
func (w *Fleet) loseState() {
	if w.stopped || w.state.Fleet.LostState != "" || len(w.savedStates) == 0 || w.state.Policy.CommittedVersion < 2 {
		return
	}
	// What one node alone knows more is no proof, as it may lie: that is a limit of the design, and not played.
	at := w.random.Intn(len(w.savedStates))
	for at > 0 && w.nodesAhead(w.savedStates[at].index) == 1 {
		at--
	}
	s := w.savedStates[at]
	if w.nodesAhead(s.index) == 1 {
		return
	}
	w.stopInstances()
	w.Losses++
	if w.random.Intn(3) == 0 {
		w.after(500+w.random.Float64()*2000, func() { w.restoreGroup(w.random.Intn(2) == 0) })
		return
	}
	w.after(200+w.random.Float64()*3000, func() {
		if err := w.restoreState(s); err != nil {
			w.fail("%v", err)
			return
		}
		w.stopped = false
		w.startInstances()
	})
}

// nodesAhead counts the nodes that were notified of entries after one.
func (w *Fleet) nodesAhead(index uint64) (n int) {
	for _, o := range w.nodes {
		if o.agent != nil && o.agent.LastSeen().Group == w.groupID && o.agent.LastSeen().Index > index {
			n++
		}
	}
	return n
}

// scheduleRestoreOnLoss has an operator restore a group that found that it lost state.
func (w *Fleet) scheduleRestoreOnLoss() {
	if w.state.Fleet.LostState == "" || w.restoreScheduled {
		return
	}
	w.restoreScheduled = true
	w.DetectedLosses++
	w.after(1000+w.random.Float64()*5000, func() { w.restoreGroup(w.random.Intn(4) > 0) })
}

// stopInstances has no instance run any more.
func (w *Fleet) stopInstances() {
	w.stopped, w.leader = true, -1
	for _, c := range w.instances {
		c.up = false
	}
}

// startInstances starts all instances.
func (w *Fleet) startInstances() {
	for _, c := range w.instances {
		w.startInstance(c)
	}
	w.after(100+w.random.Float64()*900, w.elect)
}

// restoreState puts a copy of the folders in place of what they held.
func (w *Fleet) restoreState(s savedState) error {
	p := coordinator.NewState(w.Without)
	p.DisabledZoneGuards = w.WithoutZones
	if err := p.Restore(s.snapshot); err != nil {
		return err
	}
	w.dropUnseenDecisions(p.Policy.DecidedVersion, s.historyLength)
	w.state, w.index, w.term, w.changeSteps = p, s.index, s.term, s.changeSteps
	w.versionTexts, w.versionHashes = slices.Clone(s.texts), slices.Clone(s.hashes)
	return nil
}

// dropUnseenDecisions takes what the group decided after a copy and told nobody off the history: nobody can know of it.
func (w *Fleet) dropUnseenDecisions(need uint64, events int) {
	notified := uint64(0)
	for _, n := range w.nodes {
		if n.agent != nil {
			notified = max(notified, n.agent.MinVersion(), n.storedRecord.MinVersion)
		}
	}
	kept := w.History[:min(events, len(w.History))]
	for _, e := range w.History[len(kept):] {
		if group := e.Kind != "serves" && e.Kind != "stops"; group && e.Version > max(notified, need) {
			continue
		}
		kept = append(kept, e)
	}
	w.History = kept
}

// storeRecord keeps on a node's disk what its record has.
func (n *node) storeRecord() {
	t := n.agent.LastSeen()
	r := &n.storedRecord
	r.MinVersion, r.Cluster, r.ZoneOrder = n.agent.MinVersion(), n.agent.Cluster(), n.agent.StoredZoneOrder()
	r.Generation, r.Term, r.Index, r.EntryChecksum = t.Generation, t.Term, t.Index, t.EntryChecksum
}

// handleResponse gives a node an answer, and holds it to its generation.
func (n *node) handleResponse(no uint64, t api.HeartbeatResponse) bool {
	was := n.agent.LastSeen().Generation
	if n.agent.HandleResponse(n.clock(), no, t) != nil {
		return false
	}
	if now := n.agent.LastSeen().Generation; now < was || t.Cluster != "" && max(1, t.Generation) < was {
		n.fleet.fail("%s follows generation %d, and knew of %d", n.name, t.Generation, was)
	}
	return true
}

// formerLeaderResponse is the response of a former generation's leader, which was paused meanwhile and answers
// nodes at one of the addresses as before.
func (w *Fleet) formerLeaderResponse(n *node, to int, a *api.HeartbeatRequest) (t api.HeartbeatResponse, answers bool) {
	if len(w.formerResponses) == 0 || w.Calm || to != 0 || w.random.Intn(4) != 0 {
		return t, false
	}
	t = w.formerResponses[w.random.Intn(len(w.formerResponses))]
	if t.Generation >= n.agent.LastSeen().Generation {
		// A node that was not notified of a later generation may follow this one: a restored group waits for old
		// leases.
		return t, false
	}
	t.LeaseID, t.LeaseMS, t.Index = a.LeaseID, uint64(w.Lease), t.Index+uint64(w.random.Intn(5000))
	return t, true
}

// restoreGroup begins the next generation from the records that nodes send within some seconds, and from the
// folders as they are, where the operator has them.
func (w *Fleet) restoreGroup(folders bool) {
	w.stopInstances()
	w.collectingRecords, w.nodeRecords = true, map[string]api.NodeRecord{}
	w.after(7000, func() {
		w.collectingRecords = false
		var all []api.NodeRecord
		for _, n := range w.nodes {
			if k, ok := w.nodeRecords[n.name]; ok {
				all = append(all, k)
			}
		}
		var base *recovery.StoredGroup
		p := coordinator.NewState(w.Without)
		p.DisabledZoneGuards = w.WithoutZones
		if folders {
			p = w.state
			base = w.storedGroup(p)
		}
		found := recovery.PlanRestore(all, base, "")
		conflict := uint64(0)
		if n, _ := fmt.Sscanf(found.Conflict, "version %d goes by", &conflict); n == 1 {
			found = recovery.PlanRestore(all, base, w.decidedHashes[conflict]) // as the operator has noted it
		}
		if found.Conflict != "" || !folders && found.Version == 0 || len(all) < len(w.nodes) {
			// The record of some node that may serve is missing: collect once more.
			w.after(3000, func() { w.restoreGroup(folders) })
			return
		}
		w.beginGeneration(p, found, folders)
	})
}

// storedGroup is what the group's folders tell of it.
func (w *Fleet) storedGroup(p *coordinator.State) *recovery.StoredGroup {
	stored := &recovery.StoredGroup{
		GroupIdentity:    api.GroupIdentity{Group: w.groupID, Generation: p.Generation, Predecessors: p.Predecessors},
		LastVersion:      w.Last(),
		DecidedVersion:   p.Policy.DecidedVersion,
		CommittedVersion: p.Policy.CommittedVersion,
		Index:            p.Index,
		ZoneEpoch:        p.Zones.Epoch,
		TextOf:           w.Text,
		LeaseMS:          p.Policy.ActiveRules().LeaseMS,
	}
	for _, n := range p.Fleet.Nodes() {
		if n.OutReason == "" {
			stored.Nodes = append(stored.Nodes, n.Name)
		}
	}
	return stored
}

// beginGeneration makes what was found the first state of the next generation.
func (w *Fleet) beginGeneration(p *coordinator.State, found *recovery.RestorePlan, folders bool) {
	w.formerResponses = append(w.formerResponses, api.HeartbeatResponse{
		Cluster:          w.groupID,
		Generation:       max(1, found.Lost.Generation),
		Predecessors:     w.state.Predecessors,
		Term:             w.term + 1,
		Index:            w.index,
		DecidedVersion:   w.state.Policy.DecidedVersion,
		CommittedVersion: api.VersionHash{Version: w.state.Policy.CommittedVersion, Hash: w.state.Policy.CommittedHash},
		ClockMS:          w.state.Fleet.ClockMS,
	})
	if !folders {
		w.versionTexts, w.versionHashes, w.index, w.term = nil, nil, 1, 1
	}
	if found.Version > 0 {
		if _, hash, ok := w.Text(found.Version); !ok || hash != found.Hash {
			for uint64(len(w.versionTexts)) < found.Version {
				w.versionTexts, w.versionHashes = append(w.versionTexts, ""), append(w.versionHashes, "")
			}
			w.versionTexts, w.versionHashes = w.versionTexts[:found.Version], w.versionHashes[:found.Version]
			w.versionTexts[found.Version-1], w.versionHashes[found.Version-1] = found.Text, found.Hash
		}
	}
	w.dropUnseenDecisions(found.Version, 0)
	if err := p.BeginGeneration(found, w); err != nil {
		w.fail("%v", err)
		return
	}
	w.state, w.generationStartEpoch = p, p.Zones.Epoch
	w.groupID = fmt.Sprintf("g%d-%d", p.Generation, w.Losses)
	w.changeSteps = map[uint64]policy.Step{}
	for _, c := range p.Policy.History {
		w.changeSteps[c.Number] = c.Step
	}
	w.recordRestore(found)
	w.savedStates, w.restoreScheduled, w.stopped = nil, false, false
	w.Restorations++
	w.startInstances()
}

// recordRestore records what a restoring decided: the version in force, if it was not before.
func (w *Fleet) recordRestore(found *recovery.RestorePlan) {
	for _, e := range w.History {
		if e.Kind == "decided" && e.Version == found.Version {
			return
		}
	}
	if v := found.Version; v > 0 && found.Hash != "" {
		w.recordEvent(FleetEvent{Kind: "decided", Version: v, From: found.SourceVersion})
		w.recordEvent(FleetEvent{Kind: "forced", Version: v})
	}
}

// collectRecord has whoever restores the group hear what a node holds.
func (w *Fleet) collectRecord(n *node) {
	if !n.up || n.partitioned {
		return
	}
	n.storeRecord()
	r := n.storedRecord
	k := api.NodeRecord{
		Name: n.name, Zone: fmt.Sprint("z", n.zone), Addr: n.name,
		Group: r.Cluster, Generation: max(1, r.Generation), Term: r.Term, Index: r.Index,
		ActiveVersion: n.agent.ActiveVersion(), MinVersion: r.MinVersion, LeaseMS: n.agent.LeaseDuration(),
	}
	if k.ActiveVersion > 0 {
		k.ActiveHash, k.ActiveText = r.ActiveHash, w.textByHash[r.ActiveHash]
	}
	if v := n.lastPrepared.Version; v > k.ActiveVersion && n.agent.IsPrepared(v) {
		k.PreparedVersion, k.PreparedHash, k.PreparedText = v, n.lastPrepared.Hash, w.textByHash[n.lastPrepared.Hash]
	}
	if z := r.ZoneOrder; z != nil {
		k.ZoneEpoch, k.ZoneShare = z.Epoch, z.Share
	}
	w.nodeRecords[n.name] = k
}

// checkEpochs holds every node that serves to the group's generation and epoch: once an epoch of the present
// generation has settled, nobody acts on a former generation, nor on an older epoch of this one.
func (w *Fleet) checkEpochs() {
	w.after(50, w.checkEpochs)
	settled, generation := w.state.Zones.SettledEpoch, w.state.Generation
	if w.stopped || w.state.Fleet.LostState != "" || settled <= w.generationStartEpoch {
		return
	}
	for _, n := range w.nodes {
		if !n.up || n.paused || !n.serves {
			continue
		}
		if ok, _ := n.agent.MayServe(n.clock()); !ok {
			continue
		}
		o, gen := n.agent.ZoneOrder(), n.agent.LastSeen().Generation
		switch {
		case gen < generation:
			w.fail("%s serves by generation %d, and epoch %d of %d has settled", n.name, gen, settled, generation)
		case gen == generation && o != nil && n.agent.StoredZoneOrder().Epoch == o.Epoch && o.Epoch < settled:
			w.fail("%s acts on epoch %d, and %d is settled", n.name, o.Epoch, settled)
		}
	}
}

// scheduleZoneDrills has an operator leave and return a zone now and then, so that there are epochs to be stale about.
func (w *Fleet) scheduleZoneDrills() {
	w.after(1500+w.random.Float64()*3000, w.scheduleZoneDrills)
	if w.leader < 0 || !w.instances[w.leader].up || w.state.Fleet.LostState != "" {
		return
	}
	zone := fmt.Sprint("z", w.random.Intn(w.Zones))
	op := zones.Op{Kind: zones.OpEvacuate, Zone: zone, Operator: "lab", Reason: "a drill",
		IdempotencyKey: fmt.Sprintf("drill-%08.0f", w.Now)}
	if step, _ := w.state.Zones.PhaseOf(zone); step != zones.InService {
		op.Kind, op.Share = "step", 1+w.random.Intn(api.FullShare)
	}
	w.instances[w.leader].coordinator.SubmitZone(w.state, op, func(zones.Result, error) {})
}

// DrawStateLoss draws a schedule in which a group loses state.
func DrawStateLoss(seed int64, without policy.Guard) FleetPlan {
	return FleetPlan{Seed: seed, Nodes: 9, Ctl: 3, Changes: 5, StateLosses: 2, Without: without,
		ZoneRules: "[zones]\ndecide = ask\n"}
}
