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
	name     string
	mayLeave []string // zones that there is a reason to leave
	run      func(b *zoneFixture)
	long     bool
}

var zoneCases = []zoneCase{
	{name: "a zone dead at once, and back cold", mayLeave: []string{"z2"}, run: func(b *zoneFixture) {
		b.killNodes(b.nodesIn("z2")...)
		b.awaitEvacuation("z2")
		b.setStore("z2", 1, 0, true)
		since := time.Now()
		b.startNodes(0, b.nodesIn("z2")...)
		must(b.awaitInService("z2"))
		must(b.checkStoreLoad("z2", since))
	}},
	{name: "its kernels dead, its nodes well", mayLeave: []string{"z1"}, run: func(b *zoneFixture) {
		b.setKernelsDead("z1", true)
		b.awaitEvacuation("z1")
		b.setKernelsDead("z1", false)
		must(b.awaitInService("z1"))
	}},
	{name: "its service below at a twentieth of its speed", mayLeave: []string{"z3"}, run: func(b *zoneFixture) {
		b.setStore("z3", 0.05, 0, false)
		b.awaitEvacuation("z3")
		b.setStore("z3", 1, 0, false) // cold too it takes twice as long, as in the first case
		since := time.Now()
		must(b.awaitInService("z3"))
		must(b.checkStoreLoad("z3", since.Add(time.Second)))
	}},
	{name: "one bad node, and the zone stays", run: func(b *zoneFixture) {
		n := b.nodesIn("z1")[0]
		n.kernel.Kill(true)
		defer n.kernel.Kill(false)
		must(b.checkNoEvacuation(5 * time.Second))
	}},
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
	{name: "cut off from its callers alone, and it stays", run: func(b *zoneFixture) {
		for _, n := range b.nodesIn("z1") {
			b.group.forwarders.set("callers", n.name, linkFault{cut: true})
		}
		must(b.checkNoEvacuation(5 * time.Second))
	}},
	{name: "cut off from the group, and fenced", mayLeave: []string{"z2"}, run: func(b *zoneFixture) {
		b.cutOff(b.nodesIn("z2")...)
		v := b.awaitEvacuation("z2")
		b.heal()
		if v.Cause != "cut off" {
			must(fmt.Errorf("left as %q, expected as cut off", v.Cause))
		}
		must(b.awaitInService("z2"))
	}},
	{name: "answers lost one way between it and the group", long: true, mayLeave: []string{"z3"}, run: func(b *zoneFixture) {
		b.setLinkFault(linkFault{dropReplies: true}, b.nodesIn("z3")...)
		b.awaitEvacuation("z3", zones.InService)
		time.Sleep(b.lease)
		b.heal()
		must(b.awaitInService("z3"))
	}},
	{name: "two of three, and the last one stays", mayLeave: allZones, run: func(b *zoneFixture) {
		for _, z := range []string{"z1", "z2"} {
			b.setKernelsDead(z, true)
		}
		b.awaitEvacuation("z1")
		b.awaitEvacuation("z2")
		if v, err := b.zoneView("z3"); err == nil && v.Phase != zones.InService {
			must(fmt.Errorf("the last zone is %s", v.Phase))
		}
		if b.operate(zones.Op{Kind: zones.OpEvacuate, Zone: "z3"}) == nil {
			must(errors.New("an operator could leave the last zone"))
		}
		for _, z := range []string{"z1", "z2"} {
			b.setKernelsDead(z, false)
		}
		must(errors.Join(b.awaitInService("z1"), b.awaitInService("z2")))
	}},
	{name: "the leader lost as it fails, and again on the way back", mayLeave: []string{"z1"}, run: func(b *zoneFixture) {
		b.setKernelsDead("z1", true)
		b.restartLeader()
		b.awaitEvacuation("z1")
		b.setKernelsDead("z1", false)
		before := b.awaitRamp("z1")
		b.restartLeader()
		after := b.awaitRamp("z1")
		if after.Epoch < before.Epoch || after.Phase == zones.Ramping && after.Share < before.Share && after.Cause == before.Cause {
			must(fmt.Errorf("a new leader has epoch %d at %d, the one before had %d at %d", after.Epoch, after.Share, before.Epoch,
				before.Share))
		}
		must(b.awaitInService("z1"))
	}},
	{name: "fails again on its way back", long: true, mayLeave: []string{"z2"}, run: func(b *zoneFixture) {
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
	{name: "its service below fails in the middle of the return", mayLeave: []string{"z3"}, run: func(b *zoneFixture) {
		must(b.operate(zones.Op{Kind: zones.OpEvacuate, Zone: "z3", DrillMS: 1500}))
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
	{name: "a release on its way back", mayLeave: []string{"z1"}, run: func(b *zoneFixture) {
		must(b.operate(zones.Op{Kind: zones.OpEvacuate, Zone: "z1", DrillMS: 1000}))
		mustGet(b.awaitPhase("z1", 20*time.Second, zones.Ramping))
		for _, n := range b.nodesIn("z1") {
			n.Kill()
			b.startNodes(300*time.Millisecond, n)
		}
		must(b.awaitInService("z1"))
	}},
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
	{name: "one node in three lies, and the zone stays", run: func(b *zoneFixture) {
		b.setLinkFault(linkFault{replace: [2]string{`"kernel":true`, `"kernel":null`}}, b.nodesIn("z2")[0])
		must(b.checkNoEvacuation(5 * time.Second))
	}},
	{name: "it is well again while nobody leads", mayLeave: []string{"z1"}, run: func(b *zoneFixture) {
		b.setKernelsDead("z1", true)
		mustGet(b.awaitPhase("z1", 15*time.Second, zones.Evacuated))
		b.eachButFirst(b.group.kill)
		b.setKernelsDead("z1", false)
		time.Sleep(b.lease)
		for _, n := range b.nodesIn("z1") {
			if code, _, _ := b.sendOne(n.name); code == http.StatusOK {
				must(fmt.Errorf("%s of a zone that was left serves while nobody leads", n.name))
			}
		}
		b.eachButFirst(b.mustStart)
		must(b.awaitInService("z1"))
	}},
	{name: "a drill, and an operator's hold", mayLeave: []string{"z2"}, run: func(b *zoneFixture) {
		must(b.operate(zones.Op{Kind: zones.OpEvacuate, Zone: "z2", DrillMS: 2000, Reason: "a drill"}))
		mustGet(b.awaitPhase("z2", 10*time.Second, zones.Evacuated))
		for _, n := range b.nodesIn("z2") {
			if code, _, _ := b.sendOne(n.name); code != http.StatusServiceUnavailable {
				must(fmt.Errorf("%s of a zone that was left answers %d", n.name, code))
			}
		}
		must(b.awaitInService("z2"))
		must(b.operate(zones.Op{Kind: zones.OpHold, Zone: "z2", WaitMS: 4000}))
		b.setKernelsDead("z2", true)
		must(b.checkNoEvacuation(3 * time.Second))
		b.setKernelsDead("z2", false)
		b.mayLeave["z2"] = true
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

func (r *ZonesTest) all() []zoneCase {
	if r.cases != nil {
		return r.cases
	}
	return zoneCases
}
