package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
)

// OpKind is the kind of an operation. The values are stored and sent, so their spelling must not change.
type OpKind string

// Kinds of operations. Operators may request OpEvacuate, OpRamp, OpStepBack and OpHold; the rules decide the others.
const (
	OpEvacuate OpKind = "leave"  // evacuate a zone, fully or partially
	OpSettle   OpKind = "settle" // mark the epoch as settled: no lease acts on an older one
	OpRamp     OpKind = "step"   // begin a ramp, or raise its share or rate limit
	OpSplit    OpKind = "split"  // split a rate limit among the current leases
	OpEndRamp  OpKind = "in"     // end a ramp: the zone is in service
	OpStepBack OpKind = "back"   // lower a ramp's share; evacuate at 0
	OpObserve  OpKind = "bore"   // store observed capacities
	OpHold     OpKind = "hold"   // suspend the rules for a zone for a time
)

// Limits of an operator's operation, which keep log entries small.
const (
	maxOperatorBytes      = 200
	maxReasonBytes        = 2000
	minKeyBytes           = 8 // shorter keys could collide
	maxKeyBytes           = 80
	maxOperatorDurationMS = 24 * 3600_000 // a day; a longer hold or drill is likely forgotten
)

// Op is the stored and sent form of an operation: a JSON object with the fields of its kind. decode converts it; only
// code that handles operators' requests reads its fields directly.
type Op struct {
	Kind                OpKind  `json:"op"`
	Zone                string  `json:"zone,omitempty"`
	Epoch               uint64  `json:"epoch"` // in which it was decided; of an operator's operation: at its append
	Share               int     `json:"share,omitempty"`
	PriorityCutoff      float64 `json:"worth,omitempty"`
	RateLimit           float64 `json:"ceiling,omitempty"` // runs a second
	ConnectRateLimit    float64 `json:"dials,omitempty"`   // connections a second
	RetryBudget         int     `json:"retry,omitempty"`
	NoCapacityElsewhere bool    `json:"full,omitempty"`
	Cause               Cause   `json:"cause,omitempty"`
	Reason              string  `json:"why,omitempty"`
	Operator            string  `json:"by,omitempty"`
	ValueOfStaying      float64 `json:"stay,omitempty"` // expected weight completed a second
	ValueOfEvacuating   float64 `json:"go,omitempty"`
	// WaitMS is the least time until the zone ramps (evacuate, step back), or the duration of a hold.
	WaitMS         uint64                      `json:"wait_ms,omitempty"`
	DrillMS        uint64                      `json:"drill_ms,omitempty"`
	Capacities     map[string]ObservedCapacity `json:"bores,omitempty"`
	IdempotencyKey string                      `json:"key,omitempty"` // of an operator's request
}

// Result is the outcome of an operation.
type Result struct {
	Kind           OpKind `json:"Kind"`
	Zone           string `json:"Zone"`
	IdempotencyKey string `json:"Key"`
	Epoch          uint64 `json:"Epoch"`
	Phase          Phase  `json:"Step"`
	Share          int    `json:"Share"`
	Err            string `json:"Err"` // reason of the rejection; empty if it was applied
}

// Rejected reports whether the operation was rejected and changed no zone; Err has the reason.
func (r Result) Rejected() bool { return r.Err != "" }

// ClearRulesFields clears the fields of an operator's operation that only the rules set: the rate limits of a zone
// come from its observed capacity.
func (op *Op) ClearRulesFields() {
	op.RateLimit, op.ConnectRateLimit = 0, 0
	op.PriorityCutoff, op.Capacities = 0, nil
	op.ValueOfStaying, op.ValueOfEvacuating = 0, 0
	op.Epoch = 0
	if op.Kind != OpEvacuate {
		return
	}
	op.Cause = causeOperator
	if op.DrillMS > 0 {
		op.Cause = causeDrill
	}
}

// Validate checks an operator's operation before it is proposed. Its error is an *api.FieldError or an
// *api.FieldsError.
func (op *Op) Validate() error {
	switch op.Kind {
	case OpEvacuate, OpStepBack, OpRamp, OpHold:
	default:
		return &api.FieldError{Field: "op", Found: fmt.Sprintf("%.20q", op.Kind), Expected: "leave, step, back or hold"}
	}
	switch {
	case op.Operator == "" || len(op.Operator) > maxOperatorBytes:
		return lengthError("by", op.Operator, fmt.Sprintf("1 to %d", maxOperatorBytes))
	case len(op.Reason) > maxReasonBytes:
		return lengthError("why", op.Reason, fmt.Sprintf("at most %d", maxReasonBytes))
	case op.Share < 0 || op.Share > api.FullShare:
		return &api.FieldError{Field: "share", Found: fmt.Sprint(op.Share), Expected: fmt.Sprintf("0 to %d",
			api.FullShare)}
	case len(op.IdempotencyKey) < minKeyBytes || len(op.IdempotencyKey) > maxKeyBytes:
		return lengthError("key", op.IdempotencyKey, fmt.Sprintf("%d to %d", minKeyBytes, maxKeyBytes))
	case op.WaitMS > maxOperatorDurationMS || op.DrillMS > maxOperatorDurationMS:
		return &api.FieldsError{Fields: fmt.Sprintf("wait_ms %d, drill_ms %d", op.WaitMS, op.DrillMS),
			Expected: "a day at most"}
	}
	return nil
}

func lengthError(field, value, expected string) error {
	return &api.FieldError{Field: field, Found: fmt.Sprintf("%d bytes", len(value)), Expected: expected}
}
