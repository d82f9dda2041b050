package simulation

import (
	"embed"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberwinch/admission"
	"umberwinch/internal/node/pools"
)

//go:embed scenarios/*.txt
var scenarioFiles embed.FS

// PoolGuards are what can be taken out.
var PoolGuards = []string{"reserve", "limits"}

var poolVariants = []string{"pools", "off", "fixed", "plain"}

// Promises of docs/design/pools.md, as far as virtual time can show them.
const (
	minCheapestInTime = 0.95 // of the cheapest class's requests done within their target, in every scenario
	maxDearestLoss    = 0.03 // of requests that the class of the highest value may lose by pools
)

// Scenario is one text file:
//
//	cores N | tenants N | for SECONDS | load SHARE      of capacity, by mean work
//	class NAME work=MS share=S [tail=SIGMA] [target=MS] [timeout=MS] [value=V] [tries=N]
//	at SECONDS CLASS KEY=VALUE ...      rate=TIMES work=TIMES heavy=SHARE times=N hangs=SHARE surge=TENANT by=TIMES
//	at SECONDS load SHARE | cores N | drain SECONDS
//	swing SECONDS LOW HIGH              load goes to and fro
//
//	holds CLASS SHARE                   so much of it is done in time with pools
//
// share is the class's part of all requests. cheapest names the class whose promise is checked, dearest the one
// that must not lose by pools.
type Scenario struct {
	name              string
	Cores, Tenants    int
	span              virtualTime
	load              float64
	Classes           []Class
	fractions         []float64
	changes           []scenarioChange
	Cheapest, Dearest int
	targets           []serviceTarget
	exempt            bool // the promise on the cheapest class does not hold here, as the file says why
}

// serviceTarget is a share of a class's requests that has to be done in time with pools.
type serviceTarget struct {
	class    int
	fraction float64
}

type scenarioChange struct {
	at    virtualTime
	class int // -1 for the server
	words map[string]float64
	kind  string
}

// Rates gives each class its requests a second so that all together offer a share of capacity.
func (s *Scenario) Rates(load float64) []float64 {
	work := 0.0
	for k := range s.Classes {
		work += s.fractions[k] * s.Classes[k].Work / float64(second)
	}
	out := make([]float64, len(s.Classes))
	for k := range out {
		out[k] = load * float64(s.Cores) / work * s.fractions[k]
	}
	return out
}

// newDecider makes the decider of one variant.
func (s *Scenario) newDecider(variant, without string) (decider, *pools.Pools) {
	if variant == "plain" {
		return &plainQueue{slots: 2 * s.Cores}, nil
	}
	d := &admission.Deployment{
		Start: second, FleetSize: 1, Callers: 8, RoundInterval: 10, OverQuotaWeight: 0.05,
		Cores: s.Cores, MaxRunsPerCore: 5, MemoryKB: 1 << 20, RunMemoryFactor: 2, TableEntryKB: 1,
		Cancellation: admission.CancelNever, DrainGrace: second, MaxRetryAfter: 5 * second, IdleTimeout: 30 * second,
	}
	p := pools.Plan{Reserve: variant == "pools" && without != "reserve", Tenants: s.Tenants}
	total := 0.0
	for k := range s.Classes {
		total += s.fractions[k] * s.Classes[k].Work
	}
	for k := range s.Classes {
		c := &s.Classes[k]
		d.Handlers = append(d.Handlers, c.Handler)
		one := pools.Class{Name: c.Name, Value: c.Handler.Value}
		if variant == "fixed" { // what an operator would set from a calm day's shares, with room for half as much again
			one.MaxFraction, one.FixedLimit = min(1, max(0.1, 1.5*s.fractions[k]*c.Work/total)), true
		} else if without == "limits" {
			one.MaxFraction, one.FixedLimit = 1, true
		}
		p.Classes = append(p.Classes, one)
	}
	for i := 0; i < s.Tenants; i++ {
		rate := 0.0
		for _, r := range s.Rates(1) {
			rate += r
		}
		d.Tenants = append(d.Tenants, admission.Tenant{Quota: rate / float64(s.Tenants)})
	}
	if variant == "off" {
		return admission.New(d), nil
	}
	o := pools.New(p)
	d.Pools = o
	return admission.New(d), o
}

