package zones

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
)

// TestStoredOperationsRoundTrip checks that log entries of older versions and leaders decode to the same operations
// and encode to the same bytes. Fields of other kinds are ignored.
func TestStoredOperationsRoundTrip(t *testing.T) {
	dest, budget := target{"a", 4}, retryBudget{9, true}
	newLimits := limits{16, 2.5, 100, 50, budget}
	basis := rationale{"an operator", "enough", 7.5, 8.5}
	capacities := map[string]ObservedCapacity{"a": {RunRate: 100, Concurrency: 3}}
	const rationaleJSON = `"why":"enough","by":"an operator","stay":7.5,"go":8.5`
	const limitsJSON = `"share":16,"worth":2.5,"ceiling":100,"dials":50,"retry":9,"full":true`
	const capacitiesJSON = `"bores":{"a":{"runs":100,"in_flight":3,"run_ms":0,"call_ms":0,"opened":0,"came":0}}`
	for _, c := range []struct {
		stored string
		want   operation
	}{
		{`{"op":"leave","zone":"a","epoch":4,` + limitsJSON + `,"cause":"dead",` + rationaleJSON +
			`,"wait_ms":2000,"drill_ms":1000,` + capacitiesJSON + `}`,
			&evacuation{dest, newLimits, basis, causeDead, 2000, 1000, capacities}},
		{`{"op":"settle","epoch":4}`, &settlement{target{epoch: 4}}},
		{`{"op":"step","zone":"a","epoch":4,` + limitsJSON + `,` + rationaleJSON + `}`,
			&rampStep{dest, newLimits, basis}},
		{`{"op":"split","zone":"a","epoch":4,"retry":9,"full":true}`, &quotaSplit{dest, budget}},
		{`{"op":"in","zone":"a","epoch":4,"retry":9,"full":true,` + rationaleJSON + `}`, &rampEnd{dest, basis, budget}},
		{`{"op":"back","zone":"a","epoch":4,` + limitsJSON + `,"cause":"lateness",` +
			rationaleJSON + `,"wait_ms":2000}`,
			&stepBack{dest, newLimits, basis, Cause(symptomRunsLate), 2000}},
		{`{"op":"bore","epoch":0,` + capacitiesJSON + `}`, &observation{target{}, capacities}},
		{`{"op":"hold","zone":"a","epoch":4,"by":"an operator","wait_ms":2000}`, &hold{dest, "an operator", 2000}},
		{`{"op":"fly","zone":"a","epoch":4}`, &unknownOperation{dest, "fly"}},
	} {
		var op Op
		if err := json.Unmarshal([]byte(c.stored), &op); err != nil {
			t.Fatal(err)
		}
		decoded := op.decode()
		if !reflect.DeepEqual(decoded, c.want) {
			t.Errorf("decode(%s) = %#v, want %#v", c.stored, decoded, c.want)
			continue
		}
		if raw, err := json.Marshal(decoded.encode()); err != nil || string(raw) != c.stored {
			t.Errorf("encode() = %s (%v), want %s", raw, err, c.stored)
		}
	}
	split := (&Op{Kind: OpSplit, Zone: "a", Epoch: 4, Share: 3, Cause: causeDead, Reason: "late"}).decode()
	if !reflect.DeepEqual(split, &quotaSplit{target: dest}) {
		t.Errorf("decode() of a split with other fields = %#v, want a split only", split)
	}
}

// TestClearRulesFields checks that an operator can't set the fields of the rules, such as a rate limit above the
// observed capacity.
func TestClearRulesFields(t *testing.T) {
	full := Op{Kind: OpRamp, Zone: "a", Epoch: 4, Share: 3, PriorityCutoff: 2, RateLimit: 5, ConnectRateLimit: 6,
		ValueOfStaying: 7, ValueOfEvacuating: 8, Capacities: map[string]ObservedCapacity{"a": {}}, Operator: "op"}
	full.ClearRulesFields()
	if want := (Op{Kind: OpRamp, Zone: "a", Share: 3, Operator: "op"}); !reflect.DeepEqual(full, want) {
		t.Errorf("cleared operation = %+v, want %+v", full, want)
	}
	for drillMS, want := range map[uint64]Cause{0: causeOperator, 1000: causeDrill} {
		op := Op{Kind: OpEvacuate, Zone: "a", DrillMS: drillMS}
		if op.ClearRulesFields(); op.Cause != want {
			t.Errorf("drill of %d ms: cause %q, want %q", drillMS, op.Cause, want)
		}
	}
}

// TestValidateOperatorsOperations checks that an invalid request of an operator is rejected before it reaches the
// log, with an error that names the field, the value found and the values expected.
func TestValidateOperatorsOperations(t *testing.T) {
	valid := Op{Kind: OpEvacuate, Operator: "op", IdempotencyKey: "key-00001"}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		change func(*Op)
		want   string
	}{
		{func(op *Op) { op.Kind = OpSettle }, `op: found "settle", expected leave, step, back or hold`},
		{func(op *Op) { op.Operator = "" }, "by: found 0 bytes, expected 1 to 200"},
		{func(op *Op) { op.Reason = strings.Repeat("x", 2001) }, "why: found 2001 bytes, expected at most 2000"},
		{func(op *Op) { op.Share = 257 }, "share: found 257, expected 0 to 256"},
		{func(op *Op) { op.IdempotencyKey = "key" }, "key: found 3 bytes, expected 8 to 80"},
	} {
		op := valid
		c.change(&op)
		var field *api.FieldError
		if err := op.Validate(); !errors.As(err, &field) || err.Error() != c.want {
			t.Errorf("Validate() = %v, want %s", err, c.want)
		}
	}
	op := valid
	op.DrillMS = maxOperatorDurationMS + 1
	var fields *api.FieldsError
	const want = "wait_ms 0, drill_ms 86400001: expected a day at most"
	if err := op.Validate(); !errors.As(err, &fields) || err.Error() != want {
		t.Errorf("Validate() = %v, want %s", err, want)
	}
}
