package shadow

import "umberwinch/admission"

// server emulates a server with a real controller. Each run has its own core, since recorded run times include the wait
// for one. It implements admission.Writer for the decisions of the controller.
type server struct {
	deployment *admission.Deployment
	controller *admission.Controller
	retired    []bool        // by handler: its requests are shed before they reach the controller
	runTimes   []meanRunTime // by handler, for requests without a recorded run time

	now      admission.Time
	wakeAt   admission.Time // next wake-up of the controller; 0: none
	requests map[uint32]*request
	open     []uint32        // ids of open requests in order of arrival
	round    admission.Round // input of the next round
	memoryKB float64
	outcome  Counts
}

// request is an open request of a replay.
type request struct {
	arrival   *arrival
	arrivedAt admission.Time
	deadline  admission.Time
	remaining admission.Time // run time
	endsAt    admission.Time // end of its run; 0: not running
	answered  bool
	holdsSlot bool // running or paused
}

// arrive adds a request to the next round, or sheds it if its handler is retired.
func (s *server) arrive(a *arrival, id uint32) {
	handler := &s.deployment.Handlers[a.handler]
	if int(a.handler) < len(s.retired) && s.retired[a.handler] {
		if !a.isProbe {
			s.outcome.Offered++
			s.outcome.Shed++
		}
		return
	}
	r := &request{arrival: a, arrivedAt: s.now, deadline: s.now + handler.Timeout, remaining: a.runTime}
	if a.timeLeft > 0 {
		r.deadline = s.now + a.timeLeft
	}
	if r.remaining == 0 {
		r.remaining = s.runTimes[a.handler].value()
	}
	s.requests[id] = r
	s.open = append(s.open, id)
	s.allocate(a.sizeKB)
	if !a.isProbe {
		s.outcome.Offered++
	}
	s.round.Arrived = append(s.round.Arrived, s.admissionRequest(a, id, r.deadline))
}

// admissionRequest returns the request as the controller sees it.
func (s *server) admissionRequest(a *arrival, id uint32, deadline admission.Time) admission.Request {
	tenant := int(a.tenant)
	if tenant >= max(1, len(s.deployment.Tenants)) {
		tenant = 0
	}
	req := admission.Request{ID: id, Handler: int(a.handler), Tenant: tenant, ArrivedAt: s.now,
		ExpectedWork: a.expectedWork, SizeKB: a.sizeKB,
		IsRetry: a.isRetry, Caller: a.caller}
	if a.timeLeft > 0 {
		req.Deadline = deadline
	}
	return req
}

func (s *server) allocate(kb float64) {
	s.memoryKB += kb
	s.outcome.PeakKB = max(s.outcome.PeakKB, s.memoryKB)
}

// advanceTo advances the time to end, event by event, with a controller round for each that has input.
func (s *server) advanceTo(end admission.Time) {
	for {
		s.now = max(s.now, s.nextEvent(end))
		s.endRunsAndTimeouts()
		if s.wakeAt > 0 && s.wakeAt <= s.now {
			s.wakeAt, s.round.TimerFired = 0, true
			s.round.HasGauges, s.round.Gauges.Runnable = true, float64(s.runningCount())
		}
		if r := &s.round; len(r.Arrived)+len(r.RunEnds)+len(r.Disconnected) > 0 || r.TimerFired {
			s.decide()
		} else if s.now >= end {
			return
		}
		if s.outcome.Rounds > 2*maxRounds {
			return
		}
	}
}

// nextEvent returns the time of the next wake-up, end of a run or deadline, at most end.
func (s *server) nextEvent(end admission.Time) admission.Time {
	at := end
	if s.wakeAt > 0 {
		at = min(at, max(s.wakeAt, s.now))
	}
	for _, id := range s.open {
		r := s.requests[id]
		if r.endsAt > 0 {
			at = min(at, r.endsAt)
		}
		if !r.answered {
			at = min(at, max(r.deadline, s.now))
		}
	}
	return at
}

