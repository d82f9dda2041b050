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
	inject, heal func(b *zoneFixture) error
	observeFor   time.Duration // in place of the plan's
}

// costVariant is a way to be measured: how its fleet decides, and what its callers and its platform are like.
type costVariant struct {
	name, mode       string
	honorRetryAfter  bool          // callers come back when they are told to
	retryImmediately bool          // callers ask on at once
	startInterval    time.Duration // between the starts of two nodes
}

// costPlan is a measurement.
type costPlan struct {
	variants              []costVariant
	failures              []zoneFailure
	faultTime, observeFor time.Duration // long enough for the failure to show, and for all to be whole again
	formatCells           func(way *costVariant, failure string, c *failureCost) []string
	boundedVariant        string // this way's services below are never asked for more than they bear
}

var zoneFailures = []zoneFailure{
	{name: "dead", inject: func(b *zoneFixture) error {
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
	{name: "kernels", inject: func(b *zoneFixture) error { b.setKernelsDead("z1", true); return nil },
		heal: func(b *zoneFixture) error {
			b.setStore("z1", 1, 0, true)
			b.setKernelsDead("z1", false)
			return nil
		}},
	{name: "slow", inject: func(b *zoneFixture) error { b.setStore("z1", 0.05, 0, false); return nil },
		heal: func(b *zoneFixture) error {
			b.setStore("z1", 1, 0, true)
			return nil
		}},
}

// failureCost is what one failure came to.
type failureCost struct {
	inTimeValueShare float64 // done in time, of what was asked, from the failure to the end
	lastResponse     time.Duration
	// asked of a service below before, over what it bears when warm, in the mean: that of the busiest
	loadBefore         float64
	peakLoad           float64
	attemptsPerRequest float64
	// from its end until the zone is in and all its nodes are ready; 0: not in the time there was
	recoveredAfter time.Duration
	// from its end until half, 95 and 98 in 100 of the value is done for good; -1: not in that time
	serviceRestoredAfter [3]time.Duration
}

// serviceShares are the shares of full service that are timed.
var serviceShares = [3]float64{0.5, 0.95, 0.98}

// measureFailure has a failure begin and end, and gives what it came to.
func (b *zoneFixture) measureFailure(c *CallResults, f *zoneFailure, p *costPlan) (out failureCost, err error) {
	from := time.Now()
	for _, s := range b.stores { // each is judged alone
		out.loadBefore = max(out.loadBefore, s.MeanLoad(from.Add(-baselineSpan)))
	}
	if err = f.inject(b); err != nil {
		return out, err
	}
	b.sleep(p.faultTime)
	healed := time.Now()
	if err = f.heal(b); err != nil {
		return out, err
	}
	observeFor := p.observeFor
	if f.observeFor > 0 {
		observeFor = f.observeFor
	}
	out.recoveredAfter = b.watchRecovery(healed, observeFor)
	for _, s := range b.stores { // each is judged alone
		out.peakLoad = max(out.peakLoad, s.PeakLoad(healed))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out.addCalls(c.Calls, from, healed)
	for i, share := range serviceShares {
		out.serviceRestoredAfter[i] = serviceRestoredAfter(c.Calls, healed, observeFor, share)
	}
	return out, nil
}

// watchRecovery looks on for a while after a failure's end, and gives when zone z1 was in with all its nodes ready; 0:
// not in that time.
func (b *zoneFixture) watchRecovery(healed time.Time, observeFor time.Duration) (recoveredAfter time.Duration) {
	for time.Since(healed) < observeFor && b.ctx.Err() == nil {
		b.sleep(20 * time.Millisecond)
		if recoveredAfter != 0 {
			continue
		}
		ready := true
		for _, n := range b.nodesIn("z1") {
			ready = ready && b.readiness.isReady(n.name)
		}
		if v, err := b.zoneView("z1"); ready && err == nil && v.Phase == zones.InService {
			recoveredAfter = time.Since(healed)
		}
	}
	return recoveredAfter
}

// addCalls takes from the calls since a failure's begin what callers got, and when the zone that failed answered last.
func (c *failureCost) addCalls(calls []CallResult, from, healed time.Time) {
	all, inTime, requests := 0.0, 0.0, 0
	for _, a := range calls {
		if a.EndedAt.Before(from) {
			continue
		}
		requests++
		c.attemptsPerRequest += float64(a.Attempts)
		all += a.Value
		if a.InTime {
			inTime += a.Value
		}
		if a.EndedAt.After(healed) || a.Node == nil {
			continue
		}
		if a.Node.zone == "z1" {
			c.lastResponse = max(c.lastResponse, a.EndedAt.Sub(from))
		}
	}
	c.inTimeValueShare, c.attemptsPerRequest = inTime/max(all, 1), c.attemptsPerRequest/float64(max(requests, 1))
}

// serviceInterval is over which done is held to asked: at 180 requests a second one dear request weighs a hundredth of it.
const serviceInterval = 2 * time.Second

// serviceRestoredAfter gives how long after a moment a share of the value that is asked for is done in time, from there to the
// end; -1 if it is not. A request counts when it ends.
func serviceRestoredAfter(calls []CallResult, since time.Time, observeFor time.Duration, share float64) time.Duration {
	n := int(observeFor / serviceInterval)
	inTime, all := make([]float64, n), make([]float64, n)
	for _, a := range calls {
		if k := int(a.EndedAt.Sub(since) / serviceInterval); !a.EndedAt.Before(since) && k < n {
			if all[k] += a.Value; a.InTime {
				inTime[k] += a.Value
			}
		}
	}
	first := n
	for first > 0 && inTime[first-1] >= share*all[first-1] && all[first-1] > 0 {
		first--
	}
	if first == n {
		return -1
	}
	return time.Duration(first) * serviceInterval
}

// baselineSpan is over which the load before a failure is taken.
const baselineSpan = 5 * time.Second

// costSeeds is how many seeds a measurement is made with, concurrentFleets how many fleets run at once: they restart in the
// same moments, and where all callers were eager, nine attempts a request, and five fleets had six cores, some of them
// came late or not at all.
const (
	costSeeds        = 3
	concurrentFleets = 4
)

// costRun is one fleet of a measurement: all failures, one after the other.
type costRun struct {
	seed    int64
	variant *costVariant
	costs   []failureCost // by failure
	err     error
}

// measureCosts measures all failures by all ways, each in a fleet of its own, concurrentFleets of them at once.
func (r *ZonesTest) measureCosts(ctx context.Context, rep *report.Report, p *costPlan) error {
	var runs []*costRun
	for seed := r.Seed; seed < r.Seed+costSeeds; seed++ {
		for i := range p.variants {
			runs = append(runs, &costRun{seed: seed, variant: &p.variants[i]})
		}
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, concurrentFleets)
	for _, run := range runs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if run.err = ctx.Err(); run.err != nil {
				return
			}
			run.err = withWorkFolder(ctx, &report.Report{}, func(dir string) (err error) {
				run.costs, err = r.measureFleet(ctx, dir, p, run.seed, run.variant)
				return err
			})
		})
	}
	wg.Wait()
	for _, run := range runs {
		if run.err != nil {
			return run.err
		}
		run.addRows(rep, p)
	}
	return nil
}

