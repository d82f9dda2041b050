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

// stateLoss simulates losses of the group's state: an older copy of its data folders is restored, or none is left.
// The group detects the loss by positions that nodes prove, an operator collects the nodes' records, and the next
// generation starts from them, all by the production code. A leader of a former generation may keep answering nodes.
type stateLoss struct {
	groupID              string            // identity of the current generation's group
	textByHash           map[string]string // version texts by hash
	savedStates          []savedState
	decidedHashes        map[uint64]string // hash last decided, by version
	recordedEvents       map[string]bool   // by kind of event and hash of the text
	versionsCreated      int
	stopped              bool // no instance is running: the state is lost or being restored
	restoreScheduled     bool // an operator has noticed the loss
	collectingRecords    bool // an operator is collecting the nodes' records
	nodeRecords          map[string]api.NodeRecord
	formerResponses      []api.HeartbeatResponse // one response of each former generation's leader
	generationStartEpoch uint64                  // zone epoch at the start of the current generation

	Losses, DetectedLosses, Restorations int // losses, losses detected by the group, restorations
}

// savedState is a copy of the group's data folders.
type savedState struct {
	snapshot      []byte
	texts, hashes []string
	index, term   uint64
	changeSteps   map[uint64]policy.Step
	historyLength int // length of Fleet.History
}

const (
	saveIntervalMS = 700 // interval of copies of the folders
	maxSavedStates = 24  // copies available for a restore
)

// scheduleStateLosses starts the copies, the zone drills and the epoch checks, and schedules the losses.
func (f *Fleet) scheduleStateLosses() {
	if f.StateLosses == 0 {
		return
	}
	f.saveState()
	f.checkEpochs()
	f.scheduleZoneDrills()
	for range f.StateLosses {
		f.after(2000+f.random.Float64()*float64(f.FaultSpanMS), f.loseState)
	}
}

// saveState copies the state of a running group periodically.
func (f *Fleet) saveState() {
	f.after(saveIntervalMS, f.saveState)
	if f.stopped || f.state.Fleet.LostState != "" {
		return
	}
	raw, err := f.state.Snapshot()
	if err != nil {
		f.fail("%v", err)
		return
	}
	f.savedStates = append(f.savedStates, savedState{snapshot: raw, texts: slices.Clone(f.versionTexts),
		hashes: slices.Clone(f.versionHashes), index: f.index, term: f.term,
		changeSteps: maps.Clone(f.changeSteps), historyLength: len(f.History)})
	f.savedStates = f.savedStates[max(0, len(f.savedStates)-maxSavedStates):]
}

// loseState stops all instances and restores an older copy of their folders, or leaves no folders.
func (f *Fleet) loseState() {
	if f.stopped || f.state.Fleet.LostState != "" || len(f.savedStates) == 0 || f.state.Policy.CommittedVersion < 2 {
		return
	}
	// A single node's position proves no loss, since that node may be faulty. Such losses can't be detected, and are
	// not simulated.
	at := f.random.Intn(len(f.savedStates))
	for at > 0 && f.nodesAhead(f.savedStates[at].index) == 1 {
		at--
	}
	saved := f.savedStates[at]
	if f.nodesAhead(saved.index) == 1 {
		return
	}
	f.stopInstances()
	f.Losses++
	if f.random.Intn(3) == 0 {
		f.after(500+f.random.Float64()*2000, func() { f.restoreGroup(f.random.Intn(2) == 0) })
		return
	}
	f.after(200+f.random.Float64()*3000, func() {
		if err := f.restoreState(saved); err != nil {
			f.fail("%v", err)
			return
		}
		f.stopped = false
		f.startInstances()
	})
}

// nodesAhead counts the nodes whose last seen position is after an index.
func (f *Fleet) nodesAhead(index uint64) (n int) {
	for _, o := range f.nodes {
		if o.agent != nil && o.agent.LastSeen().Group == f.groupID && o.agent.LastSeen().Index > index {
			n++
		}
	}
	return n
}