// outcome is a scenario's, in one variant, over all servers.
type outcome struct {
	classes  []tallies
	busiest  float64 // share of the cores in use over the fullest window
	peakRuns float64 // runs a core
	value    float64
	limits   [][]float64 // of the first server, by second
}

// play runs a scenario's servers one after the other, each from a seed of its own.
func (s *Scenario) play(seed int64, size int, variant, without string) *outcome {
	all := &outcome{classes: make([]tallies, len(s.Classes))}
	for k := range all.classes {
		all.classes[k].times = hdrhistogram.New(1, 10_000_000, 2)
		all.classes[k].served, all.classes[k].arrived = make([]int, s.span/second+2), make([]int, s.span/second+2)
	}
	for n := 0; n < size; n++ {
		d, p := s.newDecider(variant, without)
		s.playServer(all, seed*1000+int64(n), d, p, n == 0)
	}
	return all
}

func (s *Scenario) playServer(all *outcome, seed int64, d decider, p *pools.Pools, watch bool) {
	load := s.load
	rates := s.Rates(load)
	classes := append([]Class{}, s.Classes...)
	for k := range classes {
		classes[k].Rate = rates[k]
	}
	v := newEmulatedServer(seed, d, s.Cores, classes, s.Tenants, s.span+second)
	times, works := make([]float64, len(classes)), make([]float64, len(classes))
	for k := range times {
		times[k], works[k] = 1, 1
	}
	next := 0
	for now := second; now < s.span+second; now += second {
		for next < len(s.changes) && s.changes[next].at <= now-second {
			s.applyChange(v, s.changes[next], &load, times, works)
			next++
		}
		rates = s.Rates(load)
		for k := range v.classes {
			v.classes[k].Rate = rates[k] * times[k]
			v.classes[k].Work = s.Classes[k].Work * works[k]
		}
		if v.drained {
			for k := range v.classes {
				v.classes[k].Rate = 0
			}
		}
		v.runUntil(now + second)
		if watch && p != nil {
			var row []float64
			for _, view := range p.Status() {
				row = append(row, min(view.Limit, 30))
			}
			all.limits = append(all.limits, row)
		}
	}
	for k := range v.classes {
		v.classes[k].arrivals = math.MaxInt64 / 2
	}
	v.runUntil(v.now + 10*second) // what is open has its end
	for k := range all.classes {
		a, b := &all.classes[k], &v.out[k]
		a.offered, a.inTime, a.late = a.offered+b.offered, a.inTime+b.inTime, a.late+b.late
		a.withinQuota, a.withinQuotaInTime = a.withinQuota+b.withinQuota, a.withinQuotaInTime+b.withinQuotaInTime
		a.shed, a.errored = a.shed+b.shed, a.errored+b.errored
		a.times.Merge(b.times)
		all.value += float64(b.inTime) * s.Classes[k].Handler.Value
		for i := range a.served {
			a.served[i] += b.served[i]
			a.arrived[i] += b.arrived[i]
		}
	}
	for _, b := range v.busy {
		all.busiest = max(all.busiest, b/float64(window))
	}
	all.peakRuns = max(all.peakRuns, v.peakRuns)
}

func (s *Scenario) applyChange(v *server, c scenarioChange, load *float64, times, works []float64) {
	if c.class < 0 {
		switch c.kind {
		case "load":
			*load = c.words["load"]
		case "cores":
			v.cores = c.words["cores"]
		case "drain":
			v.drained = true
			v.round(&admission.Round{Drain: true, KillAt: v.now + virtualTime(c.words["drain"]*float64(second))})
		}
		return
	}
	k := &v.classes[c.class]
	for _, key := range []string{"rate", "work", "heavy", "times", "hangs", "surge", "by"} {
		x, ok := c.words[key]
		if !ok {
			continue
		}
		switch key {
		case "rate":
			times[c.class] = x
		case "work":
			works[c.class] = x
		case "heavy":
			k.HeavyShare = x
		case "times":
			k.HeavyFactor = x
		case "hangs":
			k.hangs = x
		case "surge":
			k.surge = int(x)
		case "by":
			k.surgeBy = x
		}
	}
}

func (t *tallies) inTimeFraction() float64 { return float64(t.inTime) / float64(max(1, t.offered)) }
