package harness

// This file has what a case of zones on processes is written with.

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

// zoneFixture is a fleet under load, for cases about zones.
type zoneFixture struct {
	*policyFixture
	out           io.Writer
	mayEvacuate   map[string]bool // zones that the case at hand has a reason to leave
	startInterval time.Duration   // of the platform, between the starts of two nodes
	firstEpoch    uint64          // at the begin of the case: an instance that starts again logs what came before anew
}

// startFixture starts a fleet whose policy leaves zones by itself.
func (r *ZonesTest) startFixture(ctx context.Context, dir, alone, mode string) (*zoneFixture, error) {
	smallStart := "yes"
	if mode == "no-ramp" {
		mode, smallStart = "auto", "no"
	}
	extra := fmt.Sprintf("[zones]\ndecide = %s\nfirst = 0.125\nhold = 500ms\nkeep = 2s\nmax_wait = 4s\n"+
		"small_start = %s\n", mode, smallStart)
	b, err := newPolicyFixture(ctx, FleetProcessesConfig{Program: r.Program, Dir: dir, Seed: r.Seed,
		Nodes: cmp.Or(r.Size, defaultFleetSize), DisabledGuards: r.ProcessGuards, WithStores: true}, alone, extra)
	if err != nil {
		return nil, err
	}
	return &zoneFixture{policyFixture: b, mayEvacuate: map[string]bool{}}, nil
}

// zoneView gives a zone as the leader shows it.
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
	return nil, fmt.Errorf("zone %s is not known", name)
}

// awaitPhase waits until a zone is at one of some steps.
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
		return fmt.Errorf("zone %s is %s at %d (%s)%s, expected %v", name, v.Phase, v.Share, v.Cause, evidence, phases)
	})
	return v, err
}

// awaitInService waits until a zone is in again and all its nodes serve.
func (b *zoneFixture) awaitInService(name string) error {
	if v, err := b.awaitPhase(name, 150*time.Second, zones.InService); err != nil {
		if v != nil {
			fmt.Fprintf(b.out, "%+v\n", *v)
		}
		return err
	}
	return b.AwaitAllServing(b.committedVersion, 60*time.Second)
}

// checkNoEvacuation holds the fleet to leaving no zone for a while.
func (b *zoneFixture) checkNoEvacuation(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, z := range allZones {
			if v, err := b.zoneView(z); err == nil && v.Phase != zones.InService {
				return fmt.Errorf("zone %s was left: %v", z, v.Events[len(v.Events)-1].Text)
			}
		}
	}
	return nil
}

// submitOp has an operator do something about a zone.
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

func (b *zoneFixture) setKernelsDead(zone string, dead bool) {
	for _, n := range b.nodesIn(zone) {
		n.kernel.SetDown(dead)
	}
}

// setStore changes a zone's service below; one that comes back from a trouble is cold.
func (b *zoneFixture) setStore(zone string, speed, fails float64, cold bool) {
	b.stores[zone].Update(func(s, w, f *float64) {
		if *s, *f = speed, fails; cold {
			*w = 0
		}
	})
}

var allZones = []string{"z1", "z2", "z3"}

// awaitEvacuation waits until a zone is left, or at one of some other steps; returns until it comes back.
func (b *zoneFixture) awaitEvacuation(name string, phases ...zones.Phase) *consensus.ZoneView {
	return mustGet(b.awaitPhase(name, 25*time.Second, append(phases, zones.Evacuating, zones.Evacuated)...))
}

func (b *zoneFixture) awaitRamp(name string) *consensus.ZoneView {
	return mustGet(b.awaitPhase(name, 30*time.Second, zones.Ramping, zones.InService))
}

// startNodes starts nodes, one each pace.
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

// restartLeader kills the leader and starts it again.
func (b *zoneFixture) restartLeader() { b.mustStart(mustGet(b.killLeader())) }

// checkStoreLoad holds a zone's service below to what it bears, since a time.
func (b *zoneFixture) checkStoreLoad(zone string, since time.Time) error {
	peak := b.stores[zone].PeakLoad(since)
	fmt.Fprintf(b.out, "  below %s: asked for %.2f of what it bears at most on the way back\n", zone, peak)
	if peak > 1.0 {
		return fmt.Errorf("the service below %s was asked for %.2f of what it bears", zone, peak)
	}
	return nil
}

// printDecisions writes what was decided, for a case that broke.
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

// awaitCapacityKnown waits until the group knows what each zone's services bear.
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
				return fmt.Errorf("zone %s is %s, bore %.0f runs a second: %+v", z, v.Phase, v.Capacity.RunRate,
					v.Evidence)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}
