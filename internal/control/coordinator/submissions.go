package coordinator

// maxPendingOps bounds operators' operations that are pending, of each kind: more is a runaway script.
const maxPendingOps = 64

// submissions are the operations of one kind that operators submitted and that are not applied yet.
type submissions[Op, Result any] struct {
	pending []*submission[Op, Result]
}

type submission[Op, Result any] struct {
	op           Op
	appended     bool
	appendedAtMS uint64 // when it was appended last
	done         func(Result, error)
}

// add takes an operation; done is called once. It gives ErrBusy at the bound.
func (q *submissions[Op, Result]) add(op Op, done func(Result, error)) error {
	if len(q.pending) >= maxPendingOps {
		return ErrBusy
	}
	q.pending = append(q.pending, &submission[Op, Result]{op: op, done: done})
	return nil
}

// toAppend gives the operations to append now: new ones, and those that count as lost.
func (q *submissions[Op, Result]) toAppend(nowMS uint64) (ops []*Op) {
	for _, p := range q.pending {
		if !p.appended || nowMS-p.appendedAtMS > appendTimeoutMS {
			p.appended, p.appendedAtMS = true, nowMS
			ops = append(ops, &p.op)
		}
	}
	return ops
}

// applied answers all appended operations that a result is the outcome of.
func (q *submissions[Op, Result]) applied(result Result, isOutcomeOf func(*Op) bool) {
	remaining := q.pending[:0]
	for _, p := range q.pending {
		if p.appended && isOutcomeOf(&p.op) {
			p.done(result, nil)
		} else {
			remaining = append(remaining, p)
		}
	}
	q.pending = remaining
}

// fail answers all operations with an error.
func (q *submissions[Op, Result]) fail(err error) {
	var zero Result
	for _, p := range q.pending {
		p.done(zero, err)
	}
	q.pending = nil
}
