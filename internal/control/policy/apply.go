package policy

import (
	"fmt"

	"umberwinch/internal/control/membership"
)

// Apply applies one committed operation, at the clock and with the nodes of f.
//
// Each operation is checked against the current state, as it may be a duplicate from another leader or out of date. An
// operation that is no longer valid changes nothing, and its Result carries the rejection.
func (s *State) Apply(operation Operation, f *membership.State, v Versions, disabled Guard) Result {
	if o, ok := operation.(Propose); ok {
		return s.propose(&o.Proposal, f, v)
	}
	r := Result{Kind: operation.kind(), ChangeNumber: operation.changeNumber()}
	if s.Current == nil || s.Current.Number != r.ChangeNumber {
		r.Rejection = fmt.Sprintf("change %d is not under way", r.ChangeNumber)
		return r
	}
	switch o := operation.(type) {
	case Decide:
		r.Rejection = s.decide(&o, f, disabled)
	case Commit:
		r.Rejection = s.commit(f, disabled)
	case Settle:
		r.Rejection = s.settle(f, disabled)
	case Abort:
		r.Rejection = s.abort(&o, f, disabled)
	default:
		r.Rejection = fmt.Sprintf("op %q, expected propose, decide, force, settle or off", r.Kind)
	}
	return r
}

// wrongStepRejection returns the rejection of an operation that is not valid in the change's step.
func (c *Change) wrongStepRejection(expected Step) string {
	return fmt.Sprintf("change %d is %s, expected %s", c.Number, c.Step, expected)
}

// propose begins a change. A proposal that is repeated under its idempotency key returns the change that it began the
// first time, as the response may have been lost.
func (s *State) propose(p *Proposal, f *membership.State, v Versions) Result {
	r := Result{Kind: OpPropose, IdempotencyKey: p.IdempotencyKey}
	existing := s.find(func(c *Change) bool { return c.Proposal.IdempotencyKey == p.IdempotencyKey })
	if existing != nil {
		r.ChangeNumber = existing.Number
		return r
	}
	if r.Rejection = s.rejectProposal(p, v); r.Rejection != "" {
		return r
	}
	rules, hash, err := v.Check(p.Version, s.CommittedVersion)
	if err != nil {
		r.Rejection = truncate(err.Error())
		return r
	}
	s.LastNumber++
	s.Current = &Change{
		Number:          s.LastNumber,
		Version:         p.Version,
		PreviousVersion: s.CommittedVersion,
		Hash:            hash,
		Rules:           rules,
		Step:            Preparing,
		Proposal:        *p,
		DecideByMS:      f.ClockMS + p.PrepareWithinMS,
		ProposedAtMS:    f.ClockMS,
	}
	s.Current.addEvent(f.ClockMS, "proposed by %s: %s", p.Author, p.Reason)
	r.ChangeNumber = s.LastNumber
	return r
}

// rejectProposal returns why a proposal can't begin a change; empty: it can.
//
// Only one change runs at a time, and a version older than the decided one would break the nodes' promises. An
// exclusive change is rejected while nodes are autonomous: one unreachable node would block it indefinitely.
func (s *State) rejectProposal(p *Proposal, v Versions) string {
	switch {
	case s.Current != nil:
		return fmt.Sprintf("change %d to version %d is %s; it has to end first", s.Current.Number, s.Current.Version,
			s.Current.Step)
	case p.Version <= s.DecidedVersion:
		return fmt.Sprintf("version %d, expected one after %d, which is in force: to go back, put the older text "+
			"again, as a new version", p.Version, s.DecidedVersion)
	case p.Version > v.Last():
		return fmt.Sprintf("version %d, expected at most %d, the group's last", p.Version, v.Last())
	case p.Exclusive && s.ActiveRules().Autonomous:
		return "exclusive, while when_alone = go-on is in force: a node that is cut off would hold up all others"
	}
	return ""
}

// decide makes the change's version the decided one. From then on no lease is extended without a promise of that
// version, and the change can't be aborted.
//
// It is rejected if the fleet epoch has changed since the leader decided: a node that joined since then has not
// prepared the version and might be unable to serve under it.
func (s *State) decide(o *Decide, f *membership.State, disabled Guard) (rejection string) {
	c := s.Current
	if c.Step != Preparing {
		return c.wrongStepRejection(Preparing)
	}
	if o.FleetEpoch != f.FleetEpoch && !disabled.Has(PrepareAll) {
		return fmt.Sprintf("decided for the fleet of epoch %d, and it is in %d: a node joined", o.FleetEpoch, f.FleetEpoch)
	}
	s.DecidedVersion, c.DecidedAtMS = c.Version, f.ClockMS
	c.addEvent(f.ClockMS, "decided")
	if len(o.LeftBehind) > 0 {
		c.addEvent(f.ClockMS, "left behind, out of service: %s", Summarize(o.LeftBehind))
	}
	c.Step = Decided
	if !c.Proposal.Exclusive {
		s.makeCommitted(f)
	}
	return ""
}

// commit makes an exclusive change's version the committed one. It is rejected while a live lease allows an older
// version, so that no two versions are served at the same time.
func (s *State) commit(f *membership.State, disabled Guard) (rejection string) {
	c := s.Current
	if c.Step != Decided {
		return c.wrongStepRejection(Decided)
	}
	if older := f.NodesServingOlder(c.Version); len(older) > 0 && !disabled.Has(AwaitLeases) {
		return "still under an older one: " + Summarize(older)
	}
	s.makeCommitted(f)
	return ""
}

// settle ends a committed change. It is rejected while a live lease allows an older version: an unreachable node might
// still serve under it after the change was reported as settled.
func (s *State) settle(f *membership.State, disabled Guard) (rejection string) {
	c := s.Current
	if c.Step != Committed {
		return c.wrongStepRejection(Committed)
	}
	if older := f.NodesServingOlder(c.Version); len(older) > 0 && !disabled.Has(AwaitLeases) {
		return "maybe still under an older one: " + Summarize(older)
	}
	c.Step, c.EndedAtMS = Settled, f.ClockMS
	c.addEvent(f.ClockMS, "settled: nobody can serve under an older one")
	s.endCurrent(c)
	return ""
}

// abort ends a change that is not decided. A decided change is never aborted: nodes may already serve under its version
// and would not learn of the abort in time.
func (s *State) abort(o *Abort, f *membership.State, disabled Guard) (rejection string) {
	c := s.Current
	if c.Step != Preparing {
		if !disabled.Has(DecideOnce) || c.Step == Settled {
			return c.wrongStepRejection(Preparing +
				", as what is decided is not taken back; go back by a change to the older text")
		}
		s.DecidedVersion, s.CommittedVersion = c.PreviousVersion, c.PreviousVersion
	}
	c.Step, c.EndedAtMS, c.AbortReason = Aborted, f.ClockMS, o.Reason
	if o.Author != "" {
		c.addEvent(f.ClockMS, "called off by %s: %s", o.Author, o.Reason)
	} else {
		c.addEvent(f.ClockMS, "called off: %s", o.Reason)
	}
	s.endCurrent(c)
	return ""
}

// makeCommitted makes the current change's version the committed one.
func (s *State) makeCommitted(f *membership.State) {
	c := s.Current
	s.CommittedVersion, s.CommittedHash, s.Rules = c.Version, c.Hash, c.Rules
	c.Step, c.CommittedAtMS = Committed, f.ClockMS
	c.addEvent(f.ClockMS, "in force")
}
