package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
)

// OpKind says what an operation does. The values are stored and sent: their spelling stays.
type OpKind string

// Kinds of operations. Operators may ask for OpEvacuate, OpRamp, OpStepBack and OpHold; the others are the rules' own.
const (
	OpEvacuate OpKind = "leave"  // evacuate a zone, wholly or but for a share
	OpSettle   OpKind = "settle" // no lease acts on an older epoch any more
	OpRamp     OpKind = "step"   // begin a ramp, or raise its share or rate limit
	OpSplit    OpKind = "split"  // divide a rate limit among the leases anew
	OpEndRamp  OpKind = "in"     // end a ramp: the zone is in service
	OpStepBack OpKind = "back"   // lower a ramp's share; to 0: evacuate
	OpObserve  OpKind = "bore"   // keep observed capacities
	OpHold     OpKind = "hold"   // let the rules decide nothing for a time
)

// Bounds of what an operator sends. They keep an entry of the log small.
const (
	maxOperatorBytes      = 200
	maxReasonBytes        = 2000
	minKeyBytes           = 8 // fewer could be the same by chance for two operations
	maxKeyBytes           = 80
	maxOperatorDurationMS = 24 * 3600_000 // a day: a zone that is held or drilled for longer was forgotten
)

// Op is the stored and sent form of an operation: one JSON object with the fields that its kind has. decode reads it,
// and nothing else goes by its fields but what an operator may set.
type Op struct {
	Kind                OpKind  `json:"op"`
	Zone                string  `json:"zone,omitempty"`
	Epoch               uint64  `json:"epoch"` // that it was decided in
	Share               int     `json:"share,omitempty"`
	PriorityCutoff      float64 `json:"worth,omitempty"`
	RateLimit           float64 `json:"ceiling,omitempty"` // runs a second
	ConnectRateLimit    float64 `json:"dials,omitempty"`   // connections a second
	RetryBudget         int     `json:"retry,omitempty"`
	NoCapacityElsewhere bool    `json:"full,omitempty"`
	Cause               Cause   `json:"cause,omitempty"`
	Reason              string  `json:"why,omitempty"`
	Operator            string  `json:"by,omitempty"`
	ValueOfStaying      float64 `json:"stay,omitempty"` // priority weight completed a second
	ValueOfEvacuating   float64 `json:"go,omitempty"`
	// WaitMS is the least time until the zone ramps (evacuate, step back), or for which it is held.
	WaitMS         uint64                      `json:"wait_ms,omitempty"`
	DrillMS        uint64                      `json:"drill_ms,omitempty"`
	Capacities     map[string]ObservedCapacity `json:"bores,omitempty"`
	IdempotencyKey string                      `json:"key,omitempty"` // of an operator's request
}

// Result is what came of an operation.
type Result struct {
	Kind           OpKind `json:"Kind"`
	Zone           string `json:"Zone"`
	IdempotencyKey string `json:"Key"`
	Epoch          uint64 `json:"Epoch"`
	Phase          Phase  `json:"Step"`
	Share          int    `json:"Share"`
	Err            string `json:"Err"` // why it was rejected; empty: it was applied
}

// Rejected reports whether the operation changed nothing, for the reason in Err.
func (r Result) Rejected() bool { return r.Err != "" }

// ClearRulesFields clears what an operator sent and only the rules may set: rate limits of a zone that an operator
// returns come from the capacity that was observed in it.
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

// Validate says what is wrong with an operator's operation before it is proposed: an *api.FieldError or an
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

func lengthError(field, text, expected string) error {
	return &api.FieldError{Field: field, Found: fmt.Sprintf("%d bytes", len(text)), Expected: expected}
}
