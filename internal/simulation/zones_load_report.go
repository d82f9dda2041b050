package simulation

// This file is what nodes in virtual time report, and what the best possible would be.

import (
	"fmt"
	"math"

	"umberwinch/internal/control/api"
)

// loadReport is what a node tells of itself.
func (v *Zones) loadReport(n *node) *api.LoadReport {
	b := v.dependencies[n.zone]
	r, w := &b.smoothedRates, v.Fleet
	nodes := v.upNodesByZone[n.zone]
	noisy := v.faultKind(n.zone) == ZoneNoise && v.faultActive
	if noisy && w.random.Intn(2) == 0 {
		return nil
	}
	spread := 0.1
	if noisy {
		spread = 0.5
	}
	count := func(x float64) int { // of two seconds
		x = 2 * x / max(nodes, 1) * math.Exp(spread*w.random.NormFloat64())
		return int(x + w.random.Float64())
	}
	// The order of fields is the order of random draws.
	l := &api.LoadReport{
		WindowMS:        2000,
		KernelConnected: !(v.faultActive && v.faultKind(n.zone) == ZoneKernels),
		Cores:           4,
		CoresUsed:       4 * r.utilization * math.Exp(spread*0.5*w.random.NormFloat64()),
		MeanRunMS:       r.runMS * math.Exp(spread*w.random.NormFloat64()),
		Arrived:         count(r.arrived),
		Retries:         count(r.retries),
		RejectedByZone:  count(r.rejected),
		Completed:       count(r.completed),
		Late:            count(r.late),
		Failed:          count(r.failed),
		Shed:            count(r.shed),
		RunsEnded:       count(r.runs),
		OfferedWeight:   2 * r.offeredWeight / max(nodes, 1),
		CompletedWeight: 2 * r.completedWeight / max(nodes, 1),
		Calls:           count(r.runs),
		MeanCallMS:      r.runMS * 0.8 * math.Exp(spread*w.random.NormFloat64()),
		RunsInFlight:    int((b.queue + r.runs*r.runMS/1000) / max(nodes, 1)),
	}
	if l.CoresUsed > 4 {
		l.CoresUsed = 4
	}
	for c := range classFractions {
		l.ArrivedByWeight = append(l.ArrivedByWeight, api.PriorityCount{Weight: classWeights[c],
			Arrived: count((r.arrived - r.retries) * classFractions[c])})
	}
	if v.faultActive {
		bad := v.faultKind(n.zone) == ZoneOutlierNode && n.name == v.firstNodeOf(n.zone) ||
			v.faultKind(n.zone) == ZoneFalseReports && w.indexInZone(n)%5 < 2
		if bad {
			l.KernelConnected = false
			l.Completed, l.Late = 0, l.Completed
		}
	}
	return l
}

func (w *Fleet) indexInZone(n *node) (k int) {
	fmt.Sscanf(n.name, "n%d", &k)
	return k / w.Zones
}

func (v *Zones) firstNodeOf(zone int) string {
	for _, n := range v.Fleet.nodes {
		if n.zone == zone {
			return n.name
		}
	}
	return ""
}

// probe is what one node sees of another.
func (v *Zones) probe(_ *node, l api.ProbeTarget) api.PeerHealth {
	for _, o := range v.Fleet.nodes {
		if o.name != l.Name {
			continue
		}
		switch {
		case !o.up:
			return api.PeerHealth{Name: l.Name, Health: api.PeerSilent}
		case !o.serves || o.gate.Evacuated():
			return api.PeerHealth{Name: l.Name, Health: api.PeerShedding}
		}
		return api.PeerHealth{Name: l.Name, Health: api.PeerServing}
	}
	return api.PeerHealth{Name: l.Name, Health: api.PeerSilent}
}

// ejectUnhealthyNodes is the baseline in which each node judges for itself: sick for two seconds, it is not ready for five.
func (v *Zones) ejectUnhealthyNodes() {
	for i, n := range v.Fleet.nodes {
		b, h := v.dependencies[n.zone], &v.nodeHealth[i]
		sick := n.up && (v.faultActive && v.faultKind(n.zone) == ZoneKernels || b.smoothedRates.runMS > 3*warmRunMS+5 ||
			b.smoothedRates.late+b.smoothedRates.failed > 0.3*(b.smoothedRates.completed+b.smoothedRates.late+b.smoothedRates.failed))
		switch {
		case !sick:
			h.unhealthySince = 0
		case h.unhealthySince == 0:
			h.unhealthySince = v.Fleet.Now
		case v.Fleet.Now-h.unhealthySince > 2000+float64(i%10)*200 && v.Fleet.Now >= h.ejectedUntil:
			h.ejectedUntil, h.unhealthySince = v.Fleet.Now+5000, 0
		}
	}
}

// runOracle is the best that could be done: the fault and the capacity left are known at once, requests of the
// highest weight go first, and a cold service is sent exactly its capacity.
func (v *Zones) runOracle(total float64, dt float64) {
	room, done := 0.0, 0.0
	for z, b := range v.dependencies {
		dead := v.faultActive && (v.faultKind(z) == ZoneDead || v.faultKind(z) == ZoneKernels || v.faultKind(z) == ZoneCallers)
		if dead {
			continue
		}
		bears := b.capacityNow()
		room += bears
		b.warmUp(bears, dt)
	}
	for c := 2; c >= 0; c-- {
		n := min(room, v.Load*float64(v.Zones)*1000*classFractions[c])
		room -= n
		done += n * classWeights[c]
	}
	if v.Fleet.Now >= faultStartMS+v.Fails {
		v.Done += done * dt
		v.Asked += total * dt
	}
}
