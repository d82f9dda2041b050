package zones

// operation is one operation on zones, with the fields that it has: an evacuation, settlement, rampStep, quotaSplit,
// rampEnd, stepBack, observation or hold. Op is how it is stored and sent.
type operation interface {
	// appliesTo returns the zone and the epoch that it was decided for; zero where it is about several zones.
	appliesTo() target
	encode() *Op
}

// target is the zone that an operation is about, and the epoch that it was decided in.
type target struct {
	zone  string
	epoch uint64
}

func (t target) appliesTo() target { return t }

// limits are what a zone takes from an operation's epoch on, and what the others may admit of its callers' retries.
type limits struct {
	share            int     // of api.FullShare
	priorityCutoff   float64 // see api.ZoneOrder
	rateLimit        float64 // runs a second
	connectRateLimit float64 // connections a second
	budget           retryBudget
}

// retryBudget is what the zones in service may admit of retries; see State.
type retryBudget struct {
	retries             int
	noCapacityElsewhere bool
}

// rationale are who decided an operation and why.
type rationale struct {
	operator          string // empty: the rules
	reason            string
	valueOfStaying    float64 // expected, in priority weight completed a second
	valueOfEvacuating float64
}

// text returns the grounds as an event has them.
func (g rationale) text() string {
	reason := g.reason
	if len(reason) > maxEventBytes {
		reason = reason[:maxEventBytes] + "..."
	}
	if g.operator == "" {
		return reason
	}
	return g.operator + ": " + reason
}

// evacuation takes a zone out of service, wholly or but for a share.
type evacuation struct {
	target
	limits
	rationale
	cause      Cause
	waitMS     uint64 // the least time until the zone ramps
	drillMS    uint64 // 0: no drill
	capacities map[string]ObservedCapacity
}

// settlement ends the time in which nodes may act on an epoch before the newest.
type settlement struct{ target }

// rampStep begins a ramp, or raises its share or rate limit.
type rampStep struct {
	target
	limits
	rationale
}

// quotaSplit divides a ramp's rate limit among the leases anew.
type quotaSplit struct {
	target
	budget retryBudget
}

// rampEnd puts a zone in service.
type rampEnd struct {
	target
	rationale
	budget retryBudget
}

// stepBack lowers a ramp's share, to 0 to evacuate the zone again.
type stepBack struct {
	target
	limits
	rationale
	cause  Cause
	waitMS uint64 // the least time until an evacuated zone ramps
}

// observation keeps observed capacities, by zone.
type observation struct {
	target
	capacities map[string]ObservedCapacity
}

// hold lets the rules decide nothing about a zone for a time.
type hold struct {
	target
	operator   string
	durationMS uint64
}

// unknownOperation is one that this program does not know. It is rejected.
type unknownOperation struct {
	target
	kind OpKind
}

// evacuates reports whether an operation leaves nothing to the zone. The fleet as a whole has nowhere else to
// send its load.
func evacuates(o operation) bool {
	switch o := o.(type) {
	case *evacuation:
		return true
	case *stepBack:
		return o.share == 0
	}
	return false
}

// raisesLoad reports whether an operation may give a node more than it has.
func raisesLoad(o operation) bool {
	switch o.(type) {
	case *rampStep, *quotaSplit, *rampEnd:
		return true
	}
	return false
}
