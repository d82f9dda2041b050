package simulation

// This file holds a step of zones in virtual time to their promises.

import (
	"fmt"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/zones"
)

// check holds a step to the promises.
func (v *Zones) check(z int, b *dependency, first float64) {
	name := fmt.Sprint("z", z)
	// Over a whole second, as on processes: who hears first that it may take more is asked for all of it, for a moment.
	b.lately[int(v.Fleet.Now/flowStep)%len(b.lately)] = b.asked / max(b.bears, 1)
	second := 0.0
	for _, x := range b.lately {
		second += x / float64(len(b.lately))
	}
	if v.kind(z) == ZoneRestart && !v.failing && v.Fleet.Now > begins+v.Heals {
		v.Start = max(v.Start, second)
	}
	if all := v.Fleet.state.Zones.Find(zones.WholeFleet); z == 0 && all != nil && all.Phase == zones.Ramping {
		sum := 0.0
		for _, n := range v.Fleet.nodes {
			if n.up && n.serves {
				if o := n.agent.ZoneOrder(); o != nil && o.RateLimited {
					sum += o.RateLimit
				}
			}
		}
		if most := max(v.ceil[zones.WholeFleet][0], v.ceil[zones.WholeFleet][1]); sum > most*1.001+1e-6 {
			v.fail("the nodes have %.1f runs a second together, expected %.1f at most", sum, most)
		}
	}
	st := v.Fleet.state.Zones.Find(name)
	if st == nil || v.Off || v.Own {
		return
	}
	if b.steady++; st.Phase != zones.Ramping || v.failing || b.speed != 1 {
		b.steady = 0
	}
	switch st.Phase {
	case zones.Ramping:
		if over := b.asked / max(b.bears, 1); !v.failing && b.speed == 1 {
			if b.steady >= len(b.lately) && second > v.Peak {
				v.Peak, v.peakAt = second, fmt.Sprintf("%s at %.1f s", name, (v.Fleet.Now-begins)/1000)
			}
		} else if over > 1 && b.speed < 1 && !v.failing {
			v.Worst += flowStep
		}
		most := max(v.ceil[name][0], v.ceil[name][1])
		sum := 0.0
		for _, n := range v.Fleet.nodes {
			if n.zone != z || !n.up || !n.serves {
				continue
			}
			if o := n.agent.ZoneOrder(); o != nil && o.RateLimited && o.Share > 0 { // of none it takes none, as where its zone is out
				sum += o.RateLimit
			}
		}
		if sum > most*1.001+1e-6 {
			v.fail("nodes of %s have %.1f runs a second together, expected %.1f at most", name, sum, most)
		}
	case zones.InService:
		if v.kind(z) == "" && first < 0.85*b.bears && !v.Fleet.allIn() {
			if second > v.Neigh {
				v.Neigh, v.neighAt = second, fmt.Sprintf("%s at %.1f s, %.0f first tries of %.0f", name, (v.Fleet.Now-begins)/1000, first, b.bears)
			}
		}
	}
	if v.Fleet.state.Zones.SettledEpoch > 0 {
		for _, n := range v.Fleet.nodes {
			if !n.up || !n.serves {
				continue
			}
			if o := n.agent.ZoneOrder(); o != nil && o.Epoch < v.Fleet.state.Zones.SettledEpoch {
				v.fail("%s acts on epoch %d, and %d is settled", n.name, o.Epoch, v.Fleet.state.Zones.SettledEpoch)
			}
		}
	}
}

// Full gives the ms from the end of the trouble until at least 98 in 100 of the value is done for ten seconds on end, -1
// if it never is.
func (v *Zones) Full() float64 { return v.RecoveredAt(0.98) }

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

// applied hears of what the group decided about zones.
func (v *Zones) applied(end any) {
	if b, beat := end.(coordinator.BatchApplied); beat && b.FleetRestarted {
		v.Began++
		v.ceil[zones.WholeFleet] = [2]float64{v.Fleet.state.Zones.Find(zones.WholeFleet).RateLimit, 0}
	}
	e, is := end.(zones.Result)
	if !is || e.Err != "" {
		return
	}
	if e.Kind == "settle" {
		for n, c := range v.ceil {
			v.ceil[n] = [2]float64{c[0], 0}
		}
		return
	}
	z := v.Fleet.state.Zones.Find(e.Zone)
	if z == nil || e.Phase == "" {
		return
	}
	v.ceil[z.Name] = [2]float64{z.RateLimit, max(v.ceil[z.Name][0], v.ceil[z.Name][1])}
	at := v.Fleet.Now - begins
	k := 0
	fmt.Sscanf(z.Name, "z%d", &k)
	switch e.Kind {
	case "leave":
		kind := v.kind(k)
		// What is cold crawls too, where it was not left before; what ails all is no zone's.
		b := v.below[k]
		crawls := b.bears < 0.85*b.cap || b.warm < 0.99 && b.asked > b.bears
		right := crawls || kind == ZoneCutOff && z.Cause == "cut off" || kind == ZoneDead || kind == ZoneKernels || kind == ZoneSlow || kind == ZoneErrors
		if v.common() || !right || !v.failing && !crawls {
			v.Wrong++
			v.fail("%s was left, and it is %q (bears %.0f, warm %.2f, asked %.0f): %s", z.Name, kind, b.bears, b.warm, b.asked, z.Events[len(z.Events)-1].Text)
		}
		if _, known := v.Left[z.Name]; !known {
			v.Left[z.Name] = at - v.Fails
		}
	case "step":
		if v.Steps++; v.Steps == 3 {
			v.Fleet.after(500, v.middle)
		}
	case "back":
		v.BackStep++
	case "in":
		v.Back[z.Name] = at - v.Heals
	}
}
