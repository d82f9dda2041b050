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
	name string
	may  []string // zones that there is a reason to leave
	run  func(b *zoneBench)
	long bool
}

var zoneCases = []zoneCase{
	{name: "a zone dead at once, and back cold", may: []string{"z2"}, run: func(b *zoneBench) {
		b.kills(b.nodesIn("z2")...)
		b.left("z2")
		b.below("z2", 1, 0, true)
		since := time.Now()
		b.begins(0, b.nodesIn("z2")...)
		must(b.back("z2"))
		must(b.bore("z2", since))
	}},
	{name: "its kernels dead, its nodes well", may: []string{"z1"}, run: func(b *zoneBench) {
		b.kernels("z1", true)
		b.left("z1")
		b.kernels("z1", false)
		must(b.back("z1"))
	}},
	{name: "its service below at a twentieth of its speed", may: []string{"z3"}, run: func(b *zoneBench) {
		b.below("z3", 0.05, 0, false)
		b.left("z3")
		b.below("z3", 1, 0, false) // cold too it takes twice as long, as in the first case
		since := time.Now()
		must(b.back("z3"))
		must(b.bore("z3", since.Add(time.Second)))
	}},
	{name: "one bad node, and the zone stays", run: func(b *zoneBench) {
		n := b.nodesIn("z1")[0]
		n.kernel.Kill(true)
		defer n.kernel.Kill(false)
		must(b.stays(5 * time.Second))
	}},
	{name: "all services slow for a common cause, and nobody leaves", run: func(b *zoneBench) {
		for _, z := range allZones {
			b.below(z, 0.1, 0, false)
		}
		must(b.stays(6 * time.Second))
		for _, z := range allZones {
			b.below(z, 1, 0, false)
		}
		must(b.stays(3 * time.Second))
	}},
	{name: "cut off from its callers alone, and it stays", run: func(b *zoneBench) {
		for _, n := range b.nodesIn("z1") {
			b.group.board.set("callers", n.name, linkFault{cut: true})
		}
		must(b.stays(5 * time.Second))
	}},
	{name: "cut off from the group, and fenced", may: []string{"z2"}, run: func(b *zoneBench) {
		b.cutOff(b.nodesIn("z2")...)
		v := b.left("z2")
		b.heal()
		if v.Cause != "cut off" {
			must(fmt.Errorf("left as %q, expected as cut off", v.Cause))
		}
		must(b.back("z2"))
	}},
	{name: "answers lost one way between it and the group", long: true, may: []string{"z3"}, run: func(b *zoneBench) {
		b.setLinkFault(linkFault{muteBack: true}, b.nodesIn("z3")...)
		b.left("z3", zones.InService)
		time.Sleep(b.lease)
		b.heal()
		must(b.back("z3"))
	}},
	{name: "two of three, and the last one stays", may: allZones, run: func(b *zoneBench) {
		for _, z := range []string{"z1", "z2"} {
			b.kernels(z, true)
		}
		b.left("z1")
		b.left("z2")
		if v, err := b.zone("z3"); err == nil && v.Phase != zones.InService {
			must(fmt.Errorf("the last zone is %s", v.Phase))
		}
		if b.op(zones.Op{Kind: zones.OpEvacuate, Zone: "z3"}) == nil {
			must(errors.New("an operator could leave the last zone"))
		}
		for _, z := range []string{"z1", "z2"} {
			b.kernels(z, false)
		}
		must(errors.Join(b.back("z1"), b.back("z2")))
	}},
	{name: "the leader lost as it fails, and again on the way back", may: []string{"z1"}, run: func(b *zoneBench) {
		b.kernels("z1", true)
		b.leaderAgain()
		b.left("z1")
		b.kernels("z1", false)
		before := b.returns("z1")
		b.leaderAgain()
		after := b.returns("z1")
		if after.Epoch < before.Epoch || after.Phase == zones.Ramping && after.Share < before.Share && after.Cause == before.Cause {
			must(fmt.Errorf("a new leader has epoch %d at %d, the one before had %d at %d", after.Epoch, after.Share, before.Epoch,
				before.Share))
		}
		must(b.back("z1"))
	}},
	{name: "fails again on its way back", long: true, may: []string{"z2"}, run: func(b *zoneBench) {
		for i := range 2 {
			b.kernels("z2", true)
			b.left("z2")
			if b.kernels("z2", false); i == 0 {
				got(b.stands("z2", 30*time.Second, zones.Ramping))
			}
		}
		if got(b.zone("z2")).FlapCount == 0 {
			must(errors.New("it failed again, and waits no longer for that"))
		}
		must(b.back("z2"))
	}},
	{name: "its service below fails in the middle of the return", may: []string{"z3"}, run: func(b *zoneBench) {
		must(b.op(zones.Op{Kind: zones.OpEvacuate, Zone: "z3", DrillMS: 1500}))
		got(b.stands("z3", 20*time.Second, zones.Ramping))
		b.below("z3", 1, 0.9, false)
		must(b.await(12*time.Second, func() error {
			v, err := b.zone("z3")
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
		b.below("z3", 1, 0, false)
		must(b.back("z3"))
	}},
	{name: "a release on its way back", may: []string{"z1"}, run: func(b *zoneBench) {
		must(b.op(zones.Op{Kind: zones.OpEvacuate, Zone: "z1", DrillMS: 1000}))
		got(b.stands("z1", 20*time.Second, zones.Ramping))
		for _, n := range b.nodesIn("z1") {
			n.Kill()
			b.begins(300*time.Millisecond, n)
		}
		must(b.back("z1"))
	}},
	{name: "half of the nodes unheard, and the zones stay", run: func(b *zoneBench) {
		for i := range 8 {
			for k, n := range b.nodes {
				f := linkFault{}
				if (i+k)%2 == 0 {
					f.delay = 900 * time.Millisecond
				}
				b.setLinkFault(f, n)
			}
			must(b.stays(600 * time.Millisecond))
		}
	}},
	{name: "one node in three lies, and the zone stays", run: func(b *zoneBench) {
		b.setLinkFault(linkFault{swap: [2]string{`"kernel":true`, `"kernel":null`}}, b.nodesIn("z2")[0])
		must(b.stays(5 * time.Second))
	}},
	{name: "it is well again while nobody leads", may: []string{"z1"}, run: func(b *zoneBench) {
		b.kernels("z1", true)
		got(b.stands("z1", 15*time.Second, zones.Evacuated))
		b.others(b.group.kill)
		b.kernels("z1", false)
		time.Sleep(b.lease)
		for _, n := range b.nodesIn("z1") {
			if code, _, _ := b.one(n.name); code == http.StatusOK {
				must(fmt.Errorf("%s of a zone that was left serves while nobody leads", n.name))
			}
		}
		b.others(b.starts)
		must(b.back("z1"))
	}},
	{name: "a drill, and an operator's hold", may: []string{"z2"}, run: func(b *zoneBench) {
		must(b.op(zones.Op{Kind: zones.OpEvacuate, Zone: "z2", DrillMS: 2000, Reason: "a drill"}))
		got(b.stands("z2", 10*time.Second, zones.Evacuated))
		for _, n := range b.nodesIn("z2") {
			if code, _, _ := b.one(n.name); code != http.StatusServiceUnavailable {
				must(fmt.Errorf("%s of a zone that was left answers %d", n.name, code))
			}
		}
		must(b.back("z2"))
		must(b.op(zones.Op{Kind: zones.OpHold, Zone: "z2", WaitMS: 4000}))
		b.kernels("z2", true)
		must(b.stays(3 * time.Second))
		b.kernels("z2", false)
		b.may["z2"] = true
		time.Sleep(1500 * time.Millisecond)
		must(b.back("z2"))
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
