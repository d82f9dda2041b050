package zones

// Phase is a zone's phase. The values are stored and sent, so their spelling must not change.
type Phase string

// Phases of a zone: InService -> Evacuating -> Evacuated -> Ramping -> InService. A ramp that steps back to a share
// of 0 is Evacuating.
const (
	InService  Phase = "in"
	Evacuating Phase = "leaving"   // some node may still act on the previous epoch
	Evacuated  Phase = "out"       // fully, or partially at a reduced share; no node acts on an older epoch
	Ramping    Phase = "returning" // at a share, with rate limits
)

// WholeFleet names the whole fleet, which ramps like a zone after a cold start. No zone of nodes can have this name.
const WholeFleet = "*"