// measureFleet measures all failures by one way, on a fleet of its own.
func (r *ZonesTest) measureFleet(ctx context.Context, dir string, p *costPlan, seed int64, variant *costVariant) ([]failureCost,
	error) {
	test := *r
	test.Seed = seed
	b, err := test.startFixture(ctx, dir, "fence", variant.mode)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	b.HonorRetryAfter, b.RetryImmediately, b.startInterval = variant.honorRetryAfter, variant.retryImmediately, variant.startInterval
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	calls := b.Load(loadCtx, zoneRate)
	b.sleep(12 * time.Second)
	if variant.mode == "auto" || variant.mode == "no-ramp" {
		if err := b.awaitCapacityKnown(); err != nil { // the group knows what services bear
			return nil, err
		}
	}
	var costs []failureCost
	for i := range p.failures {
		out, err := b.measureFailure(calls, &p.failures[i], p)
		if err != nil {
			return nil, fmt.Errorf("seed %d, %s, %s: %w", seed, variant.name, p.failures[i].name, err)
		}
		if err := b.ctx.Err(); err != nil {
			return nil, err
		}
		costs = append(costs, out)
	}
	return costs, nil
}

// addRows brings a fleet's costs into the report, and holds the plan's own way to what services below bear.
func (run *costRun) addRows(rep *report.Report, p *costPlan) {
	for i := range run.costs {
		failure := p.failures[i].name
		name := fmt.Sprintf("real, %s, seed %d", failure, run.seed)
		rep.Rows = append(rep.Rows, append([]string{name, "9", strconv.Itoa(zoneRate) + "/s", run.variant.name},
			p.formatCells(run.variant, failure, &run.costs[i])...))
		if run.variant.name == p.boundedVariant && run.costs[i].peakLoad > 1 {
			rep.Break("seed %d, %s: a service below was asked for %.2f of what it bears on the way back", run.seed,
				failure,
				run.costs[i].peakLoad)
		}
	}
}

