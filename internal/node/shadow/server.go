package shadow

import "umberwinch/admission"

// server emulates a server round a controller. A run has a core to itself: its recorded time holds what it waited for
// cores. Its own methods let time go on; those of admission.Writer are what the controller decides.
type server struct {
	deployment *admission.Deployment
	controller *admission.Controller
	retired    []bool // by handler: requests are shed before the controller hears of them
	runTimes   []meanRunTime

	now      admission.Time
	wakeAt   admission.Time // 0: the controller wants no wake-up
	requests map[uint32]*request
	open     []uint32 // ids, in the order in which they came
	round    admission.Round
	memoryKB float64
	outcome  Outcome
}

// request is one in hand during a replay.
type request struct {
	arrival   *arrival
	arrivedAt admission.Time
	deadline  admission.Time
	remaining admission.Time // of its run
	endsAt    admission.Time // of its run; 0: it does not run
	answered  bool
	holdsSlot bool
}

// arrive lets a request come.
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
	s.allocate(a.kb)
	if !a.isProbe {
		s.outcome.Offered++
	}
	s.round.Arrived = append(s.round.Arrived, s.admissionRequest(a, id, r.deadline))
}

// admissionRequest is what the controller hears of a request.
func (s *server) admissionRequest(a *arrival, id uint32, deadline admission.Time) admission.Request {
	tenant := int(a.tenant)
	if tenant >= max(1, len(s.deployment.Tenants)) {
		tenant = 0
	}
	q := admission.Request{ID: id, Handler: int(a.handler), Tenant: tenant, ArrivedAt: s.now,
		ExpectedWork: a.expectedWork, SizeKB: a.kb,
		IsRetry: a.isRetry, Caller: a.caller}
	if a.timeLeft > 0 {
		q.Deadline = deadline
	}
	return q
}

func (s *server) allocate(kb float64) {
	s.memoryKB += kb
	s.outcome.PeakKB = max(s.outcome.PeakKB, s.memoryKB)
}

// advanceTo lets time go on to end, from one thing that happens to the next.
func (s *server) advanceTo(end admission.Time) {
	for {
		s.now = max(s.now, s.nextEvent(end))
		s.endRunsAndTimeouts()
		if s.wakeAt > 0 && s.wakeAt <= s.now {
			s.wakeAt, s.round.TimerFired = 0, true
			s.round.HasGauges, s.round.Gauges.Runnable = true, float64(s.runningCount())
		}
		if n := &s.round; len(n.Arrived)+len(n.RunEnds)+len(n.Disconnected) > 0 || n.TimerFired {
			s.decide()
		} else if s.now >= end {
			return
		}
		if s.outcome.Rounds > 2*maxRounds {
			return
		}
	}
}

// nextEvent is when something happens next, end at the latest.
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

// endRunsAndTimeouts ends the runs whose time is over and the requests that are due, and lets go of those of which nothing is
// left.
func (s *server) endRunsAndTimeouts() {
	still := s.open[:0]
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
			s.memoryKB -= r.arrival.kb
			s.round.Disconnected = append(s.round.Disconnected, id)
		}
		if !r.answered || r.holdsSlot || r.remaining > 0 && r.endsAt > 0 {
			still = append(still, id)
		} else {
			delete(s.requests, id)
		}
	}
	s.open = still
}

// decide has the controller decide on what has happened.
func (s *server) decide() {
	round := s.round
	round.Now = s.now
	s.round = admission.Round{}
	s.outcome.Rounds++
	s.controller.Decide(&round, s)
}

// runKB is what a run holds in memory beside its request.
func (s *server) runKB(r *request) float64 { return r.arrival.kb * (s.deployment.RunMemoryFactor - 1) }

func (s *server) runningCount() (n int) {
	for _, id := range s.open {
		if r := s.requests[id]; r != nil && r.endsAt > 0 {
			n++
		}
	}
	return n
}

func (s *server) answer(r *request, completed bool) {
	if r.answered {
		return
	}
	r.answered = true
	s.memoryKB -= r.arrival.kb
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

// Run starts a run, or goes on with a paused one.
func (s *server) Run(id uint32) {
	if r := s.requests[id]; r != nil && r.endsAt == 0 && !r.answered {
		r.endsAt, r.holdsSlot = s.now+max(r.remaining, 1), true
		s.allocate(s.runKB(r))
	}
}

// Stop stops a run, or ends it where the platform can't go on with one.
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

// reject answers a request without a result and counts it, but for a probe.
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

// WakeUp sets the next wake-up of the controller.
func (s *server) WakeUp(at admission.Time) { s.wakeAt = at }

// What a replay has no use for: calls to services below, repeats, health and what a server tells its callers.

// Call does nothing: a recorded run time holds its calls.
func (s *server) Call(uint32, admission.Time) {}

// SkipCall does nothing.
func (s *server) SkipCall(uint32) {}

// Remember does nothing: a replay has no keys.
func (s *server) Remember(uint32, admission.Time) {}

// Forget does nothing.
func (s *server) Forget(uint32) {}

// ReuseResult does nothing.
func (s *server) ReuseResult(uint32) {}

// Health does nothing: a replay has no health checks.
func (s *server) Health(bool) {}

// SignalOverload does nothing: nobody reads the overload signal.
func (s *server) SignalOverload(float64) {}

// SetIdleTimeout does nothing: there are no connections.
func (s *server) SetIdleTimeout(admission.Time) {}

// Log does nothing.
func (s *server) Log(string) {}
