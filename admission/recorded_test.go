package admission

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
)

// recording hashes the decisions and the log lines of a stream. In the hash of decisions each log line is replaced by
// a fixed marker, so that the number and order of lines still count; their texts are hashed separately.
type recording struct {
	decisions, texts hash.Hash
	records          int // decisions and log lines
	lines            int // log lines
}

func newRecording() *recording {
	return &recording{decisions: sha256.New(), texts: sha256.New()}
}

func (r *recording) record(format string, args ...any) {
	r.records++
	fmt.Fprintf(r.decisions, format+"\n", args...)
}

func (r *recording) recordLog(line string) {
	r.records++
	r.lines++
	fmt.Fprintln(r.decisions, "log")
	fmt.Fprintf(r.texts, "%s\n", line)
}

// check compares the hashes with the recorded ones.
func (r *recording) check(t *testing.T, decisions, texts string) {
	t.Helper()
	if got := hex.EncodeToString(r.decisions.Sum(nil)); got != decisions {
		t.Errorf("hash of %d decisions and log markers = %s, want %s", r.records, got, decisions)
	}
	if got := hex.EncodeToString(r.texts.Sum(nil)); got != texts {
		t.Errorf("hash of %d log lines = %s, want %s", r.lines, got, texts)
	}
}

// recorder is a Writer that records every decision and simulates the server that carries them out.
type recorder struct {
	recording    *recording
	rand         *rand.Rand
	now          Time
	timerAt      Time
	running      []uint32
	calling      []uint32
	requestOfKey map[uint32]uint32 // request that holds each key
	keyOfRequest map[uint32]uint32 // key that each request holds
	count        int
}

func (r *recorder) record(format string, args ...any) {
	r.count++
	r.recording.record(format, args...)
}

func (r *recorder) Run(id uint32)  { r.record("run %d", id); r.running = append(r.running, id) }
func (r *recorder) Stop(id uint32) { r.record("pause %d", id) }
func (r *recorder) Shed(id uint32, _ Reason, noRetry bool, retryAfter Time) {
	r.record("shed %d %v %d", id, noRetry, retryAfter)
}
func (r *recorder) Fail(id uint32, _ Reason) { r.record("fail %d", id) }
func (r *recorder) Call(id uint32, deadline Time) {
	r.record("call %d %d", id, deadline)
	r.calling = append(r.calling, id)
}
func (r *recorder) SkipCall(id uint32) { r.record("skip %d", id); r.running = append(r.running, id) }
func (r *recorder) Remember(id uint32, lifetime Time) {
	r.record("remember %d %d", id, lifetime)
	r.requestOfKey[r.keyOfRequest[id]] = id
}
func (r *recorder) Forget(id uint32) {
	r.record("forget %d", id)
	delete(r.requestOfKey, r.keyOfRequest[id])
}
func (r *recorder) ReuseResult(id uint32) {
	r.record("reuse %d", id)
	r.running = append(r.running, id)
}
func (r *recorder) Health(ready bool)            { r.record("health %v", ready) }
func (r *recorder) SignalOverload(value float64) { r.record("say %.9f", value) }
func (r *recorder) SetIdleTimeout(after Time)    { r.record("idle %d", after) }
func (r *recorder) WakeUp(at Time)               { r.record("wake %d", at); r.timerAt = at }
func (r *recorder) Log(line string)              { r.count++; r.recording.recordLog(line) }

// takeRandom removes a random element from a list and returns it.
func (r *recorder) takeRandom(list *[]uint32) uint32 {
	i := r.rand.IntN(len(*list))
	id := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return id
}

