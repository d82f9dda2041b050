package membership

// Apply applies one committed batch that came under a leader's term, with the terms that leases are granted under now.
//
// A batch that was made before another one was applied changes nothing: its time has been counted by the other. This
// guards against a change of leaders in which both count the same milliseconds, which would let leases run out early.
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
		// Whatever would be granted or counted out rests on a state that is not the fleet's.
		refuseJoins(b, s.LostState, &result)
		return result
	}
	s.renew(b, terms, &result)
	s.leave(b.Leaves)
	for i := range b.Joins {
		joined := s.join(&b.Joins[i], terms)
		if joined.RefusedReason == "" {
			result.Granted[joined.LeaseID] = joined.extended
		}
		result.Joins = append(result.Joins, joined)
	}
	s.expire(&result, terms)
	return result
}

// advance counts the batch and its time. A new leader has heard nobody yet, so no silence from before it counts.
func (s *State) advance(b *HeartbeatBatch, term uint64) {
	s.Batches++
	s.ClockMS += b.ElapsedMS
	if term != s.Term {
		s.Term, s.ListeningSinceMS = term, s.ClockMS
	}
}

// renew notes who was heard and extends the leases of those that promise what was decided. The promise is checked here
// and not by the leader alone: a decision may have been applied after the leader made the batch.
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

// leave counts out the nodes that drained. They serve no more, so nothing of their leases is left to wait for.
func (s *State) leave(leases []uint32) {
	for _, id := range leases {
		if n := s.byLease[id]; n != nil {
			s.markOut(n, OutLeft)
			n.Lease = Lease{Nonce: n.Lease.Nonce}
		}
	}
}
