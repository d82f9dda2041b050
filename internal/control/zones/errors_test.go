package zones

import (
	"errors"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestRejections: two leaders may decide about one picture, an operator may ask for what the zone's phase does not
// allow, and some node may act on an older epoch. If such an operation were applied a zone could take load twice, or
// the last zone be evacuated. Each is rejected with its reason, and changes nothing.
func TestRejections(t *testing.T) {
	fleet := membership.New()
	fleet.Apply(&membership.HeartbeatBatch{Term: 1, Joins: []api.JoinRequest{
		{Name: "n1", Zone: "a", Nonce: "nonce-of-1"}, {Name: "n2", Zone: "b", Nonce: "nonce-of-2"}}}, 1,
		membership.LeaseTerms{LeaseMS: 5000})
	for _, c := range []struct {
		name   string
		op     Op
		zones  []*Zone
		epochs [2]uint64 // newest, settled
		reason error
	}{
		{"no node is of it", Op{Kind: OpEvacuate, Zone: "none"}, nil, [2]uint64{}, ErrUnknownZone},
		{"the whole fleet", Op{Kind: OpEvacuate, Zone: WholeFleet}, nil, [2]uint64{}, ErrUnknownZone},
		{"another leader's", Op{Kind: OpEvacuate, Zone: "a", Epoch: 3}, nil, [2]uint64{4, 4}, ErrStaleEpoch},
		{"raised too early", Op{Kind: OpRamp, Zone: "a", Epoch: 4}, []*Zone{{Name: "a", Phase: Evacuated}},
			[2]uint64{4, 3},
			ErrUnsettled},
		{"settled too early", Op{Kind: OpSettle, Epoch: 4}, nil, [2]uint64{4, 3}, ErrUnsettled},
		{"settled twice", Op{Kind: OpSettle, Epoch: 4}, nil, [2]uint64{4, 4}, ErrStaleEpoch},
		{"evacuated already", Op{Kind: OpEvacuate, Zone: "a"}, []*Zone{{Name: "a", Phase: Evacuating}}, [2]uint64{},
			ErrWrongPhase},
		{"the last one", Op{Kind: OpEvacuate, Zone: "a"}, []*Zone{{Name: "b", Phase: Evacuated}}, [2]uint64{},
			ErrLastZone},
		{"not ramping", Op{Kind: OpStepBack, Zone: "a"}, nil, [2]uint64{}, ErrWrongPhase},
		{"unknown", Op{Kind: "fly", Zone: "a"}, nil, [2]uint64{}, ErrUnknownOp},
	} {
		state := &State{Epoch: c.epochs[0], SettledEpoch: c.epochs[1], Zones: c.zones}
		_, err := state.apply(c.op.decode(), fleet, 0)
		var rejection *RejectedError
		if !errors.Is(err, c.reason) || !errors.As(err, &rejection) || rejection.Text == "" {
			t.Errorf("%s: %v, expected %v", c.name, err, c.reason)
		}
		if state.Epoch != c.epochs[0] || state.SettledEpoch != c.epochs[1] {
			t.Errorf("%s: epoch %d, settled %d: a rejected operation changed them", c.name, state.Epoch,
				state.SettledEpoch)
		}
		if result := state.Apply(&c.op, fleet, 0); result.Err == "" || result.Phase != "" {
			t.Errorf("%s: %+v, expected the error's text alone", c.name, result)
		}
	}
}

// TestUnknownGuard: an operator's slip in a guard's name is told with the names that there are.
func TestUnknownGuard(t *testing.T) {
	var unknown *UnknownGuardError
	if _, err := GuardNamed("rooms"); !errors.As(err, &unknown) || unknown.Name != "rooms" {
		t.Errorf("found %v, expected an UnknownGuardError of rooms", err)
	}
	if guard, err := GuardNamed("room"); err != nil || guard != SpareCapacity {
		t.Errorf("found %v, %v, expected %v", guard, err, SpareCapacity)
	}
}

// TestGuardNames: a fault test takes guards out by name. If names and constants were in different orders, it would take
// out another guard than the one that it names.
func TestGuardNames(t *testing.T) {
	named := map[string]Guard{"common-cause": CommonCause, "room": SpareCapacity, "one-epoch": OneEpoch,
		"paced": PacedRamp, "step-back": StepBack, "retry-budget": RetryBudget, "lease-tokens": LeaseQuotas,
		"small-start": ColdStart, "spread": RetryAfterSpread}
	if len(named) != len(guardNames) || RetryAfterSpread != 1<<(len(guardNames)-1) {
		t.Errorf("found %d names, expected one for each of %d guards", len(guardNames), len(named))
	}
	for name, want := range named {
		if g, err := GuardNamed(name); err != nil || g != want {
			t.Errorf("%s: found guard %b (%v), expected %b", name, g, err, want)
		}
	}
	if names := GuardNames(); names[len(names)-1] != "lease-tokens" {
		t.Errorf("the last guard of zones is %s, expected lease-tokens", names[len(names)-1])
	}
}
