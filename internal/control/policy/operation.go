package policy

// Operation is an operation on a change: Propose, Decide, Commit, Settle or Abort. Op is its stored and sent form.
type Operation interface {
	kind() OpKind
	changeNumber() uint64 // 0: the operation begins a new change
}

// Propose begins a change. An operator submits it.
type Propose struct{ Proposal Proposal }

// Decide makes a change's version the decided one. The leader appends it.
type Decide struct {
	ChangeNumber uint64
	FleetEpoch   uint64   // all nodes of this epoch except LeftBehind have prepared
	LeftBehind   []string // names of nodes that are out of service from then on
}

// Commit makes an exclusive change's version the committed one. The leader appends it.
type Commit struct{ ChangeNumber uint64 }

// Settle ends a committed change. The leader appends it.
type Settle struct{ ChangeNumber uint64 }

// Abort ends a change that is not decided. The leader appends it, or an operator submits it.
type Abort struct {
	ChangeNumber uint64
	Reason       string
	Author       string // the operator; empty: the leader
}

// unknownOperation is an operation of a kind that this build does not know. State.Apply rejects it; see Op.Operation.
type unknownOperation struct {
	Kind         OpKind
	ChangeNumber uint64
}

func (Propose) kind() OpKind            { return OpPropose }
func (Decide) kind() OpKind             { return OpDecide }
func (Commit) kind() OpKind             { return OpCommit }
func (Settle) kind() OpKind             { return OpSettle }
func (Abort) kind() OpKind              { return OpAbort }
func (o unknownOperation) kind() OpKind { return o.Kind }

func (Propose) changeNumber() uint64            { return 0 }
func (o Decide) changeNumber() uint64           { return o.ChangeNumber }
func (o Commit) changeNumber() uint64           { return o.ChangeNumber }
func (o Settle) changeNumber() uint64           { return o.ChangeNumber }
func (o Abort) changeNumber() uint64            { return o.ChangeNumber }
func (o unknownOperation) changeNumber() uint64 { return o.ChangeNumber }
