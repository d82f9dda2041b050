package coordinator

import (
	"encoding/json"
	"fmt"

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

// Entry is an entry to append to the log, as it is stored: its kind says what the body is.
type Entry struct {
	Kind string
	Body []byte // JSON
}

func heartbeatsEntry(batch *membership.HeartbeatBatch) Entry {
	return encodeEntry(KindHeartbeats, batch)
}

func policyEntry(operation policy.Operation) Entry {
	return encodeEntry(KindPolicy, policy.Encode(operation))
}

func zonesEntry(op *zones.Op) Entry { return encodeEntry(KindZones, op) }

// encodeEntry encodes an entry's body, which is one of our own structs and can always be encoded.
func encodeEntry(kind string, body any) Entry {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encoding an entry of kind %s: %v", kind, err))
	}
	return Entry{kind, raw}
}

// command is a decoded entry: what one of the subsystems is told.
type command interface {
	apply(s *State, term uint64, v Versions) Outcome
}

// decodeEntry reads an entry. Errors call a batch of heartbeats a beat and an operation a step: their texts are part of
// recorded decisions and stay. Its error is an *EntryError, an *UnknownKindError or policy.ErrEmptyProposal.
func decodeEntry(kind string, body []byte) (command, error) {
	switch kind {
	case KindHeartbeats:
		var batch heartbeatsCommand
		if err := json.Unmarshal(body, &batch); err != nil {
			return nil, &EntryError{"a beat", err}
		}
		return &batch, nil
	case KindPolicy:
		var op policy.Op
		if err := json.Unmarshal(body, &op); err != nil {
			return nil, &EntryError{"a step of a policy", err}
		}
		operation, err := op.Operation()
		if err != nil {
			return nil, err
		}
		return policyCommand{operation}, nil
	case KindZones:
		var op zonesCommand
		if err := json.Unmarshal(body, &op); err != nil {
			return nil, &EntryError{"a step of a zone", err}
		}
		return &op, nil
	}
	return nil, &UnknownKindError{kind}
}
