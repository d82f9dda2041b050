package zones

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
)

// TestStoredOperations: an entry that an older build or an earlier leader appended is read as what it was appended as,
// and each operation is stored in one form. What an entry says beside the fields of its kind counts for nothing.
func TestStoredOperations(t *testing.T) {
	on, budget := target{"a", 4}, retryBudget{9, true}
	takes := limits{16, 2.5, 100, 50, budget}
	why := rationale{"an operator", "enough", 7.5, 8.5}
	capacities := map[string]ObservedCapacity{"a": {RunRate: 100, Concurrency: 3}}
	const grounded = `"why":"enough","by":"an operator","stay":7.5,"go":8.5`
	const limited = `"share":16,"worth":2.5,"ceiling":100,"dials":50,"retry":9,"full":true`
	const observed = `"bores":{"a":{"runs":100,"in_flight":3,"run_ms":0,"call_ms":0,"opened":0,"came":0}}`
	for _, c := range []struct {
		stored string
		want   operation
	}{
		{`{"op":"leave","zone":"a","epoch":4,` + limited + `,"cause":"dead",` + grounded +
			`,"wait_ms":2000,"drill_ms":1000,` + observed + `}`,
			&evacuation{on, takes, why, causeDead, 2000, 1000, capacities}},
		{`{"op":"settle","epoch":4}`, &settlement{target{epoch: 4}}},
		{`{"op":"step","zone":"a","epoch":4,` + limited + `,` + grounded + `}`, &rampStep{on, takes, why}},
		{`{"op":"split","zone":"a","epoch":4,"retry":9,"full":true}`, &quotaSplit{on, budget}},
		{`{"op":"in","zone":"a","epoch":4,"retry":9,"full":true,` + grounded + `}`, &rampEnd{on, why, budget}},
		{`{"op":"back","zone":"a","epoch":4,` + limited + `,"cause":"lateness",` + grounded + `,"wait_ms":2000}`,
			&stepBack{on, takes, why, Cause(symptomRunsLate), 2000}},
		{`{"op":"bore","epoch":0,` + observed + `}`, &observation{target{}, capacities}},
		{`{"op":"hold","zone":"a","epoch":4,"by":"an operator","wait_ms":2000}`, &hold{on, "an operator", 2000}},
		{`{"op":"fly","zone":"a","epoch":4}`, &unknownOperation{on, "fly"}},
	} {
		var op Op
		if err := json.Unmarshal([]byte(c.stored), &op); err != nil {
			t.Fatal(err)
		}
		read := op.decode()
		if !reflect.DeepEqual(read, c.want) {
			t.Errorf("%s: found %#v, expected %#v", c.stored, read, c.want)
			continue
		}
		if raw, err := json.Marshal(read.encode()); err != nil || string(raw) != c.stored {
			t.Errorf("found %s (%v), expected %s", raw, err, c.stored)
		}
	}
	split := (&Op{Kind: OpSplit, Zone: "a", Epoch: 4, Share: 3, Cause: causeDead, Reason: "late"}).decode()
	if !reflect.DeepEqual(split, &quotaSplit{target: on}) {
		t.Errorf("found %#v, expected a split alone", split)
	}
}

// TestClearRulesFields: what only the rules may set must not come from an operator, or a request could give a zone a
// rate limit that its services were never seen to bear.
func TestClearRulesFields(t *testing.T) {
	full := Op{Kind: OpRamp, Zone: "a", Epoch: 4, Share: 3, PriorityCutoff: 2, RateLimit: 5, ConnectRateLimit: 6,
		ValueOfStaying: 7, ValueOfEvacuating: 8, Capacities: map[string]ObservedCapacity{"a": {}}, Operator: "op"}
	full.ClearRulesFields()
	if want := (Op{Kind: OpRamp, Zone: "a", Share: 3, Operator: "op"}); !reflect.DeepEqual(full, want) {
		t.Errorf("found %+v, expected %+v", full, want)
	}
	for drillMS, want := range map[uint64]Cause{0: causeOperator, 1000: causeDrill} {
		op := Op{Kind: OpEvacuate, Zone: "a", DrillMS: drillMS}
		if op.ClearRulesFields(); op.Cause != want {
			t.Errorf("a drill of %d ms: found cause %q, expected %q", drillMS, op.Cause, want)
		}
	}
}

// TestOperatorsOperations: what an operator may not ask for is refused before it reaches the log, by an error that says
// what was found and expected.
func TestOperatorsOperations(t *testing.T) {
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
			t.Errorf("found %v, expected %s", err, c.want)
		}
	}
	op := valid
	op.DrillMS = maxOperatorDurationMS + 1
	var fields *api.FieldsError
	const want = "wait_ms 0, drill_ms 86400001: expected a day at most"
	if err := op.Validate(); !errors.As(err, &fields) || err.Error() != want {
		t.Errorf("found %v, expected %s", err, want)
	}
}
