package harness

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"umberwinch/internal/control/zones"
	"umberwinch/internal/report"
)

// What failures cost callers on processes, by several ways: the same failures, one after the other, in fleets with the
// same load.

// zoneFailure is one of them.
type zoneFailure struct {
	name         string
	strike, heal func(b *zoneFixture) error
	after        time.Duration // in place of the plan's
}

// costVariant is a way to be measured: how its fleet decides, and what its callers and its platform are like.
type costVariant struct {
	name, mode string
	patient    bool          // callers come back when they are told to
	eager      bool          // callers ask on at once
	pace       time.Duration // between the starts of two nodes
}

// costPlan is a measurement.
type costPlan struct {
	variants     []costVariant
	failures     []zoneFailure
	fails, after time.Duration // long enough for the failure to show, and for all to be whole again
	row          func(way *costVariant, failure string, c *cost) []string
	bound        string // this way's services below are never asked for more than they bear
}

var zoneFailures = []zoneFailure{
	{name: "dead", strike: func(b *zoneFixture) error {
		for _, n := range b.nodesIn("z1") {
			n.Kill()
		}
		return nil
	}, heal: func(b *zoneFixture) error {
		b.setStore("z1", 1, 0, true)
		for _, n := range b.nodesIn("z1") {
			if err := n.Start(); err != nil {
				return err
			}
		}
		return nil
	}},
	{name: "kernels", strike: func(b *zoneFixture) error { b.setKernelsDead("z1", true); return nil },
		heal: func(b *zoneFixture) error {
			b.setStore("z1", 1, 0, true)
			b.setKernelsDead("z1", false)
			return nil
		}},
	{name: "slow", strike: func(b *zoneFixture) error { b.setStore("z1", 0.05, 0, false); return nil },
		heal: func(b *zoneFixture) error {
			b.setStore("z1", 1, 0, true)
			return nil
		}},
}

// cost is what one failure came to.
type cost struct {
	value      float64 // done in time, of what was asked, from the failure to the end
	lastAnswer time.Duration
	// asked of a service below before, over what it bears when warm, in the mean: that of the busiest
	load  float64
	peak  float64
	tries float64
	// from its end until the zone is in and all its nodes are ready; 0: not in the time there was
	recovered time.Duration
	// from its end until half, 95 and 98 in 100 of the value is done for good; -1: not in that time
	service [3]time.Duration
}

// costShares are the shares of full service that are timed.
var costShares = [3]float64{0.5, 0.95, 0.98}

