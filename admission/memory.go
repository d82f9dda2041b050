package admission

// usableMemoryFraction is the fraction of memory that may be allocated. The rest is for requests of a round, which
// are counted only after they were read: with less, one burst of large requests exceeds the memory.
const usableMemoryFraction = 0.95

// memoryAccount counts the memory of requests, runs and entries of the idempotency table, in KB.
type memoryAccount struct {
	used, limit float64
	runFactor   float64 // memory of a running request relative to a waiting one
	entryKB     float64
}

func newMemoryAccount(d *Deployment) memoryAccount {
	return memoryAccount{limit: d.MemoryKB * usableMemoryFraction, runFactor: d.RunMemoryFactor,
		entryKB: d.TableEntryKB}
}

// runKB returns the memory that a run needs in addition to its waiting request.
func (m *memoryAccount) runKB(sizeKB float64) float64 { return sizeKB * (m.runFactor - 1) }

// exceededBy reports whether the run of a request and an entry of entryKB would exceed the limit.
func (m *memoryAccount) exceededBy(sizeKB, entryKB float64) bool {
	return m.used+entryKB+m.runKB(sizeKB) > m.limit
}

func (m *memoryAccount) full() bool { return m.used > m.limit }
