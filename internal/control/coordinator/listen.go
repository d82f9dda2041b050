package coordinator

import (
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
)

const (
	// maxListenMS is the maximum duration of the listen phase, in ms. Reachable nodes send a heartbeat within it. A longer
	// phase would leave renewals without a response after each failover.
	maxListenMS = 1500
	// listenLeaseDivisor limits the listen phase to a quarter of a lease, after which nodes renew.
	listenLeaseDivisor = 4
)

// listenPhase is the time at the start of a leader's term in which it receives heartbeats but grants no lease.
type listenPhase struct {
	startedAtMS uint64          // when the term began at this instance
	seenNames   map[string]bool // names with a heartbeat; nil: the phase is over
}

func (p *listenPhase) recordHeartbeat(name string) {
	if p.seenNames != nil && len(p.seenNames) < membership.MaxNodes {
		p.seenNames[name] = true
	}
}

// stillListening reports whether a new leader must still wait before it grants leases or decides: until each node that
// is in has sent a heartbeat, for at most a quarter of a lease and maxListenMS.
//
// In a group that was reset to an older state, a node may have evidence of the lost state. The leader must not act on
// the older state before it receives that evidence.
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