// cost has a failure begin and end, and gives what it came to.
func (b *zoneFixture) cost(c *CallResults, f *zoneFailure, p *costPlan) (out cost, err error) {
	from := time.Now()
	for _, s := range b.stores { // each is judged alone
		out.load = max(out.load, s.Mean(from.Add(-calmSpan)))
	}
	if err = f.strike(b); err != nil {
		return out, err
	}
	b.sleep(p.fails)
	healed := time.Now()
	if err = f.heal(b); err != nil {
		return out, err
	}
	over := p.after
	if f.after > 0 {
		over = f.after
	}
	out.recovered = b.watchReturn(healed, over)
	for _, s := range b.stores { // each is judged alone
		out.peak = max(out.peak, s.Peak(healed))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out.ofCalls(c.Each, from, healed)
	for i, share := range costShares {
		out.service[i] = serviceBack(c.Each, healed, over, share)
	}
	return out, nil
}

// watchReturn looks on for a while after a failure's end, and gives when zone z1 was in with all its nodes ready; 0:
// not in that time.
func (b *zoneFixture) watchReturn(healed time.Time, over time.Duration) (whole time.Duration) {
	for time.Since(healed) < over && b.ctx.Err() == nil {
		b.sleep(20 * time.Millisecond)
		if whole != 0 {
			continue
		}
		ready := true
		for _, n := range b.nodesIn("z1") {
			ready = ready && b.ready.ready(n.name)
		}
		if v, err := b.zoneView("z1"); ready && err == nil && v.Phase == zones.InService {
			whole = time.Since(healed)
		}
	}
	return whole
}

// ofCalls takes from the calls since a failure's begin what callers got, and when the zone that failed answered last.
func (c *cost) ofCalls(each []CallResult, from, healed time.Time) {
	all, good, requests := 0.0, 0.0, 0
	for _, a := range each {
		if a.At.Before(from) {
			continue
		}
		requests++
		c.tries += float64(a.Attempts)
		all += a.Value
		if a.InTime {
			good += a.Value
		}
		if a.At.After(healed) || a.Node == nil {
			continue
		}
		if a.Node.zone == "z1" {
			c.lastAnswer = max(c.lastAnswer, a.At.Sub(from))
		}
	}
	c.value, c.tries = good/max(all, 1), c.tries/float64(max(requests, 1))
}

// serviceSpan is over which done is held to asked: at 180 requests a second one dear request weighs a hundredth of it.
const serviceSpan = 2 * time.Second

// serviceBack gives how long after a moment a share of the value that is asked for is done in time, from there to the
// end; -1 if it is not. A request counts when it ends.
func serviceBack(each []CallResult, since time.Time, over time.Duration, share float64) time.Duration {
	n := int(over / serviceSpan)
	good, all := make([]float64, n), make([]float64, n)
	for _, a := range each {
		if k := int(a.At.Sub(since) / serviceSpan); !a.At.Before(since) && k < n {
			if all[k] += a.Value; a.InTime {
				good[k] += a.Value
			}
		}
	}
	back := n
	for back > 0 && good[back-1] >= share*all[back-1] && all[back-1] > 0 {
		back--
	}
	if back == n {
		return -1
	}
	return time.Duration(back) * serviceSpan
}

// calmSpan is over which the load before a failure is taken.
const calmSpan = 5 * time.Second

// costSeeds is how many seeds a measurement is made with, costFleets how many fleets run at once: they restart in the
// same moments, and where all callers were eager, nine attempts a request, and five fleets had six cores, some of them
// came late or not at all.
const (
	costSeeds  = 3
	costFleets = 4
)

// costRun is one fleet of a measurement: all failures, one after the other.
type costRun struct {
	seed    int64
	variant *costVariant
	out     []cost // by failure
	err     error
}

// costs measures all failures by all ways, each in a fleet of its own, costFleets of them at once.
func (r *ZonesTest) costs(ctx context.Context, rep *report.Report, p *costPlan) error {
	var runs []*costRun
	for seed := r.Seed; seed < r.Seed+costSeeds; seed++ {
		for i := range p.variants {
			runs = append(runs, &costRun{seed: seed, variant: &p.variants[i]})
		}
	}
	var wg sync.WaitGroup
	room := make(chan struct{}, costFleets)
	for _, one := range runs {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			if one.err = ctx.Err(); one.err != nil {
				return
			}
			one.err = withWorkFolder(ctx, &report.Report{}, func(dir string) (err error) {
				one.out, err = r.costsOf(ctx, dir, p, one.seed, one.variant)
				return err
			})
		})
	}
	wg.Wait()
	for _, one := range runs {
		if one.err != nil {
			return one.err
		}
		one.addRows(rep, p)
	}
	return nil
}

// costsOf measures all failures by one way, on a fleet of its own.
func (r *ZonesTest) costsOf(ctx context.Context, dir string, p *costPlan, seed int64, way *costVariant) ([]cost,
	error) {
	mine := *r
	mine.Seed = seed
	b, err := mine.begin(ctx, dir, "fence", way.mode)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	b.HonorRetryAfter, b.RetryAtOnce, b.pace = way.patient, way.eager, way.pace
	load, stop := context.WithCancel(ctx)
	defer stop()
	calls := b.Load(load, zoneRate)
	b.sleep(12 * time.Second)
	if way.mode == "auto" || way.mode == "no-ramp" {
		if err := b.awaitNormal(); err != nil { // the group knows what services bear
			return nil, err
		}
	}
	var costs []cost
	for i := range p.failures {
		out, err := b.cost(calls, &p.failures[i], p)
		if err != nil {
			return nil, fmt.Errorf("seed %d, %s, %s: %w", seed, way.name, p.failures[i].name, err)
		}
		if err := b.ctx.Err(); err != nil {
			return nil, err
		}
		costs = append(costs, out)
	}
	return costs, nil
}

