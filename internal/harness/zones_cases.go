package harness

// This file has the zone cases on processes.

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"umberwinch/internal/control/zones"
)

// zoneCase is one case: a fault and the decision about a zone that has to follow, or must not.
type zoneCase struct {
	name        string
	mayEvacuate []string // zones that the fault is a reason to evacuate
	run         func(b *zoneFixture)
	long        bool
}

var zoneCases = []zoneCase{
	// All nodes of a zone are killed, and the zone is evacuated; its store loses its cache. The nodes restart, and
	// the zone returns by a ramp that never overloads the store.
	{name: "a zone dead at once, and back cold", mayEvacuate: []string{"z2"}, run: func(b *zoneFixture) {
		b.killNodes(b.nodesIn("z2")...)
		b.awaitEvacuation("z2")
		b.setStore("z2", 1, 0, true)
		since := time.Now()
		b.startNodes(0, b.nodesIn("z2")...)
		must(b.awaitInService("z2"))
		must(b.checkStoreLoad("z2", since))
	}},
	// The kernels of a zone fail while its nodes run. The zone is evacuated, and returns once the kernels do.
	{name: "its kernels dead, its nodes well", mayEvacuate: []string{"z1"}, run: func(b *zoneFixture) {
		b.setKernelsDown("z1", true)
		b.awaitEvacuation("z1")
		b.setKernelsDown("z1", false)
		must(b.awaitInService("z1"))
	}},
	// A zone's store slows down to a twentieth. The zone is evacuated, and returns without overloading the store
	// once that is fast again.
	{name: "its service below at a twentieth of its speed", mayEvacuate: []string{"z3"}, run: func(b *zoneFixture) {
		b.setStore("z3", 0.05, 0, false)
		b.awaitEvacuation("z3")
		b.setStore("z3", 1, 0, false) // the cache stays warm: a cold one, as in the first case, takes twice as long
		since := time.Now()
		must(b.awaitInService("z3"))
		must(b.checkStoreLoad("z3", since.Add(time.Second)))
	}},
	// One node of a zone has a failed kernel. That is no reason to evacuate the zone.
	{name: "one bad node, and the zone stays", run: func(b *zoneFixture) {
		n := b.nodesIn("z1")[0]
		n.kernel.SetDown(true)
		defer n.kernel.SetDown(false)
		must(b.checkNoEvacuation(5 * time.Second))
	}},
	// The stores of all zones are slow. Evacuating a zone would not help, and none is evacuated.
	{name: "all services slow for a common cause, and nobody leaves", run: func(b *zoneFixture) {
		for _, z := range allZones {
			b.setStore(z, 0.1, 0, false)
		}
		must(b.checkNoEvacuation(6 * time.Second))
		for _, z := range allZones {
			b.setStore(z, 1, 0, false)
		}
		must(b.checkNoEvacuation(3 * time.Second))
	}},
	// A zone is cut off from its callers but not from the group. Its nodes report that they are healthy, and the
	// zone stays in service.
	{name: "cut off from its callers alone, and it stays", run: func(b *zoneFixture) {
		for _, n := range b.nodesIn("z1") {
			b.group.forwarders.set("callers", n.name, linkFault{cut: true})
		}
		must(b.checkNoEvacuation(5 * time.Second))
	}},
	// A zone is cut off from the group. Its nodes are fenced as their leases end, and the zone is evacuated for that
	// cause; it returns once it is connected.
	{name: "cut off from the group, and fenced", mayEvacuate: []string{"z2"}, run: func(b *zoneFixture) {
		b.partitionFromGroup(b.nodesIn("z2")...)
		v := b.awaitEvacuation("z2")
		b.heal()
		if v.Cause != "cut off" {
			must(fmt.Errorf("zone z2: evacuated for %q, want \"cut off\"", v.Cause))
		}
		must(b.awaitInService("z2"))
	}},
	// The group's responses to a zone are lost, while its heartbeats arrive. Whether or not the zone is evacuated,
	// it is in service again once the link has no fault.
	{name: "answers lost one way between it and the group", long: true, mayEvacuate: []string{"z3"},
		run: func(b *zoneFixture) {
			b.setLinkFault(linkFault{dropReplies: true}, b.nodesIn("z3")...)
			b.awaitEvacuation("z3", zones.InService)
			time.Sleep(b.lease)
			b.heal()
			must(b.awaitInService("z3"))
		}},
	// Two of three zones fail, and both are evacuated. The last one stays in service, even if an operator asks to
	// evacuate it. Then both return.
	{name: "two of three, and the last one stays", mayEvacuate: allZones, run: func(b *zoneFixture) {
		for _, z := range []string{"z1", "z2"} {
			b.setKernelsDown(z, true)
		}
		b.awaitEvacuation("z1")
		b.awaitEvacuation("z2")
		if v, err := b.zoneView("z3"); err == nil && v.Phase != zones.InService {
			must(fmt.Errorf("zone z3, the last one in service, is %s, want it in service", v.Phase))
		}
		if b.submitOp(zones.Op{Kind: zones.OpEvacuate, Zone: "z3"}) == nil {
			must(errors.New("an operator could evacuate zone z3, the last one in service"))
		}
		for _, z := range []string{"z1", "z2"} {
			b.setKernelsDown(z, false)
		}
		must(errors.Join(b.awaitInService("z1"), b.awaitInService("z2")))
	}},
	// The leader is killed as a zone fails, and again during the zone's ramp. The next leader evacuates the zone,
	// and continues the ramp from the same share.
	{name: "the leader lost as it fails, and again on the way back", mayEvacuate: []string{"z1"},
		run: func(b *zoneFixture) {
			b.setKernelsDown("z1", true)
			b.restartLeader()
			b.awaitEvacuation("z1")
			b.setKernelsDown("z1", false)
			before := b.awaitRamp("z1")
			b.restartLeader()
			after := b.awaitRamp("z1")
			if after.Epoch < before.Epoch || after.Phase == zones.Ramping && after.Share < before.Share &&
				after.Cause == before.Cause {
				must(fmt.Errorf("zone z1 under the new leader: epoch %d, share %d, want at least epoch %d, share %d",
					after.Epoch, after.Share, before.Epoch, before.Share))
			}
			must(b.awaitInService("z1"))
		}},
	// A zone fails, and fails again during its ramp. It counts as flapping, so that it waits longer, and returns in
	// the end.
	{name: "fails again on its way back", long: true, mayEvacuate: []string{"z2"}, run: func(b *zoneFixture) {
		for i := range 2 {
			b.setKernelsDown("z2", true)
			b.awaitEvacuation("z2")
			if b.setKernelsDown("z2", false); i == 0 {
				mustGet(b.awaitPhase("z2", 30*time.Second, zones.Ramping))
			}
		}
		if mustGet(b.zoneView("z2")).FlapCount == 0 {
			must(errors.New("zone z2: flap count 0 after a second failure, want it above 0"))
		}
		must(b.awaitInService("z2"))
	}},
	// A zone's store begins to fail during the zone's ramp. The ramp steps back, and the zone returns once the store
	// is healthy.
	{name: "its service below fails in the middle of the return", mayEvacuate: []string{"z3"},
		run: func(b *zoneFixture) {
			must(b.submitOp(zones.Op{Kind: zones.OpEvacuate, Zone: "z3", DrillMS: 1500}))
			mustGet(b.awaitPhase("z3", 20*time.Second, zones.Ramping))
			b.setStore("z3", 1, 0.9, false)
			must(b.await(12*time.Second, func() error {
				v, err := b.zoneView("z3")
				if err != nil {
					return err
				}
				for _, e := range v.Events {
					if strings.HasPrefix(e.Text, "back") {
						return nil
					}
				}
				return fmt.Errorf("zone z3 is %s at share %d and took no step back", v.Phase, v.Share)
			}))
			b.setStore("z3", 1, 0, false)
			must(b.awaitInService("z3"))
		}},
	// The nodes of a zone are restarted in turn during the zone's ramp, as in a release. The zone returns.
	{name: "a release on its way back", mayEvacuate: []string{"z1"}, run: func(b *zoneFixture) {
		must(b.submitOp(zones.Op{Kind: zones.OpEvacuate, Zone: "z1", DrillMS: 1000}))
		mustGet(b.awaitPhase("z1", 20*time.Second, zones.Ramping))
		for _, n := range b.nodesIn("z1") {
			n.Kill()
			b.startNodes(300*time.Millisecond, n)
		}
		must(b.awaitInService("z1"))
	}},
	// Heartbeats of half of the nodes are late, alternately of one half and of the other. No zone is evacuated.
	{name: "half of the nodes unheard, and the zones stay", run: func(b *zoneFixture) {
		for i := range 8 {
			for k, n := range b.nodes {
				f := linkFault{}
				if (i+k)%2 == 0 {
					f.delay = 900 * time.Millisecond
				}
				b.setLinkFault(f, n)
			}
			must(b.checkNoEvacuation(600 * time.Millisecond))
		}
	}},
	// One of a zone's three nodes reports wrongly that its kernel is down. The zone stays in service.
	{name: "one node in three lies, and the zone stays", run: func(b *zoneFixture) {
		b.setLinkFault(linkFault{replace: [2]string{`"kernel":true`, `"kernel":null`}}, b.nodesIn("z2")[0])
		must(b.checkNoEvacuation(5 * time.Second))
	}},
	// A zone is evacuated, and its failure ends while the group has no leader. Its nodes may not serve until a
	// leader says so; then the zone returns.
	{name: "it is well again while nobody leads", mayEvacuate: []string{"z1"}, run: func(b *zoneFixture) {
		b.setKernelsDown("z1", true)
		mustGet(b.awaitPhase("z1", 15*time.Second, zones.Evacuated))
		b.forEachButFirst(b.group.kill)
		b.setKernelsDown("z1", false)
		time.Sleep(b.lease)
		for _, n := range b.nodesIn("z1") {
			if status, _, _ := b.sendOne(n.name); status == http.StatusOK {
				must(fmt.Errorf("node %s of the evacuated zone z1: status %d without a leader, want a rejection",
					n.name, status))
			}
		}
		b.forEachButFirst(b.mustStart)
		must(b.awaitInService("z1"))
	}},
	// An operator evacuates a zone as a drill: its nodes reject all requests, and it returns without a further
	// command. Then the operator holds the zone: while the hold lasts, it stays in service though it fails.
	{name: "a drill, and an operator's hold", mayEvacuate: []string{"z2"}, run: func(b *zoneFixture) {
		must(b.submitOp(zones.Op{Kind: zones.OpEvacuate, Zone: "z2", DrillMS: 2000, Reason: "a drill"}))
		mustGet(b.awaitPhase("z2", 10*time.Second, zones.Evacuated))
		for _, n := range b.nodesIn("z2") {
			if status, _, _ := b.sendOne(n.name); status != http.StatusServiceUnavailable {
				must(fmt.Errorf("node %s of the evacuated zone z2: status %d, want %d", n.name, status,
					http.StatusServiceUnavailable))
			}
		}
		must(b.awaitInService("z2"))
		must(b.submitOp(zones.Op{Kind: zones.OpHold, Zone: "z2", WaitMS: 4000}))
		b.setKernelsDown("z2", true)
		must(b.checkNoEvacuation(3 * time.Second))
		b.setKernelsDown("z2", false)
		b.mayEvacuate["z2"] = true
		time.Sleep(1500 * time.Millisecond)
		must(b.awaitInService("z2"))
	}},
}

// ZoneCases returns the names of the cases, and OnlyCosts.
func ZoneCases() (names []string) {
	names = append(names, OnlyCosts)
	for _, c := range zoneCases {
		names = append(names, c.name)
	}
	return names
}

func (r *ZonesTest) allCases() []zoneCase {
	if r.cases != nil {
		return r.cases
	}
	return zoneCases
}