// scheduleRestoreOnLoss schedules a restoration once the group has detected that it lost state.
func (f *Fleet) scheduleRestoreOnLoss() {
	if f.state.Fleet.LostState == "" || f.restoreScheduled {
		return
	}
	f.restoreScheduled = true
	f.DetectedLosses++
	f.after(1000+f.random.Float64()*5000, func() { f.restoreGroup(f.random.Intn(4) > 0) })
}

// stopInstances stops all instances.
func (f *Fleet) stopInstances() {
	f.stopped, f.leader = true, -1
	for _, c := range f.instances {
		c.up = false
	}
}

// startInstances starts all instances and elects a leader.
func (f *Fleet) startInstances() {
	for _, c := range f.instances {
		f.startInstance(c)
	}
	f.after(100+f.random.Float64()*900, f.elect)
}

// restoreState replaces the group's state by a saved one.
func (f *Fleet) restoreState(saved savedState) error {
	state := coordinator.NewState(f.DisabledGuards)
	state.DisabledZoneGuards = f.DisabledZoneGuards
	if err := state.Restore(saved.snapshot); err != nil {
		return err
	}
	f.dropUnseenDecisions(state.Policy.DecidedVersion, saved.historyLength)
	f.state, f.index, f.term, f.changeSteps = state, saved.index, saved.term, saved.changeSteps
	f.versionTexts, f.versionHashes = slices.Clone(saved.texts), slices.Clone(saved.hashes)
	return nil
}

// dropUnseenDecisions removes the lost decisions from the history that no node has seen: events after the first events
// entries, of versions above minVersion and above the minimum version of every node.
func (f *Fleet) dropUnseenDecisions(minVersion uint64, events int) {
	notified := uint64(0)
	for _, n := range f.nodes {
		if n.agent != nil {
			notified = max(notified, n.agent.MinVersion(), n.storedRecord.MinVersion)
		}
	}
	history := f.History[:min(events, len(f.History))]
	for _, e := range f.History[len(history):] {
		if group := e.Kind != "serves" && e.Kind != "stops"; group && e.Version > max(notified, minVersion) {
			continue
		}
		history = append(history, e)
	}
	f.History = history
}

// storeRecord writes the agent's record to the node's disk.
func (n *node) storeRecord() {
	position := n.agent.LastSeen()
	r := &n.storedRecord
	r.MinVersion, r.Cluster, r.ZoneOrder = n.agent.MinVersion(), n.agent.Cluster(), n.agent.StoredZoneOrder()
	r.Generation, r.Term = position.Generation, position.Term
	r.Index, r.EntryChecksum = position.Index, position.EntryChecksum
}

// handleResponse passes a response to the agent, reports whether it was accepted, and checks that the node's generation
// doesn't decrease.
func (n *node) handleResponse(number uint64, response api.HeartbeatResponse) bool {
	previous := n.agent.LastSeen().Generation
	if n.agent.HandleResponse(n.clock(), number, response) != nil {
		return false
	}
	if current := n.agent.LastSeen().Generation; current < previous ||
		response.Cluster != "" && max(1, response.Generation) < previous {
		n.fleet.fail("%s accepted a response of generation %d after generation %d", n.name,
			response.Generation, previous)
	}
	return true
}

// formerLeaderResponse returns the response of a former generation's leader that was paused and still answers at the
// first address. ok is false if the current group answers.
func (f *Fleet) formerLeaderResponse(n *node, to int, request *api.HeartbeatRequest) (
	response api.HeartbeatResponse, ok bool) {
	if len(f.formerResponses) == 0 || f.NoFaults || to != 0 || f.random.Intn(4) != 0 {
		return response, false
	}
	response = f.formerResponses[f.random.Intn(len(f.formerResponses))]
	if response.Generation >= n.agent.LastSeen().Generation {
		// A node that knows no later generation may follow this one: a restored group waits until old leases have
		// ended.
		return response, false
	}
	response.LeaseID, response.LeaseMS = request.LeaseID, uint64(f.LeaseMS)
	response.Index += uint64(f.random.Intn(5000))
	return response, true
}

