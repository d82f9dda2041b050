package harness

// This file has the fixture of the zone and recovery cases on processes.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/zones"
)

// zoneFixture is a fleet under load whose policy decides on zones.
type zoneFixture struct {
	*policyFixture
	out           io.Writer
	mayEvacuate   map[string]bool // zones that the current case has a reason to evacuate
	startInterval time.Duration   // between the starts of two nodes
	firstEpoch    uint64          // at the start of the case: a restarted instance logs earlier epochs again
}

// startFixture starts a fleet whose policy decides on zones in a mode: auto, off, or no-ramp for auto without a cold
// start.
func (r *ZonesTest) startFixture(ctx context.Context, dir, whenAlone, mode string) (*zoneFixture, error) {
	smallStart := "yes"
	if mode == "no-ramp" {
		mode, smallStart = "auto", "no"
	}
	extra := fmt.Sprintf("[zones]\ndecide = %s\nfirst = 0.125\nhold = 500ms\nkeep = 2s\nmax_wait = 4s\n"+
		"small_start = %s\n", mode, smallStart)
	b, err := newPolicyFixture(ctx, FleetProcessesConfig{Program: r.Program, Dir: dir, Seed: r.Seed,
		Nodes: cmp.Or(r.Size, defaultFleetSize), DisabledGuards: r.DisabledProcessGuards, WithStores: true}, whenAlone,
		extra)
	if err != nil {
		return nil, err
	}
	return &zoneFixture{policyFixture: b, mayEvacuate: map[string]bool{}}, nil
}

// zoneView returns the leader's view of a zone.
func (b *zoneFixture) zoneView(name string) (*consensus.ZoneView, error) {
	var v consensus.ZonesView
	if _, err := b.requestAny(http.MethodGet, "/v1/zones", nil, &v); err != nil {
		return nil, err
	}
	if !v.IsLeader {
		return nil, errors.New("no leader answered")
	}
	for i := range v.Zones {
		if v.Zones[i].Name == name {
			return &v.Zones[i], nil
		}
	}
	return nil, fmt.Errorf("the group has no zone %s", name)
}

// awaitPhase waits until a zone is in one of the given phases.
func (b *zoneFixture) awaitPhase(name string, within time.Duration, phases ...zones.Phase) (v *consensus.ZoneView,
	err error) {
	err = b.await(within, func() error {
		if v, err = b.zoneView(name); err != nil {
			return err
		}
		for _, s := range phases {
			if v.Phase == s {
				return nil
			}
		}
		evidence := ""
		if v.Evidence != nil {
			evidence = fmt.Sprintf("; %+v", *v.Evidence)
		}
		return fmt.Errorf("zone %s is %s at share %d (%s)%s, want %v", name, v.Phase, v.Share, v.Cause, evidence,
			phases)
	})
	return v, err
}

// awaitInService waits until a zone is in service and all running nodes serve.
func (b *zoneFixture) awaitInService(name string) error {
	if v, err := b.awaitPhase(name, 150*time.Second, zones.InService); err != nil {
		if v != nil {
			fmt.Fprintf(b.out, "%+v\n", *v)
		}
		return err
	}
	return b.AwaitAllServing(b.committedVersion, 60*time.Second)
}

// checkNoEvacuation checks for a time that all zones stay in service.
func (b *zoneFixture) checkNoEvacuation(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, z := range allZones {
			if v, err := b.zoneView(z); err == nil && v.Phase != zones.InService {
				return fmt.Errorf("zone %s is %s (%v), want it in service", z, v.Phase, v.Events[len(v.Events)-1].Text)
			}
		}
	}
	return nil
}

