package admission

// usableMemoryFraction is the share of memory that may be planned with. The rest is for what one round brings in: it is counted
// only after it was read. More wastes memory, less lets one burst of large requests overrun it.
const usableMemoryFraction = 0.95

// memoryAccount counts the memory of requests, runs and entries of the idempotency table, in KB.
type memoryAccount struct {
	used, limit float64
	runFactor   float64 // memory of a run over that of a waiting request
	entryKB     float64
}

func newMemoryAccount(d *Deployment) memoryAccount {
	return memoryAccount{limit: d.MemoryKB * usableMemoryFraction, runFactor: d.RunMemoryFactor, entryKB: d.TableEntryKB}
}

// runKB is what a run takes beyond its waiting request.
func (m *memoryAccount) runKB(sizeKB float64) float64 { return sizeKB * (m.runFactor - 1) }

// exceededBy says whether a run of a request, with an entry of some size, would overrun the limit.
func (m *memoryAccount) exceededBy(sizeKB, entryKB float64) bool {
	return m.used+entryKB+m.runKB(sizeKB) > m.limit
}

func (m *memoryAccount) full() bool { return m.used > m.limit }
