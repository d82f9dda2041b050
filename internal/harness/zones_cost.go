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

// This file measures the cost of failures to callers on processes: the same failures in turn, in fleets under the
// same load, for several variants of the fleet.

// zoneFailure is a failure that is injected and removed.
type zoneFailure struct {
	name         string
	inject, heal func(b *zoneFixture) error
	observeFor   time.Duration // 0: the plan's
}

// costVariant is a variant of the fleet: its zones' mode of decision, its callers and its platform.
type costVariant struct {
	name, mode       string
	honorRetryAfter  bool          // callers wait for Retry-After
	retryImmediately bool          // callers retry without backoff
	startInterval    time.Duration // between the starts of two nodes
}

// costPlan is a measurement of all failures under all variants.
type costPlan struct {
	variants              []costVariant
	failures              []zoneFailure
	faultTime, observeFor time.Duration // how long a failure lasts, and is observed after its end
	formatCells           func(variant *costVariant, failure string, c *failureCost) []string
	boundedVariant        string // name of the variant whose stores may not be overloaded
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
	{name: "kernels", inject: func(b *zoneFixture) error { b.setKernelsDown("z1", true); return nil },
		heal: func(b *zoneFixture) error {
			b.setStore("z1", 1, 0, true)
			b.setKernelsDown("z1", false)
			return nil
		}},
	{name: "slow", inject: func(b *zoneFixture) error { b.setStore("z1", 0.05, 0, false); return nil },
		heal: func(b *zoneFixture) error {
			b.setStore("z1", 1, 0, true)
			return nil
		}},
}

// failureCost is the measured cost of one failure.
type failureCost struct {
	inTimeValueShare float64 // fraction of value completed in time, from the failure to the end of the observation
	lastResponse     time.Duration
	// mean load over warm capacity before the failure, of the busiest store
	loadBefore         float64
	peakLoad           float64
	attemptsPerRequest float64
	// from the failure's end until the zone is in service with all its nodes ready; 0: not while observed
	recoveredAfter time.Duration
	// from the failure's end until serviceShares of value are completed for good; -1: not while observed
	serviceRestoredAfter [3]time.Duration
}

// serviceShares are the fractions of value completed in time for which the recovery is timed.
var serviceShares = [3]float64{0.5, 0.95, 0.98}

// measureFailure injects a failure, removes it and returns its cost.
func (b *zoneFixture) measureFailure(c *CallResults, f *zoneFailure, p *costPlan) (out failureCost, err error) {
	from := time.Now()
	for _, s := range b.stores {
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
	for _, s := range b.stores {
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

// watchRecovery observes the fleet for a time after a failure's end. It returns the time until zone z1 was in
// service with all its nodes ready; 0 if it never was.
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

// addCalls derives from the calls since the failure's begin the value completed in time, the attempts per request
// and the last response of the failed zone.
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

// serviceInterval is the interval over which completed and offered value are compared: long enough at 180 requests
// per second that one request of the highest value weighs a hundredth of it.
const serviceInterval = 2 * time.Second

// serviceRestoredAfter returns the time from since until a fraction of the offered value is completed in time in all
// later intervals; -1 if there is none. A call counts at its end.
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

// baselineSpan is the time before a failure over which the load is measured.
const baselineSpan = 5 * time.Second

// costSeeds is the number of seeds of a measurement, concurrentFleets the number of fleets that run in parallel.
// More fleets delay each other's nodes when they restart at the same time.
const (
	costSeeds        = 3
	concurrentFleets = 4
)

// costRun is one fleet of a measurement, in which all failures occur in turn.
type costRun struct {
	seed    int64
	variant *costVariant
	costs   []failureCost // by index of the failure
	err     error
}

// measureCosts measures all failures under all variants, each variant and seed in a fleet of its own.
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

// measureFleet measures all failures under one variant, in a fleet of its own.
func (r *ZonesTest) measureFleet(ctx context.Context, dir string, p *costPlan, seed int64,
	variant *costVariant) ([]failureCost, error) {
	test := *r
	test.Seed = seed
	b, err := test.startFixture(ctx, dir, "fence", variant.mode)
	if err != nil {
		return nil, err
	}
	defer b.Close()
	b.HonorRetryAfter, b.RetryImmediately, b.startInterval = variant.honorRetryAfter, variant.retryImmediately,
		variant.startInterval
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	calls := b.Load(loadCtx, zoneRate)
	b.sleep(12 * time.Second)
	if variant.mode == "auto" || variant.mode == "no-ramp" {
		if err := b.awaitCapacityKnown(); err != nil {
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

// addRows adds a fleet's costs to the report, and checks that the stores of the bounded variant were not overloaded.
func (run *costRun) addRows(rep *report.Report, p *costPlan) {
	for i := range run.costs {
		failure := p.failures[i].name
		name := fmt.Sprintf("real, %s, seed %d", failure, run.seed)
		rep.Rows = append(rep.Rows, append([]string{name, "9", strconv.Itoa(zoneRate) + "/s", run.variant.name},
			p.formatCells(run.variant, failure, &run.costs[i])...))
		if run.variant.name == p.boundedVariant && run.costs[i].peakLoad > 1 {
			rep.SetBroken(
				"seed %d, %s: peak load of a store is %.2f of its capacity during the recovery, want at most 1",
				run.seed, failure, run.costs[i].peakLoad)
		}
	}
}

// zoneCosts measures failures of a zone, with the fleet's decisions and without.
var zoneCosts = costPlan{variants: []costVariant{{name: "the fleet", mode: "auto", retryImmediately: true},
	{name: "nodes alone", mode: "off", retryImmediately: true}},
	failures: zoneFailures, faultTime: 8 * time.Second, observeFor: 30 * time.Second, boundedVariant: "the fleet",
	formatCells: func(_ *costVariant, _ string, c *failureCost) []string {
		recovered := "-"
		if c.recoveredAfter > 0 {
			recovered = fmt.Sprintf("%.1f s", c.recoveredAfter.Seconds())
		}
		return []string{fmt.Sprintf("%.4f", c.inTimeValueShare), fmt.Sprintf("%.1f s", c.lastResponse.Seconds()),
			recovered, fmt.Sprintf("%.2f tries", c.attemptsPerRequest),
			fmt.Sprintf("%.2f", c.peakLoad)}
	}}

// recoveryCosts measures a restart of all nodes with cold stores, and one of a single node.
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
		// counts from the start of the processes, without the part of a second that they take to start
		if failure == "all nodes restart" {
			lowerBound = secondsText(1000 * shortestRecovery(c.loadBefore, storeColdFactor,
				storeWarmUpCalls*storeCallTime.Seconds()/storeWorkers))
		}
		for _, s := range c.serviceRestoredAfter {
			out = append(out, secondsText(1000*s.Seconds())) // negative: not while observed
		}
		return append(out, lowerBound, fmt.Sprintf("%.2f", c.peakLoad),
			fmt.Sprintf("%.2f; %.3f of value", c.attemptsPerRequest, c.inTimeValueShare))
	}}
