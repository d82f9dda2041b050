package policy

import (
	"fmt"

	"umberwinch/internal/control/membership"
)

// NodeReport is the latest report of a node's current incarnation to the current leader.
type NodeReport struct {
	PreparedVersion uint64 // 0: none
	RefusedVersion  uint64 // 0: none
	RefusedReason   string
	ActiveVersion   uint64
	Fenced          string // why the node serves no requests; empty: it serves
}

// Reports returns a node's report, or nil if the node has not reported to this leader.
type Reports func(*membership.Node) *NodeReport

// Blocker is a node that blocks a change, with the reason.
type Blocker struct {
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Reason string `json:"why"`
}

// Blockers returns the nodes that the current change waits for and the nodes that refuse it.
//
// During preparation, each node that is in must report the version as prepared, and a silent autonomous node blocks the
// change as well: it would serve under the older version indefinitely. After the decision, each live lease that allows
// an older version blocks it, for at most the span of a lease unless the lease is autonomous.
func (s *State) Blockers(f *membership.State, reports Reports) (blockers, refusals []Blocker) {
	c := s.Current
	if c == nil {
		return nil, nil
	}
	if f.ClockMS < f.UnknownLeasesExpireMS {
		// After a restoration nodes may still act on leases that this state does not know.
		reason := fmt.Sprintf("may act on their leases for %d ms at most", f.UnknownLeasesExpireMS-f.ClockMS)
		blockers = append(blockers, Blocker{membership.UnknownNodes, "", reason})
	}
	for _, n := range f.Nodes() {
		switch {
		case c.Step != Preparing:
			if f.MayServeOlder(n, c.Version) {
				reason := "may serve under an older version " + olderLeaseBound(f, n, c.Version)
				blockers = append(blockers, Blocker{n.Name, n.Zone, reason})
			}
		case n.IsOut():
			if n.Lease.Live(f.ClockMS) && n.Lease.Autonomous {
				const reason = "is silent and may serve alone, as when_alone = go-on is in force"
				blockers = append(blockers, Blocker{n.Name, n.Zone, reason})
			}
		default:
			reason, refused := preparationBlocker(c, reports(n))
			if refused {
				refusals = append(refusals, Blocker{n.Name, n.Zone, reason})
			} else if reason != "" {
				blockers = append(blockers, Blocker{n.Name, n.Zone, reason})
			}
		}
	}
	return blockers, refusals
}

// preparationBlocker returns why a node, by its report, blocks or refuses a change in preparation; empty: the node has
// prepared the version.
func preparationBlocker(c *Change, r *NodeReport) (reason string, refused bool) {
	switch {
	case r == nil:
		return "has not told this leader anything yet", false
	case r.RefusedVersion == c.Version:
		return truncate(r.RefusedReason), true
	case r.PreparedVersion != c.Version:
		return "has not prepared it", false
	}
	return "", false
}

// olderLeaseBound describes for how long a node may serve under a version older than the given one.
func olderLeaseBound(f *membership.State, n *membership.Node, version uint64) string {
	expiresAtMS, unbounded := uint64(0), false
	include := func(l *membership.Lease) {
		if l.Live(f.ClockMS) && l.MinVersion < version {
			expiresAtMS, unbounded = max(expiresAtMS, l.ExpiresAtMS), unbounded || l.Autonomous
		}
	}
	include(&n.Lease)
	for i := range n.EarlierLeases {
		include(&n.EarlierLeases[i])
	}
	if unbounded {
		return "until it is heard or forgotten"
	}
	return fmt.Sprintf("for %d ms at most", expiresAtMS-f.ClockMS)
}