// round generates the input of one moment.
func (r *recorder) round(d *Deployment, next *uint32) *Round {
	in := &Round{Now: r.now, TimerFired: r.now >= r.timerAt, HasGauges: r.rand.IntN(4) > 0,
		Gauges: Gauges{Runnable: float64(len(r.running)) * r.rand.Float64() * 1.5,
			OpenConnections: float64(r.rand.IntN(300))}}
	for n := r.rand.IntN(4); n > 0; n-- {
		*next++
		q := Request{ID: *next, Handler: r.rand.IntN(len(d.Handlers)), Tenant: r.rand.IntN(len(d.Tenants)),
			ArrivedAt: r.now - Time(r.rand.IntN(400)), SizeKB: 1 + 30*r.rand.Float64(),
			IsRetry: r.rand.IntN(5) == 0, Caller: uint32(r.rand.IntN(50))}
		if r.rand.IntN(3) == 0 {
			q.Deadline = q.ArrivedAt + Time(r.rand.IntN(30000))
		}
		if r.rand.IntN(3) == 0 {
			q.ExpectedWork = Time(1 + r.rand.IntN(3000))
		}
		if d.Handlers[q.Handler].RetrySafety != NonRetryable {
			key := uint32(q.Handler*1000 + r.rand.IntN(40))
			q.PreviousID, r.keyOfRequest[q.ID] = r.requestOfKey[key], key
		}
		in.Arrived = append(in.Arrived, q)
	}
	for n := r.rand.IntN(4); n > 0 && len(r.running) > 0; n-- {
		id := r.takeRandom(&r.running)
		if r.rand.IntN(3) == 0 {
			in.CallRequests = append(in.CallRequests, id)
		} else {
			in.RunEnds = append(in.RunEnds, RunEnd{ID: id, Outcome: Outcome(r.rand.IntN(6)),
				Elapsed: Time(r.rand.IntN(4000))})
		}
	}
	for n := r.rand.IntN(2); n > 0 && len(r.calling) > 0; n-- {
		id, outcome := r.takeRandom(&r.calling), Outcome(r.rand.IntN(4))
		in.CallEnds = append(in.CallEnds, CallEnd{ID: id, Outcome: outcome, Elapsed: Time(r.rand.IntN(3000))})
		r.running = append(r.running, id)
	}
	if r.rand.IntN(20) == 0 && *next > 10 {
		in.Disconnected = append(in.Disconnected, *next-uint32(r.rand.IntN(10)))
	}
	return in
}

// recordedDecisions is the hash of all decisions of the recorded rounds, as of version 2a0a97e, with a marker for each
// log line; recordedLogLines is that of the log lines. A commit that changes a decision or a log line on purpose
// replaces its hash and gives the reason. A refactoring must not change them.
const (
	recordedDecisions = "eb95ce7c57d89c2ebc0df7ffa2f3aa9a58e52e0f586120746805d2ba2f6004d2"
	recordedLogLines  = "a7dfe8d4388862317283883d10bd97f956350672a77d6f06d65ab86cbfd864f7"
)

// TestRecordedDecisions checks all decisions on generated rounds against the recorded hashes.
func TestRecordedDecisions(t *testing.T) {
	all := newRecording()
	for seed := range uint64(24) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := &recorder{recording: all, rand: rnd, now: 50 * Second, requestOfKey: map[uint32]uint32{},
			keyOfRequest: map[uint32]uint32{}}
		d := &Deployment{Start: r.now, FleetSize: 1 + rnd.IntN(9), Callers: 1 + rnd.IntN(200), Tier: rnd.IntN(2),
			RoundInterval: 20,
			ValuePerWork:  rnd.IntN(2) == 0, OverQuotaWeight: 0.1, WorstClassWeight: rnd.Float64(),
			Cores: 1 + rnd.IntN(8), ColdStart: rnd.IntN(2) == 0,
			ColdSpeed: 0.3, WarmUpTime: 8 * Second, MaxRunsPerCore: 5, MemoryKB: 400 + 4000*rnd.Float64(),
			RunMemoryFactor: 8, TableEntryKB: 10,
			Dependency: Dependency(rnd.IntN(3)), CallAllowance: 4 * rnd.Float64(), CallAveragingTime: 2 * Second,
			CancellationDelay: Second / 5, Cancellation: Cancellation(rnd.IntN(3)),
			ResponseReuseTime: Time(rnd.IntN(2)) * Second, DrainGrace: 2 * Second,
			OverloadSignal: OverloadSignal(rnd.IntN(4)), MaxRetryAfter: 2 * Second, IdleTimeout: 30 * Second,
			Handlers: []Handler{{LatencyObjective: 2 * Second, Timeout: 6 * Second, Value: 1, DegradedValue: 0.5,
				RetrySafety: Retryable},
				{LatencyObjective: 3 * Second, Timeout: 8 * Second, Value: 2, LateValue: 0.2,
					RetrySafety: IdempotencyKeyed, IdempotencyWindow: 9 * Second},
				{LatencyObjective: 2 * Second, Timeout: 7 * Second, Value: 4, RetrySafety: NonRetryable}},
			Tenants: []Tenant{{Quota: 50}, {Quota: 100}}}
		c, next := New(d), uint32(0)
		for i := range 3000 {
			r.now += Time(rnd.IntN(300))
			in := r.round(d, &next)
			if i == 2800 {
				in.Drain, in.KillAt = true, r.now+3*Second
			}
			c.Decide(in, r)
		}
	}
	all.check(t, recordedDecisions, recordedLogLines)
}
