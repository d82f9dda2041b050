package simulation

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/node/zonegate"
	"umberwinch/internal/retryafter"
)

// dependency is a zone's service below, and what goes over it.
type dependency struct {
	cap    float64 // runs a second when warm
	warm   float64
	speed  float64
	queue  float64
	rate   flows // slowly moving, as reports have it
	asked  float64
	bears  float64
	cold   float64
	lately [10]float64 // asked over what it bears, of the last second
	steady int         // steps for which its zone has been returning, with nothing wrong below
}

// flows are a zone's figures a second.
type flows struct{ came, again, turned, done, late, shed, errored, worth, got, runs, runMS, util float64 }

// picks is the share of a class that a node's order takes.
func picks(o *api.ZoneOrder, class int) float64 {
	if o == nil {
		return 1
	}
	share := float64(o.Share) / api.FullShare
	if o.PriorityCutoff > 0 {
		switch {
		case flowValue[class] < o.PriorityCutoff:
			return 1
		case flowValue[class] > o.PriorityCutoff:
			return 0
		}
	}
	return share
}

// zoneView is how a zone's nodes stand at a step.
type zoneView struct {
	listed, up, rate float64 // nodes on the callers' list, serving, by how much of a req each takes
	pick             [3]float64
	capped           bool
	free             float64 // nodes without a ceiling
	retry            float64
	gate             *zonegate.Gate // of one of them, and its clock
	clock            uint64
}

func (v *Zones) views() []zoneView {
	out := make([]zoneView, v.Zones)
	now := v.Fleet.Now
	clear(v.upIn)
	for i, n := range v.Fleet.nodes {
		z := &out[n.zone]
		o := (*api.ZoneOrder)(nil)
		if n.up {
			v.upIn[n.zone]++
		}
		serves := n.up && n.serves
		if serves {
			o = n.agent.ZoneOrder()
		}
		share := n.gate != nil && n.gate.Evacuated()
		ready := serves && !share && now >= v.awayTill[i]
		if ready {
			v.said[i] = now
		} else if n.up {
			v.said[i] = 0 // it says that it is not
		}
		if v.said[i] == 0 || now-v.said[i] > 3000 {
			continue
		}
		z.listed++
		if !ready {
			continue
		}
		if z.up++; z.gate == nil {
			z.gate, z.clock = n.gate, n.clock()
		}
		for c := range z.pick {
			z.pick[c] += picks(o, c)
		}
		if o != nil {
			z.rate += o.RateLimit
			if z.capped = z.capped || o.RateLimited; !o.RateLimited {
				z.free++
			}
			z.retry += float64(o.RetryBudget) / api.FullShare
			if o.RetryBudget == 0 {
				z.retry += 1e9
			}
		} else {
			z.retry += 1e9
		}
	}
	for k := range out {
		if n := out[k].up; n > 0 {
			out[k].retry /= n
			for c := range out[k].pick {
				out[k].pick[c] /= n
				if since := now - begins - v.Heals; v.Ramp > 0 && !v.failing && since > 0 {
					out[k].pick[c] *= min(1, max(since/v.Ramp, 1.0/16))
				}
			}
		}
	}
	return out
}

