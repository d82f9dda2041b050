package simulation

import (
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/node/zonegate"
	"umberwinch/internal/report"
	"umberwinch/internal/retryafter"
)

// vzones.go is traffic on a fleet in virtual time: callers that try elsewhere, nodes by their real gates, and for each
// zone a service below with a capacity, a cache that has to fill, and faults. Reqs are flows, a tenth of a second at a
// time; group, stewards, members and gates are the real code.

// Kinds of trouble of a zone's schedule.
const (
	ZoneDead    = "dead"     // its nodes are killed and come back cold
	ZoneKernels = "kernels"  // its kernels are dead, its nodes well
	ZoneSlow    = "slow"     // its service below at a tenth of its speed
	ZoneErrors  = "errors"   // four in ten of its runs fail for good
	ZoneCutOff  = "cut off"  // from the group alone
	ZoneCallers = "callers"  // from its callers alone
	ZoneBadNode = "bad node" // one node of it is sick
	ZoneCommon  = "common"   // all zones are slow
	ZoneLies    = "lies"     // two of five of its nodes say that they are sick
	ZoneRestart = "restart"  // its nodes are killed and come back at once, cold: of all zones, a restart of the fleet
	ZoneNoise   = "noise"    // half of the reports are missing, the others vary
)

// flowShare and flowValue are the classes of the flows: shares and values.
var flowShare, flowValue = [3]float64{0.7, 0.2, 0.1}, [3]float64{1, 2, 20}

// flowTries is how often a caller asks for one req at most.
const flowTries = 4

