package policy

import (
	"fmt"

	"umberwinch/internal/control/membership"
)

// Next returns the operation that the leader appends for the current change, or nil while the change has to wait.
//
// A change in preparation is decided or aborted. A decided change is committed and then settled, each once no blocker
// is left.
func (s *State) Next(f *membership.State, reports Reports, disabled Guard) Operation {
	c := s.Current
	if c == nil {
		return nil
	}
	blockers, refusals := s.Blockers(f, reports)
	unblocked := len(blockers) == 0 || disabled.Has(AwaitLeases)
	switch {
	case c.Step == Preparing:
		return nextWhilePreparing(c, f, blockers, refusals, disabled)
	case c.Step == Decided && unblocked:
		return Commit{c.Number}
	case c.Step == Committed && unblocked:
		return Settle{c.Number}
	}
	return nil
}

// nextWhilePreparing decides whether a change in preparation is decided, aborted or keeps waiting.
//
//   - More refusals than MaxLeftBehind: aborted.
//   - No blocker left: decided.
//   - Timed out with at most MaxLeftBehind blockers and refusals: decided without those nodes, but not before
//     UnknownLeasesExpireMS, as nodes of an earlier generation may still be rejoining.
//   - Timed out otherwise: aborted.
func nextWhilePreparing(c *Change, f *membership.State, blockers, refusals []Blocker, disabled Guard) Operation {
	unprepared := len(blockers) + len(refusals)
	timedOut := f.ClockMS >= c.DecideByMS
	mayLeaveBehind := timedOut && unprepared <= c.Proposal.MaxLeftBehind && f.ClockMS >= f.UnknownLeasesExpireMS
	switch {
	case disabled.Has(PrepareAll) && 2*unprepared < len(f.Nodes()):
		return Decide{ChangeNumber: c.Number, FleetEpoch: f.FleetEpoch}
	case len(refusals) > c.Proposal.MaxLeftBehind:
		return Abort{ChangeNumber: c.Number, Reason: "refused by " + summarizeBlockers(refusals)}
	case len(blockers) == 0 || mayLeaveBehind:
		decide := Decide{ChangeNumber: c.Number, FleetEpoch: f.FleetEpoch}
		for _, b := range append(refusals, blockers...) {
			decide.LeftBehind = append(decide.LeftBehind, b.Node)
		}
		return decide
	case timedOut:
		reason := fmt.Sprintf("not prepared within %d ms: %s", c.Proposal.PrepareWithinMS, summarizeBlockers(blockers))
		return Abort{ChangeNumber: c.Number, Reason: reason}
	}
	return nil
}