// step plays a tenth of a second.
func (v *Zones) step() {
	v.Fleet.after(flowStep, v.step)
	const dt = flowStep / 1000.0
	all := v.views()
	listed := 0.0
	for z := range all {
		if v.kind(z) == ZoneCallers && v.failing {
			all[z].listed = 0
		}
		listed += all[z].listed
	}
	var ask [flowTries][3]float64 // a second
	demand := v.Load * float64(v.Zones) * 1000
	total := 0.0
	for c := range flowShare {
		ask[0][c] = demand * flowShare[c]
		total += ask[0][c] * flowValue[c]
		for k := 1; k < flowTries; k++ {
			ask[k][c] = v.retry[v.retryAt][k][c]
		}
	}
	v.retry[v.retryAt] = [flowTries][3]float64{}
	v.retryAt = (v.retryAt + 1) % flowWaits
	again := func(k, c int, n float64) {
		if k+1 < flowTries {
			v.retry[v.retryAt][k+1][c] += n
		}
	}
	wait := func(k, c int, n float64, after uint64) { // turned away, and told when to come back
		if !v.Patient || k+1 >= flowTries {
			again(k, c, n)
			return
		}
		from, to := retryafter.Window(flowPause, int64(min(after, flowPause)))
		if v.Without.Has(zones.RetryAfterSpread) { // as soon as it may be let in, or in a second
			from, to = max(1000, int64(min(after, flowPause))), 0
		}
		first := int(from) / flowStep
		steps := max(1, int(to)/flowStep-first)
		for i := range steps {
			v.retry[(v.retryAt+first+i)%flowWaits][k+1][c] += n / float64(steps)
		}
	}
	turned := func(k, c int, n float64) { wait(k, c, n, 0) }
	// Those that a share leaves out are told by their place in it.
	leftOut := func(s *zoneView, k, c int, n float64) {
		if n <= 0 || !v.Patient || s.gate == nil {
			turned(k, c, n)
			return
		}
		for i := range flowPlaces {
			place := s.pick[c] + (1-s.pick[c])*(float64(i)+0.5)/flowPlaces
			wait(k, c, n/flowPlaces, s.gate.RetryAfter(s.clock, zonegate.Request{Hash: uint32(place*api.FullShare) << 16}))
		}
	}
	if v.Oracle {
		v.oracle(total, dt)
		return
	}
	done, inDone, inAsked, tries := 0.0, 0.0, 0.0, 0.0
	for z, b := range v.below {
		s := &all[z]
		part := 0.0
		if listed > 0 {
			part = s.listed / listed
		}
		dead := s.up == 0
		was := b.rate
		var f flows
		var take [flowTries][3]float64
		sum := 0.0
		for k := range ask {
			for c := range ask[k] {
				came := ask[k][c] * part
				if v.Fleet.Now >= begins+v.Fails {
					v.asks[0] += came
					if k == 0 {
						v.asks[1] += came
					}
				}
				f.came += came
				tries += came
				if k > 0 {
					f.again += came
				} else {
					f.worth += came * flowValue[c]
				}
				if dead {
					again(k, c, came)
					continue
				}
				// Nodes on the list that are gone answer nothing; the others take by their order.
				live := came * s.up / max(s.listed, 1e-9)
				again(k, c, came-live)
				take[k][c] = live * s.pick[c]
				leftOut(s, k, c, live-take[k][c])
				f.turned += live - take[k][c]
				sum += take[k][c]
			}
		}
		scale := func(from int, x float64) { // the rest is turned away
			for k := from; k < flowTries; k++ {
				for c := range take[k] {
					f.turned += take[k][c] * (1 - x)
					turned(k, c, take[k][c]*(1-x))
					take[k][c] *= x
				}
			}
		}
		// Nodes that heard that there is no ceiling any more take their part of what comes whole.
		if most := s.rate + sum*s.free/max(s.up, 1); s.capped && sum > most {
			scale(0, most/sum)
		}
		first, more := 0.0, 0.0
		for c := range take[0] {
			first += take[0][c]
			for k := 1; k < flowTries; k++ {
				more += take[k][c]
			}
		}
		if more > s.retry*first {
			scale(1, s.retry*first/more)
			more = s.retry * first
		}
		b.asked = first + more
		b.bears = b.cap * b.speed / (1 + (b.cold-1)*(1-b.warm))
		broken := v.failing && v.kind(z) == ZoneKernels
		served := min(b.asked+b.queue/dt, b.bears)
		if broken {
			served = 0
		}
		b.queue += (b.asked - served) * dt
		shed := 0.0
		if b.queue > flowOut {
			shed = (b.queue - flowOut) / dt
			b.queue = flowOut
		}
		f.shed = shed
		f.runMS = flowRun*b.cap/max(b.bears, 1) + 1000*b.queue/max(b.bears, 1)
		f.runs = served
		f.util = min(1, served/max(b.bears, 1))
		b.warm = min(1, b.warm+served*dt/(b.cap*WarmUpSeconds))
		ok := 0.0
		if f.runMS < flowTarget && !broken {
			ok = 1
		}
		if v.failing && v.kind(z) == ZoneErrors {
			if ok *= 0.6; v.common() && z == 0 {
				ok /= 2 // the same everywhere, and worst here
			}
		}
		for k := range take {
			for c := range take[k] {
				if b.asked <= 0 {
					continue
				}
				n := take[k][c] / b.asked
				got := served * n * flowValue[c] * ok
				f.got += got
				turned(k, c, shed*n)
			}
		}
		f.done, f.late = served*ok, served*(1-ok)
		if v.failing && v.kind(z) == ZoneErrors {
			f.late, f.errored = 0, f.late
		}
		done += f.got
		v.check(z, b, first)
		if step, _ := v.Fleet.state.Zones.PhaseOf(fmt.Sprint("z", z)); step == zones.InService && v.kind(z) == "" {
			inDone, inAsked = inDone+f.got, inAsked+f.worth
		}
		mix(&b.rate, &was, &f)
	}
	if v.Patient && v.kind(0) == ZoneRestart && v.Fleet.Now > begins+v.Heals+5000 {
		v.Rush = max(v.Rush, tries/demand)
	}
	if v.Fleet.Now >= begins+v.Fails {
		v.Tries = v.asks[0] / max(v.asks[1], 1)
		v.Done += done * dt
		v.Asked += total * dt
		if v.failing && v.Fleet.Now >= begins+v.Fails+5000 {
			v.Failing += done * dt
		}
	}
	if len(v.Fleet.state.Zones.Zones) > 0 && inAsked > 0 && v.failing {
		v.Others = min(v.Others, inDone/inAsked)
	}
	at := (v.Fleet.Now - begins) / 1000
	if int(at*10)%5 == 0 && at >= 0 {
		v.Plot[0].Points = append(v.Plot[0].Points, [2]float64{at, done / max(total, 1)})
		v.Plot[1].Points = append(v.Plot[1].Points, [2]float64{at, v.below[0].asked / max(v.below[0].bears, 1)})
		_, share := v.Fleet.state.Zones.PhaseOf("z0")
		v.Plot[2].Points = append(v.Plot[2].Points, [2]float64{at, float64(share) / api.FullShare})
	}
	if v.Own {
		v.own()
	}
}

// mix has a zone's figures follow within two thirds of a second, as a report over two seconds does.
func mix(into, was, is *flows) {
	const a = 0.15
	for _, p := range [][3]*float64{{&into.came, &was.came, &is.came}, {&into.again, &was.again, &is.again},
		{&into.turned, &was.turned, &is.turned},
		{&into.errored, &was.errored, &is.errored}, {&into.done, &was.done, &is.done}, {&into.late, &was.late, &is.late},
		{&into.shed, &was.shed, &is.shed}, {&into.worth, &was.worth, &is.worth}, {&into.got, &was.got, &is.got},
		{&into.runs, &was.runs, &is.runs}, {&into.runMS, &was.runMS, &is.runMS}, {&into.util, &was.util, &is.util}} {
		*p[0] = *p[1] + a*(*p[2]-*p[1])
	}
}
