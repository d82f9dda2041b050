package coordinator

import (
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
)

const (
	// maxListenMS bounds for how long a new leader listens before it grants and decides, in ms: all nodes whose group
	// has gone on send a heartbeat in that time. Longer would leave renewals unanswered after each failover.
	maxListenMS = 1500
	// listenLeaseDivisor bounds it to a quarter of a lease, after which nodes renew.
	listenLeaseDivisor = 4
)

// listenPhase is the time at the beginning of a leadership in which nodes are heard and nothing is granted.
type listenPhase struct {
	startedAtMS uint64          // when leadership began
	seenNames   map[string]bool // names; nil: the phase is over
}

func (p *listenPhase) recordHeartbeat(name string) {
	if p.seenNames != nil && len(p.seenNames) < membership.MaxNodes {
		p.seenNames[name] = true
	}
}

// stillListening decides whether a new leader waits before it grants and decides.
//
// It decides by the ms since it leads, the lease, and which nodes that are in have been heard. It guards against a
// group that was put back to an older state and goes on as if nothing were lost: some node may know what the state
// lacks, and nothing may be granted that rests on it until all were heard. It acts once in each leadership, for a
// quarter of a lease at most.
func (l *Leader) stillListening(s *State) bool {
	p := &l.listening
	if p.seenNames == nil {
		return false
	}
	guarded := l.Level >= LevelGenerations && !l.DisabledGuards.Has(policy.ListenFirst)
	if guarded && l.nowMS-p.startedAtMS < min(maxListenMS, s.leaseTerms().LeaseMS/listenLeaseDivisor) {
		for _, n := range s.Fleet.Nodes() {
			if !n.IsOut() && !p.seenNames[n.Name] {
				return true
			}
		}
	}
	p.seenNames = nil
	return false
}
