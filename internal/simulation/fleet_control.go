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

// controlInstance is one instance of the control group.
type controlInstance struct {
	coordinator *coordinator.Leader
	up          bool
	clockRate   float64
	lastTick    float64
}

func (f *Fleet) newLeader() *coordinator.Leader {
	s := coordinator.NewLeader(f.DisabledGuards)
	s.DisabledZoneGuards, s.Level = f.DisabledZoneGuards, coordinator.LevelSameProcess
	return s
}

// startInstance restarts an instance without its state in memory.
func (f *Fleet) startInstance(c *controlInstance) {
	c.coordinator, c.up, c.lastTick = f.newLeader(), true, f.Now*c.clockRate
}

// addVersion creates the next version of the policy and returns its number.
func (f *Fleet) addVersion() uint64 {
	n := len(f.versionTexts) + 1
	f.versionsCreated++ // keeps texts unique even if a state loss repeats a version number
	text := fmt.Sprintf("[fleet]\nlease = %dms\nwhen_alone = fence\n[tenant t]\nrate = %d\n%s", f.LeaseMS,
		f.versionsCreated, f.ZoneRules)
	d, err := document.Parse("version", []byte(text))
	if err != nil {
		panic(err)
	}
	canonical := d.Canonical()
	f.versionTexts = append(f.versionTexts, string(canonical))
	f.versionHashes = append(f.versionHashes, document.Hash(canonical))
	f.textByHash[document.Hash(canonical)] = string(canonical)
	return uint64(n)
}

// elect makes a random running instance the leader; it retries until a majority is running.
func (f *Fleet) elect() {
	if f.stopped || f.leader >= 0 && f.instances[f.leader].up {
		return
	}
	var up []int
	for i, c := range f.instances {
		if c.up {
			up = append(up, i)
		}
	}
	if 2*len(up) <= len(f.instances) {
		f.after(100, f.elect)
		return
	}
	f.leader = up[f.random.Intn(len(up))]
	f.term++
}

// tick advances an instance's clock and schedules the next tick.
func (f *Fleet) tick(i int) {
	c := f.instances[i]
	if c.up {
		c.coordinator.SetRole(f.groupID, f.leader == i, f.term)
		at := f.Now * c.clockRate
		ms := min(uint64(at)-uint64(c.lastTick), 200)
		c.lastTick = at
		for _, e := range c.coordinator.Tick(f.state, ms) {
			f.appendEntry(i, e)
		}
	}
	f.after(20+f.random.Float64()*10, func() { f.tick(i) })
}

// appendEntry commits an entry after a delay. If its leader changes first the entry is lost in half of the cases.
func (f *Fleet) appendEntry(i int, e coordinator.Entry) {
	term, lost, state := f.term, f.random.Intn(2) == 0, f.state
	f.after(2+f.random.ExpFloat64()*5, func() {
		if f.state != state { // the state was lost or replaced meanwhile
			return
		}
		if (f.leader != i || f.term != term) && lost {
			return
		}
		f.index++
		f.Entries++
		f.EntryBytes += len(e.Body)
		var op policy.Op
		if e.Kind == coordinator.KindPolicy {
			json.Unmarshal(e.Body, &op)
		}
		if op.Kind == "decide" && f.Broken == "" && f.Baseline == "" {
			f.checkAllPrepared(&op)
		}
		end, err := f.state.Apply(e.Kind, e.Body, f.index, term, f)
		if err != nil {
			f.fail("%v", err)
			return
		}
		f.recordDecisions()
		f.scheduleRestoreOnLoss()
		if f.onApplied != nil {
			f.onApplied(end)
		}
		for _, c := range f.instances {
			if c.up {
				c.coordinator.EntryApplied(f.state, end)
			}
		}
	})
}

// checkAllPrepared checks that every node with a lease has prepared a version that is being decided, unless it is left
// behind.
func (f *Fleet) checkAllPrepared(op *policy.Op) {
	c := f.state.Policy.Current
	if c == nil || c.Number != op.ChangeNumber || c.Step != policy.Preparing || op.FleetEpoch != f.state.Fleet.FleetEpoch &&
		!f.DisabledGuards.Has(policy.PrepareAll) {
		return
	}
	for _, n := range f.nodes {
		member := f.state.Fleet.Lookup(n.name)
		if member == nil || member.OutReason != "" || !n.up || n.paused ||
			!strings.HasPrefix(member.Lease.Nonce, n.nonce()+"-") {
			continue
		}
		if !n.agent.IsPrepared(c.Version) && !slices.Contains(op.LeftBehind, n.name) {
			f.fail("change %d was decided, but %s holds a lease and has not prepared version %d", c.Number, n.name,
				c.Version)
		}
	}
}

// recordDecisions records new steps of all changes.
func (f *Fleet) recordDecisions() {
	for _, c := range f.state.Policy.History {
		f.recordStep(c)
	}
	if c := f.state.Policy.Current; c != nil {
		f.recordStep(c)
	}
}

// recordStep records the step of a change if it is new.
func (f *Fleet) recordStep(c *policy.Change) {
	before := f.changeSteps[c.Number]
	if before == c.Step {
		return
	}
	f.changeSteps[c.Number] = c.Step
	switch c.Step {
	case policy.Preparing:
		if f.Baseline == BaselineImmediate {
			f.after(0, func() { f.decideImmediately(c) })
		}
	case policy.Decided:
		f.recordChange("decided", c)
		f.checkTrial(c)
	case policy.Committed:
		if before == policy.Preparing || before == "" {
			f.recordChange("decided", c)
			f.checkTrial(c)
		}
		f.recordChange("forced", c)
		f.CommitTimesMS = append(f.CommitTimesMS, float64(c.CommittedAtMS-c.ProposedAtMS))
	case policy.Settled:
		f.recordChange("settled", c)
		f.ChangesByStep[c.Step]++
	case policy.Aborted:
		f.recordChange("off", c)
		f.ChangesByStep[c.Step]++
		f.AbortCauses[abortCause(c.AbortReason)]++
	}
}

// recordChange adds an event to the history, unless it was recorded before an older state was restored.
func (f *Fleet) recordChange(kind string, c *policy.Change) {
	if f.recordedEvents[kind+c.Hash] {
		return
	}
	f.recordedEvents[kind+c.Hash] = true
	if kind == "decided" {
		f.decidedHashes[c.Version] = c.Hash
	}
	f.recordEvent(FleetEvent{Kind: kind, Version: c.Version, PreviousVersion: c.PreviousVersion,
		Exclusive: c.Proposal.Exclusive, Reason: c.AbortReason})
}

// decideImmediately implements the baseline BaselineImmediate.
func (f *Fleet) decideImmediately(c *policy.Change) {
	f.index++
	f.state.Policy.Apply(policy.Decide{ChangeNumber: c.Number}, f.state.Fleet, nil, f.DisabledGuards)
	f.recordDecisions()
}

// checkTrial checks that a decided version doesn't fail its trial.
func (f *Fleet) checkTrial(c *policy.Change) {
	if f.failsTrial[c.Hash] {
		f.fail("version %d was decided, but fails its trial on every node", c.Version)
	}
}

// abortCause classifies a change's abort reason for FleetFigures.
func abortCause(reason string) string {
	switch {
	case len(reason) > 7 && reason[:7] == "refused":
		return "a node said no"
	case len(reason) > 3 && reason[:3] == "not":
		return "not prepared in time"
	}
	return "by the operator"
}
