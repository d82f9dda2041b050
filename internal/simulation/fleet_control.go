package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/policy"
)

// controlInstance is one instance of the group.
type controlInstance struct {
	coordinator *coordinator.Leader
	up          bool
	clockRate   float64
	lastTick    float64
}

func (w *Fleet) newLeader() *coordinator.Leader {
	s := coordinator.NewLeader(w.Without)
	s.DisabledZoneGuards, s.Level = w.WithoutZones, coordinator.LevelSameProcess
	return s
}

// startInstance starts an instance of the group, without what it had in memory.
func (w *Fleet) startInstance(c *controlInstance) {
	c.coordinator, c.up, c.lastTick = w.newLeader(), true, w.Now*c.clockRate
}

// addVersion adds a version to the group's.
func (w *Fleet) addVersion() uint64 {
	n := len(w.versionTexts) + 1
	w.versionsCreated++ // no two texts are the same, also where a loss of state repeats a number
	given := fmt.Sprintf("[fleet]\nlease = %dms\nwhen_alone = fence\n[tenant t]\nrate = %d\n%s", w.Lease,
		w.versionsCreated, w.ZoneRules)
	d, err := document.Parse("version", []byte(given))
	if err != nil {
		panic(err)
	}
	text := d.Canonical()
	w.versionTexts, w.versionHashes = append(w.versionTexts, string(text)), append(w.versionHashes, document.Hash(text))
	w.textByHash[document.Hash(text)] = string(text)
	return uint64(n)
}

// elect makes one of the running instances the leader, as soon as they are a majority.
func (w *Fleet) elect() {
	if w.stopped || w.leader >= 0 && w.instances[w.leader].up {
		return
	}
	var up []int
	for i, c := range w.instances {
		if c.up {
			up = append(up, i)
		}
	}
	if 2*len(up) <= len(w.instances) {
		w.after(100, w.elect)
		return
	}
	w.leader = up[w.random.Intn(len(up))]
	w.term++
}

// tick lets an instance look at its clock.
func (w *Fleet) tick(i int) {
	c := w.instances[i]
	if c.up {
		c.coordinator.SetRole(w.groupID, w.leader == i, w.term)
		at := w.Now * c.clockRate
		ms := min(uint64(at)-uint64(c.lastTick), 200)
		c.lastTick = at
		for _, e := range c.coordinator.Tick(w.state, ms) {
			w.appendEntry(i, e)
		}
	}
	w.after(20+w.random.Float64()*10, func() { w.tick(i) })
}

// appendEntry has an entry committed after a while. If its leader is lost first it may be committed all the same.
func (w *Fleet) appendEntry(i int, e coordinator.Entry) {
	term, lost, state := w.term, w.random.Intn(2) == 0, w.state
	w.after(2+w.random.ExpFloat64()*5, func() {
		if w.state != state { // lost with the state that it was for
			return
		}
		if (w.leader != i || w.term != term) && lost {
			return
		}
		w.index++
		w.Entries++
		w.Bytes += len(e.Body)
		var op policy.Op
		if e.Kind == coordinator.KindPolicy {
			json.Unmarshal(e.Body, &op)
		}
		if op.Kind == "decide" && w.Broken == "" && w.Way == "" {
			w.checkAllPrepared(&op)
		}
		end, err := w.state.Apply(e.Kind, e.Body, w.index, term, w)
		if err != nil {
			w.fail("%v", err)
			return
		}
		w.recordDecisions()
		w.scheduleRestoreOnLoss()
		if w.onApplied != nil {
			w.onApplied(end)
		}
		for _, c := range w.instances {
			if c.up {
				c.coordinator.EntryApplied(w.state, end)
			}
		}
	})
}

// checkAllPrepared: when a version is decided, each node with a lease that isn't left behind has prepared it.
func (w *Fleet) checkAllPrepared(op *policy.Op) {
	c := w.state.Policy.Current
	if c == nil || c.Number != op.ChangeNumber || c.Step != policy.Preparing || op.FleetEpoch != w.state.Fleet.Epoch &&
		!w.Without.Has(policy.PrepareAll) {
		return
	}
	for _, n := range w.nodes {
		f := w.state.Fleet.Lookup(n.name)
		if f == nil || f.OutReason != "" || !n.up || n.paused ||
			!strings.HasPrefix(f.Lease.Nonce, n.nonce()+"-") {
			continue
		}
		if !n.agent.IsPrepared(c.Version) && !slices.Contains(op.LeftBehind, n.name) {
			w.fail("change %d was decided and %s, which has a lease, has not prepared version %d", c.Number, n.name,
				c.Version)
		}
	}
}

// recordDecisions records what the group decided since it was last looked at.
func (w *Fleet) recordDecisions() {
	for _, c := range w.state.Policy.History {
		w.recordStep(c)
	}
	if c := w.state.Policy.Current; c != nil {
		w.recordStep(c)
	}
}

// recordStep records the step that a change is in, if it is new.
func (w *Fleet) recordStep(c *policy.Change) {
	before := w.changeSteps[c.Number]
	if before == c.Step {
		return
	}
	w.changeSteps[c.Number] = c.Step
	switch c.Step {
	case policy.Preparing:
		if w.Way == WayEach {
			w.after(0, func() { w.decideImmediately(c) })
		}
	case policy.Decided:
		w.recordChange("decided", c)
		w.checkTrial(c)
	case policy.Committed:
		if before == policy.Preparing || before == "" {
			w.recordChange("decided", c)
			w.checkTrial(c)
		}
		w.recordChange("forced", c)
		w.Times = append(w.Times, float64(c.CommittedAtMS-c.ProposedAtMS))
	case policy.Settled:
		w.recordChange("settled", c)
		w.Ends[c.Step]++
	case policy.Aborted:
		w.recordChange("off", c)
		w.Ends[c.Step]++
		w.Causes[abortCause(c.AbortReason)]++
	}
}

// recordChange adds an event to the history, unless a copy of the group's state from before has come to it once more.
func (w *Fleet) recordChange(kind string, c *policy.Change) {
	if w.recordedEvents[kind+c.Hash] {
		return
	}
	w.recordedEvents[kind+c.Hash] = true
	if kind == "decided" {
		w.decidedHashes[c.Version] = c.Hash
	}
	w.recordEvent(FleetEvent{Kind: kind, Version: c.Version, From: c.PreviousVersion, Excl: c.Proposal.Exclusive,
		Why: c.AbortReason})
}

// decideImmediately is the baseline in which a version is in force as soon as it is proposed.
func (w *Fleet) decideImmediately(c *policy.Change) {
	w.index++
	w.state.Policy.Apply(policy.Decide{ChangeNumber: c.Number}, w.state.Fleet, nil, w.Without)
	w.recordDecisions()
}

// checkTrial holds a decision to the trial: no version that fails it is decided.
func (w *Fleet) checkTrial(c *policy.Change) {
	if w.failsTrial[c.Hash] {
		w.fail("version %d was decided, and it fails its trial at any node", c.Version)
	}
}

func abortCause(why string) string {
	switch {
	case len(why) > 7 && why[:7] == "refused":
		return "a node said no"
	case len(why) > 3 && why[:3] == "not":
		return "not prepared in time"
	}
	return "by the operator"
}