// addRows brings a fleet's costs into the report, and holds the plan's own way to what services below bear.
func (one *costRun) addRows(rep *report.Report, p *costPlan) {
	for i := range one.out {
		failure := p.failures[i].name
		name := fmt.Sprintf("real, %s, seed %d", failure, one.seed)
		rep.Rows = append(rep.Rows, append([]string{name, "9", strconv.Itoa(zoneRate) + "/s", one.variant.name},
			p.row(one.variant, failure, &one.out[i])...))
		if one.variant.name == p.bound && one.out[i].peak > 1 {
			rep.SetBroken("seed %d, %s: a service below was asked for %.2f of what it bears on the way back", one.seed,
				failure,
				one.out[i].peak)
		}
	}
}

// zoneCosts are a zone's failures, with the fleet's decisions and without.
var zoneCosts = costPlan{variants: []costVariant{{name: "the fleet", mode: "auto", eager: true},
	{name: "nodes alone", mode: "off", eager: true}},
	failures: zoneFailures, fails: 8 * time.Second, after: 30 * time.Second, bound: "the fleet",
	row: func(_ *costVariant, _ string, c *cost) []string {
		whole := "-"
		if c.recovered > 0 {
			whole = fmt.Sprintf("%.1f s", c.recovered.Seconds())
		}
		return []string{fmt.Sprintf("%.4f", c.value), fmt.Sprintf("%.1f s", c.lastAnswer.Seconds()), whole,
			fmt.Sprintf("%.2f tries", c.tries),
			fmt.Sprintf("%.2f", c.peak)}
	}}

// recoveryCosts are a restart of all nodes over cold services, and that of one node.
var recoveryCosts = costPlan{variants: []costVariant{{name: "the fleet", mode: "auto"},
	{name: "the fleet, patient callers", mode: "auto", patient: true},
	{name: "the fleet, eager callers", mode: "auto", eager: true},
	{name: "no ramp", mode: "no-ramp"}, {name: "by the clock", mode: "off", pace: 3 * time.Second},
	{name: "nodes alone", mode: "off"}},
	failures: []zoneFailure{{name: "one node restarts", strike: func(*zoneFixture) error { return nil },
		heal: func(b *zoneFixture) error {
			b.nodes[0].Kill()
			return b.nodes[0].Start()
		}, after: 12 * time.Second}, {name: "all nodes restart", strike: func(b *zoneFixture) error {
		for _, n := range b.nodes {
			n.Kill()
		}
		return nil
	}, heal: func(b *zoneFixture) error {
		for _, z := range []string{"z1", "z2", "z3"} {
			b.setStore(z, 1, 0, true)
		}
		for _, n := range b.nodes {
			if err := n.Start(); err != nil {
				return err
			}
			b.sleep(b.pace)
		}
		return nil
	}}}, fails: time.Second, after: 56 * time.Second, bound: "the fleet",
	row: func(_ *costVariant, failure string, c *cost) []string {
		out, best := []string{}, "-"
		// from the start of the processes on; that they take a part of a second is not in it
		if failure == "all nodes restart" {
			best = secondsText(1000 * shortestRecovery(c.load, belowCold, belowFill*belowCost.Seconds()/belowWorkers))
		}
		for _, s := range c.service {
			out = append(out, secondsText(1000*s.Seconds())) // -1 stays below zero: not in the time there was
		}
		return append(out, best, fmt.Sprintf("%.2f", c.peak), fmt.Sprintf("%.2f; %.3f of value", c.tries, c.value))
	}}
