package zones

import (
	"errors"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// TestInvalidOperationsAreRejected checks that an operation of another epoch, phase or zone is rejected with its
// reason and changes nothing. Otherwise a zone could get its load twice, or the last zone be evacuated.
func TestInvalidOperationsAreRejected(t *testing.T) {
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
		{"unknown zone", Op{Kind: OpEvacuate, Zone: "none"}, nil, [2]uint64{}, ErrUnknownZone},
		{"evacuation of the whole fleet", Op{Kind: OpEvacuate, Zone: WholeFleet}, nil, [2]uint64{}, ErrUnknownZone},
		{"other epoch", Op{Kind: OpEvacuate, Zone: "a", Epoch: 3}, nil, [2]uint64{4, 4}, ErrStaleEpoch},
		{"ramp before the epoch has settled", Op{Kind: OpRamp, Zone: "a", Epoch: 4},
			[]*Zone{{Name: "a", Phase: Evacuated}}, [2]uint64{4, 3}, ErrUnsettled},
		{"settlement with nodes on an older epoch", Op{Kind: OpSettle, Epoch: 4}, nil, [2]uint64{4, 3}, ErrUnsettled},
		{"epoch settled already", Op{Kind: OpSettle, Epoch: 4}, nil, [2]uint64{4, 4}, ErrStaleEpoch},
		{"zone evacuating already", Op{Kind: OpEvacuate, Zone: "a"}, []*Zone{{Name: "a", Phase: Evacuating}},
			[2]uint64{}, ErrWrongPhase},
		{"last zone in service", Op{Kind: OpEvacuate, Zone: "a"}, []*Zone{{Name: "b", Phase: Evacuated}}, [2]uint64{},
			ErrLastZone},
		{"step back of a zone that does not ramp", Op{Kind: OpStepBack, Zone: "a"}, nil, [2]uint64{}, ErrWrongPhase},
		{"unknown kind", Op{Kind: "fly", Zone: "a"}, nil, [2]uint64{}, ErrUnknownOp},
	} {
		state := &State{Epoch: c.epochs[0], SettledEpoch: c.epochs[1], Zones: c.zones}
		_, err := state.apply(c.op.decode(), fleet, 0)
		var rejection *RejectedError
		if !errors.Is(err, c.reason) || !errors.As(err, &rejection) || rejection.Text == "" {
			t.Errorf("%s: apply() = %v, want %v", c.name, err, c.reason)
		}
		if state.Epoch != c.epochs[0] || state.SettledEpoch != c.epochs[1] {
			t.Errorf("%s: epoch, settled epoch = %d, %d after the rejection, want %d, %d", c.name, state.Epoch,
				state.SettledEpoch, c.epochs[0], c.epochs[1])
		}
		if result := state.Apply(&c.op, fleet, 0); result.Err == "" || result.Phase != "" {
			t.Errorf("%s: Apply() = %+v, want an error text and no phase", c.name, result)
		}
	}
}

// TestUnknownGuard checks that a misspelt guard's name gives an UnknownGuardError.
func TestUnknownGuard(t *testing.T) {
	var unknown *UnknownGuardError
	if _, err := GuardNamed("rooms"); !errors.As(err, &unknown) || unknown.Name != "rooms" {
		t.Errorf("GuardNamed(rooms) = %v, want an UnknownGuardError with this name", err)
	}
	if guard, err := GuardNamed("room"); err != nil || guard != SpareCapacity {
		t.Errorf("GuardNamed(room) = %v, %v, want %v", guard, err, SpareCapacity)
	}
}

// TestGuardNames checks that names and constants are in the same order. Otherwise a fault test would disable another
// guard than the one that it names.
func TestGuardNames(t *testing.T) {
	named := map[string]Guard{"common-cause": CommonCause, "room": SpareCapacity, "one-epoch": OneEpoch,
		"paced": PacedRamp, "step-back": StepBack, "retry-budget": RetryBudget, "lease-tokens": LeaseQuotas,
		"small-start": ColdStart, "spread": RetryAfterSpread}
	if len(named) != len(guardNames) || RetryAfterSpread != 1<<(len(guardNames)-1) {
		t.Errorf("%d guard names, want %d", len(guardNames), len(named))
	}
	for name, want := range named {
		if g, err := GuardNamed(name); err != nil || g != want {
			t.Errorf("GuardNamed(%s) = %b (%v), want %b", name, g, err, want)
		}
	}
	if names := GuardNames(); names[len(names)-1] != "lease-tokens" {
		t.Errorf("last of GuardNames() = %s, want lease-tokens", names[len(names)-1])
	}
}
