package policy

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// testVersions stores versions 1 to 9; version 7 can't follow another.
type testVersions struct{}

var errCannotFollow = errors.New("tenants: it takes away a tenant")

func (testVersions) Last() uint64 { return 9 }

func (testVersions) Check(version, _ uint64) (Rules, string, error) {
	if version == 7 {
		return Rules{}, "", errCannotFollow
	}
	return Rules{LeaseMS: 4000}, fmt.Sprint("hash-", version), nil
}

// newFleet returns a node table that the named nodes have joined.
func newFleet(t *testing.T, terms membership.LeaseTerms, names ...string) *membership.State {
	t.Helper()
	f := membership.New()
	batch := &membership.HeartbeatBatch{ElapsedMS: 1}
	for _, name := range names {
		batch.Joins = append(batch.Joins, api.JoinRequest{Name: name, Zone: "z", Nonce: name + "-process-1"})
	}
	if r := f.Apply(batch, 1, terms); !r.Applied || len(r.Granted) != len(names) {
		t.Fatalf("batch of joins: result %+v, want %d leases granted", r, len(names))
	}
	return f
}

// advance advances the fleet's clock and renews the leases of the named nodes.
func advance(f *membership.State, terms membership.LeaseTerms, ms uint64, names ...string) {
	batch := &membership.HeartbeatBatch{BatchesBefore: f.Batches, ElapsedMS: ms, MinVersion: terms.DecidedVersion}
	for _, name := range names {
		batch.Renewals = append(batch.Renewals, f.Lookup(name).Lease.ID)
	}
	f.Apply(batch, 1, terms)
}

func testProposal(version uint64) Proposal {
	return Proposal{Version: version, PrepareWithinMS: 5000, MaxLeftBehind: 1, Author: "an operator",
		IdempotencyKey: fmt.Sprint("key-00000", version)}
}

func reportsFrom(reports map[string]*NodeReport) Reports {
	return func(n *membership.Node) *NodeReport { return reports[n.Name] }
}

// TestNextWhilePreparing: a change waits for nodes that have not prepared until its timeout, is aborted at once by more
// refusals than MaxLeftBehind, and never leaves more nodes behind than that.
func TestNextWhilePreparing(t *testing.T) {
	type reports = map[string]*NodeReport
	prepared := &NodeReport{PreparedVersion: 1}
	refused := &NodeReport{RefusedVersion: 1, RefusedReason: "it sheds too much"}
	const silent = " (has not told this leader anything yet)"
	for name, c := range map[string]struct {
		reports  reports
		timedOut bool
		kind     OpKind // empty: the change waits
		reason   string
		left     string
	}{
		"all have prepared": {reports{"a": prepared, "b": prepared, "c": prepared}, false,
			OpDecide, "", ""},
		"one has not reported":            {reports{"a": prepared, "b": prepared}, false, "", "", ""},
		"one has not reported, timed out": {reports{"a": prepared, "b": prepared}, true, OpDecide, "", "c"},
		"two have not reported, timed out": {reports{"a": prepared}, true, OpAbort,
			"not prepared within 5000 ms: b" + silent + ", c" + silent, ""},
		"one refuses": {reports{"a": prepared, "b": refused, "c": prepared}, false,
			OpDecide, "", "b"},
		"one refuses, one has not reported": {reports{"a": prepared, "b": refused}, false, "", "", ""},
		"one refuses, one has not reported, timed out": {reports{"a": prepared, "b": refused}, true, OpAbort,
			"not prepared within 5000 ms: c" + silent, ""},
		"two refuse": {reports{"a": refused, "b": refused, "c": prepared}, false, OpAbort,
			"refused by a (it sheds too much), b (it sheds too much)", ""},
	} {
		t.Run(name, func(t *testing.T) {
			terms := membership.LeaseTerms{LeaseMS: 4000}
			f, s := newFleet(t, terms, "a", "b", "c"), &State{}
			if r := s.Apply(Propose{testProposal(1)}, f, testVersions{}, 0); r.Rejection != "" {
				t.Fatal(r.Rejection)
			}
			if c.timedOut {
				advance(f, terms, 2500, "a", "b", "c")
				advance(f, terms, 2500, "a", "b", "c")
			}
			var op Op
			if operation := s.Next(f, reportsFrom(c.reports), 0); operation != nil {
				op = Encode(operation)
			}
			if op.Kind != c.kind || op.Reason != c.reason || strings.Join(op.LeftBehind, " ") != c.left {
				t.Fatalf("Next() = %+v, want kind %q, reason %q, left behind %q", op, c.kind, c.reason, c.left)
			}
		})
	}
}

