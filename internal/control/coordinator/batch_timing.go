package coordinator

// Intervals between heartbeat batches, in ms.
const (
	// maxBatchIntervalMS is the maximum interval. It bounds the delay of the group's clock and of detecting silent
	// nodes.
	maxBatchIntervalMS = 1000
	// minBatchIntervalMS is the minimum interval. It bounds the delay of promises and joins during a policy change. A
	// shorter one would cost more entries than a change gains by it.
	minBatchIntervalMS = 100
	// batchesPerLease divides the lease into intervals that apply while heartbeats wait, within the limits above.
	batchesPerLease = 8
)

// shouldAppendBatch decides whether a heartbeat batch is appended now.
//
// At most one batch is in flight, so that no ms is counted twice. Proof of lost state is appended at once. Otherwise a
// batch follows after maxBatchIntervalMS, earlier if heartbeats wait under a short lease, and after minBatchIntervalMS
// if they wait during a policy change or after joins were deferred.
func (l *Leader) shouldAppendBatch(s *State, lossProven bool) bool {
	b := &l.heartbeats
	if b.appendTimer.running() {
		return false
	}
	elapsedMS := l.nowMS - b.lastAppliedMS
	intervalMS := min(maxBatchIntervalMS, max(minBatchIntervalMS, s.leaseTerms().LeaseMS/batchesPerLease))
	urgent := s.Policy.Current != nil || b.joinsDeferred
	return lossProven || elapsedMS >= maxBatchIntervalMS ||
		elapsedMS >= intervalMS && len(b.waiting)+len(b.forgetNames) > 0 ||
		urgent && elapsedMS >= minBatchIntervalMS && len(b.waiting) > 0
}
