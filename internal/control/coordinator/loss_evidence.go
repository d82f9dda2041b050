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
	// nodesToProveLoss is how many nodes have to know of something that the group lacks before the group stops: one
	// alone may be wrong.
	nodesToProveLoss = 2
	// evidenceSpanMS is for how long a node's evidence counts, in ms: some heartbeats with their backoff. Longer, one
	// node that is wrong under two names would stop the group.
	evidenceSpanMS = 10_000
)

// lossEvidence is what nodes were told and the state lacks, by the node's name.
type lossEvidence map[string]missingState

type missingState struct {
	description  string
	reportedAtMS uint64
}

// recordLossEvidence compares what a node was told last with what the state has, and keeps what the state lacks.
func (l *Leader) recordLossEvidence(s *State, r *api.HeartbeatRequest) {
	last := r.LastSeen
	if last == nil || l.DisabledGuards.Has(policy.Proof) {
		return
	}
	group := recovery.GroupState{
		Group:          l.cluster,
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

// provenLoss decides whether the group has lost state, and gives the proof; empty: it has not, as far as nodes say.
//
// It decides by the evidence of the last evidenceSpanMS and the number of nodes. What a node was told was committed,
// so a group that does not know it was put back to an older state, and two outcomes of one decision would be
// possible: it has to stop until an operator restores it. It acts at each tick. Nodes that are wrong together would
// stop a healthy group.
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
