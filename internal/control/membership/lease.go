package membership

// The group's lease span exceeds the lease that the holder measures by a margin.
const (
	// leaseMarginDivisor gives the part of the lease that is added as a margin: one hundredth, for a node's clock that
	// runs up to one percent slower than the leader's.
	leaseMarginDivisor = 100
	// leaseMarginMS is the fixed margin, in ms, for the leader's ticks between which a renewal is committed.
	leaseMarginMS = 100
)

// LeaseSpanMS returns the time in ms after which the group treats a lease of leaseMS as expired.
//
// The holder measures the lease from the time it sent its request, the group from the commit of the renewal, which is
// later. The margin covers a slow clock of the holder, which would otherwise still act on an expired lease.
func LeaseSpanMS(leaseMS uint64) uint64 { return leaseMS + leaseMS/leaseMarginDivisor + leaseMarginMS }

// LeaseTerms are the terms for granting a lease under the active policy and the latest decisions.
type LeaseTerms struct {
	LeaseMS        uint64 // lease as the holder measures it
	Autonomous     bool   // the holder may keep serving after the lease expires
	DecidedVersion uint64 // policy version to promise for an extension
	ZoneEpoch      uint64 // zone epoch to promise for an extension
}

// PromisedBy reports whether a node that promises to serve under no version before minVersion, and to act on no zone
// epoch before minZoneEpoch, may have its lease extended.
//
// Otherwise a node that has not received a decision could renew and serve under the older version indefinitely, and the
// change would never settle.
func (t *LeaseTerms) PromisedBy(minVersion, minZoneEpoch uint64) bool {
	return minVersion >= t.DecidedVersion && minZoneEpoch >= t.ZoneEpoch
}

// Lease lets one incarnation act on the policy version and zone epoch that it has received.
type Lease struct {
	ID           uint32 `json:"id"` // 0: none
	Nonce        string `json:"nonce"`
	ExpiresAtMS  uint64 `json:"until"`           // group clock by which the holder has stopped, unless Autonomous
	MinVersion   uint64 `json:"floor"`           // the holder promised to serve under no older version
	MinZoneEpoch uint64 `json:"zones,omitempty"` // and to act on no older zone epoch
	Autonomous   bool   `json:"alone,omitempty"` // the holder may keep serving after ExpiresAtMS
}

// Live reports whether the holder may still act on the lease at the given group clock, in ms.
func (l *Lease) Live(clockMS uint64) bool {
	return l.ID != 0 && (l.Autonomous || clockMS < l.ExpiresAtMS)
}

// extend grants the lease from the current clock on. It never shortens a lease: the holder may not know of shorter
// terms yet.
func (s *State) extend(l *Lease, terms LeaseTerms) {
	l.ExpiresAtMS = max(l.ExpiresAtMS, s.ClockMS+LeaseSpanMS(terms.LeaseMS))
	l.Autonomous = terms.Autonomous
}

// endAutonomy sets an expiry for an earlier incarnation's autonomous lease. Its name has rejoined, so its process has
// ended or will learn from its next heartbeat that it was replaced.
func (s *State) endAutonomy(l *Lease, terms LeaseTerms) {
	if l.Autonomous {
		l.Autonomous = false
		l.ExpiresAtMS = max(l.ExpiresAtMS, s.ClockMS+LeaseSpanMS(terms.LeaseMS))
	}
}