// TestChangeHasOneOutcome: a decided change can't be aborted, an operation that is no longer valid changes nothing, and
// the change settles only after the lease of an unreachable node has expired.
func TestChangeHasOneOutcome(t *testing.T) {
	terms := membership.LeaseTerms{LeaseMS: 4000}
	f, s := newFleet(t, terms, "a", "b"), &State{}
	s.Apply(Propose{testProposal(1)}, f, testVersions{}, 0)
	staleDecide := Decide{ChangeNumber: 1, FleetEpoch: f.FleetEpoch - 1}
	if r := s.Apply(staleDecide, f, testVersions{}, 0); r.Rejection == "" {
		t.Fatal("decide for an earlier fleet epoch was applied, want it rejected")
	}
	if r := s.Apply(Decide{ChangeNumber: 1, FleetEpoch: f.FleetEpoch}, f, testVersions{}, 0); r.Rejection != "" {
		t.Fatal(r.Rejection)
	}
	for _, o := range []Operation{Abort{ChangeNumber: 1}, Decide{ChangeNumber: 1}, Settle{1}} {
		if r := s.Apply(o, f, testVersions{}, 0); r.Rejection == "" {
			t.Errorf("%s was applied to a committed change with an older lease, want it rejected", r.Kind)
		}
	}
	terms.DecidedVersion = s.DecidedVersion
	advance(f, terms, 4000, "a")
	if op := s.Next(f, reportsFrom(nil), 0); op != nil {
		t.Errorf("Next() = %+v while the lease of an unreachable node may be live, want nil", op)
	}
	advance(f, terms, membership.LeaseSpanMS(4000)-4000+1, "a")
	op := s.Next(f, reportsFrom(nil), 0)
	if op != (Settle{1}) {
		t.Fatalf("Next() = %#v, want %#v", op, Settle{1})
	}
	if r := s.Apply(op, f, testVersions{}, 0); r.Rejection != "" || s.Find(1).Step != Settled || s.Current != nil {
		t.Errorf("settle: rejection %q, change %+v; want it settled", r.Rejection, s.Find(1))
	}
}

// TestRejectedProposals: an invalid proposal is rejected, and a proposal repeated under its key returns the change that
// it began.
func TestRejectedProposals(t *testing.T) {
	f, s := newFleet(t, membership.LeaseTerms{LeaseMS: 4000}, "a"), &State{DecidedVersion: 2}
	exclusive := testProposal(3)
	exclusive.Exclusive = true
	for _, p := range []Proposal{testProposal(2), testProposal(10), testProposal(7), exclusive} {
		if r := s.Apply(Propose{p}, f, testVersions{}, 0); r.Rejection == "" || s.Current != nil {
			t.Errorf("proposal %+v began change %+v, want it rejected", p, s.Current)
		}
	}
	for range 2 {
		r := s.Apply(Propose{testProposal(3)}, f, testVersions{}, 0)
		if r.Rejection != "" || r.ChangeNumber != 1 {
			t.Errorf("Apply(proposal) = %+v, want change 1", r)
		}
	}
	if r := s.Apply(Propose{testProposal(4)}, f, testVersions{}, 0); r.Rejection == "" {
		t.Error("a second proposal began a change during the first, want it rejected")
	}
}

// TestStoredOperations: each stored operation decodes to the operation that was encoded, also by an older build, and
// fields of other kinds are ignored.
func TestStoredOperations(t *testing.T) {
	for stored, want := range map[string]Operation{
		`{"op":"propose","propose":{"version":1,"within_ms":5000,"spare":1,"author":"an operator","reason":"",` +
			`"key":"key-000001"}}`: Propose{testProposal(1)},
		`{"op":"decide","number":3,"epoch":7,"left":["a","b"]}`: Decide{3, 7, []string{"a", "b"}},
		`{"op":"force","number":3}`:                             Commit{3},
		`{"op":"settle","number":3}`:                            Settle{3},
		`{"op":"off","number":3,"why":"enough","by":"someone"}`: Abort{3, "enough", "someone"},
		`{"op":"fly","number":3}`:                               unknownOperation{"fly", 3},
	} {
		var op Op
		if err := json.Unmarshal([]byte(stored), &op); err != nil {
			t.Fatal(err)
		}
		read, err := op.Operation()
		if err != nil || !reflect.DeepEqual(read, want) {
			t.Errorf("Operation() of %s = %#v (error %v), want %#v", stored, read, err, want)
			continue
		}
		if raw, err := json.Marshal(Encode(read)); err != nil || string(raw) != stored {
			t.Errorf("Encode(%#v) = %s (error %v), want %s", read, raw, err, stored)
		}
	}
	settle, err := (&Op{Kind: OpSettle, ChangeNumber: 3, FleetEpoch: 7, Reason: "late"}).Operation()
	if err != nil || settle != (Settle{3}) {
		t.Errorf("Operation() = %#v (error %v), want %#v", settle, err, Settle{3})
	}
	if _, err := (&Op{Kind: OpPropose}).Operation(); !errors.Is(err, ErrEmptyProposal) {
		t.Errorf("Operation() error = %v, want %v", err, ErrEmptyProposal)
	}
	s := &State{Current: &Change{Number: 3}}
	r := s.Apply(unknownOperation{"fly", 3}, membership.New(), testVersions{}, 0)
	if want := `op "fly", expected propose, decide, force, settle or off`; r.Rejection != want {
		t.Errorf("Rejection = %q, want %q", r.Rejection, want)
	}
}

