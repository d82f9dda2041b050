package resultstore

// Begin adds a key with the verdict Execute and returns its intent record, which must be durable before the key runs.
func (x *Index) Begin(now Milliseconds, k Key, bodyDigest uint64, window Milliseconds) Record {
	if e := x.table.find(k); e != nil { // its window is over
		x.remove(e)
	}
	window = min(window, maxWindow)
	*x.table.insert(k) = entry{key: k, bodyDigest: bodyDigest, state: IntentPending, expiresAt: now + window,
		window: uint32(window), position: notInLog}
	x.reservedBytes += x.limits.runBytes()
	return Record{Kind: Intent, Key: k, BodyDigest: bodyDigest, At: now, Window: window}
}

// MarkDurable updates the index after a record became durable at a position. For a failed write see MarkLost.
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

// MarkLost updates the index after the write of a record failed. A key without a durable intent is removed, as it did
// not run. A key that ran without a durable end is Indeterminate, as it would be after a restart.
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

// MarkExecuted ends the run of a key and returns its record, or false if the key is not running. A Result record must
// be durable before the response is sent; a Failure record need not be, as a key without an end record gets an error
// too. A result over the limit is recorded as a failure. The window restarts, as it counts from the response.
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

// MarkNotExecuted removes a key that is proved not to have run and returns the record that closes its intent, or false
// if the key has no open intent. A retry may run at once: its intent follows this record in the log, and if this record
// is lost, the key is Indeterminate after a restart, which is safe.
func (x *Index) MarkNotExecuted(now Milliseconds, k Key) (Record, bool) {
	e := x.table.find(k)
	if e == nil || e.state != Running && e.state != Indeterminate {
		return Record{}, false
	}
	if e.state == Indeterminate { // it has no reservation
		x.reservedBytes += x.limits.recordBytes()
	}
	r := Record{Kind: NotExecuted, Key: k, BodyDigest: e.bodyDigest, At: now, Window: uint64(e.window)}
	x.remove(e)
	return r, true
}
