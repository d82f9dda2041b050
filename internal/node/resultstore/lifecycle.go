package resultstore

// Begin takes in a key that Decide let execute, and gives its intent record, which has to be durable before it runs.
// The key's window is that of its handler.
func (x *Index) Begin(now Milliseconds, k Key, bodyDigest uint64, window Milliseconds) Record {
	if e := x.table.find(k); e != nil { // its window was over
		x.remove(e)
	}
	window = min(window, maxWindow)
	*x.table.insert(k) = entry{key: k, bodyDigest: bodyDigest, state: IntentPending, expiresAt: now + window,
		window: uint32(window), position: notInLog}
	x.reservedBytes += x.limits.runBytes()
	return Record{Kind: Intent, Key: k, BodyDigest: bodyDigest, At: now, Window: window}
}

// MarkDurable tells that a record is on disk, at a position. One that did not get there is told by MarkLost.
func (x *Index) MarkDurable(r *Record, position uint64) {
	e := x.table.find(r.Key)
	if r.Kind == NotExecuted {
		x.reservedBytes -= x.limits.recordBytes()
		return
	}
	if e == nil {
		return
	}
	size := r.sizeOnDisk()
	x.usedBytes += size
	x.reservedBytes -= x.limits.recordBytes()
	e.addRecordBytes(size)
	switch {
	case r.Kind == Intent && e.state == IntentPending:
		e.state, e.position = Running, position
	case r.Kind == Result && e.state == ResultPending:
		e.state, e.position = Completed, position
	case r.Kind == Failure && e.state == ResultPending:
		e.state = Failed
	}
}

// MarkLost tells that a record did not reach the disk. Without its intent a key never runs, and is as if it had not
// come. A key that ran and whose end is not durable is Indeterminate, as it would be after a restart.
func (x *Index) MarkLost(r *Record) {
	e := x.table.find(r.Key)
	if e == nil && r.Kind != NotExecuted {
		return
	}
	x.reservedBytes -= x.limits.recordBytes()
	switch {
	case r.Kind == NotExecuted:
	case r.Kind == Intent && e.state == IntentPending:
		x.reservedBytes -= x.limits.recordBytes()
		x.remove(e)
	case e.state == ResultPending:
		e.state = Indeterminate
	}
}

// MarkExecuted tells how the run of a key ended, and gives the record that has to be durable before its answer goes
// out; false: no such run is known. A result over the limit is recorded as a failure. The window begins anew, as a
// repeat may come for so long after the answer.
func (x *Index) MarkExecuted(now Milliseconds, k Key, succeeded bool, result []byte) (Record, bool) {
	e := x.table.find(k)
	if e == nil || e.state != Running {
		return Record{}, false
	}
	e.state, e.expiresAt = ResultPending, now+uint64(e.window)
	r := Record{Kind: Failure, Key: k, BodyDigest: e.bodyDigest, At: now, Window: uint64(e.window)}
	if succeeded && len(result) <= x.limits.ResultBytes {
		r.Kind, r.Result = Result, result
	}
	return r, true
}

// MarkNotExecuted tells that a key was proved not to have run after its intent was durable, and gives the record that
// closes the intent; false: nothing is to be closed. A repeat may run at once: its intent stands behind this record
// in the log, and where this record is lost the key is Indeterminate, which is the safe side.
func (x *Index) MarkNotExecuted(now Milliseconds, k Key) (Record, bool) {
	e := x.table.find(k)
	if e == nil || e.state != Running && e.state != Indeterminate {
		return Record{}, false
	}
	if e.state == Indeterminate { // nothing is reserved for it
		x.reservedBytes += x.limits.recordBytes()
	}
	r := Record{Kind: NotExecuted, Key: k, BodyDigest: e.bodyDigest, At: now, Window: uint64(e.window)}
	x.remove(e)
	return r, true
}
