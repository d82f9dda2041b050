package admission

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
)

// recorder writes every decision into a hash and plays the server that carries them out.
type recorder struct {
	sum     hash.Hash
	rand    *rand.Rand
	now     Time
	wake    Time
	running []uint32
	calling []uint32
	entries map[uint32]uint32 // which request holds a key, by key
	holders map[uint32]uint32 // and the key that a request holds
	count   int
}

func (r *recorder) note(format string, args ...any) {
	r.count++
	fmt.Fprintf(r.sum, format+"\n", args...)
}

func (r *recorder) Run(id uint32)   { r.note("run %d", id); r.running = append(r.running, id) }
func (r *recorder) Pause(id uint32) { r.note("pause %d", id) }
func (r *recorder) Shed(id uint32, last bool, comeBack Time) {
	r.note("shed %d %v %d", id, last, comeBack)
}
func (r *recorder) Fail(id uint32) { r.note("fail %d", id) }
func (r *recorder) Call(id uint32, until Time) {
	r.note("call %d %d", id, until)
	r.calling = append(r.calling, id)
}
func (r *recorder) Skip(id uint32) { r.note("skip %d", id); r.running = append(r.running, id) }
func (r *recorder) Remember(id uint32, span Time) {
	r.note("remember %d %d", id, span)
	r.entries[r.holders[id]] = id
}
func (r *recorder) Forget(id uint32)     { r.note("forget %d", id); delete(r.entries, r.holders[id]) }
func (r *recorder) Reuse(id uint32)      { r.note("reuse %d", id); r.running = append(r.running, id) }
func (r *recorder) Health(good bool)     { r.note("health %v", good) }
func (r *recorder) Say(value float64)    { r.note("say %.9f", value) }
func (r *recorder) IdleClose(after Time) { r.note("idle %d", after) }
func (r *recorder) Wake(at Time)         { r.note("wake %d", at); r.wake = at }
func (r *recorder) Log(line string)      { r.note("log %s", line) }

// take takes one out of a list, by chance.
func (r *recorder) take(list *[]uint32) uint32 {
	i := r.rand.IntN(len(*list))
	id := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return id
}

// round makes up what comes in at one moment.
func (r *recorder) round(d *Deployment, next *uint32) *Round {
	in := &Round{Now: r.now, Woke: r.now >= r.wake, Gauged: r.rand.IntN(4) > 0,
		Gauges: Gauges{OnCores: float64(len(r.running)) * r.rand.Float64() * 1.5, Links: float64(r.rand.IntN(300))}}
	for n := r.rand.IntN(4); n > 0; n-- {
		*next++
		q := Request{ID: *next, Handler: r.rand.IntN(len(d.Handlers)), Tenant: r.rand.IntN(len(d.Tenants)),
			Came: r.now - Time(r.rand.IntN(400)), KB: 1 + 30*r.rand.Float64(), Again: r.rand.IntN(5) == 0, Caller: uint32(r.rand.IntN(50))}
		if r.rand.IntN(3) == 0 {
			q.Due = q.Came + Time(r.rand.IntN(30000))
		}
		if r.rand.IntN(3) == 0 {
			q.Hint = Time(1 + r.rand.IntN(3000))
		}
		if d.Handlers[q.Handler].Repeat != NonRetryable {
			key := uint32(q.Handler*1000 + r.rand.IntN(40))
			q.Prior, r.holders[q.ID] = r.entries[key], key
		}
		in.Arrived = append(in.Arrived, q)
	}
	for n := r.rand.IntN(4); n > 0 && len(r.running) > 0; n-- {
		id := r.take(&r.running)
		if r.rand.IntN(3) == 0 {
			in.Needs = append(in.Needs, id)
		} else {
			in.Ended = append(in.Ended, End{ID: id, How: Outcome(r.rand.IntN(6)), Ran: Time(r.rand.IntN(4000))})
		}
	}
	for n := r.rand.IntN(2); n > 0 && len(r.calling) > 0; n-- {
		id, how := r.take(&r.calling), Outcome(r.rand.IntN(4))
		in.Returned = append(in.Returned, Return{ID: id, How: how, Took: Time(r.rand.IntN(3000))})
		r.running = append(r.running, id)
	}
	if r.rand.IntN(20) == 0 && *next > 10 {
		in.Gone = append(in.Gone, *next-uint32(r.rand.IntN(10)))
	}
	return in
}

// recordedDecisions is the hash of all decisions on the recorded rounds. It changes with any decision: whoever changes one
// on purpose puts the new hash here and says why in the commit. Moving code about must not change it.
const recordedDecisions = "86a6c3cd7e0cbc05c7927ef3f24707f3b6cf7c88b3266bbb08040796f61a566b"

func TestRecordedDecisions(t *testing.T) {
	sum, count := sha256.New(), 0
	for seed := range uint64(24) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		r := &recorder{sum: sum, rand: rnd, now: 50 * Second, entries: map[uint32]uint32{}, holders: map[uint32]uint32{}}
		d := &Deployment{Start: r.now, Fleet: 1 + rnd.IntN(9), Senders: 1 + rnd.IntN(200), Stage: rnd.IntN(2), Granule: 20,
			ByWork: rnd.IntN(2) == 0, Beyond: 0.1, Worst: rnd.Float64(), Cores: 1 + rnd.IntN(8), Cold: rnd.IntN(2) == 0,
			ColdSpeed: 0.3, WarmAfter: 8 * Second, Fall: 5, MemKB: 400 + 4000*rnd.Float64(), RunFactor: 8, KeyKB: 10,
			Below: Below(rnd.IntN(3)), CallsOut: 4 * rnd.Float64(), Span: 2 * Second, Linger: Second / 5, Stop: Stop(rnd.IntN(3)),
			Fresh: Time(rnd.IntN(2)) * Second, DrainGrace: 2 * Second, OverloadSignal: OverloadSignal(rnd.IntN(4)), MaxPause: 2 * Second, Idle: 30 * Second,
			Handlers: []Handler{{Target: 2 * Second, Timeout: 6 * Second, Value: 1, LeanValue: 0.5, Repeat: Retryable},
				{Target: 3 * Second, Timeout: 8 * Second, Value: 2, LateValue: 0.2, Repeat: IdempotencyKeyed, Window: 9 * Second},
				{Target: 2 * Second, Timeout: 7 * Second, Value: 4, Repeat: NonRetryable}},
			Tenants: []Tenant{{Quota: 50}, {Quota: 100}}}
		c, next := New(d), uint32(0)
		for i := range 3000 {
			r.now += Time(rnd.IntN(300))
			in := r.round(d, &next)
			if i == 2800 {
				in.Drain, in.Kill = true, r.now+3*Second
			}
			c.Decide(in, r)
		}
		count += r.count
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != recordedDecisions {
		t.Errorf("%d decisions, hash %s, expected %s", count, got, recordedDecisions)
	}
}
