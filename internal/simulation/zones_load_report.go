package simulation

import (
	"fmt"
	"math"

	"umberwinch/internal/control/api"
)

// loadReport returns a node's load report, nil if it is missing.
func (v *ZoneSimulation) loadReport(n *node) *api.LoadReport {
	b := v.dependencies[n.zone]
	rates, f := &b.smoothedRates, v.Fleet
	nodes := v.upNodesByZone[n.zone]
	noisy := v.faultKind(n.zone) == ZoneNoise && v.faultActive
	if noisy && f.random.Intn(2) == 0 {
		return nil
	}
	spread := 0.1
	if noisy {
		spread = 0.5
	}
	count := func(x float64) int { // a noisy count over two seconds from the zone's rate
		x = 2 * x / max(nodes, 1) * math.Exp(spread*f.random.NormFloat64())
		return int(x + f.random.Float64())
	}
	// The order of the fields is the order of the random draws: keep it.
	report := &api.LoadReport{
		WindowMS:        2000,
		KernelConnected: !(v.faultActive && v.faultKind(n.zone) == ZoneKernels),
		Cores:           4,
		CoresUsed:       4 * rates.utilization * math.Exp(spread*0.5*f.random.NormFloat64()),
		MeanRunMS:       rates.runMS * math.Exp(spread*f.random.NormFloat64()),
		Arrived:         count(rates.arrived),
		Retries:         count(rates.retries),
		RejectedByZone:  count(rates.rejected),
		Completed:       count(rates.completed),
		Late:            count(rates.late),
		Failed:          count(rates.failed),
		Shed:            count(rates.shed),
		RunsEnded:       count(rates.runs),
		OfferedWeight:   2 * rates.offeredWeight / max(nodes, 1),
		CompletedWeight: 2 * rates.completedWeight / max(nodes, 1),
		Calls:           count(rates.runs),
		MeanCallMS:      rates.runMS * 0.8 * math.Exp(spread*f.random.NormFloat64()),
		RunsInFlight:    int((b.queue + rates.runs*rates.runMS/1000) / max(nodes, 1)),
	}
	if report.CoresUsed > 4 {
		report.CoresUsed = 4
	}
	for c := range classFractions {
		report.ArrivedByWeight = append(report.ArrivedByWeight, api.PriorityCount{Weight: classWeights[c],
			Arrived: count((rates.arrived - rates.retries) * classFractions[c])})
	}
	if v.faultActive {
		bad := v.faultKind(n.zone) == ZoneOutlierNode && n.name == v.firstNodeOf(n.zone) ||
			v.faultKind(n.zone) == ZoneFalseReports && f.indexInZone(n)%5 < 2
		if bad {
			report.KernelConnected = false
			report.Completed, report.Late = 0, report.Completed
		}
	}
	return report
}

func (f *Fleet) indexInZone(n *node) (index int) {
	fmt.Sscanf(n.name, "n%d", &index)
	return index / f.Zones
}

func (v *ZoneSimulation) firstNodeOf(zone int) string {
	for _, n := range v.Fleet.nodes {
		if n.zone == zone {
			return n.name
		}
	}
	return ""
}

// probe returns the result of a node's probe of another.
func (v *ZoneSimulation) probe(_ *node, target api.ProbeTarget) api.PeerHealth {
	for _, peer := range v.Fleet.nodes {
		if peer.name != target.Name {
			continue
		}
		switch {
		case !peer.up:
			return api.PeerHealth{Name: target.Name, Health: api.PeerSilent}
		case !peer.serves || peer.gate.Evacuated():
			return api.PeerHealth{Name: target.Name, Health: api.PeerShedding}
		}
		return api.PeerHealth{Name: target.Name, Health: api.PeerServing}
	}
	return api.PeerHealth{Name: target.Name, Health: api.PeerSilent}
}

// ejectUnhealthyNodes implements the baseline in which each node ejects itself for 5 s after being unhealthy for 2 s to
// 3.8 s.
func (v *ZoneSimulation) ejectUnhealthyNodes() {
	for i, n := range v.Fleet.nodes {
		b, h := v.dependencies[n.zone], &v.nodeHealth[i]
		unhealthy := n.up && (v.faultActive && v.faultKind(n.zone) == ZoneKernels ||
			b.smoothedRates.runMS > 3*warmRunMS+5 ||
			b.smoothedRates.late+b.smoothedRates.failed >
				0.3*(b.smoothedRates.completed+b.smoothedRates.late+b.smoothedRates.failed))
		switch {
		case !unhealthy:
			h.unhealthySince = 0
		case h.unhealthySince == 0:
			h.unhealthySince = v.Fleet.Now
		case v.Fleet.Now-h.unhealthySince > 2000+float64(i%10)*200 && v.Fleet.Now >= h.ejectedUntil:
			h.ejectedUntil, h.unhealthySince = v.Fleet.Now+5000, 0
		}
	}
}

// runOracle runs a step of the upper bound: faults and remaining capacity are known at once, requests of the highest
// weight go first, and a cold dependency receives exactly its capacity.
func (v *ZoneSimulation) runOracle(total float64, dt float64) {
	capacity, completed := 0.0, 0.0
	for z, b := range v.dependencies {
		kind := v.faultKind(z)
		if v.faultActive && (kind == ZoneDead || kind == ZoneKernels || kind == ZoneCallers) {
			continue
		}
		runs := b.capacityNow()
		capacity += runs
		b.warmUp(runs, dt)
	}
	for c := 2; c >= 0; c-- {
		n := min(capacity, v.Load*float64(v.Zones)*1000*classFractions[c])
		capacity -= n
		completed += n * classWeights[c]
	}
	if v.Fleet.Now >= faultStartMS+v.FaultStartMS {
		v.CompletedWeight += completed * dt
		v.OfferedWeight += total * dt
	}
}
