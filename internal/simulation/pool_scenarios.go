package simulation

import (
	"embed"
	"math"
	"slices"

	"umberwinch/admission"
	"umberwinch/internal/node/pools"
)

//go:embed scenarios/*.txt
var scenarioFiles embed.FS

// PoolGuards lists the guards that a run can disable.
var PoolGuards = []string{"reserve", "limits"}

var poolVariants = []string{"pools", "off", "fixed", "plain"}

// Invariants of docs/design/pools.md that hold in virtual time.
const (
	minCheapestInTime = 0.95 // minimum fraction of the cheapest class's requests completed within the objective
	maxDearestLoss    = 0.03 // maximum fraction of requests that the class of the highest value may lose with pools
)

// Scenario is a workload, parsed from a text file:
//
//	cores N | tenants N | for SECONDS | load SHARE      of capacity, by mean work; for: duration
//	class NAME work=MS share=S [tail=SIGMA] [target=MS] [timeout=MS] [value=V] [tries=N]
//	at SECONDS CLASS KEY=VALUE ...      rate=TIMES work=TIMES heavy=SHARE times=N hangs=SHARE surge=TENANT by=TIMES
//	at SECONDS load SHARE | cores N | drain SECONDS
//	swing SECONDS LOW HIGH              load alternates, each value for SECONDS
//
//	holds CLASS SHARE                   minimum fraction completed in time with pools
//	cheapest CLASS | dearest CLASS | exempt
//
// share is the class's weight among all requests. At least minCheapestInTime of the class cheapest must complete in
// time, unless the scenario is exempt; the class dearest must not lose more than maxDearestLoss by pools.
type Scenario struct {
	name                   string
	Cores, Tenants         int
	duration               virtualTime
	load                   float64
	Classes                []Class
	requestShares          []float64
	changes                []scenarioChange
	Cheapest, HighestValue int
	targets                []serviceTarget
	exemptCheapest         bool // minCheapestInTime isn't checked; the file says why
}

// serviceTarget is the minimum fraction of a class's requests to complete in time with pools.
type serviceTarget struct {
	class    int
	fraction float64
}

type scenarioChange struct {
	at     virtualTime
	class  int // -1 for a change of the whole server
	values map[string]float64
	kind   string
}

// Rates returns the request rate per second of each class at a load, a fraction of capacity.
func (s *Scenario) Rates(load float64) []float64 {
	work := 0.0
	for k := range s.Classes {
		work += s.requestShares[k] * s.Classes[k].MeanWork / float64(second)
	}
	out := make([]float64, len(s.Classes))
	for k := range out {
		out[k] = load * float64(s.Cores) / work * s.requestShares[k]
	}
	return out
}

