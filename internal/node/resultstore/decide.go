package resultstore

// Decide returns the verdict on an attempt of a key at now. bodyDigest is the digest of the request's body, never 0;
// position is that of the result in the log, for ReturnResult.
//
// A known key never runs again within its window, as a retry that ran would do the work twice. A key with another body
// is rejected: for good once the first one has run, with a retry while it is in flight.
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

// hasCapacity reports whether the index has a free slot (a known key has its own) and the disk has room for the intent
// and the largest result of one more run. Otherwise a result that can't be stored would leave its key Indeterminate.
func (x *Index) hasCapacity(known bool) bool {
	return (known || x.table.count < x.limits.Keys) && x.BytesUsed()+x.limits.runBytes() <= x.limits.Bytes
}
