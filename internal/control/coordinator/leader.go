package coordinator

import (
	"fmt"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// Leader is what the leading instance does about nodes. All of it is in memory. One goroutine calls it; times are ms
// that went by at this instance, the sum of what Tick was told.
type Leader struct {
	DisabledGuards     policy.Guard // for fault tests alone
	DisabledZoneGuards zones.Guard  // for fault tests alone
	Level              int          // of the group: what entries may carry
	BatchesSent        uint64       // of heartbeats, by this instance
	BatchBytes         uint64       // of those entries

	cluster   string
	leading   bool
	term      uint64
	nowMS     uint64
	stateLost bool // as of the last tick

	heartbeats        heartbeatBatcher
	reports           nodeReports
	listening         listenPhase
	evidence          lossEvidence
	coldStart         coldStartLimits
	policyAppendTimer appendTimer // of an operation that the rules of policy decided
	policyOps         submissions[policy.Operation, policy.Result]
	zoneAppendTimer   appendTimer // of an operation that the rules of zones decided
	zoneOps           submissions[zones.Op, zones.Result]
	zoneMonitor       *zones.Monitor
}

// NewLeader gives a leader that does not lead yet.
func NewLeader(disabled policy.Guard) *Leader {
	return &Leader{DisabledGuards: disabled, reports: nodeReports{}, zoneMonitor: zones.NewMonitor()}
}

// Leading tells whether this instance leads.
func (l *Leader) Leading() bool { return l.leading }

// SetRole tells whether this instance leads, and in which term. All callers that wait are told ErrNotLeader when the
// role, the term or the group changes, and all nodes are heard anew.
func (l *Leader) SetRole(cluster string, leads bool, term uint64) {
	if leads == l.leading && term == l.term && cluster == l.cluster {
		return
	}
	l.failPending(ErrNotLeader)
	l.cluster, l.leading, l.term = cluster, leads, term
	l.heartbeats = heartbeatBatcher{lastAppliedMS: l.nowMS}
	l.reports = nodeReports{}
	l.listening = listenPhase{startedAtMS: l.nowMS, seenNames: map[string]bool{}}
	l.evidence = lossEvidence{}
	l.coldStart = coldStartLimits{limitedSinceMS: map[uint32]uint64{}}
	l.policyAppendTimer, l.zoneAppendTimer = appendTimer{}, appendTimer{}
	l.zoneMonitor = zones.NewMonitor()
}

// failPending answers all callers that wait with an error.
func (l *Leader) failPending(err error) {
	l.heartbeats.fail(err)
	l.policyOps.fail(err)
	l.zoneOps.fail(err)
}

// Tick tells that ms went by, and gives the entries to append, in order.
//
// A group that lost state appends nothing, as every decision would rest on what is not the fleet's. A new leader first
// listens; proof of lost state goes out all the same.
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
		l.BatchesSent++
		l.BatchBytes += uint64(len(entry.Body))
	}
	return append(entries, l.operationEntries(s)...)
}

// operationEntries gives the entries of what the rules decide and of what operators submitted.
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

// EntryApplied tells the outcome of an entry that was applied to the state, whoever appended it.
func (l *Leader) EntryApplied(s *State, outcome Outcome) {
	switch o := outcome.(type) {
	case BatchApplied:
		l.batchApplied(s, &o)
	case zones.Result:
		if o.IdempotencyKey == "" {
			l.zoneAppendTimer.stop()
		}
		l.zoneOps.applied(o, func(op *zones.Op) bool { return op.IdempotencyKey == o.IdempotencyKey })
	case policy.Result:
		// An operator's operation stops the timer too, though the leader's own may still be in flight. The leader may
		// then append its own a second time; State.Apply rejects the second.
		l.policyAppendTimer.stop()
		l.policyOps.applied(o, func(op *policy.Operation) bool { return o.IsOutcomeOf(*op) })
	}
}

// checkAccepting gives the error that an operator is told who submits something now, nil if it is taken.
func (l *Leader) checkAccepting() error {
	switch {
	case !l.leading:
		return ErrNotLeader
	case l.stateLost:
		return ErrStateLost
	}
	return nil
}

// SubmitPolicy takes an operator's operation. done is called once, when it is applied here or can't be.
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

// SubmitZone takes an operator's operation on a zone. done is called once, when it is applied here or can't be.
func (l *Leader) SubmitZone(s *State, op zones.Op, done func(zones.Result, error)) {
	err := l.checkAccepting()
	if err == nil {
		err = l.submitZone(s, op, done)
	}
	if err != nil {
		done(zones.Result{}, err)
	}
}

// submitZone answers at once what can't hold, and takes anything else. A bound of pending operations comes first.
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

// Forget takes names off the table of nodes with the next batch. It gives ErrNotLeader, ErrStateLost or ErrBusy.
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

// ZoneViews gives zones as the leader sees them.
func (l *Leader) ZoneViews() []*zones.View { return l.zoneMonitor.Views() }

// FleetView gives the whole fleet as the leader sees it, nil before the first tick that looked.
func (l *Leader) FleetView() *zones.View { return l.zoneMonitor.FleetView() }

// Reports gives what nodes told this leader.
func (l *Leader) Reports() policy.Reports { return l.report }
