package zones

// Cause is why a zone was evacuated or ramps. An evacuation for failing nodes has their Symptom as its cause. The
// values are stored and shown, so their spelling must not change.
type Cause string

// Causes other than symptoms.
const (
	causeDead     Cause = "dead"
	causeCutOff   Cause = "cut off"  // no contact with the group: its leases have expired and its nodes shed
	causeRestart  Cause = "restart"  // the fleet ramps after a cold start
	causeRestored Cause = "restored" // the group was restored, and nodes had a partial share of the zone
	causeOperator Cause = "operator"
	causeDrill    Cause = "drill"
)
