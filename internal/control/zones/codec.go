package zones

// decode reads the stored form of an operation, with the fields that its kind has. A kind that this program does not
// know is rejected here and applied by a newer program: their states would part. So the leader may append a new kind
// only at a level of the group that came with it.
func (op *Op) decode() operation {
	on := target{op.Zone, op.Epoch}
	budget := retryBudget{op.RetryBudget, op.NoCapacityElsewhere}
	takes := limits{op.Share, op.PriorityCutoff, op.RateLimit, op.ConnectRateLimit, budget}
	why := rationale{op.Operator, op.Reason, op.ValueOfStaying, op.ValueOfEvacuating}
	switch op.Kind {
	case OpEvacuate:
		return &evacuation{on, takes, why, op.Cause, op.WaitMS, op.DrillMS, op.Capacities}
	case OpSettle:
		return &settlement{on}
	case OpRamp:
		return &rampStep{on, takes, why}
	case OpSplit:
		return &quotaSplit{on, budget}
	case OpEndRamp:
		return &rampEnd{on, why, budget}
	case OpStepBack:
		return &stepBack{on, takes, why, op.Cause, op.WaitMS}
	case OpObserve:
		return &observation{on, op.Capacities}
	case OpHold:
		return &hold{on, op.Operator, op.WaitMS}
	}
	return &unknownOperation{on, op.Kind}
}

// op begins the stored form of an operation.
func (t target) op(kind OpKind) *Op { return &Op{Kind: kind, Zone: t.zone, Epoch: t.epoch} }

func (l *limits) write(op *Op) {
	op.Share, op.PriorityCutoff = l.share, l.priorityCutoff
	op.RateLimit, op.ConnectRateLimit = l.rateLimit, l.connectRateLimit
	l.budget.write(op)
}

func (b *retryBudget) write(op *Op) {
	op.RetryBudget, op.NoCapacityElsewhere = b.retries, b.noCapacityElsewhere
}

func (g *rationale) write(op *Op) {
	op.Operator, op.Reason = g.operator, g.reason
	op.ValueOfStaying, op.ValueOfEvacuating = g.valueOfStaying, g.valueOfEvacuating
}

func (o *evacuation) encode() *Op {
	op := o.op(OpEvacuate)
	o.limits.write(op)
	o.rationale.write(op)
	op.Cause, op.WaitMS, op.DrillMS, op.Capacities = o.cause, o.waitMS, o.drillMS, o.capacities
	return op
}

func (o *settlement) encode() *Op { return o.op(OpSettle) }

func (o *rampStep) encode() *Op {
	op := o.op(OpRamp)
	o.limits.write(op)
	o.rationale.write(op)
	return op
}

func (o *quotaSplit) encode() *Op {
	op := o.op(OpSplit)
	o.budget.write(op)
	return op
}

func (o *rampEnd) encode() *Op {
	op := o.op(OpEndRamp)
	o.rationale.write(op)
	o.budget.write(op)
	return op
}

func (o *stepBack) encode() *Op {
	op := o.op(OpStepBack)
	o.limits.write(op)
	o.rationale.write(op)
	op.Cause, op.WaitMS = o.cause, o.waitMS
	return op
}

func (o *observation) encode() *Op {
	op := o.op(OpObserve)
	op.Capacities = o.capacities
	return op
}

func (o *hold) encode() *Op {
	op := o.op(OpHold)
	op.Operator, op.WaitMS = o.operator, o.durationMS
	return op
}

func (o *unknownOperation) encode() *Op { return o.op(o.kind) }
