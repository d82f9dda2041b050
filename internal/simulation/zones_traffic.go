package simulation

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/node/zonegate"
	"umberwinch/internal/retryafter"
)

// dependency is the service that a zone's nodes call.
type dependency struct {
	warmCapacity    float64      // runs per second when warm
	warmth          float64      // 0: cold to 1: warm
	speed           float64      // fraction of its normal speed
	queue           float64      // runs waiting
	smoothedRates   trafficRates // moving average, as load reports have it
	demand          float64      // runs per second sent to it in this step
	capacity        float64      // runs per second in this step
	coldFactor      float64      // warm over cold capacity
	lastSecondLoads [10]float64  // demand over capacity in each step of the last second
	steadySteps     int          // consecutive steps of its zone's ramp without a fault
}

// capacityNow returns the current capacity in runs per second.
func (b *dependency) capacityNow() float64 {
	return b.warmCapacity * b.speed / (1 + (b.coldFactor-1)*(1-b.warmth))
}

// warmUp fills the cache by the runs of an interval; runs is a rate per second.
func (b *dependency) warmUp(runs, seconds float64) {
	b.warmth = min(1, b.warmth+runs*seconds/(b.warmCapacity*WarmUpSeconds))
}

// trafficRates are a zone's rates per second, its run duration in ms and its utilization.
type trafficRates struct {
	arrived, retries, rejected, completed, late, shed, failed float64
	offeredWeight, completedWeight, runs, runMS, utilization  float64
}

// admittedFraction returns the fraction of a class that a zone order admits.
func admittedFraction(o *api.ZoneOrder, class int) float64 {
	if o == nil {
		return 1
	}
	share := float64(o.Share) / api.FullShare
	if o.PriorityCutoff > 0 {
		switch {
		case classWeights[class] < o.PriorityCutoff:
			return 1
		case classWeights[class] > o.PriorityCutoff:
			return 0
		}
	}
	return share
}

// unlimitedRetries is the retry budget of a node without one.
const unlimitedRetries = 1e9

// readyTTL is the time in ms for which callers use a node's last report of being ready.
const readyTTL = 3000

// zoneView aggregates the nodes of a zone in one step.
type zoneView struct {
	listed            float64        // nodes on the callers' list
	serving           float64        // listed nodes that serve
	rateLimit         float64        // sum of their rate limits, runs per second
	admittedFractions [3]float64     // by class: mean fraction admitted by a serving node
	rateLimited       bool           // at least one node has a rate limit
	unlimited         float64        // serving nodes without a rate limit
	retryBudget       float64        // mean number of retries admitted per first attempt
	gate              *zonegate.Gate // of its first serving node
	gateClockMS       uint64         // clock of that node
}

// zoneViews aggregates the nodes of each zone.
func (v *ZoneSimulation) zoneViews() []zoneView {
	out := make([]zoneView, v.Zones)
	clear(v.upNodesByZone)
	for i, n := range v.Fleet.nodes {
		if n.up {
			v.upNodesByZone[n.zone]++
		}
		ready := v.isReady(i, n)
		if at := v.nodeHealth[i].lastReady; at == 0 || v.Fleet.Now-at > readyTTL {
			continue
		}
		z := &out[n.zone]
		z.listed++
		if ready {
			z.addNode(n)
		}
	}
	ramp := v.rampByClock()
	for k := range out {
		out[k].average(ramp)
	}
	return out
}

// isReady reports whether a node serves callers, and updates its last report of being ready.
func (v *ZoneSimulation) isReady(i int, n *node) bool {
	evacuated := n.gate != nil && n.gate.Evacuated()
	ready := n.up && n.serves && !evacuated && v.Fleet.Now >= v.nodeHealth[i].ejectedUntil
	if ready {
		v.nodeHealth[i].lastReady = v.Fleet.Now
	} else if n.up {
		v.nodeHealth[i].lastReady = 0
	}
	return ready
}

// addNode adds a serving node.
func (z *zoneView) addNode(n *node) {
	if z.serving++; z.gate == nil {
		z.gate, z.gateClockMS = n.gate, n.clock()
	}
	o := n.agent.ZoneOrder()
	for c := range z.admittedFractions {
		z.admittedFractions[c] += admittedFraction(o, c)
	}
	if o == nil {
		z.retryBudget += unlimitedRetries
		return
	}
	z.rateLimit += o.RateLimit
	if o.RateLimited {
		z.rateLimited = true
	} else {
		z.unlimited++
	}
	z.retryBudget += float64(o.RetryBudget) / api.FullShare
	if o.RetryBudget == 0 {
		z.retryBudget += unlimitedRetries
	}
}

