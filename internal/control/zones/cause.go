package zones

// Cause is why a zone left service or ramps. The values are stored and shown: their spelling stays. An evacuation for
// what ails a zone's nodes has their Symptom as its cause.
type Cause string

// Causes beside symptoms.
const (
	causeDead     Cause = "dead"
	causeCutOff   Cause = "cut off"  // from the group, so its leases have run out
	causeRestart  Cause = "restart"  // the fleet ramps after a cold start
	causeRestored Cause = "restored" // nodes of a restored group took a share of the zone only
	causeOperator Cause = "operator"
	causeDrill    Cause = "drill"
)