// zoneCosts are a zone's failures, with the fleet's decisions and without.
var zoneCosts = costPlan{variants: []costVariant{{name: "the fleet", mode: "auto", retryImmediately: true},
	{name: "nodes alone", mode: "off", retryImmediately: true}},
	failures: zoneFailures, faultTime: 8 * time.Second, observeFor: 30 * time.Second, boundedVariant: "the fleet",
	formatCells: func(_ *costVariant, _ string, c *failureCost) []string {
		recovered := "-"
		if c.recoveredAfter > 0 {
			recovered = fmt.Sprintf("%.1f s", c.recoveredAfter.Seconds())
		}
		return []string{fmt.Sprintf("%.4f", c.inTimeValueShare), fmt.Sprintf("%.1f s", c.lastResponse.Seconds()), recovered,
			fmt.Sprintf("%.2f tries", c.attemptsPerRequest),
			fmt.Sprintf("%.2f", c.peakLoad)}
	}}

// recoveryCosts are a restart of all nodes over cold services, and that of one node.
var recoveryCosts = costPlan{variants: []costVariant{{name: "the fleet", mode: "auto"},
	{name: "the fleet, patient callers", mode: "auto", honorRetryAfter: true},
	{name: "the fleet, eager callers", mode: "auto", retryImmediately: true},
	{name: "no ramp", mode: "no-ramp"}, {name: "by the clock", mode: "off", startInterval: 3 * time.Second},
	{name: "nodes alone", mode: "off"}},
	failures: []zoneFailure{{name: "one node restarts", inject: func(*zoneFixture) error { return nil },
		heal: func(b *zoneFixture) error {
			b.nodes[0].Kill()
			return b.nodes[0].Start()
		}, observeFor: 12 * time.Second}, {name: "all nodes restart", inject: func(b *zoneFixture) error {
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
			b.sleep(b.startInterval)
		}
		return nil
	}}}, faultTime: time.Second, observeFor: 56 * time.Second, boundedVariant: "the fleet",
	formatCells: func(_ *costVariant, failure string, c *failureCost) []string {
		out, lowerBound := []string{}, "-"
		// from the start of the processes on; that they take a part of a second is not in it
		if failure == "all nodes restart" {
			lowerBound = secondsText(1000 * shortestRecovery(c.loadBefore, storeColdFactor, storeWarmUpCalls*storeCallTime.Seconds()/storeWorkers))
		}
		for _, s := range c.serviceRestoredAfter {
			out = append(out, secondsText(1000*s.Seconds())) // -1 stays below zero: not in the time there was
		}
		return append(out, lowerBound, fmt.Sprintf("%.2f", c.peakLoad), fmt.Sprintf("%.2f; %.3f of value", c.attemptsPerRequest, c.inTimeValueShare))
	}}
