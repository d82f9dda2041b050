package simulation

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/zones"
)

// checkZone checks the invariants of one step of a zone; first is the rate of first attempts admitted by its nodes.
func (v *ZoneSimulation) checkZone(z int, b *dependency, first float64) {
	name := fmt.Sprint("z", z)
	load := v.loadOfLastSecond(b)
	if v.faultKind(z) == ZoneRestart && !v.faultActive && v.Fleet.Now > faultStartMS+v.FaultEndMS {
		v.PeakRestartLoad = max(v.PeakRestartLoad, load)
	}
	if z == 0 {
		v.checkColdStart()
	}
	zone := v.Fleet.state.Zones.Find(name)
	if zone == nil || v.NoEvacuation || v.SelfEjection {
		return
	}
	if b.steadySteps++; zone.Phase != zones.Ramping || v.faultActive || b.speed != 1 {
		b.steadySteps = 0
	}
	switch zone.Phase {
	case zones.Ramping:
		v.measureRamp(name, b, load)
		v.checkRateLimits("nodes of "+name, name, func(n *node, o *api.ZoneOrder) bool {
			return n.zone == z && o.Share > 0 // a node without a share admits nothing
		})
	case zones.InService:
		if v.faultKind(z) == "" && first < 0.85*b.capacity && !v.Fleet.allInService() && load > v.PeakNeighborLoad {
			v.PeakNeighborLoad = load
			v.peakNeighborAt = fmt.Sprintf("%s at %.1f s, %.0f first attempts/s at a capacity of %.0f/s", name,
				(v.Fleet.Now-faultStartMS)/1000, first, b.capacity)
		}
	}
	v.checkEpochs()
}

// loadOfLastSecond returns a dependency's load averaged over the last second. Shorter peaks are ignored: the first node
// that is notified of a larger share briefly receives all traffic.
func (v *ZoneSimulation) loadOfLastSecond(b *dependency) float64 {
	b.lastSecondLoads[int(v.Fleet.Now/stepMS)%len(b.lastSecondLoads)] = b.demand / max(b.capacity, 1)
	load := 0.0
	for _, x := range b.lastSecondLoads {
		load += x / float64(len(b.lastSecondLoads))
	}
	return load
}

// checkColdStart checks the sum of all nodes' rate limits during a cold start of the whole fleet.
func (v *ZoneSimulation) checkColdStart() {
	if all := v.Fleet.state.Zones.Find(zones.WholeFleet); all != nil && all.Phase == zones.Ramping {
		v.checkRateLimits("the nodes", zones.WholeFleet, func(*node, *api.ZoneOrder) bool { return true })
	}
}

// measureRamp records the highest load of a dependency during its zone's recovery ramp, and the time for which a second
// fault overloads it.
func (v *ZoneSimulation) measureRamp(name string, b *dependency, load float64) {
	switch {
	case v.faultActive:
	case b.speed == 1:
		if b.steadySteps >= len(b.lastSecondLoads) && load > v.PeakRampLoad {
			v.PeakRampLoad, v.peakRampAt = load, fmt.Sprintf("%s at %.1f s", name, (v.Fleet.Now-faultStartMS)/1000)
		}
	case b.speed < 1 && b.demand/max(b.capacity, 1) > 1:
		v.OverloadMS += stepMS
	}
}

// checkRateLimits checks that the sum of the selected nodes' rate limits is within the group's current or, until the
// epoch has settled, previous rate limit for a name.
func (v *ZoneSimulation) checkRateLimits(nodes, name string, selected func(n *node, o *api.ZoneOrder) bool) {
	sum := 0.0
	for _, n := range v.Fleet.nodes {
		if !n.up || !n.serves {
			continue
		}
		if o := n.agent.ZoneOrder(); o != nil && o.RateLimited && selected(n, o) {
			sum += o.RateLimit
		}
	}
	if limit := max(v.rateLimits[name][0], v.rateLimits[name][1]); sum > limit*1.001+1e-6 {
		v.fail("sum of the rate limits of %s = %.1f runs/s, want at most %.1f", nodes, sum, limit)
	}
}

