package zones

// Phase is where a zone stands. The values are stored and sent: their spelling stays.
type Phase string

// Phases of a zone. InService -> Evacuating -> Evacuated -> Ramping -> InService; a ramp that steps back to nothing
// is Evacuating.
const (
	InService  Phase = "in"
	Evacuating Phase = "leaving"   // decided; some node may act on the epoch before
	Evacuated  Phase = "out"       // wholly or in part: nobody acts on an older epoch
	Ramping    Phase = "returning" // at a share, under a rate limit
)

// WholeFleet names the fleet as a whole where it starts cold: it ramps like a zone. No zone of nodes can have the name.
const WholeFleet = "*"
