package shadow

import (
	"strings"
	"testing"
	"time"

	"umberwinch/admission"
)

const ms = admission.Second / 1000

func deployment() *admission.Deployment {
	return &admission.Deployment{FleetSize: 1, Callers: 4, RoundInterval: 2 * ms, Cores: 4, MaxRunsPerCore: 5,
		MemoryKB: 4000, RunMemoryFactor: 2,
		Handlers: []admission.Handler{{LatencyObjective: 300 * ms, Timeout: 3000 * ms, Value: 1},
			{LatencyObjective: 500 * ms, Timeout: 3000 * ms, Value: 5}},
		Tenants: []admission.Tenant{{Quota: 1000}}, IdleTimeout: 30 * admission.Second}
}

// record plays a server's last seconds into a recording: requests at a pace, each with its run's time.
func record(n int, every, ran admission.Time) *Recording {
	r := NewRecording(2)
	for i := 0; i < n; i++ {
		q := admission.Request{ID: uint32(i + 1), Handler: i % 2, SizeKB: 10, Caller: uint32(i % 4)}
		r.RecordArrival(admission.Time(i)*every, &q)
		r.RecordRun(q.ID, ran)
	}
	return r
}

var limits = Limits{MaxShed: 0.05, MaxLate: 0.05}

// TestTrials: a version fits its syntax and would still make a node shed, leave requests unanswered or run out of
// memory. The trial refuses it for its reason, and refuses no version that does as well as the current one.
func TestTrials(t *testing.T) {
	busy := record(3*MaxRequests/2, 4*ms, 8*ms) // half of the cores
	for _, c := range []struct {
		name    string
		rec     *Recording
		change  func(*admission.Deployment)
		retired []bool
		why     string // "" : it passes
	}{
		{"the same again", busy, func(*admission.Deployment) {}, nil, ""},
		{"other values and quotas", busy, func(d *admission.Deployment) {
			d.Handlers[0].Value, d.Tenants[0].Quota = 9, 10
		}, nil, ""},
		{"client timeouts shorter than a run", busy, func(d *admission.Deployment) {
			for k := range d.Handlers {
				d.Handlers[k].LatencyObjective, d.Handlers[k].Timeout = 5*ms, 5*ms
			}
		}, nil, "requests of the trial"},
		{"all retired", busy, func(*admission.Deployment) {}, []bool{true, true}, "were shed"},
		{"memory for a few requests", record(MaxRequests, 4*ms, 14*ms), func(d *admission.Deployment) {
			d.MemoryKB = 30
		}, nil, "requests of the trial"},
		{"on an idle server, one that sheds all", NewRecording(2), func(d *admission.Deployment) {
			d.MemoryKB = 0.5
		}, nil, "one at a time"},
		{"on an idle server, a good one", NewRecording(2), func(*admission.Deployment) {}, nil, ""},
	} {
		next := deployment()
		c.change(next)
		started := time.Now()
		v := Evaluate(deployment(), next, c.retired, c.rec.Snapshot(), limits)
		if (v.Reason == "") != (c.why == "") || !strings.Contains(v.Reason, c.why) {
			t.Errorf("%s: found %q, expected %q (%+v)", c.name, v.Reason, c.why, v)
		}
		if v.Current.Rounds+v.Candidate.Rounds > 6*maxRounds {
			t.Errorf("%s: %d rounds", c.name, v.Current.Rounds+v.Candidate.Rounds)
		}
		t.Logf("%s: %v, now %+v, next %+v", c.name, time.Since(started).Round(time.Microsecond), v.Current, v.Candidate)
	}
}

// TestRecordingIsBounded: the latest requests are kept in their order, and runs of those that made room count for
// nothing.
func TestRecordingIsBounded(t *testing.T) {
	r := record(3*MaxRequests+7, ms, ms)
	c := r.Snapshot()
	if len(c.arrivals) != MaxRequests || len(r.pending) > MaxRequests {
		t.Fatalf("%d requests, %d open", len(c.arrivals), len(r.pending))
	}
	for i := 1; i < len(c.arrivals); i++ {
		if c.arrivals[i].id != c.arrivals[i-1].id+1 {
			t.Fatalf("request %d after %d", c.arrivals[i].id, c.arrivals[i-1].id)
		}
	}
	r.RecordRun(1, ms)
}

// BenchmarkTrial: a whole recording against two controllers.
func BenchmarkTrial(b *testing.B) {
	rec := record(MaxRequests, 4*ms, 8*ms).Snapshot()
	for i := 0; i < b.N; i++ {
		Evaluate(deployment(), deployment(), nil, rec, limits)
	}
}