// restoreGroup starts the next generation from the records that nodes send within 7 s, and from the group's state if
// haveState.
func (f *Fleet) restoreGroup(haveState bool) {
	f.stopInstances()
	f.collectingRecords, f.nodeRecords = true, map[string]api.NodeRecord{}
	f.after(7000, func() {
		f.collectingRecords = false
		var records []api.NodeRecord
		for _, n := range f.nodes {
			if record, ok := f.nodeRecords[n.name]; ok {
				records = append(records, record)
			}
		}
		var base *recovery.StoredGroup
		state := coordinator.NewState(f.DisabledGuards)
		state.DisabledZoneGuards = f.DisabledZoneGuards
		if haveState {
			state = f.state
			base = f.storedGroup(state)
		}
		plan := recovery.PlanRestore(records, base, "")
		conflict := uint64(0)
		if n, _ := fmt.Sscanf(plan.Conflict, "version %d goes by", &conflict); n == 1 {
			plan = recovery.PlanRestore(records, base, f.decidedHashes[conflict]) // the operator knows the decided hash
		}
		if plan.Conflict != "" || !haveState && plan.Version == 0 || len(records) < len(f.nodes) {
			// Unresolved, or the record of a node that may serve is missing: collect again.
			f.after(3000, func() { f.restoreGroup(haveState) })
			return
		}
		f.beginGeneration(state, plan, haveState)
	})
}

// storedGroup returns the group's identity and state as read from its folders.
func (f *Fleet) storedGroup(state *coordinator.State) *recovery.StoredGroup {
	stored := &recovery.StoredGroup{
		GroupIdentity: api.GroupIdentity{Group: f.groupID, Generation: state.Generation,
			Predecessors: state.Predecessors},
		LastVersion:      f.Last(),
		DecidedVersion:   state.Policy.DecidedVersion,
		CommittedVersion: state.Policy.CommittedVersion,
		Index:            state.Index,
		ZoneEpoch:        state.Zones.Epoch,
		TextOf:           f.Text,
		LeaseMS:          state.Policy.ActiveRules().LeaseMS,
	}
	for _, n := range state.Fleet.Nodes() {
		if n.OutReason == "" {
			stored.Nodes = append(stored.Nodes, n.Name)
		}
	}
	return stored
}

// beginGeneration starts the next generation from a restore plan.
func (f *Fleet) beginGeneration(state *coordinator.State, plan *recovery.RestorePlan, haveState bool) {
	f.formerResponses = append(f.formerResponses, api.HeartbeatResponse{
		Cluster:          f.groupID,
		Generation:       max(1, plan.Lost.Generation),
		Predecessors:     f.state.Predecessors,
		Term:             f.term + 1,
		Index:            f.index,
		DecidedVersion:   f.state.Policy.DecidedVersion,
		CommittedVersion: api.VersionHash{Version: f.state.Policy.CommittedVersion, Hash: f.state.Policy.CommittedHash},
		ClockMS:          f.state.Fleet.ClockMS,
	})
	if !haveState {
		f.versionTexts, f.versionHashes, f.index, f.term = nil, nil, 1, 1
	}
	if plan.Version > 0 {
		if _, hash, ok := f.Text(plan.Version); !ok || hash != plan.Hash {
			for uint64(len(f.versionTexts)) < plan.Version {
				f.versionTexts, f.versionHashes = append(f.versionTexts, ""), append(f.versionHashes, "")
			}
			f.versionTexts, f.versionHashes = f.versionTexts[:plan.Version], f.versionHashes[:plan.Version]
			f.versionTexts[plan.Version-1], f.versionHashes[plan.Version-1] = plan.Text, plan.Hash
		}
	}
	f.dropUnseenDecisions(plan.Version, 0)
	if err := state.BeginGeneration(plan, f); err != nil {
		f.fail("%v", err)
		return
	}
	f.state, f.generationStartEpoch = state, state.Zones.Epoch
	f.groupID = fmt.Sprintf("g%d-%d", state.Generation, f.Losses)
	f.changeSteps = map[uint64]policy.Step{}
	for _, c := range state.Policy.History {
		f.changeSteps[c.Number] = c.Step
	}
	f.recordRestore(plan)
	f.savedStates, f.restoreScheduled, f.stopped = nil, false, false
	f.Restorations++
	f.startInstances()
}

