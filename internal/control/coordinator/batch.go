package coordinator

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
)

const (
	// maxPendingHeartbeats is the maximum number of heartbeats that wait for a batch, two per node. Beyond it,
	// heartbeats fail with ErrBusy, so that a leader that can't commit does not run out of memory.
	maxPendingHeartbeats = 2 * membership.MaxNodes
	// maxJoinsPerBatch is the maximum number of joins per batch. At about 150 bytes per join it limits the size of
	// entries when the whole fleet restarts.
	maxJoinsPerBatch = 1000
)

// pendingHeartbeat is a heartbeat whose response is sent when its batch is applied.
type pendingHeartbeat struct {
	request api.HeartbeatRequest
	done    func(api.HeartbeatResponse, error)
}

// heartbeatBatcher collects heartbeats into batches. At most one batch is in flight.
type heartbeatBatcher struct {
	lastAppliedMS uint64 // when the last batch was applied, or leadership began
	sequence      uint64 // of the last batch built
	appendTimer   appendTimer
	waiting       []pendingHeartbeat
	inFlight      []pendingHeartbeat // heartbeats of the batch in flight
	joinsDeferred bool               // some joins did not fit into the batch
	forgetNames   []string           // node names to forget with the next batch
}

func (b *heartbeatBatcher) add(r api.HeartbeatRequest, done func(api.HeartbeatResponse, error)) error {
	if len(b.waiting) >= maxPendingHeartbeats {
		return ErrBusy
	}
	b.waiting = append(b.waiting, pendingHeartbeat{r, done})
	return nil
}

// retryIfLost requeues the heartbeats of the batch in flight if it is considered lost.
func (b *heartbeatBatcher) retryIfLost(nowMS uint64) {
	if b.appendTimer.stopIfLost(nowMS) {
		b.requeue(b.inFlight)
		b.inFlight = nil
	}
}

// requeue puts heartbeats back at the front of the queue.
func (b *heartbeatBatcher) requeue(heartbeats []pendingHeartbeat) {
	b.waiting = append(heartbeats, b.waiting...)
}

// fill adds the waiting heartbeats to a new batch and starts its append timer.
func (b *heartbeatBatcher) fill(batch *membership.HeartbeatBatch, nowMS uint64, disabled policy.Guard,
) *membership.HeartbeatBatch {
	b.sequence++
	batch.Sequence, batch.Forget = b.sequence, b.forgetNames
	b.forgetNames = nil
	b.selectWaiting(disabled)
	for i := range b.inFlight {
		switch r := &b.inFlight[i].request; {
		case r.Leave:
			batch.Leaves = append(batch.Leaves, r.LeaseID)
		case r.LeaseID == 0:
			batch.Joins = append(batch.Joins, r.JoinRequest)
		case r.MinVersion >= batch.MinVersion && r.MinZoneEpoch >= batch.MinZoneEpoch:
			batch.Renewals = append(batch.Renewals, r.LeaseID)
		default:
			batch.Outdated = append(batch.Outdated, r.LeaseID)
		}
	}
	b.appendTimer.start(nowMS)
	return batch
}

// selectWaiting moves waiting heartbeats into the next batch: all renewals and leaves, and up to maxJoinsPerBatch joins
// in order of arrival, which prevents starvation when the whole fleet restarts.
func (b *heartbeatBatcher) selectWaiting(disabled policy.Guard) {
	skip := 0
	if disabled.Has(policy.ArrivalOrder) {
		skip = max(0, b.waitingJoins()-maxJoinsPerBatch)
	}
	var deferred []pendingHeartbeat
	joins := 0
	for _, h := range b.waiting {
		if h.request.LeaseID == 0 {
			joins++
			if joins <= skip || joins > skip+maxJoinsPerBatch {
				deferred = append(deferred, h)
				continue
			}
		}
		b.inFlight = append(b.inFlight, h)
	}
	b.waiting, b.joinsDeferred = deferred, len(deferred) > 0
}

func (b *heartbeatBatcher) waitingJoins() (joins int) {
	for i := range b.waiting {
		if b.waiting[i].request.LeaseID == 0 {
			joins++
		}
	}
	return joins
}

// fail completes all waiting and in-flight heartbeats with an error.
func (b *heartbeatBatcher) fail(err error) {
	for _, heartbeats := range [][]pendingHeartbeat{b.waiting, b.inFlight} {
		for _, h := range heartbeats {
			h.done(api.HeartbeatResponse{}, err)
		}
	}
	b.waiting, b.inFlight = nil, nil
}

// newBatch returns a batch without heartbeats. lossProof is the proof of lost state, or empty.
func (l *Leader) newBatch(s *State, lossProof string) *membership.HeartbeatBatch {
	return &membership.HeartbeatBatch{
		Term:          l.term,
		BatchesBefore: s.Fleet.Batches,
		ElapsedMS:     l.nowMS - l.heartbeats.lastAppliedMS,
		MinVersion:    s.Policy.DecidedVersion,
		MinZoneEpoch:  s.leaseTerms().ZoneEpoch,
		LostState:     lossProof,
	}
}

// batchApplied sends the responses to the heartbeats of an applied batch.
//
// The next batch's elapsed time starts at this application, even of another leader's batch, so that no ms is counted
// twice. If an earlier leader's batch is applied first, this leader's batch will be ignored and its heartbeats are
// requeued.
func (l *Leader) batchApplied(s *State, result *BatchApplied) {
	b := &l.heartbeats
	if result.Applied {
		b.lastAppliedMS = l.nowMS
	}
	own := result.Term == l.term && result.Sequence == b.sequence
	if !b.appendTimer.running() || !own && !result.Applied {
		return
	}
	heartbeats := b.inFlight
	b.appendTimer.stop()
	b.inFlight = nil
	if !own || !result.Applied {
		b.requeue(heartbeats)
		return
	}
	if s.Fleet.LostState != "" {
		b.inFlight = heartbeats
		l.failPending(ErrStateLost)
		return
	}
	joins := map[string]*membership.JoinResult{}
	for i := range result.Joins {
		joins[result.Joins[i].Nonce] = &result.Joins[i]
	}
	for _, h := range heartbeats {
		h.done(l.batchResponse(s, &h.request, result, joins[h.request.Nonce]))
	}
	l.coldStart.dropEnded(s.Fleet)
	l.dropReportsOfEnded(s)
}

// batchResponse returns the response to a heartbeat of an applied batch. join is the result of its join request, if
// any.
func (l *Leader) batchResponse(s *State, r *api.HeartbeatRequest, result *BatchApplied, join *membership.JoinResult) (
	api.HeartbeatResponse, error) {
	response := api.HeartbeatResponse{LeaseID: r.LeaseID}
	if r.Leave {
		return l.completeResponse(s, response), nil
	}
	if r.LeaseID == 0 {
		if join == nil {
			return response, fmt.Errorf("%w of %s", errNoJoinResult, r.Name)
		}
		if join.RefusedReason != "" {
			response.EndedReason, response.RetryAfterMS = join.RefusedReason, join.RetryAfterMS
			return l.completeResponse(s, response), nil
		}
		response.LeaseID = join.LeaseID
		if s.Policy.ActiveRules().Zones.ColdStart {
			l.coldStart.limit(join.LeaseID, l.nowMS)
		}
	}
	extended, found := result.Granted[response.LeaseID]
	switch {
	case !found:
		response.EndedReason = endedLease
	case extended:
		response.LeaseMS = result.LeaseMS
	}
	return l.completeResponse(s, response), nil
}
