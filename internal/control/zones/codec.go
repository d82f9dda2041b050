package zones

// decode converts the stored form to the operation of its kind.
//
// A kind that this version does not know is rejected, but a newer version would apply it and the instances' states
// would diverge. So the leader may append a new kind only at the feature level that introduced it.
func (op *Op) decode() operation {
	dest := target{op.Zone, op.Epoch}
	budget := retryBudget{op.RetryBudget, op.NoCapacityElsewhere}
	newLimits := limits{op.Share, op.PriorityCutoff, op.RateLimit, op.ConnectRateLimit, budget}
	basis := rationale{op.Operator, op.Reason, op.ValueOfStaying, op.ValueOfEvacuating}
	switch op.Kind {
	case OpEvacuate:
		return &evacuation{dest, newLimits, basis, op.Cause, op.WaitMS, op.DrillMS, op.Capacities}
	case OpSettle:
		return &settlement{dest}
	case OpRamp:
		return &rampStep{dest, newLimits, basis}
	case OpSplit:
		return &quotaSplit{dest, budget}
	case OpEndRamp:
		return &rampEnd{dest, basis, budget}
	case OpStepBack:
		return &stepBack{dest, newLimits, basis, op.Cause, op.WaitMS}
	case OpObserve:
		return &observation{dest, op.Capacities}
	case OpHold:
		return &hold{dest, op.Operator, op.WaitMS}
	}
	return &unknownOperation{dest, op.Kind}
}

// op returns a stored form with the target's zone and epoch.
func (t target) op(kind OpKind) *Op { return &Op{Kind: kind, Zone: t.zone, Epoch: t.epoch} }

func (l *limits) write(op *Op) {
	op.Share, op.PriorityCutoff = l.share, l.priorityCutoff
	op.RateLimit, op.ConnectRateLimit = l.rateLimit, l.connectRateLimit
	l.budget.write(op)
}

func (b *retryBudget) write(op *Op) {
	op.RetryBudget, op.NoCapacityElsewhere = b.retries, b.noCapacityElsewhere
}

func (r *rationale) write(op *Op) {
	op.Operator, op.Reason = r.operator, r.reason
	op.ValueOfStaying, op.ValueOfEvacuating = r.valueOfStaying, r.valueOfEvacuating
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
