package coordinator

import (
	"encoding/json"
	"fmt"

	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// Stored kinds of the log entries that are applied to State.
const (
	KindHeartbeats = "beat"
	KindPolicy     = "policy"
	KindZones      = "zones"
)

// Entry is a log entry in its stored form.
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

// encodeEntry encodes an entry. It panics if the body can't be encoded, which no entry type allows.
func encodeEntry(kind string, body any) Entry {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode entry of kind %s: %v", kind, err))
	}
	return Entry{kind, raw}
}

// command is a decoded entry, which applies to one subsystem of State.
type command interface {
	apply(s *State, term uint64, v Versions) Outcome
}

// decodeEntry decodes an entry. Its error is an *EntryError, an *UnknownKindError or policy.ErrEmptyProposal. Recorded
// fixtures contain the error texts, in which a beat is a heartbeat batch and a step is an operation.
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
