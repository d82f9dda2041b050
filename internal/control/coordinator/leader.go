package coordinator

import (
	"fmt"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// Leader handles heartbeats and operations on the leading instance. Its state is in memory only. It is not safe for
// concurrent use. Times are in ms elapsed at this instance, the sum of the arguments of Tick.
type Leader struct {
	DisabledGuards     policy.Guard // for fault tests only
	DisabledZoneGuards zones.Guard  // for fault tests only
	Level              int          // feature level of the group
	BatchesAppended    uint64       // heartbeat batches appended by this instance
	BatchBytes         uint64       // total size of their bodies, in bytes

	group     string
	leading   bool
	term      uint64
	nowMS     uint64
	stateLost bool // as of the last Tick

	heartbeats        heartbeatBatcher
	reports           nodeReports
	listening         listenPhase
	evidence          lossEvidence
	coldStart         coldStartLimits
	policyAppendTimer appendTimer // of an operation decided by the policy rules
	policyOps         submissions[policy.Operation, policy.Result]
	zoneAppendTimer   appendTimer // of an operation decided by the zone rules
	zoneOps           submissions[zones.Op, zones.Result]
	zoneMonitor       *zones.Monitor
}

// NewLeader returns a Leader that is not leading.
func NewLeader(disabled policy.Guard) *Leader {
	return &Leader{DisabledGuards: disabled, reports: nodeReports{}, zoneMonitor: zones.NewMonitor()}
}

// Leading reports whether this instance is the leader.
func (l *Leader) Leading() bool { return l.leading }

// SetRole sets the group, whether this instance leads, and the term. If any of them changes, all pending callers fail
// with ErrNotLeader and the state collected as leader is reset.
func (l *Leader) SetRole(group string, leads bool, term uint64) {
	if leads == l.leading && term == l.term && group == l.group {
		return
	}
	l.failPending(ErrNotLeader)
	l.group, l.leading, l.term = group, leads, term
	l.heartbeats = heartbeatBatcher{lastAppliedMS: l.nowMS}
	l.reports = nodeReports{}
	l.listening = listenPhase{startedAtMS: l.nowMS, seenNames: map[string]bool{}}
	l.evidence = lossEvidence{}
	l.coldStart = coldStartLimits{limitedSinceMS: map[uint32]uint64{}}
	l.policyAppendTimer, l.zoneAppendTimer = appendTimer{}, appendTimer{}
	l.zoneMonitor = zones.NewMonitor()
}

// failPending completes all pending heartbeats and operations with an error.
func (l *Leader) failPending(err error) {
	l.heartbeats.fail(err)
	l.policyOps.fail(err)
	l.zoneOps.fail(err)
}

// Tick advances the time by ms and returns the entries to append, in order.
//
// A group that has lost state appends nothing, as its decisions could contradict committed ones. A new leader first
// listens, but appends proof of lost state at once.
func (l *Leader) Tick(s *State, ms uint64) []Entry {
	l.nowMS += ms
	if !l.leading {
		return nil
	}
	l.heartbeats.retryIfLost(l.nowMS)
	if l.stateLost = s.Fleet.LostState != ""; l.stateLost {
		return nil
	}
	lossProof := l.provenLoss(s)
	if lossProof == "" && l.stillListening(s) {
		return nil
	}
	var entries []Entry
	if l.shouldAppendBatch(s, lossProof != "") {
		entry := heartbeatsEntry(l.heartbeats.fill(l.newBatch(s, lossProof), l.nowMS, l.DisabledGuards))
		entries = append(entries, entry)
		l.BatchesAppended++
		l.BatchBytes += uint64(len(entry.Body))
	}
	return append(entries, l.operationEntries(s)...)
}

// operationEntries returns the entries of operations that the rules decide and that operators submitted.
func (l *Leader) operationEntries(s *State) (entries []Entry) {
	l.policyAppendTimer.stopIfLost(l.nowMS)
	if !l.policyAppendTimer.running() {
		if operation := s.Policy.Next(s.Fleet, l.report, l.DisabledGuards); operation != nil {
			l.policyAppendTimer.start(l.nowMS)
			entries = append(entries, policyEntry(operation))
		}
	}
	l.zoneAppendTimer.stopIfLost(l.nowMS)
	if rules := s.Policy.ActiveRules().Zones; !l.zoneAppendTimer.running() && rules.Enabled() {
		if op := l.zoneMonitor.Decide(l.nowMS, s.Zones, s.Fleet, &rules, l.DisabledZoneGuards); op != nil {
			l.zoneAppendTimer.start(l.nowMS)
			entries = append(entries, zonesEntry(op))
		}
	}
	for _, op := range l.zoneOps.toAppend(l.nowMS) {
		op.Epoch = s.Zones.Epoch
		entries = append(entries, zonesEntry(op))
	}
	for _, operation := range l.policyOps.toAppend(l.nowMS) {
		entries = append(entries, policyEntry(*operation))
	}
	return entries
}

// EntryApplied handles the outcome of an applied entry, whichever instance appended it.
func (l *Leader) EntryApplied(s *State, outcome Outcome) {
	switch o := outcome.(type) {
	case BatchApplied:
		l.batchApplied(s, &o)
	case zones.Result:
		if o.IdempotencyKey == "" { // the leader's own: an operator's operation has a key
			l.zoneAppendTimer.stop()
		}
		l.zoneOps.applied(o, func(op *zones.Op) bool { return op.IdempotencyKey == o.IdempotencyKey })
	case policy.Result:
		// An operator's operation stops the timer too, though the leader's own may still be in flight. The leader may
		// then append its own twice; State.Apply rejects the second.
		l.policyAppendTimer.stop()
		l.policyOps.applied(o, func(op *policy.Operation) bool { return o.IsOutcomeOf(*op) })
	}
}

// checkAccepting returns the error for which operators' submissions are currently rejected, or nil.
func (l *Leader) checkAccepting() error {
	switch {
	case !l.leading:
		return ErrNotLeader
	case l.stateLost:
		return ErrStateLost
	}
	return nil
}

// SubmitPolicy submits an operator's policy operation. done is called exactly once, when it is applied or fails.
func (l *Leader) SubmitPolicy(op policy.Op, done func(policy.Result, error)) {
	err := l.checkAccepting()
	if err == nil {
		err = l.submitPolicy(&op, done)
	}
	if err != nil {
		done(policy.Result{}, err)
	}
}

func (l *Leader) submitPolicy(op *policy.Op, done func(policy.Result, error)) error {
	operation, err := op.Operation()
	if err != nil {
		return err
	}
	return l.policyOps.add(operation, done)
}

// SubmitZone submits an operator's zone operation. done is called exactly once, when it is applied or fails.
func (l *Leader) SubmitZone(s *State, op zones.Op, done func(zones.Result, error)) {
	err := l.checkAccepting()
	if err == nil {
		err = l.submitZone(s, op, done)
	}
	if err != nil {
		done(zones.Result{}, err)
	}
}

// submitZone queues a zone operation. A step back of a zone that is not ramping up is rejected at once.
func (l *Leader) submitZone(s *State, op zones.Op, done func(zones.Result, error)) error {
	if len(l.zoneOps.pending) >= maxPendingOps {
		return ErrBusy
	}
	if z := s.Zones.Find(op.Zone); op.Kind == zones.OpStepBack && z != nil && z.Phase != zones.Ramping {
		done(zones.Result{Err: fmt.Sprintf("zone %s is %s, expected it returning", z.Name, z.Phase)}, nil)
		return nil
	}
	return l.zoneOps.add(op, done)
}

// Forget removes names from the node table with the next batch. Its error is ErrNotLeader, ErrStateLost or ErrBusy.
func (l *Leader) Forget(names ...string) error {
	if err := l.checkAccepting(); err != nil {
		return err
	}
	if len(l.heartbeats.forgetNames)+len(names) > maxPendingOps {
		return ErrBusy
	}
	l.heartbeats.forgetNames = append(l.heartbeats.forgetNames, names...)
	return nil
}

// ZoneViews returns the leader's current view of each zone.
func (l *Leader) ZoneViews() []*zones.View { return l.zoneMonitor.Views() }

// FleetView returns the leader's current view of the fleet, or nil before the first evaluation.
func (l *Leader) FleetView() *zones.View { return l.zoneMonitor.FleetView() }

// Reports returns the nodes' reports to this leader.
func (l *Leader) Reports() policy.Reports { return l.report }
