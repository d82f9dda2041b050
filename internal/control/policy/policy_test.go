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

// testVersions is a group that keeps versions 1 to 9, of which 7 can't follow another.
type testVersions struct{}

var errCannotFollow = errors.New("tenants: it takes away a tenant")

func (testVersions) Last() uint64 { return 9 }

func (testVersions) Check(version, _ uint64) (Rules, string, error) {
	if version == 7 {
		return Rules{}, "", errCannotFollow
	}
	return Rules{LeaseMS: 4000}, fmt.Sprint("hash-", version), nil
}

// newFleet gives a fleet that the named nodes have joined.
func newFleet(t *testing.T, terms membership.LeaseTerms, names ...string) *membership.State {
	t.Helper()
	f := membership.New()
	batch := &membership.HeartbeatBatch{ElapsedMS: 1}
	for _, name := range names {
		batch.Joins = append(batch.Joins, api.JoinRequest{Name: name, Zone: "z", Nonce: name + "-process-1"})
	}
	if r := f.Apply(batch, 1, terms); !r.Applied || len(r.Granted) != len(names) {
		t.Fatalf("joining: %+v", r)
	}
	return f
}

// advance lets time go by in the fleet, with the leases of the named nodes extended.
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

// TestNextWhilePreparing: nodes prepare, refuse or say nothing. Whoever is up is waited for until the change's time is
// over, more refusals than may be left behind end it at once, and no more nodes are left behind than the operator
// allowed.
func TestNextWhilePreparing(t *testing.T) {
	type reports = map[string]*NodeReport
	prepared := &NodeReport{PreparedVersion: 1}
	refused := &NodeReport{RefusedVersion: 1, RefusedReason: "it sheds too much"}
	const silent = " (has not told this leader anything yet)"
	for name, c := range map[string]struct {
		reports reports
		late    bool
		kind    OpKind // empty: the change waits
		reason  string
		left    string
	}{
		"all have prepared":       {reports{"a": prepared, "b": prepared, "c": prepared}, false, OpDecide, "", ""},
		"one was not heard":       {reports{"a": prepared, "b": prepared}, false, "", "", ""},
		"one was not heard, late": {reports{"a": prepared, "b": prepared}, true, OpDecide, "", "c"},
		"two were not heard, late": {reports{"a": prepared}, true, OpAbort,
			"not prepared within 5000 ms: b" + silent + ", c" + silent, ""},
		"one refuses": {reports{"a": prepared, "b": refused, "c": prepared}, false, OpDecide, "", "b"},
		"one of each": {reports{"a": prepared, "b": refused}, false, "", "", ""},
		"one of each, late": {reports{"a": prepared, "b": refused}, true, OpAbort,
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
			if c.late {
				advance(f, terms, 2500, "a", "b", "c")
				advance(f, terms, 2500, "a", "b", "c")
			}
			var op Op
			if operation := s.Next(f, reportsFrom(c.reports), 0); operation != nil {
				op = Encode(operation)
			}
			if op.Kind != c.kind || op.Reason != c.reason || strings.Join(op.LeftBehind, " ") != c.left {
				t.Fatalf("found %+v, expected %s of %q, %q left behind", op, c.kind, c.reason, c.left)
			}
		})
	}
}

// TestChangeHasOneOutcome: a decided change can't be aborted, an operation that no longer holds changes nothing, and the change
// settles only once the lease of a node that was cut off has run out.
func TestChangeHasOneOutcome(t *testing.T) {
	terms := membership.LeaseTerms{LeaseMS: 4000}
	f, s := newFleet(t, terms, "a", "b"), &State{}
	s.Apply(Propose{testProposal(1)}, f, testVersions{}, 0)
	staleDecide := Decide{ChangeNumber: 1, FleetEpoch: f.Epoch - 1}
	if r := s.Apply(staleDecide, f, testVersions{}, 0); r.Rejection == "" {
		t.Fatal("it is decided by a leader that did not hear a node which joined")
	}
	if r := s.Apply(Decide{ChangeNumber: 1, FleetEpoch: f.Epoch}, f, testVersions{}, 0); r.Rejection != "" {
		t.Fatal(r.Rejection)
	}
	for _, o := range []Operation{Abort{ChangeNumber: 1}, Decide{ChangeNumber: 1}, Settle{1}} {
		if r := s.Apply(o, f, testVersions{}, 0); r.Rejection == "" {
			t.Errorf("%s counts while a node may serve under an older version", r.Kind)
		}
	}
	terms.DecidedVersion = s.DecidedVersion
	advance(f, terms, 4000, "a")
	if op := s.Next(f, reportsFrom(nil), 0); op != nil {
		t.Errorf("found %+v while the lease of a node that was cut off may be live", op)
	}
	advance(f, terms, membership.LeaseSpanMS(4000)-4000+1, "a")
	op := s.Next(f, reportsFrom(nil), 0)
	if op != (Settle{1}) {
		t.Fatalf("found %#v, expected %#v", op, Settle{1})
	}
	if r := s.Apply(op, f, testVersions{}, 0); r.Rejection != "" || s.Find(1).Step != Settled || s.Current != nil {
		t.Errorf("%s: change %+v", r.Rejection, s.Find(1))
	}
}

