package policy

import (
	"fmt"

	"umberwinch/internal/control/api"
)

// OpKind is the stored kind of an operation on a change.
type OpKind string

// Kinds of operations. The leader appends decide, commit and settle; an operator submits propose; either may abort.
const (
	OpPropose OpKind = "propose"
	OpDecide  OpKind = "decide"
	OpCommit  OpKind = "force"
	OpSettle  OpKind = "settle"
	OpAbort   OpKind = "off"
)

// Op is the stored and sent form of an Operation: a JSON object with the fields of its kind.
type Op struct {
	Kind         OpKind    `json:"op"`
	ChangeNumber uint64    `json:"number,omitempty"`  // all kinds but propose
	Proposal     *Proposal `json:"propose,omitempty"` // propose
	FleetEpoch   uint64    `json:"epoch,omitempty"`   // decide
	LeftBehind   []string  `json:"left,omitempty"`    // decide
	Reason       string    `json:"why,omitempty"`     // abort
	Author       string    `json:"by,omitempty"`      // abort
}

// Encode converts an operation to its stored and sent form.
func Encode(operation Operation) Op {
	op := Op{Kind: operation.kind(), ChangeNumber: operation.changeNumber()}
	switch o := operation.(type) {
	case Propose:
		op.Proposal = &o.Proposal
	case Decide:
		op.FleetEpoch, op.LeftBehind = o.FleetEpoch, o.LeftBehind
	case Abort:
		op.Reason, op.Author = o.Reason, o.Author
	}
	return op
}

// Operation decodes the stored form. Its error is ErrEmptyProposal. State.Apply rejects an operation of an unknown
// kind; a newer build would apply it, and the two states would diverge. A new kind therefore needs a new feature level
// of the group.
func (op *Op) Operation() (Operation, error) {
	switch op.Kind {
	case OpPropose:
		if op.Proposal == nil {
			return nil, ErrEmptyProposal
		}
		return Propose{*op.Proposal}, nil
	case OpDecide:
		return Decide{op.ChangeNumber, op.FleetEpoch, op.LeftBehind}, nil
	case OpCommit:
		return Commit{op.ChangeNumber}, nil
	case OpSettle:
		return Settle{op.ChangeNumber}, nil
	case OpAbort:
		return Abort{op.ChangeNumber, op.Reason, op.Author}, nil
	}
	return unknownOperation{op.Kind, op.ChangeNumber}, nil
}

// Validate returns an *api.FieldError if an operator may not submit the operation.
func (op *Op) Validate() error {
	switch {
	case op.Kind == OpPropose && op.Proposal != nil:
		return op.Proposal.Validate()
	case op.Kind == OpAbort && op.Author != "" && len(op.Author) <= maxAuthorBytes && len(op.Reason) <= maxReasonBytes:
		return nil
	}
	return &api.FieldError{Field: "op", Found: fmt.Sprintf("%.20q", op.Kind),
		Expected: "propose with a proposal, or off with by and why"}
}

// Result is the outcome of an operation, as sent by the API.
type Result struct {
	Kind           OpKind `json:"Kind"`
	ChangeNumber   uint64 `json:"Number"`
	IdempotencyKey string `json:"Key"` // of a proposal
	Rejection      string `json:"Err"` // why it changed nothing; empty: it was applied
}

// Rejected reports whether the operation was rejected and changed nothing.
func (r Result) Rejected() bool { return r.Rejection != "" }

// IsOutcomeOf reports whether the result is the outcome of an operation. Proposals are matched by their idempotency
// key, other operations by kind and change.
func (r Result) IsOutcomeOf(operation Operation) bool {
	if r.IdempotencyKey != "" {
		proposal, ok := operation.(Propose)
		return ok && proposal.Proposal.IdempotencyKey == r.IdempotencyKey
	}
	return operation.kind() == r.Kind && operation.changeNumber() == r.ChangeNumber
}
