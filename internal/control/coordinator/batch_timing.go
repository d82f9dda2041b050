package coordinator

// Times between batches, in ms.
const (
	// maxBatchIntervalMS is the longest, so that the group's time goes on and silence is noticed within a second. All
	// renewals that come meanwhile are one entry.
	maxBatchIntervalMS = 1000
	// minBatchIntervalMS is the shortest: while a change is under way a promise or a join waits for a tenth of a
	// second at most. Shorter would cost more entries than a change gains by it.
	minBatchIntervalMS = 100
	// batchesPerLease bounds the interval under leases so short that a second is much of them.
	batchesPerLease = 8
)

// shouldAppendBatch decides whether a batch of heartbeats is appended now.
//
// It decides by the ms since the last batch was applied, the lease, what waits and whether a change is under way. One
// batch at a time is appended, so that no ms is counted twice. Proof of lost state goes out at once: each decision
// until then may do harm. Otherwise a batch goes out once a second, sooner if something waits under a short lease,
// and soonest while a change waits for promises or more joins wait than fit into a batch.
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
