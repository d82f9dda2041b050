package coordinator

import (
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// Outcome is what came of an applied entry: a BatchApplied, a policy.Result or a zones.Result.
type Outcome interface {
	// Rejected tells whether the entry changed nothing, as it no longer held when it was applied.
	Rejected() bool
}

// BatchApplied is the outcome of a batch of heartbeats. Term and Sequence name the batch.
type BatchApplied struct {
	Term, Sequence uint64
	membership.BatchResult
	FleetRestarted bool // most of the fleet has just restarted: it begins with a share
}

// Rejected tells whether the batch changed nothing, as another one was applied since it was made.
func (b BatchApplied) Rejected() bool { return !b.Applied }

// Apply applies one committed entry and gives its outcome. An error (*EntryError, *UnknownKindError or
// policy.ErrEmptyProposal) means that the entry can't be read, and that the instance can't go on: others may have read
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

// heartbeatsCommand tells the table of nodes of heartbeats and of the time that went by.
type heartbeatsCommand membership.HeartbeatBatch

func (c *heartbeatsCommand) apply(s *State, term uint64, _ Versions) Outcome {
	batch := (*membership.HeartbeatBatch)(c)
	applied := BatchApplied{
		Term:        batch.Term,
		Sequence:    batch.Sequence,
		BatchResult: s.Fleet.Apply(batch, term, s.leaseTerms()),
	}
	if rules := s.Policy.ActiveRules().Zones; len(applied.Joins) > 0 {
		applied.FleetRestarted = s.Zones.BeginColdStart(s.Fleet, &rules, s.DisabledZoneGuards)
	}
	return applied
}

// policyCommand takes a change of the policy one step on.
type policyCommand struct{ operation policy.Operation }

func (c policyCommand) apply(s *State, _ uint64, v Versions) Outcome {
	return s.Policy.Apply(c.operation, s.Fleet, versionCatalog{v}, s.DisabledGuards)
}

// zonesCommand takes zones one step on.
type zonesCommand zones.Op

func (c *zonesCommand) apply(s *State, _ uint64, _ Versions) Outcome {
	op := (*zones.Op)(c)
	if !s.Policy.ActiveRules().Zones.Enabled() {
		return zones.Result{Kind: op.Kind, Zone: op.Zone, IdempotencyKey: op.IdempotencyKey,
			Err: "the policy in force decides nothing about zones: [zones] decide = ask or auto"}
	}
	return s.Zones.Apply(op, s.Fleet, s.DisabledZoneGuards)
}