// recordRestore records the plan's version as decided and committed, unless the history has its decision.
func (f *Fleet) recordRestore(plan *recovery.RestorePlan) {
	for _, e := range f.History {
		if e.Kind == "decided" && e.Version == plan.Version {
			return
		}
	}
	if v := plan.Version; v > 0 && plan.Hash != "" {
		f.recordEvent(FleetEvent{Kind: "decided", Version: v, PreviousVersion: plan.SourceVersion})
		f.recordEvent(FleetEvent{Kind: "forced", Version: v})
	}
}

// collectRecord adds a node's record to those that the operator collects.
func (f *Fleet) collectRecord(n *node) {
	if !n.up || n.partitioned {
		return
	}
	n.storeRecord()
	r := n.storedRecord
	record := api.NodeRecord{
		Name: n.name, Zone: fmt.Sprint("z", n.zone), Addr: n.name,
		Group: r.Cluster, Generation: max(1, r.Generation), Term: r.Term, Index: r.Index,
		ActiveVersion: n.agent.ActiveVersion(), MinVersion: r.MinVersion, LeaseMS: n.agent.LeaseDuration(),
	}
	if record.ActiveVersion > 0 {
		record.ActiveHash, record.ActiveText = r.ActiveHash, f.textByHash[r.ActiveHash]
	}
	if v := n.lastPrepared.Version; v > record.ActiveVersion && n.agent.IsPrepared(v) {
		record.PreparedVersion, record.PreparedHash = v, n.lastPrepared.Hash
		record.PreparedText = f.textByHash[n.lastPrepared.Hash]
	}
	if z := r.ZoneOrder; z != nil {
		record.ZoneEpoch, record.ZoneShare = z.Epoch, z.Share
	}
	f.nodeRecords[n.name] = record
}

// checkEpochs checks periodically that, once an epoch of the current generation has settled, no serving node acts on a
// former generation or on an older epoch.
func (f *Fleet) checkEpochs() {
	f.after(50, f.checkEpochs)
	settled, generation := f.state.Zones.SettledEpoch, f.state.Generation
	if f.stopped || f.state.Fleet.LostState != "" || settled <= f.generationStartEpoch {
		return
	}
	for _, n := range f.nodes {
		if !n.up || n.paused || !n.serves {
			continue
		}
		if ok, _ := n.agent.MayServe(n.clock()); !ok {
			continue
		}
		o, gen := n.agent.ZoneOrder(), n.agent.LastSeen().Generation
		switch {
		case gen < generation:
			f.fail("%s serves under generation %d, but epoch %d of generation %d has settled", n.name, gen,
				settled, generation)
		case gen == generation && o != nil && n.agent.StoredZoneOrder().Epoch == o.Epoch && o.Epoch < settled:
			f.fail("%s acts on epoch %d, but epoch %d has settled", n.name, o.Epoch, settled)
		}
	}
}

// scheduleZoneDrills evacuates zones and returns them at random times, so that the zone epoch changes.
func (f *Fleet) scheduleZoneDrills() {
	f.after(1500+f.random.Float64()*3000, f.scheduleZoneDrills)
	if f.leader < 0 || !f.instances[f.leader].up || f.state.Fleet.LostState != "" {
		return
	}
	zone := fmt.Sprint("z", f.random.Intn(f.Zones))
	op := zones.Op{Kind: zones.OpEvacuate, Zone: zone, Operator: "lab", Reason: "a drill",
		IdempotencyKey: fmt.Sprintf("drill-%08.0f", f.Now)}
	if step, _ := f.state.Zones.PhaseOf(zone); step != zones.InService {
		op.Kind, op.Share = "step", 1+f.random.Intn(api.FullShare)
	}
	f.instances[f.leader].coordinator.SubmitZone(f.state, op, func(zones.Result, error) {})
}

// DrawStateLoss returns the plan of a schedule with two state losses.
func DrawStateLoss(seed int64, without policy.Guard) FleetPlan {
	return FleetPlan{Seed: seed, Nodes: 9, ControlInstances: 3, Changes: 5, StateLosses: 2, DisabledGuards: without,
		ZoneRules: "[zones]\ndecide = ask\n"}
}