// average turns sums over serving nodes into means; ramp scales the admitted fractions.
func (z *zoneView) average(ramp float64) {
	if z.serving == 0 {
		return
	}
	z.retryBudget /= z.serving
	for c := range z.admittedFractions {
		z.admittedFractions[c] /= z.serving
		z.admittedFractions[c] *= ramp
	}
}

// rampByClock returns the admitted fraction of the baseline ZonePlan.ClockRampMS, 1 without it.
func (v *ZoneSimulation) rampByClock() float64 {
	since := v.Fleet.Now - faultStartMS - v.FaultEndMS
	if v.ClockRampMS == 0 || v.faultActive || since <= 0 {
		return 1
	}
	return min(1, max(since/v.ClockRampMS, 1.0/16))
}

// requestMatrix holds requests per second by attempt (the first is 0) and class.
type requestMatrix [maxAttempts][3]float64

// retryQueue is a ring of scheduled retries by step.
type retryQueue struct {
	steps [retrySteps]requestMatrix
	next  int // index of the current step
}

// take returns the retries of the current step and advances to the next.
func (q *retryQueue) take() requestMatrix {
	due := q.steps[q.next]
	q.steps[q.next] = requestMatrix{}
	q.next = (q.next + 1) % retrySteps
	return due
}

// add schedules the next attempt of requests some steps from now. Requests without attempts left are dropped.
func (q *retryQueue) add(steps, attempt, class int, n float64) {
	if attempt+1 < maxAttempts {
		q.steps[(q.next+steps)%retrySteps][attempt+1][class] += n
	}
}

// trafficStep is one step of traffic, stepMS long, over all zones.
type trafficStep struct {
	*ZoneSimulation
	views         []zoneView
	listedNodes   float64       // nodes on the callers' list in all zones
	offered       requestMatrix // first attempts and retries of this step
	demand        float64       // first attempts per second
	offeredWeight float64       // priority weight of the first attempts per second

	attempts        float64 // attempts per second sent to any zone
	completedWeight float64 // weight completed in time per second
}

// runStep runs one step: callers send, each zone admits and serves, and the step is measured.
func (v *ZoneSimulation) runStep() {
	v.Fleet.after(stepMS, v.runStep)
	s := v.newTrafficStep()
	if v.Oracle {
		v.runOracle(s.offeredWeight, stepMS/1000.0)
		return
	}
	for z, b := range v.dependencies {
		s.runZone(z, b)
	}
	s.measure()
	s.plot()
	if v.SelfEjection {
		v.ejectUnhealthyNodes()
	}
}

// newTrafficStep aggregates the zones and generates the step's offered requests.
func (v *ZoneSimulation) newTrafficStep() *trafficStep {
	s := &trafficStep{ZoneSimulation: v, views: v.zoneViews(), demand: v.Load * float64(v.Zones) * 1000}
	for z := range s.views {
		if v.faultKind(z) == ZoneCallers && v.faultActive {
			s.views[z].listed = 0
		}
		s.listedNodes += s.views[z].listed
	}
	s.offered = v.retries.take()
	for c := range classFractions {
		s.offered[0][c] = s.demand * classFractions[c]
		s.offeredWeight += s.offered[0][c] * classWeights[c]
	}
	return s
}

// reject schedules the retries of rejected requests. Patient callers wait for a Retry-After spread over a window; after
// is the gate's wait in ms, 0 for none. Others retry in the next step.
func (s *trafficStep) reject(attempt, class int, n float64, after uint64) {
	if !s.HonorRetryAfter {
		s.retries.add(0, attempt, class, n)
		return
	}
	from, to := retryafter.Window(maxRetryAfterMS, int64(min(after, maxRetryAfterMS)))
	if s.DisabledGuards.Has(zones.RetryAfterSpread) { // all at one time: after the gate's wait, at least 1 s
		from, to = max(1000, int64(min(after, maxRetryAfterMS))), 0
	}
	first := int(from) / stepMS
	steps := max(1, int(to)/stepMS-first)
	for i := range steps {
		s.retries.add(first+i, attempt, class, n/float64(steps))
	}
}

