package policy

import (
	"fmt"

	"umberwinch/internal/control/membership"
)

// Next decides which operation the leader appends for the change under way, nil while the change has to wait.
//
// It decides by the step of the change, the table of nodes and the nodes' reports since the leader leads. It acts at
// each tick of the leader. A change ends once: it is decided when all nodes that are in have prepared it, or aborted;
// after the decision it only goes on, to in force and to settled, as leases run out.
func (s *State) Next(f *membership.State, reports Reports, disabled Guard) Operation {
	c := s.Current
	if c == nil {
		return nil
	}
	blockers, refusals := s.Blockers(f, reports)
	unblocked := len(blockers) == 0 || disabled.Has(LeaseGuard)
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

// nextWhilePreparing decides whether a change that is prepared is decided, aborted or waits.
//
// It decides by the nodes that block or refuse it, the proposal's bound of nodes that may be left behind, and the
// group's time against the proposal's. More refusals than may be left behind abort it at once; at the end of its time
// it goes on without those that may be left behind, and is aborted if there are more. So nobody is waited for for
// ever, and a node is put out of service only as far as the operator allowed. In a restored group's first moments
// nobody is left behind: nodes that are on their way to it would be.
func nextWhilePreparing(c *Change, f *membership.State, blockers, refusals []Blocker, disabled Guard) Operation {
	unprepared := len(blockers) + len(refusals)
	timedOut := f.ClockMS >= c.DecideByMS
	mayLeaveBehind := timedOut && unprepared <= c.Proposal.MaxLeftBehind && f.ClockMS >= f.UnknownLeasesExpireMS
	switch {
	case disabled.Has(PrepareAll) && 2*unprepared < len(f.Nodes()):
		return Decide{ChangeNumber: c.Number, FleetEpoch: f.Epoch}
	case len(refusals) > c.Proposal.MaxLeftBehind:
		return Abort{ChangeNumber: c.Number, Reason: "refused by " + summarizeBlockers(refusals)}
	case len(blockers) == 0 || mayLeaveBehind:
		decide := Decide{ChangeNumber: c.Number, FleetEpoch: f.Epoch}
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