// TestValidateOperatorOperations: an operator may propose and abort. Other operations are rejected with an
// *api.FieldError before they reach the log.
func TestValidateOperatorOperations(t *testing.T) {
	p := testProposal(1)
	const expected = "propose with a proposal, or off with by and why"
	for _, c := range []struct {
		op   Op
		want string
	}{
		{Op{Kind: OpPropose, Proposal: &p}, ""},
		{Op{Kind: OpAbort, ChangeNumber: 1, Author: "an operator"}, ""},
		{Op{Kind: OpPropose}, `op: found "propose", expected ` + expected},
		{Op{Kind: OpAbort}, `op: found "off", expected ` + expected},
		{Op{Kind: OpAbort, Author: strings.Repeat("x", maxAuthorBytes+1)}, `op: found "off", expected ` + expected},
		{Op{Kind: OpDecide, ChangeNumber: 1}, `op: found "decide", expected ` + expected},
	} {
		err := c.op.Validate()
		var field *api.FieldError
		if c.want == "" && err != nil || c.want != "" && (!errors.As(err, &field) || err.Error() != c.want) {
			t.Errorf("Validate() of %+v = %v, want %q", c.op, err, c.want)
		}
	}
}

// TestErrorTypes: errors of input, snapshots and guard names have types that callers can match.
func TestErrorTypes(t *testing.T) {
	p := testProposal(1)
	p.PrepareWithinMS = 1
	var field *api.FieldError
	if err := p.Validate(); !errors.As(err, &field) || err.Error() != "within_ms: found 1, expected 1000 to 86400000" {
		t.Errorf("Validate() = %v, want an api.FieldError of within_ms", err)
	}
	if _, err := Restore([]byte("{")); !errors.Is(err, ErrSnapshot) {
		t.Errorf("Restore() = %v, want an error that wraps %v", err, ErrSnapshot)
	}
	var unknown *UnknownGuardError
	if _, err := GuardNamed("leases"); !errors.As(err, &unknown) || unknown.Name != "leases" {
		t.Errorf("GuardNamed(%q) error = %v, want an UnknownGuardError of that name", "leases", err)
	}
	if g, err := GuardNamed("arrival-order"); err != nil || g != ArrivalOrder {
		t.Errorf("GuardNamed(%q) = %v (error %v), want %v", "arrival-order", g, err, ArrivalOrder)
	}
}

// TestGuardNames: fault tests disable guards by name. With names and constants in different orders they would disable
// another guard than the named one.
func TestGuardNames(t *testing.T) {
	named := map[string]Guard{"lease": AwaitLeases, "fence": FenceOnExpiry, "prepare-all": PrepareAll,
		"decide-once": DecideOnce, "incarnation": CurrentIncarnation, "no-way-back": NoDowngrade,
		"shadow": ShadowEvaluation, "generation": NewestGeneration, "proof": LossProof, "listen-first": ListenFirst,
		"arrival-order": ArrivalOrder}
	if len(named) != len(guardNames) || ArrivalOrder != 1<<(len(guardNames)-1) {
		t.Errorf("%d guard names, want one for each of %d guards", len(guardNames), len(named))
	}
	for name, want := range named {
		if g, err := GuardNamed(name); err != nil || g != want {
			t.Errorf("GuardNamed(%q) = %b (error %v), want %b", name, g, err, want)
		}
	}
	if names := GuardNames(); names[len(names)-1] != "shadow" {
		t.Errorf("last guard of policy changes = %s, want shadow", names[len(names)-1])
	}
}
