package harness

// This file has the cases of zones on processes.

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"umberwinch/internal/control/zones"
)

// zoneCase is one hard case on processes.
type zoneCase struct {
	name        string
	mayEvacuate []string // zones that there is a reason to leave
	run         func(b *zoneFixture)
	long        bool
}

var zoneCases = []zoneCase{
	// All nodes of a zone are killed. The zone is evacuated; its service below loses its cache. The nodes start, and
	// the zone comes back by a ramp that never asks the service for more than it bears.
	{name: "a zone dead at once, and back cold", mayEvacuate: []string{"z2"}, run: func(b *zoneFixture) {
		b.killNodes(b.nodesIn("z2")...)
		b.awaitEvacuation("z2")
		b.setStore("z2", 1, 0, true)
		since := time.Now()
		b.startNodes(0, b.nodesIn("z2")...)
		must(b.awaitInService("z2"))
		must(b.checkStoreLoad("z2", since))
	}},
	// The kernels of a zone die and its nodes go on. The zone is evacuated, and comes back once the kernels do.
	{name: "its kernels dead, its nodes well", mayEvacuate: []string{"z1"}, run: func(b *zoneFixture) {
		b.setKernelsDead("z1", true)
		b.awaitEvacuation("z1")
		b.setKernelsDead("z1", false)
		must(b.awaitInService("z1"))
	}},
	// A zone's service below falls to a twentieth of its speed. The zone is evacuated, and comes back within what the
	// service bears once that is fast again.
	{name: "its service below at a twentieth of its speed", mayEvacuate: []string{"z3"}, run: func(b *zoneFixture) {
		b.setStore("z3", 0.05, 0, false)
		b.awaitEvacuation("z3")
		b.setStore("z3", 1, 0, false) // cold too it takes twice as long, as in the first case
		since := time.Now()
		must(b.awaitInService("z3"))
		must(b.checkStoreLoad("z3", since.Add(time.Second)))
	}},
	// One node of a zone has a dead kernel. That is no reason to evacuate the zone.
	{name: "one bad node, and the zone stays", run: func(b *zoneFixture) {
		n := b.nodesIn("z1")[0]
		n.kernel.SetDown(true)
		defer n.kernel.SetDown(false)
		must(b.checkNoEvacuation(5 * time.Second))
	}},
	// The services of all zones are slow at once. Evacuating a zone would not help, and none is.
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
	// The callers of a zone can't reach it, but the group can. Its nodes report that they are well, and the zone
	// stays.
	{name: "cut off from its callers alone, and it stays", run: func(b *zoneFixture) {
		for _, n := range b.nodesIn("z1") {
			b.group.forwarders.set("callers", n.name, linkFault{cut: true})
		}
		must(b.checkNoEvacuation(5 * time.Second))
	}},
	// A zone loses the group. Its nodes are fenced as their leases end, and the zone is evacuated with that as its
	// cause; it comes back once it is connected again.
	{name: "cut off from the group, and fenced", mayEvacuate: []string{"z2"}, run: func(b *zoneFixture) {
		b.partitionFromGroup(b.nodesIn("z2")...)
		v := b.awaitEvacuation("z2")
		b.heal()
		if v.Cause != "cut off" {
			must(fmt.Errorf("left as %q, expected as cut off", v.Cause))
		}
		must(b.awaitInService("z2"))
	}},
	// The group's answers to a zone are lost, and its heartbeats arrive. Whether or not the zone is evacuated, it is
	// in service again once the link is whole.
	{name: "answers lost one way between it and the group", long: true, mayEvacuate: []string{"z3"},
		run: func(b *zoneFixture) {
			b.setLinkFault(linkFault{dropReplies: true}, b.nodesIn("z3")...)
			b.awaitEvacuation("z3", zones.InService)
			time.Sleep(b.lease)
			b.heal()
			must(b.awaitInService("z3"))
		}},
	// Two of three zones fail. Both are evacuated; the last one stays, also where an operator asks to evacuate it.
	// Then both come back.
	{name: "two of three, and the last one stays", mayEvacuate: allZones, run: func(b *zoneFixture) {
		for _, z := range []string{"z1", "z2"} {
			b.setKernelsDead(z, true)
		}
		b.awaitEvacuation("z1")
		b.awaitEvacuation("z2")
		if v, err := b.zoneView("z3"); err == nil && v.Phase != zones.InService {
			must(fmt.Errorf("the last zone is %s", v.Phase))
		}
		if b.submitOp(zones.Op{Kind: zones.OpEvacuate, Zone: "z3"}) == nil {
			must(errors.New("an operator could leave the last zone"))
		}
		for _, z := range []string{"z1", "z2"} {
			b.setKernelsDead(z, false)
		}
		must(errors.Join(b.awaitInService("z1"), b.awaitInService("z2")))
	}},
	// The leader is killed as a zone fails, and again on the zone's way back. The next leader evacuates it, and goes
	// on with the ramp from where it was.
	{name: "the leader lost as it fails, and again on the way back", mayEvacuate: []string{"z1"},
		run: func(b *zoneFixture) {
			b.setKernelsDead("z1", true)
			b.restartLeader()
			b.awaitEvacuation("z1")
			b.setKernelsDead("z1", false)
			before := b.awaitRamp("z1")
			b.restartLeader()
			after := b.awaitRamp("z1")
			if after.Epoch < before.Epoch || after.Phase == zones.Ramping && after.Share < before.Share &&
				after.Cause == before.Cause {
				must(fmt.Errorf("a new leader has epoch %d at %d, the one before had %d at %d", after.Epoch,
					after.Share, before.Epoch, before.Share))
			}
			must(b.awaitInService("z1"))
		}},
	// A zone fails, and fails again during its ramp. It counts as flapping, so it waits longer, and comes back in the
	// end.
	{name: "fails again on its way back", long: true, mayEvacuate: []string{"z2"}, run: func(b *zoneFixture) {
		for i := range 2 {
			b.setKernelsDead("z2", true)
			b.awaitEvacuation("z2")
			if b.setKernelsDead("z2", false); i == 0 {
				mustGet(b.awaitPhase("z2", 30*time.Second, zones.Ramping))
			}
		}
		if mustGet(b.zoneView("z2")).FlapCount == 0 {
			must(errors.New("it failed again, and waits no longer for that"))
		}
		must(b.awaitInService("z2"))
	}},
	// A zone is on its way back when its service below begins to fail. The ramp steps back, and the zone comes back
	// once the service is well.
	{name: "its service below fails in the middle of the return", mayEvacuate: []string{"z3"}, run: func(b *zoneFixture) {
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
			return fmt.Errorf("zone z3 is %s at %d and did not step back", v.Phase, v.Share)
		}))
		b.setStore("z3", 1, 0, false)
		must(b.awaitInService("z3"))
	}},
	// A zone is on its way back when its nodes are restarted one after the other, as a release does. It comes back.
	{name: "a release on its way back", mayEvacuate: []string{"z1"}, run: func(b *zoneFixture) {
		must(b.submitOp(zones.Op{Kind: zones.OpEvacuate, Zone: "z1", DrillMS: 1000}))
		mustGet(b.awaitPhase("z1", 20*time.Second, zones.Ramping))
		for _, n := range b.nodesIn("z1") {
			n.Kill()
			b.startNodes(300*time.Millisecond, n)
		}
		must(b.awaitInService("z1"))
	}},
	// Heartbeats of half of the nodes are late, each time of another half. No zone is evacuated for that.
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
	// One of three nodes of a zone reports wrongly that its kernel is down. The zone stays.
	{name: "one node in three lies, and the zone stays", run: func(b *zoneFixture) {
		b.setLinkFault(linkFault{replace: [2]string{`"kernel":true`, `"kernel":null`}}, b.nodesIn("z2")[0])
		must(b.checkNoEvacuation(5 * time.Second))
	}},
	// A zone is evacuated, and its cause ends while the group has no leader. Its nodes may not serve until a leader
	// says so; then the zone comes back.
	{name: "it is well again while nobody leads", mayEvacuate: []string{"z1"}, run: func(b *zoneFixture) {
		b.setKernelsDead("z1", true)
		mustGet(b.awaitPhase("z1", 15*time.Second, zones.Evacuated))
		b.forEachButFirst(b.group.kill)
		b.setKernelsDead("z1", false)
		time.Sleep(b.lease)
		for _, n := range b.nodesIn("z1") {
			if code, _, _ := b.sendOne(n.name); code == http.StatusOK {
				must(fmt.Errorf("%s of a zone that was left serves while nobody leads", n.name))
			}
		}
		b.forEachButFirst(b.mustStart)
		must(b.awaitInService("z1"))
	}},
	// An operator evacuates a zone as a drill: its nodes reject all requests, and it comes back by itself. Then the
	// operator holds it: while the hold lasts it stays though it fails, and is evacuated only after.
	{name: "a drill, and an operator's hold", mayEvacuate: []string{"z2"}, run: func(b *zoneFixture) {
		must(b.submitOp(zones.Op{Kind: zones.OpEvacuate, Zone: "z2", DrillMS: 2000, Reason: "a drill"}))
		mustGet(b.awaitPhase("z2", 10*time.Second, zones.Evacuated))
		for _, n := range b.nodesIn("z2") {
			if code, _, _ := b.sendOne(n.name); code != http.StatusServiceUnavailable {
				must(fmt.Errorf("%s of a zone that was left answers %d", n.name, code))
			}
		}
		must(b.awaitInService("z2"))
		must(b.submitOp(zones.Op{Kind: zones.OpHold, Zone: "z2", WaitMS: 4000}))
		b.setKernelsDead("z2", true)
		must(b.checkNoEvacuation(3 * time.Second))
		b.setKernelsDead("z2", false)
		b.mayEvacuate["z2"] = true
		time.Sleep(1500 * time.Millisecond)
		must(b.awaitInService("z2"))
	}},
}

// ZoneCases names the cases.
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
