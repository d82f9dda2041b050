package resultstore

// notInLog is the position of a key whose intent is not durable yet.
const notInLog = ^uint64(0)

// maxWindow is the longest window that the index can hold, 49 days.
const maxWindow Milliseconds = 1<<32 - 1

// Index is what is known of all keys, in memory.
type Index struct {
	limits Limits
	table  table

	usedBytes     int64 // of records of known keys
	reservedBytes int64 // for records that runs in flight may still leave

	lastRecordAt   Milliseconds // while the log is replayed: the time of the last record, by its own clock
	keysAfterPurge int          // while the log is replayed: keys that the last purge left

	lossSuspicionEnd Milliseconds // until then an unknown key may be one that can't be read
	lossPosition     uint64       // of the damage record that says so

	pass expiryPass

	ErrorsReturned uint64 // attempts of keys that ran or may have run without a result
}

// NewIndex begins with nothing known. The table is made for all keys that the limits allow.
func NewIndex(l Limits) *Index {
	return &Index{limits: l, table: newTable(l.Keys)}
}

// Len gives the number of keys.
func (x *Index) Len() int { return x.table.count }

// BytesUsed gives the bytes that the records of known keys have on disk, and what is reserved for runs in flight.
func (x *Index) BytesUsed() int64 { return x.usedBytes + x.reservedBytes }

// Lookup tells what is known of a key at now.
func (x *Index) Lookup(now Milliseconds, k Key) State {
	if e := x.table.find(k); e != nil && x.isLive(now, e) {
		return e.state
	}
	return Unknown
}

// ForEach goes through all keys that count, in no particular order; left is what is left of their windows, 0 while
// one is in flight past its window.
func (x *Index) ForEach(now Milliseconds, f func(k Key, s State, remaining Milliseconds)) {
	for i := range x.table.slots {
		if e := &x.table.slots[i]; e.state != Unknown && x.isLive(now, e) {
			f(e.key, e.state, e.expiresAt-min(e.expiresAt, now))
		}
	}
}

// isLive tells whether a key counts: its window is not over, or it is in flight.
func (x *Index) isLive(now Milliseconds, e *entry) bool {
	return now < e.expiresAt || e.state.inFlight()
}

// remove forgets a key.
func (x *Index) remove(e *entry) {
	x.usedBytes -= e.recordBytes()
	x.table.remove(e.key)
}
