package membership

// Backoff of names that join again and again. Each join is an entry of the log and raises the fleet's epoch, which
// makes a decision that is under way wait for the new incarnation.
const (
	// freeJoins is how often a name may join within joinWindowMS without a wait: four cover a deploy and its rollback.
	// More would let a crash loop delay every change of policy.
	freeJoins = 4
	// joinWindowMS is how long a join counts, in ms.
	joinWindowMS = 60_000
	// initialJoinBackoffMS is the first wait, in ms; each join after it doubles the wait.
	initialJoinBackoffMS = 1000
	// maxJoinBackoffMS bounds the wait, in ms: a crash loop costs the group two entries a minute, and a node that is
	// mended is back within half a minute.
	maxJoinBackoffMS = 30_000
	// maxJoinTimes bounds the joins that are remembered for a name; a name within its backoff has fewer.
	maxJoinTimes = 16
	// maxEarlierLeases bounds the live leases of replaced incarnations of a name.
	maxEarlierLeases = 8
)

// joinBackoffMS decides how long a name has to wait before it may join again, in ms; 0: not at all.
//
// It decides by the group's times of the name's last joins and the leases of its earlier incarnations that are live.
// It protects the group's log and changes of policy from a node that restarts in a loop. It acts from the fifth join
// within a minute on, and may keep a healthy node out for half a minute that was restarted so often by hand. With
// maxEarlierLeases live ones it waits for the oldest of them: none is dropped, as its holder may act on it.
func (s *State) joinBackoffMS(n *Node) uint64 {
	for len(n.JoinTimesMS) > 0 && s.ClockMS-n.JoinTimesMS[0] > joinWindowMS {
		n.JoinTimesMS = n.JoinTimesMS[1:]
	}
	mayJoinAtMS := uint64(0)
	if doublings := len(n.JoinTimesMS) - freeJoins; doublings >= 0 {
		lastJoinMS := n.JoinTimesMS[len(n.JoinTimesMS)-1]
		mayJoinAtMS = lastJoinMS + min(uint64(initialJoinBackoffMS)<<doublings, maxJoinBackoffMS)
	}
	if len(n.EarlierLeases) >= maxEarlierLeases {
		mayJoinAtMS = max(mayJoinAtMS, n.EarlierLeases[0].ExpiresAtMS)
	}
	return mayJoinAtMS - min(mayJoinAtMS, s.ClockMS)
}
