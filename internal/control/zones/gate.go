package zones

import (
	"encoding/binary"
	"hash/crc32"
	"math"

	"umberwinch/internal/control/api"
)

// Gate is a node's side of its zone's order: whether it takes a req, and whether it opens a connection below. It is told
// the time, in ms of a clock that nobody sets.
type Gate struct {
	seed     uint32
	order    api.ZoneOrder
	has      bool
	runs     bucket
	dials    bucket
	retry    []bucket // by handler: first tries fill it, tries from elsewhere take from it
	alone    uint64   // since when the node is without the group; 0: it is not
	grown    uint64   // when the share was last raised by the node's own rule
	pace     pace     // of the share's growth
	Rejected uint64   // by share, by ceiling and by the retry budget, in all
}

// pace is how a share has grown lately: so many times at the last step, that long after the step before.
type pace struct {
	at, span uint64
	times    float64
}

// step takes a change of the share; one that does not raise it says nothing of when the next one will.
func (p *pace) step(now uint64, was, is int) {
	if was <= 0 || is <= was {
		*p = pace{at: now}
		return
	}
	if p.at != 0 {
		p.span = max(now-p.at, 1)
	}
	p.at, p.times = now, min(float64(is)/float64(was), MaxRampFactor)
}

// bucket holds tokens up to most.
type bucket struct {
	have, most float64
	at         uint64
}

func (b *bucket) fill(now uint64, rate float64) {
	if b.at == 0 {
		b.at = now
	}
	// A fifth of a second's tokens may come at once: rounds are shorter, and a service below bears that much unevenness.
	b.most = max(1, rate/5)
	b.have = min(b.most, b.have+rate*float64(now-b.at)/1000)
	b.at = now
}

func (b *bucket) take() bool {
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}

// NewGate begins with nothing turned away. seed is the node's own.
func NewGate(handlers int, seed uint32) *Gate {
	return &Gate{seed: seed, retry: make([]bucket, handlers)}
}

// part is a share of a token, from 0 to under 1, by the node's seed and the epoch.
func (g *Gate) part(epoch uint64) float64 {
	raw := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint32(nil, g.seed), epoch)
	return float64(crc32.ChecksumIEEE(raw)) / (1 << 32)
}

// SetOrder takes what the group says. A newer epoch never finds more at hand than it brings: what was saved up under an
// older one is let go of.
func (g *Gate) SetOrder(now uint64, o *api.ZoneOrder) (changed bool) {
	if o == nil { // nothing is decided about zones any more
		changed = g.has
		g.order, g.has, g.alone = api.ZoneOrder{Share: api.FullShare}, false, 0
		return changed
	}
	changed = !g.has || o.Epoch != g.order.Epoch || o.Share != g.order.Share
	if was := g.Share(); was != o.Share {
		g.pace.step(now, was, o.Share)
	}
	if changed {
		// InService a large fleet a node's part may be a run in many seconds. Each begins with another part of a token, so that all
		// together take what they may from the first second on, and not all at the end of the same span.
		g.runs, g.dials = bucket{at: now, have: g.part(o.Epoch)}, bucket{at: now, have: 1} // no run without a connection below
	}
	g.order, g.has, g.alone = *o, true, 0
	return changed
}

// ContinueAutonomously tells that the node goes on without the group. Its order holds for the time that came with it. Then the share is
// doubled each time that this time has gone by and the node's own reqs go well, and halved where they do not: a group
// that is away for long must not keep a zone out for ever, and its services below had that time to get warm.
func (g *Gate) ContinueAutonomously(now uint64, goesWell bool) (changed bool) {
	if !g.has || g.order.Share >= api.FullShare && g.order.PriorityCutoff == 0 && !g.order.RateLimited {
		return false
	}
	if g.alone == 0 {
		g.alone, g.grown = now, now
	}
	if now-g.grown < max(g.order.TTLMS, 1000) {
		return false
	}
	g.grown = now
	o := &g.order
	o.PriorityCutoff, o.RetryBudget = 0, 0
	if !goesWell {
		o.Share, o.RateLimit, o.ConnectRateLimit = max(1, o.Share/2), o.RateLimit/2, o.ConnectRateLimit/2
		g.pace = pace{at: now}
		return true
	}
	was := o.Share
	o.Share = min(api.FullShare, max(api.FullShare/16, 2*o.Share))
	g.pace.step(now, was, o.Share)
	o.RateLimit, o.ConnectRateLimit = max(1, 2*o.RateLimit), max(1, 2*o.ConnectRateLimit)
	if o.Share == api.FullShare {
		o.RateLimited = false
	}
	return true
}

