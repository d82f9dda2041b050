package shadow

import "umberwinch/admission"

// Bounds and times of a replay.
const (
	// maxRounds bounds the replay of a recording, and twice as many that with its probes: a candidate that makes its
	// controller busy without end costs the node a bounded time.
	maxRounds = 40 * MaxRequests
	// probesPerHandler are requests that come one at a time, whatever was recorded. Enough that half of them is no
	// chance.
	probesPerHandler = 20
	// probeDelay is waited before the probes, beyond the longest timeout: past what the controller remembers of
	// load, so that probes find it at rest.
	probeDelay = 10 * admission.Second
	// probeSpacingObjectives is how many latency objectives lie between two probes of a handler: the last one has ended by then.
	probeSpacingObjectives = 4
	// minProbeSpacing is the same for handlers with the shortest objectives.
	minProbeSpacing = admission.Second / 100
	// maxTimeout bounds for how long a replay waits for a request.
	maxTimeout = 60 * admission.Second
	// probeKB is what a probe holds in memory: little, so that memory never is why one is shed.
	probeKB = 1
	// replayStart is the time at which a replay begins: 0 means "never" in a deployment.
	replayStart = admission.Second
)

// replay feeds a controller with the recording, then with probes one at a time. retired tells by handler whether its
// requests are shed before the controller hears of them.
func replay(deployment *admission.Deployment, retired []bool, rec *Recording) Outcome {
	plan := *deployment
	plan.Pools = nil // their state is the server's own
	plan.ColdStart, plan.Start = false, replayStart
	s := &server{deployment: &plan, now: replayStart, requests: map[uint32]*request{}, retired: retired,
		runTimes: rec.runTimes, outcome: Outcome{ProbesCompleted: make([]int, len(plan.Handlers))}}
	s.controller = admission.New(&plan)
	s.replayArrivals(rec)
	s.advanceTo(s.now + s.longestTimeout() + probeDelay)
	s.probe()
	s.advanceTo(s.now + s.longestTimeout())
	s.outcome.Unanswered += len(s.open)
	return s.outcome
}

// replayArrivals lets the recorded requests come at their distances.
func (s *server) replayArrivals(rec *Recording) {
	begin := s.now
	for i := range rec.arrivals {
		a := &rec.arrivals[i]
		s.advanceTo(begin + max(0, a.at-rec.arrivals[0].at))
		s.arrive(a, uint32(i+1))
		if s.outcome.Rounds > maxRounds {
			return
		}
	}
}

// probe lets requests of each handler come one at a time.
func (s *server) probe() {
	id := uint32(MaxRequests)
	for handler := range s.deployment.Handlers {
		spacing := probeSpacingObjectives * max(s.deployment.Handlers[handler].LatencyObjective, minProbeSpacing)
		for n := 0; n < probesPerHandler && s.outcome.Rounds < 2*maxRounds; n++ {
			id++
			s.arrive(&arrival{handler: uint16(handler), kb: probeKB, runTime: s.runTimes[handler].value(),
				isProbe: true}, id)
			s.advanceTo(s.now + spacing)
		}
	}
}

// longestTimeout is how long a request can be in hand.
func (s *server) longestTimeout() (longest admission.Time) {
	for i := range s.deployment.Handlers {
		longest = max(longest, s.deployment.Handlers[i].Timeout)
	}
	return min(longest, maxTimeout)
}