const (
	flowStep   = 100  // ms
	flowRun    = 20.0 // ms that a run takes on a warm service
	flowTarget = 300.0
	// WarmUpSeconds of full capacity fill a service's cache.
	WarmUpSeconds = 10.0
	flowPause     = 10_000 // ms: the longest that a caller may be told to wait
	// Callers that are held off come again up to three times, and a step lets in all at once that it was told to: 6.6 to 9.1 in a
	// tenth of a second over loads and sizes. Where all are told the same moment 13 to 50.
	rushMost   = 12
	flowWaits  = flowPause/100 + 20
	flowPlaces = 8    // of those that a share leaves out, told apart by when they are let in
	flowOut    = 80.0 // run slots of a zone's nodes, four times what its service below works on at once
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

// Zones is one run.
type Zones struct {
	ZonePlan
	Fleet    *Fleet
	below    []*dependency
	retry    [flowWaits][flowTries][3]float64 // reqs that come again, by step, a ring
	retryAt  int                              // of the next step
	said     []float64                        // by node: when it last said that it is ready
	sickAt   []float64                        // by node, for its own judgement: since when it is sick
	awayTill []float64
	failing  bool
	upIn     []float64 // nodes that are up, by zone
	Broken   string
	Done     float64 // value done in time, and asked for, since the trouble began
	Asked    float64
	Left     map[string]float64 // ms from the trouble to a zone's leaving
	Back     map[string]float64 // and from its end to the zone's being in again
	Wrong    int
	Steps    int
	BackStep int
	Peak     float64 // below while it returns: asked over what it bears
	neighAt  string
	peakAt   string
	Neigh    float64 // the most that a zone that is in was asked for over what it bears, its own first tries fitting
	Worst    float64 // ms for which its service was asked for more than it bears, in that second failure
	Failing  float64 // value done while it fails, from five seconds on
	Others   float64 // share of value done by the zones that are in while one is left, at worst over a second
	Plot     []report.Line
	ceil     map[string][2]float64 // now, and before until settled
	struck   bool                  // the second failure has come
	Began    int                   // times that the fleet began with a share
	Tries    float64               // a req, from the trouble on
	asks     [2]float64            // tries, and first ones
	Start    float64               // after a restart: asked below over what it bears, at worst
	Rush     float64               // after a restart: tries in a tenth of a second over first tries, at worst, from callers that wait
}

func (v *Zones) kind(z int) string {
	if z < len(v.Kinds) {
		return v.Kinds[z]
	}
	return ""
}

// common tells that one cause ails all zones.
func (v *Zones) common() bool {
	for z := 1; z < v.Zones; z++ {
		if v.kind(z) != v.kind(0) {
			return false
		}
	}
	return v.kind(0) != ""
}

func (v *Zones) fail(format string, args ...any) {
	if v.Broken == "" {
		v.Broken = fmt.Sprintf("%.1f s: ", (v.Fleet.Now-begins)/1000) + fmt.Sprintf(format, args...)
	}
}

// Play runs it: ten calm seconds, trouble, its end, and on until Ends.
func (v *Zones) Play() {
	w := v.Fleet
	w.after(1500, func() { w.change(false, 0) })
	w.Changes = 1
	w.after(2000, v.step)
	w.until(begins)
	w.after(v.Fails, v.injectFault)
	w.after(v.Heals, v.heal)
	w.until(begins + v.Ends)
	if w.Broken != "" {
		v.fail("%s", w.Broken)
	}
	if v.Off || v.Own || v.Oracle {
		return
	}
	for _, z := range w.state.Zones.Zones {
		if z.Phase != zones.InService {
			v.fail("zone %s is %s at %d at the end: %v", z.Name, z.Phase, z.Share, z.Events[len(z.Events)-1])
		}
	}
	for _, z := range w.state.Zones.Zones {
		for _, e := range z.Events {
			if e.ValueOfEvacuating < e.ValueOfStaying {
				v.fail("zone %s was left for %.0f of value a second, where staying was to do %.0f", z.Name, e.ValueOfEvacuating, e.ValueOfStaying)
			}
		}
	}
	if v.Start > 1 {
		v.fail("a service was asked for %.2f of what it bears after the restart", v.Start)
	}
	if v.Rush > rushMost {
		v.fail("callers that wait until they are told to come back asked %.1f times as much together as first tries came", v.Rush)
	}
	if v.Worst > 8000 {
		v.fail("a service that failed during the return was asked for more than it bears for %.1f s", v.Worst/1000)
	}
	if v.Peak > 1.0 {
		v.fail("a service was asked for %.2f of what it bears while its zone returned: %s", v.Peak, v.peakAt)
	}
	if v.Neigh > 1.1 && v.Load*float64(v.Zones) < 0.85*float64(v.Zones) {
		v.fail("a zone that is in was asked for %.2f of what it bears by tries from elsewhere: %s", v.Neigh, v.neighAt)
	}
}

func (v *Zones) injectFault() {
	v.failing = true
	v.lead()
	for z, b := range v.below {
		switch k := v.kind(z); k {
		case ZoneDead, ZoneRestart:
			b.warm = 0
			for i, n := range v.Fleet.nodes {
				if n.zone == z && n.up {
					n.kill()
					v.said[i] = min(v.said[i], v.Fleet.Now)
				}
			}
		case ZoneSlow:
			b.speed = 0.1
		case ZoneCommon:
			v.Fleet.after(v.Stagger*float64(z), func() {
				if v.failing {
					b.speed = 0.1
				}
			})
		case ZoneCutOff:
			for _, n := range v.Fleet.nodes {
				n.cut = n.cut || n.zone == z
			}
		}
	}
}

func (v *Zones) heal() {
	v.failing = false
	for z, b := range v.below {
		if b.speed < 1 {
			b.speed, b.warm = 1, 0 // what comes back is cold
		}
		if v.kind(z) == ZoneKernels {
			b.warm = 0
		}
	}
	for _, n := range v.Fleet.nodes {
		n.cut = false
		if !n.up {
			n.start()
		}
	}
}

// middle is what comes in the middle of a return.
func (v *Zones) middle() {
	if v.struck {
		return
	}
	v.struck = true
	for _, n := range v.Fleet.nodes {
		if n.notStarted {
			n.notStarted = false
			n.start()
		}
	}
	v.lead()
	if b := v.below[0]; v.Again {
		b.speed = 0.3
		v.Fleet.after(25_000, func() { b.speed = 1 })
	}
}

// lead has the leader lost, if that is asked for.
func (v *Zones) lead() {
	w := v.Fleet
	if !v.Lead || w.leader < 0 {
		return
	}
	c := w.control[w.leader]
	c.up, w.leader = false, -1
	w.after(800, w.elect)
	w.after(3000, func() { c.s, c.up, c.last = w.currentLeader(), true, w.Now*c.rate })
}

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

// allIn tells that no zone is left, or has been for long enough for all nodes to have heard.
func (w *Fleet) allIn() bool {
	s := w.state.Zones
	for _, z := range s.Zones {
		if z.Phase != zones.InService && s.SettledEpoch == s.Epoch && float64(w.state.Fleet.ClockMS-z.SinceMS) > 2500 {
			return false
		}
	}
	return true
}
