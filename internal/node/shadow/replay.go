package shadow

import "umberwinch/admission"

// Limits and times of a replay.
const (
	// maxRounds is the maximum number of controller rounds for the recorded requests; the limit with probes is twice as
	// high. It bounds the time of an evaluation whose candidate keeps the controller busy forever.
	maxRounds = 40 * MaxRequests
	// probesPerHandler is the number of probes of each handler, sent one at a time.
	probesPerHandler = 20
	// probeDelay is the idle time before the probes, beyond the longest timeout, so that the controller's load state
	// has decayed.
	probeDelay = 10 * admission.Second
	// probeSpacingObjectives is the interval between probes of a handler in latency objectives. The previous probe has
	// ended by then.
	probeSpacingObjectives = 4
	// minProbeSpacing is the minimum latency objective that the interval is computed from.
	minProbeSpacing = admission.Second / 100
	// maxTimeout bounds how long a replay waits for open requests.
	maxTimeout = 60 * admission.Second
	// probeKB is the memory of a probe, small enough that memory is never the reason for shedding it.
	probeKB = 1
	// replayStart is the time at which a replay begins. It is not 0, which means "never" in a deployment.
	replayStart = admission.Second
)

// replay replays the recorded requests on an emulated server, then sends probes one at a time. retired reports by
// handler whether its requests are shed before they reach the controller.
func replay(deployment *admission.Deployment, retired []bool, rec *Recording) Counts {
	copied := *deployment
	copied.Pools = nil // they hold state of the real server
	copied.ColdStart, copied.Start = false, replayStart
	s := &server{deployment: &copied, now: replayStart, requests: map[uint32]*request{}, retired: retired,
		runTimes: rec.runTimes, outcome: Counts{ProbesCompleted: make([]int, len(copied.Handlers))}}
	s.controller = admission.New(&copied)
	s.replayArrivals(rec)
	s.advanceTo(s.now + s.longestTimeout() + probeDelay)
	s.probe()
	s.advanceTo(s.now + s.longestTimeout())
	s.outcome.Unanswered += len(s.open)
	return s.outcome
}

// replayArrivals sends the recorded requests at their recorded intervals.
func (s *server) replayArrivals(rec *Recording) {
	start := s.now
	for i := range rec.arrivals {
		a := &rec.arrivals[i]
		s.advanceTo(start + max(0, a.arrivedAt-rec.arrivals[0].arrivedAt))
		s.arrive(a, uint32(i+1))
		if s.outcome.Rounds > maxRounds {
			return
		}
	}
}

// probe sends probes of each handler one at a time. They show a deployment that sheds everything on an idle server.
func (s *server) probe() {
	id := uint32(MaxRequests)
	for handler := range s.deployment.Handlers {
		spacing := probeSpacingObjectives * max(s.deployment.Handlers[handler].LatencyObjective, minProbeSpacing)
		for n := 0; n < probesPerHandler && s.outcome.Rounds < 2*maxRounds; n++ {
			id++
			s.arrive(&arrival{handler: uint16(handler), sizeKB: probeKB, runTime: s.runTimes[handler].value(),
				isProbe: true}, id)
			s.advanceTo(s.now + spacing)
		}
	}
}

// longestTimeout returns the longest timeout of the handlers, at most maxTimeout.
func (s *server) longestTimeout() (longest admission.Time) {
	for i := range s.deployment.Handlers {
		longest = max(longest, s.deployment.Handlers[i].Timeout)
	}
	return min(longest, maxTimeout)
}
