package zones

// operation is the typed form of an operation on zones, with the fields of its kind. Op is its stored and sent form.
type operation interface {
	// appliesTo returns the zone and epoch; zero for an operation on several zones.
	appliesTo() target
	encode() *Op
}

// target is the zone that an operation changes, and the epoch in which it was decided.
type target struct {
	zone  string
	epoch uint64
}

func (t target) appliesTo() target { return t }

// limits apply to a zone from the operation's epoch on, and the budget to the zones in service.
type limits struct {
	share            int     // of api.FullShare
	priorityCutoff   float64 // see api.ZoneOrder
	rateLimit        float64 // runs a second
	connectRateLimit float64 // connections a second
	budget           retryBudget
}

// retryBudget limits the retries that the zones in service admit; see State.
type retryBudget struct {
	retries             int
	noCapacityElsewhere bool
}

// rationale is who decided an operation and why.
type rationale struct {
	operator          string // empty: the rules
	reason            string
	valueOfStaying    float64 // expected weight completed a second
	valueOfEvacuating float64
}

// text returns the operator and the reason, shortened for an event.
func (r rationale) text() string {
	reason := r.reason
	if len(reason) > maxEventBytes {
		reason = reason[:maxEventBytes] + "..."
	}
	if r.operator == "" {
		return reason
	}
	return r.operator + ": " + reason
}

// evacuation takes a zone out of service, fully or partially.
type evacuation struct {
	target
	limits
	rationale
	cause      Cause
	waitMS     uint64 // least time until the zone ramps
	drillMS    uint64 // 0: no drill
	capacities map[string]ObservedCapacity
}

// settlement marks the epoch as settled: no node acts on an older one.
type settlement struct{ target }

// rampStep begins a ramp, or raises its share or rate limit.
type rampStep struct {
	target
	limits
	rationale
}

// quotaSplit splits a ramp's rate limit among the current leases.
type quotaSplit struct {
	target
	budget retryBudget
}

// rampEnd returns a zone to service without limits.
type rampEnd struct {
	target
	rationale
	budget retryBudget
}

// stepBack lowers a ramp's share; at 0 the zone is evacuated.
type stepBack struct {
	target
	limits
	rationale
	cause  Cause
	waitMS uint64 // least time until the zone ramps, if it is evacuated
}

// observation stores observed capacities, by zone.
type observation struct {
	target
	capacities map[string]ObservedCapacity
}

// hold suspends the rules for a zone for a time.
type hold struct {
	target
	operator   string
	durationMS uint64
}

// unknownOperation is one of a kind that this version does not know. It is rejected.
type unknownOperation struct {
	target
	kind OpKind
}

// evacuates reports whether an operation evacuates its zone, fully or partially. The whole fleet can't be evacuated,
// as no other zone could take its load.
func evacuates(o operation) bool {
	switch o := o.(type) {
	case *evacuation:
		return true
	case *stepBack:
		return o.share == 0
	}
	return false
}

// raisesLoad reports whether an operation may raise a node's load.
func raisesLoad(o operation) bool {
	switch o.(type) {
	case *rampStep, *quotaSplit, *rampEnd:
		return true
	}
	return false
}
