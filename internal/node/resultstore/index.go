package resultstore

// notInLog is the position of a key whose intent is not durable.
const notInLog = ^uint64(0)

// maxWindow is the longest window that an entry can hold, 49 days.
const maxWindow Milliseconds = 1<<32 - 1

// Index holds the state of all keys in memory. It is not safe for concurrent use.
type Index struct {
	limits Limits
	table  table

	usedBytes     int64 // size of the records of all keys on disk
	reservedBytes int64 // for the records that runs in flight still have to write

	lastRecordAt   Milliseconds // during replay: time of the last record by the clock of its boot
	keysAfterPurge int          // during replay: number of keys after the last purge

	damageUntil    Milliseconds // until then the records of an unknown key may be lost to damage
	damagePosition uint64       // of the damage record

	pass expiryPass // progress of Expire

	ErrorsReturned uint64 // number of ReturnError verdicts by Decide
}

// NewIndex returns an empty index with memory for all keys that the limits allow.
func NewIndex(l Limits) *Index {
	return &Index{limits: l, table: newTable(l.Keys)}
}

// Len returns the number of keys.
func (x *Index) Len() int { return x.table.count }

// BytesUsed returns the size of the records of all keys on disk plus the bytes reserved for runs in flight.
func (x *Index) BytesUsed() int64 { return x.usedBytes + x.reservedBytes }

// Lookup returns the state of a key at now.
func (x *Index) Lookup(now Milliseconds, k Key) State {
	if e := x.table.find(k); e != nil && x.isLive(now, e) {
		return e.state
	}
	return Unknown
}

// ForEach calls f for all live keys in no particular order. remaining is the rest of a key's window, 0 for a key that
// is in flight past its window.
func (x *Index) ForEach(now Milliseconds, f func(k Key, s State, remaining Milliseconds)) {
	for i := range x.table.slots {
		if e := &x.table.slots[i]; e.state != Unknown && x.isLive(now, e) {
			f(e.key, e.state, e.expiresAt-min(e.expiresAt, now))
		}
	}
}

// isLive reports whether the window of a key is open or the key is in flight.
func (x *Index) isLive(now Milliseconds, e *entry) bool {
	return now < e.expiresAt || e.state.inFlight()
}

// remove removes a key and its bytes.
func (x *Index) remove(e *entry) {
	x.usedBytes -= e.recordBytes()
	x.table.remove(e.key)
}
