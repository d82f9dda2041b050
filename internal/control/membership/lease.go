package membership

// How much longer the group counts a lease than its holder does.
const (
	// leaseMarginDivisor adds a hundredth of the lease, which covers a node's clock that runs slower than the leader's
	// by up to one percent. A larger margin lets a change wait longer for nodes that are gone.
	leaseMarginDivisor = 100
	// leaseMarginMS covers the two ticks of a leader between which a renewal may have been committed.
	leaseMarginMS = 100
)

// LeaseSpanMS gives how long the group counts a lease of leaseMS, in ms.
//
// It guards against counting a lease as run out that its holder still acts on: two versions would be served under after
// a change that had ruled it out. A node counts from the sending of its request, by a clock that may be slow; the group
// counts from the commit of the renewal, which is later, by a clock that may be fast, so its count has a margin.
func LeaseSpanMS(leaseMS uint64) uint64 { return leaseMS + leaseMS/leaseMarginDivisor + leaseMarginMS }

// LeaseTerms are the terms of a lease that is granted now, by the policy in force and what was decided since.
type LeaseTerms struct {
	LeaseMS        uint64 // the holder's own count, in ms
	Autonomous     bool   // the holder may go on serving when the lease has run out
	DecidedVersion uint64 // of the policy: who does not promise it gets no longer lease
	ZoneEpoch      uint64 // the newest epoch of the zones: the same
}

// PromisedBy tells whether a node that promises to serve under no version before minVersion and to act on no epoch of
// the zones before minZoneEpoch may get a longer lease.
//
// It guards against a lease that outlives a decision: a holder that was not told of the decision could serve under
// the older version for as long as it renews, and the change would never settle.
func (t *LeaseTerms) PromisedBy(minVersion, minZoneEpoch uint64) bool {
	return minVersion >= t.DecidedVersion && minZoneEpoch >= t.ZoneEpoch
}

// Lease is the right of one incarnation to act on what it was told.
type Lease struct {
	ID           uint32 `json:"id"` // 0: none
	Nonce        string `json:"nonce"`
	ExpiresAtMS  uint64 `json:"until"`           // group's time from which on it has surely run out
	MinVersion   uint64 `json:"floor"`           // its holder promised to serve under no older version
	MinZoneEpoch uint64 `json:"zones,omitempty"` // and to act on no older epoch of the zones
	Autonomous   bool   `json:"alone,omitempty"` // its holder may serve on past ExpiresAtMS
}

// Live tells whether its holder may still act on it at a group's time in ms.
func (l *Lease) Live(clockMS uint64) bool {
	return l.ID != 0 && (l.Autonomous || clockMS < l.ExpiresAtMS)
}

// extend grants a lease from the group's time on. It never shortens one: the holder may not have heard of shorter
// terms.
func (s *State) extend(l *Lease, terms LeaseTerms) {
	l.ExpiresAtMS = max(l.ExpiresAtMS, s.ClockMS+LeaseSpanMS(terms.LeaseMS))
	l.Autonomous = terms.Autonomous
}

// endAutonomy bounds an earlier incarnation's lease that had no end: its name has begun anew, so its process serves no
// more or learns at its next heartbeat that it was replaced.
func (s *State) endAutonomy(l *Lease, terms LeaseTerms) {
	if l.Autonomous {
		l.Autonomous = false
		l.ExpiresAtMS = max(l.ExpiresAtMS, s.ClockMS+LeaseSpanMS(terms.LeaseMS))
	}
}