// rejectByQuota rejects requests outside a zone's quota, with a Retry-After that depends on their hash.
func (s *trafficStep) rejectByQuota(view *zoneView, attempt, class int, n float64) {
	if n <= 0 || !s.HonorRetryAfter || view.gate == nil {
		s.reject(attempt, class, n, 0)
		return
	}
	for i := range quotaBuckets {
		place := view.admittedFractions[class] + (1-view.admittedFractions[class])*(float64(i)+0.5)/quotaBuckets
		after := view.gate.RetryAfter(view.gateClockMS, zonegate.Request{Hash: uint32(place*api.FullShare) << 16})
		s.reject(attempt, class, n/quotaBuckets, after)
	}
}

// runZone runs the step of one zone: its nodes admit, its dependency serves, its callers receive responses.
func (s *trafficStep) runZone(zone int, b *dependency) {
	t := &zoneStep{trafficStep: s, zone: zone, view: &s.views[zone], dependency: b}
	t.arrive()
	t.limitRate()
	first, retries := t.limitRetries()
	t.serve(first + retries)
	t.complete()
	s.completedWeight += t.rates.completedWeight
	s.checkZone(zone, b, first)
	b.smoothedRates.smooth(&t.rates)
}

// zoneStep is a step of one zone.
type zoneStep struct {
	*trafficStep
	zone            int
	view            *zoneView
	dependency      *dependency
	rates           trafficRates
	admitted        requestMatrix // admitted by its nodes
	admittedByQuota float64       // sum admitted by quota, before rate limits
	shed            float64       // shed by its dependency
	served          float64       // completed by its dependency, in time or late
	inTimeFraction  float64       // fraction of served that completes in time
}

// arrive distributes offered requests to the zone's listed nodes, which admit by quota. Requests to listed nodes that
// don't serve are retried in the next step.
func (t *zoneStep) arrive() {
	part := 0.0
	if t.listedNodes > 0 {
		part = t.view.listed / t.listedNodes
	}
	for k := range t.offered {
		for c := range t.offered[k] {
			arrived := t.offered[k][c] * part
			t.countRequests(k, c, arrived)
			if t.view.serving == 0 {
				t.retries.add(0, k, c, arrived)
				continue
			}
			live := arrived * t.view.serving / max(t.view.listed, 1e-9)
			t.retries.add(0, k, c, arrived-live)
			t.admitted[k][c] = live * t.view.admittedFractions[c]
			t.rejectByQuota(t.view, k, c, live-t.admitted[k][c])
			t.rates.rejected += live - t.admitted[k][c]
			t.admittedByQuota += t.admitted[k][c]
		}
	}
}

// countRequests adds requests to the counts of the run, the step and the zone.
func (t *zoneStep) countRequests(attempt, class int, n float64) {
	if t.Fleet.Now >= faultStartMS+t.FaultStartMS {
		t.attemptCounts[0] += n
		if attempt == 0 {
			t.attemptCounts[1] += n
		}
	}
	t.attempts += n
	t.rates.arrived += n
	if attempt > 0 {
		t.rates.retries += n
	} else {
		t.rates.offeredWeight += n * classWeights[class]
	}
}

// admitFraction keeps a fraction of the admitted requests, from an attempt number on, and rejects the rest.
func (t *zoneStep) admitFraction(from int, part float64) {
	for k := from; k < maxAttempts; k++ {
		for c := range t.admitted[k] {
			t.rates.rejected += t.admitted[k][c] * (1 - part)
			t.reject(k, c, t.admitted[k][c]*(1-part), 0)
			t.admitted[k][c] *= part
		}
	}
}

// limitRate applies the nodes' rate limits. Nodes without one admit all of their traffic.
func (t *zoneStep) limitRate() {
	limit := t.view.rateLimit + t.admittedByQuota*t.view.unlimited/max(t.view.serving, 1)
	if t.view.rateLimited && t.admittedByQuota > limit {
		t.admitFraction(0, limit/t.admittedByQuota)
	}
}

// limitRetries applies the retry budget, and returns the admitted first attempts and retries.
func (t *zoneStep) limitRetries() (first, retries float64) {
	for c := range t.admitted[0] {
		first += t.admitted[0][c]
		for k := 1; k < maxAttempts; k++ {
			retries += t.admitted[k][c]
		}
	}
	if budget := t.view.retryBudget * first; retries > budget {
		t.admitFraction(1, budget/retries)
		retries = budget
	}
	return first, retries
}