// BeginSlowStart has the node begin small by itself: it starts while the group is away, and can't tell whether most of the fleet
// does so with it. The share grows by Alone from here, each hold that its reqs go well.
func (g *Gate) BeginSlowStart(now uint64, share int, hold uint64) {
	if !g.has {
		g.order = api.ZoneOrder{Share: api.FullShare}
	}
	g.has, g.alone, g.grown = true, now, now
	g.order.Share, g.order.TTLMS = min(g.order.Share, max(1, share)), hold
}

// RequestHash places a req among all, for the share: by its key where its handler is uniqued, else by whom it is for and who sent it.
func RequestHash(key, tenant []byte, sender uint32) uint32 {
	if key != nil {
		return crc32.ChecksumIEEE(key)
	}
	return crc32.Update(crc32.ChecksumIEEE(binary.LittleEndian.AppendUint32(nil, sender)), crc32.IEEETable, tenant)
}

// Evacuated tells that the node takes nothing at all.
func (g *Gate) Evacuated() bool { return g.has && g.order.Share == 0 }

// Epoch and Share show the order.
func (g *Gate) Epoch() uint64 { return g.order.Epoch }
func (g *Gate) Share() int {
	if !g.has {
		return api.FullShare
	}
	return g.order.Share
}

// Request is a req that may be taken.
type Request struct {
	Handler    int
	Value      float64
	Hash       uint32 // of its key where it is uniqued, else of whom it is for: one that is in stays in while the share grows
	IsRetry    bool   // a further try
	SeenBefore bool   // its first try came here
}

// Admit tells whether a req is taken. last tells that nobody in the fleet has room for it either.
func (g *Gate) Admit(now uint64, q Request) (ok, last bool) {
	if !g.has || q.SeenBefore { // what ran here is answered here, whatever the share
		return true, false
	}
	o := &g.order
	if !g.picks(q) {
		g.Rejected++
		return false, o.NoCapacityElsewhere && q.IsRetry
	}
	if o.RateLimited {
		if g.runs.fill(now, o.RateLimit); !g.runs.take() {
			g.Rejected++
			return false, o.NoCapacityElsewhere && q.IsRetry
		}
	}
	if o.RetryBudget > 0 {
		b := &g.retry[q.Handler]
		if !q.IsRetry {
			b.have = min(retryMost, b.have+float64(o.RetryBudget)/api.FullShare)
		} else if b.have < 1 {
			g.Rejected++
			return false, o.NoCapacityElsewhere
		} else {
			b.have--
		}
	}
	return true, false
}

// RetryAfter is in how many ms a req that the share leaves out may be let in, if the share goes on growing as it did: all that
// come again before that are turned away again, as who is let in goes by the same place in the share. 0 where nothing tells.
func (g *Gate) RetryAfter(now uint64, q Request) uint64 {
	place, o, p := int(q.Hash>>16&(api.FullShare-1)), &g.order, &g.pace
	if !g.has || o.Share <= 0 || o.PriorityCutoff > 0 || place < o.Share || p.times < growLeast || p.span == 0 {
		return 0
	}
	steps := math.Ceil(math.Log(float64(place+1)/float64(o.Share))/math.Log(p.times) - 1e-9)
	at, gone := uint64(max(steps, 1)*float64(p.span)), now-min(now, p.at)
	return at - min(at, gone)
}

// retryMost is what a retry budget saves up at most: some tries, so that a calm second does not pay for a storm.
const retryMost = 20

func (g *Gate) picks(q Request) bool {
	o := &g.order
	in := int(q.Hash>>16&(api.FullShare-1)) < o.Share
	if o.PriorityCutoff > 0 {
		return q.Value < o.PriorityCutoff || q.Value == o.PriorityCutoff && in
	}
	return in
}

// AdmitConnection tells whether a connection below may be opened.
func (g *Gate) AdmitConnection(now uint64) bool {
	if !g.has || !g.order.RateLimited {
		return true
	}
	g.dials.fill(now, g.order.ConnectRateLimit)
	return g.dials.take()
}