// newDecider returns the decider of a variant, and its pools if it has any.
func (s *Scenario) newDecider(variant, without string) (decider, *pools.Pools) {
	if variant == "plain" {
		return &plainQueue{slots: 2 * s.Cores}, nil
	}
	d := &admission.Deployment{
		Start: second, FleetSize: 1, Callers: 8, RoundInterval: 10, OverQuotaWeight: 0.05,
		Cores: s.Cores, MaxRunsPerCore: 5, MemoryKB: 1 << 20, RunMemoryFactor: 2, TableEntryKB: 1,
		Cancellation: admission.CancelNever, DrainGrace: second, MaxRetryAfter: 5 * second, IdleTimeout: 30 * second,
	}
	p := pools.Config{Reserve: variant == "pools" && without != "reserve", Tenants: s.Tenants}
	total := 0.0
	for k := range s.Classes {
		total += s.requestShares[k] * s.Classes[k].MeanWork
	}
	for k := range s.Classes {
		c := &s.Classes[k]
		d.Handlers = append(d.Handlers, c.Handler)
		one := pools.Class{Name: c.Name, Value: c.Handler.Value}
		if variant == "fixed" { // as an operator may configure it: 1.5 times the class's share of work
			one.MaxFraction, one.FixedLimit = min(1, max(0.1, 1.5*s.requestShares[k]*c.MeanWork/total)), true
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

// variantResult is the result of a scenario in one variant, over all servers.
type variantResult struct {
	classes        []classResults
	peakRuns       float64 // highest number of runs per core
	completedValue float64
	limits         [][]float64 // pool limits of the first server, by second
}

// simulate runs a scenario on size servers, each with its own seed.
func (s *Scenario) simulate(seed int64, size int, variant, without string) *variantResult {
	all := &variantResult{classes: newClassResults(len(s.Classes), s.duration)}
	for n := 0; n < size; n++ {
		d, p := s.newDecider(variant, without)
		v := newServer(seed*1000+int64(n), d, s.Cores, s.classesAt(s.load), s.Tenants, s.duration+second)
		limits := s.simulateServer(v, p)
		if n == 0 {
			all.limits = limits
		}
		all.add(s, v)
	}
	return all
}

// classesAt returns the classes with their rates at a load.
func (s *Scenario) classesAt(load float64) []Class {
	classes := slices.Clone(s.Classes)
	for k, rate := range s.Rates(load) {
		classes[k].Rate = rate
	}
	return classes
}

// loadFactors multiply the initial rate and work of a class.
type loadFactors struct{ rate, work float64 }

// simulateServer runs a scenario on one server and returns the pool limits at each second.
func (s *Scenario) simulateServer(v *server, p *pools.Pools) (limits [][]float64) {
	load, scales := s.load, make([]loadFactors, len(s.Classes))
	for k := range scales {
		scales[k] = loadFactors{1, 1}
	}
	next := 0
	for now := second; now < s.duration+second; now += second {
		for ; next < len(s.changes) && s.changes[next].at <= now-second; next++ {
			s.changes[next].apply(v, &load, scales)
		}
		for k, class := range s.classesAt(load) {
			v.classes[k].Rate, v.classes[k].MeanWork = class.Rate*scales[k].rate, class.MeanWork*scales[k].work
			if v.drained {
				v.classes[k].Rate = 0
			}
		}
		v.runUntil(now + second)
		if p != nil {
			limits = append(limits, poolLimits(p))
		}
	}
	for k := range v.classes {
		v.classes[k].nextArrival = math.MaxInt64 / 2
	}
	v.runUntil(v.now + 10*second) // lets requests in flight complete
	return limits
}

// poolLimits returns the limit of each pool, at most 30, the upper end of the plot.
func poolLimits(p *pools.Pools) (row []float64) {
	for _, view := range p.Status() {
		row = append(row, min(view.Limit, 30))
	}
	return row
}

// add adds the results of one server.
func (o *variantResult) add(s *Scenario, v *server) {
	for k := range o.classes {
		o.classes[k].add(&v.results[k])
		o.completedValue += float64(v.results[k].inTime) * s.Classes[k].Handler.Value
	}
	o.peakRuns = max(o.peakRuns, v.peakRuns)
}

// apply applies a change to the server, the load or the load factors.
func (c *scenarioChange) apply(v *server, load *float64, scales []loadFactors) {
	switch c.kind {
	case "load":
		*load = c.values["load"]
		return
	case "cores":
		v.cores = c.values["cores"]
		return
	case "drain":
		v.drained = true
		v.decide(&admission.Round{Drain: true, KillAt: v.now + virtualTime(c.values["drain"]*float64(second))})
		return
	}
	class := &v.classes[c.class]
	for key, x := range c.values {
		switch key {
		case "rate":
			scales[c.class].rate = x
		case "work":
			scales[c.class].work = x
		case "heavy":
			class.HeavyFraction = x
		case "times":
			class.HeavyFactor = x
		case "hangs":
			class.hangFraction = x
		case "surge":
			class.surgingTenant = int(x)
		case "by":
			class.surgeFactor = x
		}
	}
}

func (t *classResults) inTimeFraction() float64 {
	return float64(t.inTime) / float64(max(1, t.offered))
}
