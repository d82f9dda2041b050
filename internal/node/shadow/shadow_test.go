package shadow

import (
	"strings"
	"testing"
	"time"

	"umberwinch/admission"
)

const ms = admission.Second / 1000

func testDeployment() *admission.Deployment {
	return &admission.Deployment{FleetSize: 1, Callers: 4, RoundInterval: 2 * ms, Cores: 4, MaxRunsPerCore: 5,
		MemoryKB: 4000, RunMemoryFactor: 2,
		Handlers: []admission.Handler{{LatencyObjective: 300 * ms, Timeout: 3000 * ms, Value: 1},
			{LatencyObjective: 500 * ms, Timeout: 3000 * ms, Value: 5}},
		Tenants: []admission.Tenant{{Quota: 1000}}, IdleTimeout: 30 * admission.Second}
}

// newRecordingOf returns a recording of n requests that arrived at an interval, each with the same run time.
func newRecordingOf(n int, interval, runTime admission.Time) *Recording {
	r := NewRecording(2)
	for i := 0; i < n; i++ {
		req := admission.Request{ID: uint32(i + 1), Handler: i % 2, SizeKB: 10, Caller: uint32(i % 4)}
		r.RecordArrival(admission.Time(i)*interval, &req)
		r.RecordRun(req.ID, runTime)
	}
	return r
}

var testLimits = Limits{MaxShed: 0.05, MaxLate: 0.05}

// TestEvaluate guards against activating a valid document that makes a node shed, leave requests unanswered or run out
// of memory, and against rejecting a version that does as well as the current one.
func TestEvaluate(t *testing.T) {
	busy := newRecordingOf(3*MaxRequests/2, 4*ms, 8*ms) // half of the cores busy
	for _, c := range []struct {
		name    string
		rec     *Recording
		change  func(*admission.Deployment)
		retired []bool
		want    string // substring of the reason; empty: not rejected
	}{
		{"no change", busy, func(*admission.Deployment) {}, nil, ""},
		{"different values and quotas", busy, func(d *admission.Deployment) {
			d.Handlers[0].Value, d.Tenants[0].Quota = 9, 10
		}, nil, ""},
		{"timeouts shorter than a run", busy, func(d *admission.Deployment) {
			for i := range d.Handlers {
				d.Handlers[i].LatencyObjective, d.Handlers[i].Timeout = 5*ms, 5*ms
			}
		}, nil, "requests of the trial"},
		{"all handlers retired", busy, func(*admission.Deployment) {}, []bool{true, true}, "were shed"},
		{"memory for few requests", newRecordingOf(MaxRequests, 4*ms, 14*ms), func(d *admission.Deployment) {
			d.MemoryKB = 30
		}, nil, "requests of the trial"},
		{"sheds everything on an idle server", NewRecording(2), func(d *admission.Deployment) {
			d.MemoryKB = 0.5
		}, nil, "one at a time"},
		{"no change on an idle server", NewRecording(2), func(*admission.Deployment) {}, nil, ""},
	} {
		candidate := testDeployment()
		c.change(candidate)
		started := time.Now()
		v := Evaluate(testDeployment(), candidate, c.retired, c.rec.Snapshot(), testLimits)
		if (v.Reason == "") != (c.want == "") || !strings.Contains(v.Reason, c.want) {
			t.Errorf("%s: reason %q, want %q in it (%+v)", c.name, v.Reason, c.want, v)
		}
		if v.Current.Rounds+v.Candidate.Rounds > 6*maxRounds {
			t.Errorf("%s: %d rounds, want at most %d", c.name, v.Current.Rounds+v.Candidate.Rounds, 6*maxRounds)
		}
		t.Logf("%s: took %v, current %+v, candidate %+v", c.name, time.Since(started).Round(time.Microsecond),
			v.Current, v.Candidate)
	}
}

// TestRecordingBounded checks that a full recording has the most recent requests in order, and that the run of a
// replaced request is ignored.
func TestRecordingBounded(t *testing.T) {
	r := newRecordingOf(3*MaxRequests+7, ms, ms)
	arrivals := r.Snapshot().arrivals
	if len(arrivals) != MaxRequests || len(r.pending) > MaxRequests {
		t.Fatalf("%d requests, %d pending; want %d and at most as many", len(arrivals), len(r.pending), MaxRequests)
	}
	for i := 1; i < len(arrivals); i++ {
		if arrivals[i].id != arrivals[i-1].id+1 {
			t.Fatalf("request %d follows %d, want %d", arrivals[i].id, arrivals[i-1].id, arrivals[i-1].id+1)
		}
	}
	r.RecordRun(1, ms)
}

// BenchmarkEvaluate evaluates a full recording.
func BenchmarkEvaluate(b *testing.B) {
	rec := newRecordingOf(MaxRequests, 4*ms, 8*ms).Snapshot()
	for i := 0; i < b.N; i++ {
		Evaluate(testDeployment(), testDeployment(), nil, rec, testLimits)
	}
}