// TestRejectedProposals: a proposal that can't begin a change is rejected, and one that is repeated under its key gives
// the change that it began.
func TestRejectedProposals(t *testing.T) {
	f, s := newFleet(t, membership.LeaseTerms{LeaseMS: 4000}, "a"), &State{DecidedVersion: 2}
	exclusive := testProposal(3)
	exclusive.Exclusive = true
	for _, p := range []Proposal{testProposal(2), testProposal(10), testProposal(7), exclusive} {
		if r := s.Apply(Propose{p}, f, testVersions{}, 0); r.Rejection == "" || s.Current != nil {
			t.Errorf("%+v begins %+v", p, s.Current)
		}
	}
	for range 2 {
		r := s.Apply(Propose{testProposal(3)}, f, testVersions{}, 0)
		if r.Rejection != "" || r.ChangeNumber != 1 {
			t.Errorf("found %+v, expected change 1", r)
		}
	}
	if r := s.Apply(Propose{testProposal(4)}, f, testVersions{}, 0); r.Rejection == "" {
		t.Error("a second change begins beside the first")
	}
}

// TestStoredOperations: an entry of an older build, or of an instance that led before, is read as what it was
// appended as. Each operation is stored in one form, and what that says beside the fields of its kind counts for
// nothing.
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
			t.Errorf("%s: found %#v (%v), expected %#v", stored, read, err, want)
			continue
		}
		if raw, err := json.Marshal(Encode(read)); err != nil || string(raw) != stored {
			t.Errorf("found %s (%v), expected %s", raw, err, stored)
		}
	}
	settle, err := (&Op{Kind: OpSettle, ChangeNumber: 3, FleetEpoch: 7, Reason: "late"}).Operation()
	if err != nil || settle != (Settle{3}) {
		t.Errorf("found %#v (%v), expected %#v", settle, err, Settle{3})
	}
	if _, err := (&Op{Kind: OpPropose}).Operation(); !errors.Is(err, ErrEmptyProposal) {
		t.Errorf("found %v, expected %v", err, ErrEmptyProposal)
	}
	s := &State{Current: &Change{Number: 3}}
	r := s.Apply(unknownOperation{"fly", 3}, membership.New(), testVersions{}, 0)
	if want := `op "fly", expected propose, decide, force, settle or off`; r.Rejection != want {
		t.Errorf("found %q, expected %q", r.Rejection, want)
	}
}

// TestValidateOperatorOperations: an operator may propose and abort; what the leader alone decides is refused before it
// reaches the log, by an error that says what was found and expected.
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
			t.Errorf("%+v: found %v, expected %q", c.op, err, c.want)
		}
	}
}

// TestErrorTypes: callers can tell errors of input, of snapshots and of guards' names from others.
func TestErrorTypes(t *testing.T) {
	p := testProposal(1)
	p.PrepareWithinMS = 1
	var field *api.FieldError
	if err := p.Validate(); !errors.As(err, &field) || err.Error() != "within_ms: found 1, expected 1000 to 86400000" {
		t.Errorf("found %v", err)
	}
	if _, err := Restore([]byte("{")); !errors.Is(err, ErrSnapshot) {
		t.Errorf("found %v, expected one that wraps %v", err, ErrSnapshot)
	}
	var unknown *UnknownGuardError
	if _, err := GuardNamed("leases"); !errors.As(err, &unknown) || unknown.Name != "leases" {
		t.Errorf("found %v", err)
	}
	if g, err := GuardNamed("arrival-order"); err != nil || g != ArrivalOrder {
		t.Errorf("found %v, %v", g, err)
	}
}

// TestGuardNames: a fault test takes guards out by name. If names and constants were in different orders, it would take
// out another guard than the one that it names, and the check that should find that would be another one too.
func TestGuardNames(t *testing.T) {
	named := map[string]Guard{"lease": LeaseGuard, "fence": Fence, "prepare-all": PrepareAll, "decide-once": DecideOnce,
		"incarnation": Incarnation, "no-way-back": NoDowngrade, "shadow": Shadow, "generation": Generation,
		"proof": Proof, "listen-first": ListenFirst, "arrival-order": ArrivalOrder}
	if len(named) != len(guardNames) || ArrivalOrder != 1<<(len(guardNames)-1) {
		t.Errorf("found %d names, expected one for each of %d guards", len(guardNames), len(named))
	}
	for name, want := range named {
		if g, err := GuardNamed(name); err != nil || g != want {
			t.Errorf("%s: found guard %b (%v), expected %b", name, g, err, want)
		}
	}
	if names := GuardNames(); names[len(names)-1] != "shadow" {
		t.Errorf("the last guard of a change is %s, expected shadow", names[len(names)-1])
	}
}
