package policy

import (
	"fmt"

	"umberwinch/internal/control/api"
)

// OpKind names an operation on a change, as it stands in the log.
type OpKind string

// The operations. Decide, commit and settle are appended by the leader; propose by an operator; abort by either.
const (
	OpPropose OpKind = "propose"
	OpDecide  OpKind = "decide"
	OpCommit  OpKind = "force"
	OpSettle  OpKind = "settle"
	OpAbort   OpKind = "off"
)

// Op is the stored and sent form of an Operation: one JSON object with the fields that its kind has. Encode writes it,
// and Operation reads it; nothing else goes by its fields.
type Op struct {
	Kind         OpKind    `json:"op"`
	ChangeNumber uint64    `json:"number,omitempty"`  // all but propose
	Proposal     *Proposal `json:"propose,omitempty"` // propose
	FleetEpoch   uint64    `json:"epoch,omitempty"`   // decide
	LeftBehind   []string  `json:"left,omitempty"`    // decide
	Reason       string    `json:"why,omitempty"`     // abort
	Author       string    `json:"by,omitempty"`      // abort
}

// Encode gives the form of an operation that is stored and sent.
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

// Operation reads the stored form. Its error is ErrEmptyProposal. A kind that this program does not know is an
// operation that this program's state rejects and a newer program's applies: their states would part. So the leader
// may append a new kind only at a level of the group that came with it, as then each member knows the kind.
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

// Validate gives an *api.FieldError for an operation that an operator may not submit as it is.
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

// Result is the outcome of an operation. The API sends it.
type Result struct {
	Kind           OpKind `json:"Kind"`
	ChangeNumber   uint64 `json:"Number"`
	IdempotencyKey string `json:"Key"` // of a proposal
	Rejection      string `json:"Err"` // why it changed nothing; empty: it did
}

// Rejected tells whether the operation changed nothing, for the reason in Rejection.
func (r Result) Rejected() bool { return r.Rejection != "" }

// IsOutcomeOf tells whether the result is an operation's: a proposal is known by its key, the others by their kind and
// change.
func (r Result) IsOutcomeOf(operation Operation) bool {
	if r.IdempotencyKey != "" {
		proposal, ok := operation.(Propose)
		return ok && proposal.Proposal.IdempotencyKey == r.IdempotencyKey
	}
	return operation.kind() == r.Kind && operation.changeNumber() == r.ChangeNumber
}