// serve runs the dependency: it completes queued and new runs up to its capacity, sheds what exceeds zoneRunSlots, and
// warms up.
func (t *zoneStep) serve(demand float64) {
	const dt = stepMS / 1000.0
	b := t.dependency
	b.demand, b.capacity = demand, b.capacityNow()
	broken := t.faultActive && t.faultKind(t.zone) == ZoneKernels
	t.served = min(b.demand+b.queue/dt, b.capacity)
	if broken {
		t.served = 0
	}
	b.queue += (b.demand - t.served) * dt
	if b.queue > zoneRunSlots {
		t.shed = (b.queue - zoneRunSlots) / dt
		b.queue = zoneRunSlots
	}
	b.warmUp(t.served, dt)
	t.rates.runMS = warmRunMS*b.warmCapacity/max(b.capacity, 1) + 1000*b.queue/max(b.capacity, 1)
	t.rates.utilization = min(1, t.served/max(b.capacity, 1))
	t.rates.shed, t.rates.runs = t.shed, t.served
	if t.rates.runMS < latencyObjectiveMS && !broken {
		t.inTimeFraction = 1
	}
	if t.faultActive && t.faultKind(t.zone) == ZoneErrors {
		if t.inTimeFraction *= 0.6; t.commonCause() && t.zone == 0 {
			t.inTimeFraction /= 2 // a common fault is worst in z0
		}
	}
}

// complete distributes completed and shed runs over the requests.
func (t *zoneStep) complete() {
	for k := range t.admitted {
		for c := range t.admitted[k] {
			if t.dependency.demand <= 0 {
				continue
			}
			part := t.admitted[k][c] / t.dependency.demand
			weight := t.served * part * classWeights[c] * t.inTimeFraction
			t.rates.completedWeight += weight
			t.reject(k, c, t.shed*part, 0)
		}
	}
	t.rates.completed, t.rates.late = t.served*t.inTimeFraction, t.served*(1-t.inTimeFraction)
	if t.faultActive && t.faultKind(t.zone) == ZoneErrors {
		t.rates.late, t.rates.failed = 0, t.rates.late
	}
}

// measure adds the step to the run's measurements.
func (s *trafficStep) measure() {
	const dt = stepMS / 1000.0
	now := s.Fleet.Now
	if s.HonorRetryAfter && s.faultKind(0) == ZoneRestart && now > faultStartMS+s.FaultEndMS+5000 {
		s.PeakRetryRatio = max(s.PeakRetryRatio, s.attempts/s.demand)
	}
	if now >= faultStartMS+s.FaultStartMS {
		s.AttemptsPerRequest = s.attemptCounts[0] / max(s.attemptCounts[1], 1)
		s.CompletedWeight += s.completedWeight * dt
		s.OfferedWeight += s.offeredWeight * dt
		if s.faultActive && now >= faultStartMS+s.FaultStartMS+5000 {
			s.WeightDuringFault += s.completedWeight * dt
		}
	}
}

// plot adds a point to each line of the plot every half second.
func (s *trafficStep) plot() {
	at := (s.Fleet.Now - faultStartMS) / 1000
	if int(at*10)%5 != 0 || at < 0 {
		return
	}
	_, quota := s.Fleet.state.Zones.PhaseOf("z0")
	b := s.dependencies[0]
	values := []float64{s.completedWeight / max(s.offeredWeight, 1), b.demand / max(b.capacity, 1),
		float64(quota) / api.FullShare}
	for i, y := range values {
		s.Plot[i].Points = append(s.Plot[i].Points, [2]float64{at, y})
	}
}

// fields returns pointers to all rates.
func (f *trafficRates) fields() []*float64 {
	return []*float64{&f.arrived, &f.retries, &f.rejected, &f.completed, &f.late, &f.shed, &f.failed,
		&f.offeredWeight, &f.completedWeight, &f.runs, &f.runMS, &f.utilization}
}

// smooth updates moving averages with a time constant of about 0.6 s, similar to a load report over two seconds.
func (f *trafficRates) smooth(latest *trafficRates) {
	const weight = 0.15
	averages, rates := f.fields(), latest.fields()
	for i := range averages {
		*averages[i] += weight * (*rates[i] - *averages[i])
	}
}
