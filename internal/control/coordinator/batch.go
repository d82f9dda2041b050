package coordinator

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
)

const (
	// maxPendingHeartbeats bounds heartbeats that wait for a batch: two of each node that a fleet may have. Past it a
	// node is told ErrBusy and sends again; without a bound, a leader that can't commit would run out of memory.
	maxPendingHeartbeats = 2 * membership.MaxNodes
	// maxJoinsPerBatch bounds the joins of one batch, of some 150 bytes each: a fleet that restarts as a whole makes
	// entries of an eighth of a megabyte, one after the other, and none that followers take long over.
	maxJoinsPerBatch = 1000
)

// pendingHeartbeat is a heartbeat that is answered when its batch is applied.
type pendingHeartbeat struct {
	request api.HeartbeatRequest
	done    func(api.HeartbeatResponse, error)
}

// heartbeatBatcher gathers heartbeats into batches, of which one at a time is appended.
type heartbeatBatcher struct {
	lastAppliedMS uint64 // when the last batch was applied here, or leadership began
	sequence      uint64 // of the last batch that was made
	appendTimer   appendTimer
	waiting       []pendingHeartbeat
	inFlight      []pendingHeartbeat // of the batch that is appended
	joinsDeferred bool               // joins did not fit into it
	forgetNames   []string           // names to take off with the next batch
}

func (b *heartbeatBatcher) add(r api.HeartbeatRequest, done func(api.HeartbeatResponse, error)) error {
	if len(b.waiting) >= maxPendingHeartbeats {
		return ErrBusy
	}
	b.waiting = append(b.waiting, pendingHeartbeat{r, done})
	return nil
}

// retryIfLost lets the heartbeats of a batch that counts as lost wait for the next one.
func (b *heartbeatBatcher) retryIfLost(nowMS uint64) {
	if b.appendTimer.stopIfLost(nowMS) {
		b.requeue(b.inFlight)
		b.inFlight = nil
	}
}

// requeue lets heartbeats wait again, before those that came later.
func (b *heartbeatBatcher) requeue(heartbeats []pendingHeartbeat) {
	b.waiting = append(heartbeats, b.waiting...)
}

// fill takes the waiting heartbeats into a batch that has its header, and starts to wait until it is applied.
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

// selectWaiting decides which waiting heartbeats go into the next batch: all renewals and leaves, and the joins that came
// first, up to their bound.
//
// The order of arrival guards against starvation: in a fleet that restarts as a whole, a node that is passed over sends
// again, and if later joins came first it could wait for ever.
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

// fail answers all heartbeats with an error.
func (b *heartbeatBatcher) fail(err error) {
	for _, heartbeats := range [][]pendingHeartbeat{b.waiting, b.inFlight} {
		for _, h := range heartbeats {
			h.done(api.HeartbeatResponse{}, err)
		}
	}
	b.waiting, b.inFlight = nil, nil
}

// newBatch gives what a batch made now says beside heartbeats.
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

// batchApplied answers the heartbeats of a batch that was applied.
//
// Time counts from the application on, whoever made the batch, so no ms is counted twice. A batch of an earlier
// leader that is applied while this one's is appended answers nobody: what it grants was asked of the other leader,
// and this one's batch will change nothing.
func (l *Leader) batchApplied(s *State, applied *BatchApplied) {
	b := &l.heartbeats
	if applied.Applied {
		b.lastAppliedMS = l.nowMS
	}
	own := applied.Term == l.term && applied.Sequence == b.sequence
	if !b.appendTimer.running() || !own && !applied.Applied {
		return
	}
	heartbeats := b.inFlight
	b.appendTimer.stop()
	b.inFlight = nil
	if !own || !applied.Applied {
		b.requeue(heartbeats)
		return
	}
	if s.Fleet.LostState != "" {
		b.inFlight = heartbeats
		l.failPending(ErrStateLost)
		return
	}
	joins := map[string]*membership.JoinResult{}
	for i := range applied.Joins {
		joins[applied.Joins[i].Nonce] = &applied.Joins[i]
	}
	for _, h := range heartbeats {
		h.done(l.batchResponse(s, &h.request, applied, joins[h.request.Nonce]))
	}
	l.coldStart.dropEnded(s.Fleet)
	l.dropReportsOfEnded(s)
}

// batchResponse gives a heartbeat's response after its batch. join is the result of its request to join.
func (l *Leader) batchResponse(s *State, r *api.HeartbeatRequest, applied *BatchApplied, join *membership.JoinResult) (
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
	extended, found := applied.Granted[response.LeaseID]
	switch {
	case !found:
		response.EndedReason = endedLease
	case extended:
		response.LeaseMS = applied.LeaseMS
	}
	return l.completeResponse(s, response), nil
}
