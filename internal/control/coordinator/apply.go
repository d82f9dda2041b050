package coordinator

import (
	"encoding/json"

	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// Kinds of entries of the log that are applied to State, as stored.
const (
	KindHeartbeats = "beat"
	KindPolicy     = "policy"
	KindZones      = "zones"
)

// Entry is an entry to append to the log.
type Entry struct {
	Kind string
	Body []byte // JSON
}

// BatchApplied is the outcome of a batch of heartbeats. Term and Sequence name the batch.
type BatchApplied struct {
	Term, Sequence uint64
	membership.BatchResult
	FleetRestarted bool // most of the fleet has just restarted: it begins with a share
}

// Apply applies one committed entry and gives its outcome: a BatchApplied, a policy.Result or a zones.Result. An
// error (*EntryError, *UnknownKindError or ErrEmptyProposal) means that the entry can't be read, and that the
// instance can't go on: others may have read it.
func (s *State) Apply(kind string, body []byte, index, term uint64, v Versions) (any, error) {
	s.Index = index
	s.recordChecksum(kind, body, index, term)
	switch kind {
	case KindHeartbeats:
		return s.applyHeartbeats(body, term)
	case KindPolicy:
		return s.applyPolicy(body, v)
	case KindZones:
		return s.applyZones(body)
	}
	return nil, &UnknownKindError{kind}
}

func (s *State) applyHeartbeats(body []byte, term uint64) (any, error) {
	var batch membership.HeartbeatBatch
	if err := json.Unmarshal(body, &batch); err != nil {
		return nil, &EntryError{"a beat", err}
	}
	applied := BatchApplied{
		Term:        batch.Term,
		Sequence:    batch.Sequence,
		BatchResult: s.Fleet.Apply(&batch, term, s.leaseTerms()),
	}
	if rules := s.Policy.ActiveRules().Zones; len(applied.Joins) > 0 {
		applied.FleetRestarted = s.Zones.BeginColdStart(s.Fleet, &rules, s.DisabledZoneGuards)
	}
	return applied, nil
}

func (s *State) applyPolicy(body []byte, v Versions) (any, error) {
	var op policy.Op
	if err := json.Unmarshal(body, &op); err != nil {
		return nil, &EntryError{"a step of a policy", err}
	}
	if op.Kind == policy.OpPropose && op.Proposal == nil {
		return nil, ErrEmptyProposal
	}
	return s.Policy.Apply(&op, s.Fleet, versionCatalog{v}, s.DisabledGuards), nil
}

func (s *State) applyZones(body []byte) (any, error) {
	var op zones.Op
	if err := json.Unmarshal(body, &op); err != nil {
		return nil, &EntryError{"a step of a zone", err}
	}
	if !s.Policy.ActiveRules().Zones.Enabled() {
		return zones.Result{Kind: op.Kind, Zone: op.Zone, IdempotencyKey: op.IdempotencyKey,
			Err: "the policy in force decides nothing about zones: [zones] decide = ask or auto"}, nil
	}
	return s.Zones.Apply(&op, s.Fleet, s.DisabledZoneGuards), nil
}
