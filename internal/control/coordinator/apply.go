package coordinator

import (
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// Outcome is the outcome of an applied entry: a BatchApplied, a policy.Result or a zones.Result.
type Outcome interface {
	// Rejected reports whether the entry changed nothing because it was no longer valid when it was applied.
	Rejected() bool
}

// BatchApplied is the outcome of the heartbeat batch with a Term and a Sequence.
type BatchApplied struct {
	Term, Sequence uint64
	membership.BatchResult
	FleetRestarted bool // a cold start of the whole fleet was begun
}

// Rejected reports whether the batch was ignored because another one was applied after it was built.
func (b BatchApplied) Rejected() bool { return !b.Applied }

// Apply applies a committed entry and returns its outcome. On an error (*EntryError, *UnknownKindError or
// policy.ErrEmptyProposal) the entry can't be decoded and the instance must stop, as other instances may have applied
// it.
func (s *State) Apply(kind string, body []byte, index, term uint64, v Versions) (Outcome, error) {
	s.Index = index
	s.recordChecksum(kind, body, index, term)
	cmd, err := decodeEntry(kind, body)
	if err != nil {
		return nil, err
	}
	return cmd.apply(s, term, v), nil
}

// heartbeatsCommand applies a heartbeat batch to the node table, and begins a cold start if most of the fleet
// restarted.
type heartbeatsCommand membership.HeartbeatBatch

func (c *heartbeatsCommand) apply(s *State, term uint64, _ Versions) Outcome {
	batch := (*membership.HeartbeatBatch)(c)
	result := BatchApplied{
		Term:        batch.Term,
		Sequence:    batch.Sequence,
		BatchResult: s.Fleet.Apply(batch, term, s.leaseTerms()),
	}
	if rules := s.Policy.ActiveRules().Zones; len(result.Joins) > 0 {
		result.FleetRestarted = s.Zones.BeginColdStart(s.Fleet, &rules, s.DisabledZoneGuards)
	}
	return result
}

// policyCommand applies an operation on a policy change.
type policyCommand struct{ operation policy.Operation }

func (c policyCommand) apply(s *State, _ uint64, v Versions) Outcome {
	return s.Policy.Apply(c.operation, s.Fleet, versionCatalog{v}, s.DisabledGuards)
}

// zonesCommand applies an operation on a zone.
type zonesCommand zones.Op

func (c *zonesCommand) apply(s *State, _ uint64, _ Versions) Outcome {
	op := (*zones.Op)(c)
	if !s.Policy.ActiveRules().Zones.Enabled() {
		return zones.Result{Kind: op.Kind, Zone: op.Zone, IdempotencyKey: op.IdempotencyKey,
			Err: "the policy in force decides nothing about zones: [zones] decide = ask or auto"}
	}
	return s.Zones.Apply(op, s.Fleet, s.DisabledZoneGuards)
}
