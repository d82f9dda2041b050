package policy

import (
	"fmt"

	"umberwinch/internal/control/membership"
)

// NodeReport is what a node's present incarnation told the present leader.
type NodeReport struct {
	PreparedVersion uint64 // 0: none
	RefusedVersion  uint64 // 0: none
	RefusedReason   string
	ActiveVersion   uint64
	Fenced          string // why it takes no requests; empty: it takes them
}

// Reports gives a node's report, nil for a node that has not told this leader anything.
type Reports func(*membership.Node) *NodeReport

// Blocker is a node that a change waits for, and why.
type Blocker struct {
	Node   string `json:"node"`
	Zone   string `json:"zone"`
	Reason string `json:"why"`
}

// Blockers decides whom the change under way waits for, and who refuses it.
//
// It decides by the table of nodes at the group's time and by what nodes reported to this leader. While the change is
// prepared, all nodes that are in have to report the version prepared, and a silent one that may serve on without the
// group is waited for as well: it would serve under the older version for ever. Once it is decided, all live leases
// that allow an older version are waited for. It holds a change up for the span of a lease at most where nodes fence,
// without bound where they serve on.
func (s *State) Blockers(f *membership.State, reports Reports) (blockers, refusals []Blocker) {
	c := s.Current
	if c == nil {
		return nil, nil
	}
	if f.ClockMS < f.UnknownLeasesExpireMS {
		// In a restored group's first moments nobody is in, and all nodes may be on their way.
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

// preparationBlocker says by a node's report why a change that is prepared waits for it, or that and why the node refuses it;
// empty: it has prepared.
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

// olderLeaseBound says for how long a node may serve under a version older than the one given.
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
