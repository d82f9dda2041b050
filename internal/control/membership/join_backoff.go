package membership

// Join backoff. Each join adds to the log and increments the fleet epoch, which delays a pending decision until the new
// incarnation has prepared.
const (
	// freeJoins is the number of joins of a name within joinWindowMS without backoff, enough for a deploy and its
	// rollback.
	freeJoins = 4
	// joinWindowMS is the time for which a join counts towards the backoff, in ms.
	joinWindowMS = 60_000
	// initialJoinBackoffMS is the first backoff, in ms; each further join doubles it.
	initialJoinBackoffMS = 1000
	// maxJoinBackoffMS is the maximum backoff, in ms. It limits a crash loop to two log entries per minute.
	maxJoinBackoffMS = 30_000
	// maxJoinTimes is the maximum number of join times kept per name; the backoff keeps a name below it.
	maxJoinTimes = 16
	// maxEarlierLeases is the maximum number of live leases of replaced incarnations per name.
	maxEarlierLeases = 8
)

// joinBackoffMS returns the time until a name may join again, in ms; 0: it may join now. The backoff protects the log
// and policy changes from a node in a crash loop.
//
// With maxEarlierLeases live earlier leases the name waits for the oldest to expire. A live lease is never dropped, as
// its holder may still act on it.
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
