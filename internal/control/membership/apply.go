package membership

// Apply applies one committed batch of the leader of the given term and grants leases under the given terms.
//
// A batch that was built before the previous one was applied is ignored. Otherwise two leaders could both count the
// same milliseconds, and leases would expire early.
func (s *State) Apply(b *HeartbeatBatch, term uint64, terms LeaseTerms) BatchResult {
	result := BatchResult{LeaseMS: terms.LeaseMS, Granted: map[uint32]bool{}}
	if b.BatchesBefore != s.Batches {
		return result
	}
	result.Applied = true
	s.advance(b, term)
	for _, name := range b.Forget {
		s.forget(name)
	}
	if s.LostState == "" {
		s.LostState = b.LostState
	}
	if s.LostState != "" {
		// The table is out of date, so no lease is granted and no node is marked out.
		refuseJoins(b, s.LostState, &result)
		return result
	}
	s.renew(b, terms, &result)
	s.leave(b.Leaves)
	for i := range b.Joins {
		join := s.join(&b.Joins[i], terms)
		if join.RefusedReason == "" {
			result.Granted[join.LeaseID] = join.extended
		}
		result.Joins = append(result.Joins, join)
	}
	s.expire(&result, terms)
	return result
}

// advance counts the batch and advances the clock. Silence is measured only from the first batch of a leader's term.
func (s *State) advance(b *HeartbeatBatch, term uint64) {
	s.Batches++
	s.ClockMS += b.ElapsedMS
	if term != s.Term {
		s.Term, s.ListeningSinceMS = term, s.ClockMS
	}
}

// renew records heartbeats and extends the leases of nodes that promise the decided version and zone epoch. The leader
// has checked the promises, but a decision may have been applied after it built the batch.
func (s *State) renew(b *HeartbeatBatch, terms LeaseTerms, result *BatchResult) {
	promised := terms.PromisedBy(b.MinVersion, b.MinZoneEpoch)
	for _, id := range b.Renewals {
		n := s.LeaseHolder(id)
		if n == nil {
			continue
		}
		n.LastHeartbeatMS = s.ClockMS
		result.Granted[id] = promised
		if promised {
			n.Lease.MinVersion = max(n.Lease.MinVersion, b.MinVersion)
			n.Lease.MinZoneEpoch = max(n.Lease.MinZoneEpoch, b.MinZoneEpoch)
			s.extend(&n.Lease, terms)
		}
	}
	for _, id := range b.Outdated {
		if n := s.LeaseHolder(id); n != nil {
			n.LastHeartbeatMS = s.ClockMS
			result.Granted[id] = false
		}
	}
}

// leave marks drained nodes out. They no longer serve, so their leases end at once.
func (s *State) leave(leases []uint32) {
	for _, id := range leases {
		if n := s.byLease[id]; n != nil {
			s.markOut(n, OutLeft)
			n.Lease = Lease{Nonce: n.Lease.Nonce}
		}
	}
}