// submitOp submits an operation on a zone as an operator.
func (b *zoneFixture) submitOp(op zones.Op) error {
	b.lastOpNumber++
	op.Operator, op.IdempotencyKey = "lab", fmt.Sprintf("rig-%d-%08d", b.Seed, b.lastOpNumber)
	var res struct {
		Error string `json:"error"`
	}
	return b.await(5*time.Second, func() error {
		code, err := b.requestAny(http.MethodPost, "/v1/zones", op, &res)
		if err == nil && code != http.StatusOK {
			err = errors.New(res.Error)
		}
		return err
	})
}

func (b *zoneFixture) setKernelsDown(zone string, down bool) {
	for _, n := range b.nodesIn(zone) {
		n.kernel.SetDown(down)
	}
}

// setStore sets the speed and error rate of a zone's store, and empties its cache if cold.
func (b *zoneFixture) setStore(zone string, speed, errorRate float64, cold bool) {
	b.stores[zone].Update(func(storeSpeed, warmth, storeErrorRate *float64) {
		if *storeSpeed, *storeErrorRate = speed, errorRate; cold {
			*warmth = 0
		}
	})
}

var allZones = []string{"z1", "z2", "z3"}

// awaitEvacuation waits until a zone is evacuating, evacuated or in one of the other given phases.
func (b *zoneFixture) awaitEvacuation(name string, phases ...zones.Phase) *consensus.ZoneView {
	return mustGet(b.awaitPhase(name, 25*time.Second, append(phases, zones.Evacuating, zones.Evacuated)...))
}

// awaitRamp waits until a zone is ramping or in service.
func (b *zoneFixture) awaitRamp(name string) *consensus.ZoneView {
	return mustGet(b.awaitPhase(name, 30*time.Second, zones.Ramping, zones.InService))
}

// startNodes starts nodes with a pause after each.
func (b *zoneFixture) startNodes(pace time.Duration, nodes ...*nodeProcess) {
	for _, n := range nodes {
		must(n.Start())
		time.Sleep(pace)
	}
}

func (b *zoneFixture) killNodes(nodes ...*nodeProcess) {
	for _, n := range nodes {
		n.Kill()
	}
}

// restartLeader kills the leader and restarts it.
func (b *zoneFixture) restartLeader() { b.mustStart(mustGet(b.killLeader())) }

// checkStoreLoad checks that a zone's store was not overloaded since a time.
func (b *zoneFixture) checkStoreLoad(zone string, since time.Time) error {
	peak := b.stores[zone].PeakLoad(since)
	fmt.Fprintf(b.out, "  store of zone %s: peak load %.2f of its capacity during the recovery\n", zone, peak)
	if peak > 1.0 {
		return fmt.Errorf("store of zone %s: peak load %.2f of its capacity, want at most 1", zone, peak)
	}
	return nil
}

// printDecisions prints the group's decisions about zones, after a violation.
func (b *zoneFixture) printDecisions(w io.Writer) {
	var v consensus.ZonesView
	if _, err := b.requestAny(http.MethodGet, "/v1/zones", nil, &v); err != nil {
		return
	}
	for _, z := range v.Zones {
		for _, e := range z.Events {
			fmt.Fprintf(w, "  %8d ms, epoch %d, %s: %s\n", e.ClockMS, e.Epoch, z.Name, e.Text)
		}
	}
}

// awaitCapacityKnown waits until every zone is in service and healthy, and the group has observed its capacity.
func (b *zoneFixture) awaitCapacityKnown() error {
	for _, z := range allZones {
		if err := b.await(60*time.Second, func() error {
			v, err := b.zoneView(z)
			switch {
			case err != nil:
				return err
			case v.Capacity.RunRate == 0 || v.Evidence != nil && v.Capacity.RunRate < 0.7*v.Evidence.RunRate ||
				v.Evidence == nil || v.Evidence.NodesUnhealthy > 0 || v.Evidence.FailureScore > 0 ||
				v.Phase != zones.InService:
				return fmt.Errorf("zone %s is %s, observed capacity %.0f runs/s, want it in service and healthy "+
					"with a known capacity: %+v", z, v.Phase, v.Capacity.RunRate, v.Evidence)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}
