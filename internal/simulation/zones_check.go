package simulation

// This file holds a step of zones in virtual time to their promises.

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/zones"
)

// checkZone holds a zone's step to the promises; first is the rate of first attempts that its nodes admitted.
func (v *Zones) checkZone(z int, b *dependency, first float64) {
	name := fmt.Sprint("z", z)
	load := v.loadOfLastSecond(b)
	if v.faultKind(z) == ZoneRestart && !v.faultActive && v.Fleet.Now > faultStartMS+v.Heals {
		v.Start = max(v.Start, load)
	}
	if z == 0 {
		v.checkColdStart()
	}
	zone := v.Fleet.state.Zones.Find(name)
	if zone == nil || v.Off || v.Own {
		return
	}
	if b.steadySteps++; zone.Phase != zones.Ramping || v.faultActive || b.speed != 1 {
		b.steadySteps = 0
	}
	switch zone.Phase {
	case zones.Ramping:
		v.measureRamp(name, b, load)
		v.checkRateLimits("nodes of "+name, name, func(n *node, o *api.ZoneOrder) bool {
			return n.zone == z && o.Share > 0 // of no share it takes nothing, as where its zone is out
		})
	case zones.InService:
		if v.faultKind(z) == "" && first < 0.85*b.capacity && !v.Fleet.allInService() && load > v.PeakNeighborLoad {
			v.PeakNeighborLoad = load
			v.peakNeighborAt = fmt.Sprintf("%s at %.1f s, %.0f first tries of %.0f", name,
				(v.Fleet.Now-faultStartMS)/1000, first, b.capacity)
		}
	}
	v.checkEpochs()
}

// loadOfLastSecond is a service's load over its capacity. It is taken over a whole second, as on processes: the
// node that is notified first that it may admit more is sent all of it, for a moment.
func (v *Zones) loadOfLastSecond(b *dependency) float64 {
	b.lastSecondLoads[int(v.Fleet.Now/stepMS)%len(b.lastSecondLoads)] = b.demand / max(b.capacity, 1)
	load := 0.0
	for _, x := range b.lastSecondLoads {
		load += x / float64(len(b.lastSecondLoads))
	}
	return load
}

// checkColdStart: while the whole fleet begins small, its nodes' rate limits come to no more than the fleet's.
func (v *Zones) checkColdStart() {
	if all := v.Fleet.state.Zones.Find(zones.WholeFleet); all != nil && all.Phase == zones.Ramping {
		v.checkRateLimits("the nodes", zones.WholeFleet, func(*node, *api.ZoneOrder) bool { return true })
	}
}

// measureRamp notes a service's load while its zone returns: the highest while it has no fault, and for how long it
// was overloaded in a second one.
func (v *Zones) measureRamp(name string, b *dependency, load float64) {
	switch {
	case v.faultActive:
	case b.speed == 1:
		if b.steadySteps >= len(b.lastSecondLoads) && load > v.Peak {
			v.Peak, v.peakRampAt = load, fmt.Sprintf("%s at %.1f s", name, (v.Fleet.Now-faultStartMS)/1000)
		}
	case b.speed < 1 && b.demand/max(b.capacity, 1) > 1:
		v.OverloadMS += stepMS
	}
}

// checkRateLimits: nodes' rate limits come to no more than the group gave out under a name, now or before that is
// settled.
func (v *Zones) checkRateLimits(who, name string, counts func(n *node, o *api.ZoneOrder) bool) {
	sum := 0.0
	for _, n := range v.Fleet.nodes {
		if !n.up || !n.serves {
			continue
		}
		if o := n.agent.ZoneOrder(); o != nil && o.RateLimited && counts(n, o) {
			sum += o.RateLimit
		}
	}
	if limit := max(v.rateLimits[name][0], v.rateLimits[name][1]); sum > limit*1.001+1e-6 {
		v.fail("%s have %.1f runs a second together, expected %.1f at most", who, sum, limit)
	}
}

// checkEpochs: no node that serves acts on an epoch before the one that has settled.
func (v *Zones) checkEpochs() {
	settled := v.Fleet.state.Zones.SettledEpoch
	if settled == 0 {
		return
	}
	for _, n := range v.Fleet.nodes {
		if !n.up || !n.serves {
			continue
		}
		if o := n.agent.ZoneOrder(); o != nil && o.Epoch < settled {
			v.fail("%s acts on epoch %d, and %d is settled", n.name, o.Epoch, settled)
		}
	}
}

// TimeToFullRecovery gives the ms from the end of the fault until at least 98 in 100 of the weight is done for ten seconds on
// end, -1 if it never is.
func (v *Zones) TimeToFullRecovery() float64 { return v.RecoveredAt(0.98) }

// RecoveredAt is the same for any share of the value.
func (v *Zones) RecoveredAt(share float64) float64 {
	since := -1.0
	for _, p := range v.Plot[0].Points {
		at := p[0]*1000 - v.Heals
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

// onApplied notes what the group decided about zones, by the result of each entry.
func (v *Zones) onApplied(result any) {
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
		if _, known := v.Left[z.Name]; !known {
			v.Left[z.Name] = at - v.Fails
		}
	case "step":
		if v.Steps++; v.Steps == 3 {
			v.Fleet.after(500, v.injectSecondFault)
		}
	case "back":
		v.BackStep++
	case "in":
		v.Back[z.Name] = at - v.Heals
	}
}

// checkEvacuation: a zone is evacuated for a fault of its own alone, while it lasts. A cold service is such a fault
// where its zone was not evacuated before; a fault that all zones have is not.
func (v *Zones) checkEvacuation(z *zones.Zone) {
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
		v.Wrong++
		v.fail("%s was left, and it is %q (bears %.0f, warm %.2f, asked %.0f): %s", z.Name, kind, b.capacity, b.warmth,
			b.demand, z.Events[len(z.Events)-1].Text)
	}
}
