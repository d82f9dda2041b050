package policy

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

// Op is one entry of the log: an operation with the fields that its kind has.
type Op struct {
	Kind         OpKind    `json:"op"`
	ChangeNumber uint64    `json:"number,omitempty"`  // all but propose
	Proposal     *Proposal `json:"propose,omitempty"` // propose
	// FleetEpoch (decide): all nodes of this epoch of the fleet were heard, but for those in LeftBehind.
	FleetEpoch uint64   `json:"epoch,omitempty"`
	LeftBehind []string `json:"left,omitempty"`
	Reason     string   `json:"why,omitempty"` // abort
	Author     string   `json:"by,omitempty"`  // abort: the operator; empty: the leader
}

// Result is the outcome of an operation. The API sends it.
type Result struct {
	Kind           OpKind `json:"Kind"`
	ChangeNumber   uint64 `json:"Number"`
	IdempotencyKey string `json:"Key"` // of a proposal
	Rejection      string `json:"Err"` // why it changed nothing; empty: it did
}
