package resultstore

// Decide decides what an attempt of a key gets at now. bodyDigest is that of the request's body, never 0; position is
// where the result stands in the log, for ReturnResult.
//
// A key that is not known runs, if there is room for its records. One that is known never runs again within its
// window: it waits for the run in flight, gets the stored result, or gets an error where it ran or may have run and
// there is none. Another body under the same key is rejected: for good once one of the two has run, to be retried
// while that is open. Reason: callers retry what they got no answer for, and a repeat that ran would do its work
// twice. An Indeterminate key costs its caller the rest of the window; the alternative is a second run.
func (x *Index) Decide(now Milliseconds, k Key, bodyDigest uint64) (v Verdict, position uint64) {
	e := x.table.find(k)
	if e == nil || !x.isLive(now, e) {
		if !x.hasCapacity(e != nil) {
			return RejectFull, 0
		}
		return Execute, 0
	}
	switch {
	case e.bodyDigest != bodyDigest && e.state.inFlight():
		return RejectConflict, 0
	case e.bodyDigest != bodyDigest:
		return RejectMismatch, 0
	case e.state == Completed:
		return ReturnResult, e.position
	case e.state == Failed, e.state == Indeterminate:
		x.ErrorsReturned++
		return ReturnError, 0
	}
	return WaitForResult, 0
}

// hasCapacity decides whether one more run fits, whatever it leaves: a slot in the index, unless the key has one, and
// the bytes of its intent and the largest result. Guards against a run that is let in and whose result can't be
// stored, which would make its key Indeterminate.
func (x *Index) hasCapacity(known bool) bool {
	return (known || x.table.count < x.limits.Keys) && x.BytesUsed()+x.limits.runBytes() <= x.limits.Bytes
}