// checkEpochs checks that no serving node acts on an epoch before the settled one.
func (v *ZoneSimulation) checkEpochs() {
	settled := v.Fleet.state.Zones.SettledEpoch
	if settled == 0 {
		return
	}
	for _, n := range v.Fleet.nodes {
		if !n.up || !n.serves {
			continue
		}
		if o := n.agent.ZoneOrder(); o != nil && o.Epoch < settled {
			v.fail("%s acts on epoch %d, but epoch %d has settled", n.name, o.Epoch, settled)
		}
	}
}

// TimeToFullRecovery returns the ms from the end of the fault until at least 98% of the offered weight is completed for
// 10 s, -1 if never.
func (v *ZoneSimulation) TimeToFullRecovery() float64 { return v.TimeToRecovery(0.98) }

// TimeToRecovery is TimeToFullRecovery for another fraction of the weight.
func (v *ZoneSimulation) TimeToRecovery(share float64) float64 {
	since := -1.0
	for _, p := range v.Plot[0].Points {
		at := p[0]*1000 - v.FaultEndMS
		switch {
		case at < 0:
		case p[1] < share:
			since = -1
		case since < 0:
			since = at
		case at-since >= 10_000:
			return since
		}
	}
	return -1
}

// onApplied records the group's decisions about zones from the result of an entry.
func (v *ZoneSimulation) onApplied(result any) {
	if b, ok := result.(coordinator.BatchApplied); ok && b.FleetRestarted {
		v.ColdStarts++
		v.rateLimits[zones.WholeFleet] = [2]float64{v.Fleet.state.Zones.Find(zones.WholeFleet).RateLimit, 0}
	}
	e, ok := result.(zones.Result)
	if !ok || e.Err != "" {
		return
	}
	if e.Kind == "settle" {
		for n, c := range v.rateLimits {
			v.rateLimits[n] = [2]float64{c[0], 0}
		}
		return
	}
	z := v.Fleet.state.Zones.Find(e.Zone)
	if z == nil || e.Phase == "" {
		return
	}
	v.rateLimits[z.Name] = [2]float64{z.RateLimit, max(v.rateLimits[z.Name][0], v.rateLimits[z.Name][1])}
	at := v.Fleet.Now - faultStartMS
	switch e.Kind {
	case "leave":
		v.checkEvacuation(z)
		if _, known := v.EvacuationDelaysMS[z.Name]; !known {
			v.EvacuationDelaysMS[z.Name] = at - v.FaultStartMS
		}
	case "step":
		if v.RampSteps++; v.RampSteps == 3 {
			v.Fleet.after(500, v.injectSecondFault)
		}
	case "back":
		v.StepsBack++
	case "in":
		v.RecoveryTimesMS[z.Name] = at - v.FaultEndMS
	}
}

// checkEvacuation checks that an evacuation is justified by an active fault of the zone alone or by its cold
// dependency. A fault common to all zones justifies none.
func (v *ZoneSimulation) checkEvacuation(z *zones.Zone) {
	k := 0
	fmt.Sscanf(z.Name, "z%d", &k)
	kind, b := v.faultKind(k), v.dependencies[k]
	cold := b.capacity < 0.85*b.warmCapacity || b.warmth < 0.99 && b.demand > b.capacity
	justified := cold
	switch kind {
	case ZoneDead, ZoneKernels, ZoneSlow, ZoneErrors:
		justified = true
	case ZoneCutOff:
		justified = cold || z.Cause == "cut off"
	}
	if v.commonCause() || !justified || !v.faultActive && !cold {
		v.UnjustifiedEvacuations++
		v.fail("unjustified evacuation of %s: fault %q, capacity %.0f/s, warmth %.2f, demand %.0f/s: %s", z.Name, kind,
			b.capacity, b.warmth, b.demand, z.Events[len(z.Events)-1].Text)
	}
}
