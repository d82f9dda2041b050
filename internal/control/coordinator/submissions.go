package coordinator

// maxPendingOps is the maximum number of pending operators' operations of each kind.
const maxPendingOps = 64

// submissions is the queue of operators' operations of one kind that are not applied yet.
type submissions[Op, Result any] struct {
	pending []*submission[Op, Result]
}

type submission[Op, Result any] struct {
	op           Op
	appended     bool
	appendedAtMS uint64 // time of the last append
	done         func(Result, error)
}

// add queues an operation, or returns ErrBusy if maxPendingOps are pending. done is called once.
func (q *submissions[Op, Result]) add(op Op, done func(Result, error)) error {
	if len(q.pending) >= maxPendingOps {
		return ErrBusy
	}
	q.pending = append(q.pending, &submission[Op, Result]{op: op, done: done})
	return nil
}

// toAppend returns the operations to append now: new ones and those considered lost.
func (q *submissions[Op, Result]) toAppend(nowMS uint64) (ops []*Op) {
	for _, p := range q.pending {
		if !p.appended || nowMS-p.appendedAtMS > appendTimeoutMS {
			p.appended, p.appendedAtMS = true, nowMS
			ops = append(ops, &p.op)
		}
	}
	return ops
}

// applied completes all appended operations that the result is the outcome of.
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

// fail completes all operations with an error.
func (q *submissions[Op, Result]) fail(err error) {
	var zero Result
	for _, p := range q.pending {
		p.done(zero, err)
	}
	q.pending = nil
}