// endRunsAndTimeouts ends the runs and times out the requests that are due by now, and removes requests that are
// answered and hold no slot.
func (s *server) endRunsAndTimeouts() {
	stillOpen := s.open[:0]
	for _, id := range s.open {
		r := s.requests[id]
		switch {
		case r.endsAt > 0 && r.endsAt <= s.now:
			r.endsAt, r.holdsSlot, r.remaining = 0, false, 0
			s.round.RunEnds = append(s.round.RunEnds, admission.RunEnd{ID: id, Outcome: admission.Succeeded,
				Elapsed: s.now - r.arrivedAt})
			s.memoryKB -= s.runKB(r)
			s.answer(r, true)
		case !r.answered && s.now >= r.deadline:
			r.answered = true
			s.outcome.Unanswered++
			s.memoryKB -= r.arrival.sizeKB
			s.round.Disconnected = append(s.round.Disconnected, id)
		}
		if !r.answered || r.holdsSlot || r.remaining > 0 && r.endsAt > 0 {
			stillOpen = append(stillOpen, id)
		} else {
			delete(s.requests, id)
		}
	}
	s.open = stillOpen
}

// decide runs a controller round on the events since the last one.
func (s *server) decide() {
	round := s.round
	round.Now = s.now
	s.round = admission.Round{}
	s.outcome.Rounds++
	s.controller.Decide(&round, s)
}

// runKB returns the memory of a run, without that of its request.
func (s *server) runKB(r *request) float64 {
	return r.arrival.sizeKB * (s.deployment.RunMemoryFactor - 1)
}

// runningCount returns the number of running requests.
func (s *server) runningCount() (n int) {
	for _, id := range s.open {
		if r := s.requests[id]; r != nil && r.endsAt > 0 {
			n++
		}
	}
	return n
}

// answer marks a request as answered, releases its memory and counts it if it was completed.
func (s *server) answer(r *request, completed bool) {
	if r.answered {
		return
	}
	r.answered = true
	s.memoryKB -= r.arrival.sizeKB
	switch handler := &s.deployment.Handlers[r.arrival.handler]; {
	case !completed:
	case r.arrival.isProbe:
		s.outcome.ProbesCompleted[r.arrival.handler]++
	default:
		s.outcome.Completed++
		if s.now-r.arrivedAt <= handler.LatencyObjective {
			s.outcome.OnTime++
		}
	}
}

// Run starts a run.
func (s *server) Run(id uint32) {
	if r := s.requests[id]; r != nil && r.endsAt == 0 && !r.answered {
		r.endsAt, r.holdsSlot = s.now+max(r.remaining, 1), true
		s.allocate(s.runKB(r))
	}
}

// Stop stops a run, which keeps its slot with CancelPause and ends with CancelDrop.
func (s *server) Stop(id uint32) {
	r := s.requests[id]
	if r == nil || r.endsAt == 0 {
		return
	}
	r.remaining, r.endsAt, r.holdsSlot = r.endsAt-s.now, 0, s.deployment.Cancellation == admission.CancelPause
	s.memoryKB -= s.runKB(r)
	if s.deployment.Cancellation == admission.CancelDrop {
		s.round.RunEnds = append(s.round.RunEnds, admission.RunEnd{ID: id, Outcome: admission.Stopped,
			Elapsed: s.now - r.arrivedAt})
	}
}

// Shed rejects a request.
func (s *server) Shed(id uint32, _ admission.Reason, _ bool, _ admission.Time) {
	s.reject(id, &s.outcome.Shed)
}

// Fail answers a request with an error.
func (s *server) Fail(id uint32, _ admission.Reason) { s.reject(id, &s.outcome.Failed) }

// reject answers a request without a result and counts it, unless it is a probe.
func (s *server) reject(id uint32, count *int) {
	r := s.requests[id]
	if r == nil || r.answered {
		return
	}
	if !r.arrival.isProbe {
		*count++
	}
	s.answer(r, false)
}

// WakeUp sets the time of the controller's next wake-up.
func (s *server) WakeUp(at admission.Time) { s.wakeAt = at }

// The methods below do nothing: a replay has no calls, idempotency keys, health checks or connections.

// Call does nothing: recorded run times include the calls.
func (s *server) Call(uint32, admission.Time) {}

// SkipCall does nothing.
func (s *server) SkipCall(uint32) {}

// Remember does nothing: a replay has no idempotency keys.
func (s *server) Remember(uint32, admission.Time) {}

// Forget does nothing.
func (s *server) Forget(uint32) {}

// ReuseResult does nothing.
func (s *server) ReuseResult(uint32) {}

// Health does nothing: a replay has no health checks.
func (s *server) Health(bool) {}

// SignalOverload does nothing: a replay has no callers that read the signal.
func (s *server) SignalOverload(float64) {}

// SetIdleTimeout does nothing: a replay has no connections.
func (s *server) SetIdleTimeout(admission.Time) {}

// Log does nothing.
func (s *server) Log(string) {}
