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
	s    *coordinator.Leader
	up   bool
	rate float64
	last float64
}

func (w *Fleet) currentLeader() *coordinator.Leader {
	s := coordinator.NewLeader(w.Without)
	s.DisabledZoneGuards, s.Level = w.WithoutZones, coordinator.LevelSameProcess
	return s
}

// startInstance starts an instance of the group, without what it had in memory.
func (w *Fleet) startInstance(c *controlInstance) {
	c.s, c.up, c.last = w.currentLeader(), true, w.Now*c.rate
}

// put adds a version to the group's.
func (w *Fleet) put() uint64 {
	n := len(w.texts) + 1
	w.puts++ // no text comes twice, also where a number does after a loss
	d, err := document.Parse("version", []byte(fmt.Sprintf("[fleet]\nlease = %dms\nwhen_alone = fence\n[tenant t]\nrate = %d\n%s",
		w.Lease, w.puts, w.Rules)))
	if err != nil {
		panic(err)
	}
	text := d.Canonical()
	w.texts, w.hashes = append(w.texts, string(text)), append(w.hashes, document.Hash(text))
	w.ofHash[document.Hash(text)] = string(text)
	return uint64(n)
}

func (w *Fleet) elect() {
	if w.gone || w.leader >= 0 && w.control[w.leader].up {
		return
	}
	up, most := []int{}, 0
	for i, c := range w.control {
		if c.up {
			up = append(up, i)
			most++
		}
	}
	if 2*most <= len(w.control) {
		w.after(100, w.elect)
		return
	}
	w.leader = up[w.random.Intn(len(up))]
	w.term++
}

// tick lets an instance look at its clock.
func (w *Fleet) tick(i int) {
	c := w.control[i]
	if c.up {
		leads := w.leader == i
		c.s.SetRole(w.group, leads, w.term)
		at := w.Now * c.rate
		ms := uint64(at) - uint64(c.last)
		if ms > 200 {
			ms = 200
		}
		c.last = at
		for _, e := range c.s.Tick(w.state, ms) {
			w.propose(i, e)
		}
	}
	w.after(20+w.random.Float64()*10, func() { w.tick(i) })
}

// propose has an entry committed after a while, unless its leader is lost first; it may be committed all the same then.
func (w *Fleet) propose(i int, e coordinator.Entry) {
	term, lost, part := w.term, w.random.Intn(2) == 0, w.state
	w.after(2+w.random.ExpFloat64()*5, func() {
		if w.state != part { // lost with the state that it was for
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
			w.allPrepared(&op)
		}
		end, err := w.state.Apply(e.Kind, e.Body, w.index, term, w)
		if err != nil {
			w.fail("%v", err)
			return
		}
		w.watch()
		w.notices()
		if w.applied != nil {
			w.applied(end)
		}
		for _, c := range w.control {
			if c.up {
				c.s.EntryApplied(w.state, end)
			}
		}
	})
}

// allPrepared holds a decision that counts to its condition: whoever is in has the version at hand.
func (w *Fleet) allPrepared(op *policy.Op) {
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
			w.fail("change %d was decided and %s, which has a lease, has not prepared version %d", c.Number, n.name, c.Version)
		}
	}
}

// watch records what the group decided.
func (w *Fleet) watch() {
	look := func(c *policy.Change) {
		was := w.known[c.Number]
		if was == c.Step {
			return
		}
		w.known[c.Number] = c.Step
		ev := func(kind string) {
			if w.said[kind+c.Hash] {
				return // by a copy of the state from before: the same once more
			}
			if w.said[kind+c.Hash] = true; kind == "decided" {
				w.decidedAs[c.Version] = c.Hash
			}
			w.record(FleetEvent{Kind: kind, Version: c.Version, From: c.PreviousVersion, Excl: c.Proposal.Exclusive, Why: c.AbortReason})
		}
		switch c.Step {
		case policy.Preparing:
			if w.Way == WayEach {
				w.after(0, func() {
					w.index++
					w.state.Policy.Apply(policy.Decide{ChangeNumber: c.Number}, w.state.Fleet, nil, w.Without)
					w.watch()
				})
			}
		case policy.Decided:
			ev("decided")
			w.tried(c)
		case policy.Committed:
			if was == policy.Preparing || was == "" {
				ev("decided")
				w.tried(c)
			}
			ev("forced")
			w.Times = append(w.Times, float64(c.CommittedAtMS-c.ProposedAtMS))
		case policy.Settled:
			ev("settled")
			w.Ends[c.Step]++
		case policy.Aborted:
			ev("off")
			w.Ends[c.Step]++
			w.Causes[causeOf(c.AbortReason)]++
		}
	}
	for _, c := range w.state.Policy.History {
		look(c)
	}
	if c := w.state.Policy.Current; c != nil {
		look(c)
	}
}

// tried holds a decision to the trial: no version that fails it is decided.
func (w *Fleet) tried(c *policy.Change) {
	if w.bad[c.Hash] {
		w.fail("version %d was decided, and it fails its trial at any node", c.Version)
	}
}

func causeOf(why string) string {
	switch {
	case len(why) > 7 && why[:7] == "refused":
		return "a node said no"
	case len(why) > 3 && why[:3] == "not":
		return "not prepared in time"
	}
	return "by the operator"
}
