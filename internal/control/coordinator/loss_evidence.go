package coordinator

import (
	"fmt"
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
)

const (
	// nodesToProveLoss is the number of nodes with evidence of lost state that stops the group. A single node may be
	// wrong.
	nodesToProveLoss = 2
	// evidenceSpanMS is the time for which a node's evidence counts, in ms, long enough for some heartbeats with
	// backoff. A single faulty node that reports under two names must not stop the group.
	evidenceSpanMS = 10_000
)

// lossEvidence holds evidence of lost state by node name.
type lossEvidence map[string]missingState

type missingState struct {
	description  string
	reportedAtMS uint64
}

// recordLossEvidence compares a node's last seen position with the state, and records whether the state lacks it.
func (l *Leader) recordLossEvidence(s *State, r *api.HeartbeatRequest) {
	last := r.LastSeen
	if last == nil || l.DisabledGuards.Has(policy.LossProof) {
		return
	}
	group := recovery.GroupState{
		Group:          l.group,
		Generation:     s.Generation,
		Term:           l.term,
		Index:          s.Index,
		DecidedVersion: s.Policy.DecidedVersion,
		ZoneEpoch:      s.Zones.Epoch,
		HashOf:         s.versionHash,
		ChecksumAt:     s.checksumAt,
	}
	record := api.NodeRecord{
		Group:         last.Group,
		Generation:    max(1, last.Generation),
		Term:          last.Term,
		Index:         last.Index,
		EntryChecksum: last.EntryChecksum,
		ActiveVersion: r.ActiveVersion,
		ActiveHash:    last.ActiveHash,
		MinVersion:    r.MinVersion,
		ZoneEpoch:     r.MinZoneEpoch,
	}
	missing := group.LostState(&record)
	if missing == "" {
		delete(l.evidence, r.Name)
	} else if len(l.evidence) < membership.MaxNodes {
		l.evidence[r.Name] = missingState{missing, l.nowMS}
	}
}

// provenLoss returns the proof that the group has lost state; empty: there is none.
//
// Responses carry committed state only, so a group that lacks a position reported by its nodes was reset to an older
// state. It could decide the same change twice, and must stop until an operator restores it. Evidence from
// nodesToProveLoss nodes within evidenceSpanMS is required, or from all nodes of a smaller fleet. Nodes that are wrong
// together would stop a healthy group.
func (l *Leader) provenLoss(s *State) string {
	if l.Level < LevelGenerations || len(l.evidence) == 0 {
		return ""
	}
	var names []string
	for name, e := range l.evidence {
		if l.nowMS-e.reportedAtMS <= evidenceSpanMS {
			names = append(names, name)
		} else {
			delete(l.evidence, name)
		}
	}
	if len(names) < max(1, min(nodesToProveLoss, len(s.Fleet.Nodes()))) {
		return ""
	}
	sort.Strings(names)
	return fmt.Sprintf("%s was told of %s; %d nodes say so", names[0], l.evidence[names[0]].description, len(names))
}
