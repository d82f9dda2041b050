package zones

import (
	"fmt"
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// Monitor is what a leader saw of zones. All of it is in memory: a new leader sees anew, and holds nothing against
// anybody for the time it did not look.
type Monitor struct {
	pace  uint64 // ms between a node's askings
	since uint64 // looks since
	at    uint64 // the last one
	nodes map[string]*report
	seen  map[sightKey]sight
	asked map[string]string // zones of the nodes that others look at, by name
	looks map[string][]api.ProbeTarget
	views []*View // by zone
	zones map[string]*View
	fleet *View
}

type report struct {
	lease uint32
	at    uint64
	load  api.LoadReport
	has   bool
}

// sightKey is who looked at whom.
type sightKey struct{ node, by string }

type sight struct {
	at uint64
	is api.Health
}

// View is a zone as it looks now, worked out from the reports of its nodes: sums are the median node's times the
// nodes that are in, so that two in five that lie move them little.
type View struct {
	Zone           string  `json:"zone"`
	NodesIn        int     `json:"in"`    // nodes
	NodesSilent    int     `json:"quiet"` // not heard for a while, counted out lately or not
	NodesReporting int     `json:"fresh"` // heard lately, with a report
	NodesUnhealthy int     `json:"sick"`  // of them
	Symptom        string  `json:"kind,omitempty"`
	FailureScore   float64 `json:"score"` // how sure it is that the zone fails; it is left at needScore
	Cause          string  `json:"cause,omitempty"`
	Note           string  `json:"note,omitempty"`

	FirstAttemptRate float64 `json:"came"`   // first tries a second, its order's turning away included
	AdmittedRate     float64 `json:"took"`   // first tries a second that were not turned away
	RejectedRate     float64 `json:"turned"` // tries a second that were
	RunRate          float64 `json:"runs"`   // ended, a second
	OfferedWeight    float64 `json:"worth"`  // value of first tries a second
	CompletedWeight  float64 `json:"got"`    // value done in time a second
	RunCapacity      float64 `json:"cap"`    // runs a second that it could do
	Concurrency      float64 `json:"flight"` // runs under way
	RunMS            float64 `json:"run_ms"`
	CallMS           float64 `json:"call_ms"`
	CallFailureRatio float64 `json:"bad"` // share of calls
	ConnectionRate   float64 `json:"opened"`
	KernelsUp        bool    `json:"kernel"` // half of its nodes or more have one

	mix    []api.PriorityCount
	demand float64 // of the whole fleet: the most first tries a second that came lately
	busy   bool    // slow, and does nearly what it bore at most
	usual  ObservedCapacity
	told   ObservedCapacity   // what the log has
	toldA  uint64             // when
	trail  []ObservedCapacity // of the last looks at which it was well
	common uint64             // when it was sick with all others last
	over   int                // looks in a row at which more was under way than it bore
	loads  [3]float64         // runs under way over what it bore, at the last looks
}

// NewMonitor begins to look.
func NewMonitor() *Monitor {
	return &Monitor{nodes: map[string]*report{}, seen: map[sightKey]sight{}, asked: map[string]string{}, looks: map[string][]api.ProbeTarget{},
		zones: map[string]*View{}}
}

// HeartbeatIntervalMS is how often a node should ask while zones are looked at, in ms: once a second, in larger fleets so that the
// group is asked 2,500 times a second at most (as measured, half of a core).
func HeartbeatIntervalMS(nodes int) uint64 { return max(1000, uint64(nodes)*2/5) }

// Record takes what a node told. A report that can't be is not looked at, as if none had come.
func (w *Monitor) Record(now uint64, n *membership.Node, l *api.LoadReport, seen []api.PeerHealth) {
	r := w.nodes[n.Name]
	if r == nil || r.lease != n.Lease.ID {
		r = &report{lease: n.Lease.ID}
		w.nodes[n.Name] = r
	}
	r.at = now
	if l != nil && l.Plausible() {
		r.load, r.has = *l, true
	}
	if len(seen) > api.MaxPeers {
		seen = seen[:api.MaxPeers]
	}
	for _, s := range seen {
		if w.asked[s.Name] != "" {
			w.seen[sightKey{s.Name, n.Name}] = sight{now, s.Health}
		}
	}
}

// LastHeard tells when a node's present incarnation was heard last, 0: not by this leader.
func (w *Monitor) LastHeard(n *membership.Node) uint64 {
	if r := w.nodes[n.Name]; r != nil && r.lease == n.Lease.ID {
		return r.at
	}
	return 0
}

// ProbesFor gives what a node should look at, for the leader's next answer to it.
func (w *Monitor) ProbesFor(node string) []api.ProbeTarget { return w.looks[node] }

// Views gives all zones as of the last look. They belong to the watch.
func (w *Monitor) Views() []*View { return w.views }

// FleetView gives the whole fleet as of the last look, nil before the first.
func (w *Monitor) FleetView() *View { return w.fleet }

// Sizes of a look. Four looks at which a zone is sick, 500 ms apart, are as many reports of each node: shorter let
// noise through, longer cost a second of service each. A look at which it is well takes two off.
const (
	lookEvery = 500
	needScore = 4.0
	mostScore = 6.0
	wellStep  = 2.0
	commonFor = 10_000
)

// look works the views out, once each lookEvery.
func (w *Monitor) look(now uint64, s *State, f *membership.State, without Guard) {
	if w.since == 0 {
		w.since = now
	}
	w.pace = HeartbeatIntervalMS(len(f.Nodes()))
	w.at = now
	by := map[string]*View{}
	var order []string
	loads := map[string][]*api.LoadReport{}
	for _, n := range f.Nodes() {
		v := by[n.Zone]
		if v == nil {
			v = &View{Zone: n.Zone}
			by[n.Zone] = v
			order = append(order, n.Zone)
		}
		r := w.nodes[n.Name]
		if r != nil && r.lease != n.Lease.ID {
			r = nil
		}
		heard := w.since
		if r != nil {
			heard = max(heard, r.at)
		}
		switch quiet := now-heard > w.quietAfter(); {
		case n.OutReason == membership.OutLeft:
		case n.OutReason != "":
			if f.ClockMS-n.OutAtMS < 60_000 {
				v.NodesSilent++
			}
		default:
			v.NodesIn++
			if quiet {
				v.NodesSilent++
			}
			if r != nil && r.has && now-r.at <= w.freshFor() {
				v.NodesReporting++
				loads[n.Zone] = append(loads[n.Zone], &r.load)
			}
		}
	}
	for name := range w.nodes { // each is judged alone
		if f.Lookup(name) == nil {
			delete(w.nodes, name)
		}
	}
	sort.Strings(order)
	w.views = w.views[:0]
	for _, name := range order {
		v, was := by[name], w.zones[name]
		if was != nil {
			v.usual, v.FailureScore, v.told, v.toldA, v.over = was.usual, was.FailureScore, was.told, was.toldA, was.over
			v.common, v.trail = was.common, was.trail
			copy(v.loads[1:], was.loads[:])
		} else if z := s.Find(name); z != nil { // what the leader before had learned
			v.usual, v.told, v.toldA = z.Capacity, z.Capacity, now
		}
		v.sum(loads[name])
		w.views = append(w.views, v)
	}
	w.zones = by
	w.whole(f)
	w.probe(now, f)
	for _, v := range w.views {
		w.judge(now, s, v, without)
	}
}

// demandFade is what is left after a look of the most first tries that came lately. While callers move from one zone to another
// reports miss some of them on both sides (1,830 of 2,330 a second, seen over three looks); a demand that fell in earnest is
// believed after some ten seconds.
const demandFade = 0.97

// whole adds up the zones to a view of the fleet, for its own return.
func (w *Monitor) whole(f *membership.State) {
	all := &View{Zone: WholeFleet, KernelsUp: true}
	if w.fleet != nil {
		all.over, all.demand = w.fleet.over, w.fleet.demand*demandFade
		copy(all.loads[1:], w.fleet.loads[:])
	}
	kernels, ms, calls := 0, 0.0, 0.0
	for _, v := range w.views {
		all.NodesIn, all.NodesSilent, all.NodesReporting, all.NodesUnhealthy = all.NodesIn+v.NodesIn, all.NodesSilent+v.NodesSilent, all.NodesReporting+v.NodesReporting, all.NodesUnhealthy+v.NodesUnhealthy
		all.FirstAttemptRate, all.AdmittedRate, all.RejectedRate = all.FirstAttemptRate+v.FirstAttemptRate, all.AdmittedRate+v.AdmittedRate, all.RejectedRate+v.RejectedRate
		all.RunRate, all.OfferedWeight = all.RunRate+v.RunRate, all.OfferedWeight+v.OfferedWeight
		all.CompletedWeight, all.RunCapacity, all.Concurrency = all.CompletedWeight+v.CompletedWeight, all.RunCapacity+v.RunCapacity, all.Concurrency+v.Concurrency
		ms, calls = ms+v.RunRate*v.RunMS, calls+v.RunRate*v.CallMS
		if v.KernelsUp {
			kernels += v.NodesIn
		}
		if v.NodesUnhealthy > 0 {
			all.Symptom = v.Symptom
		}
	}
	all.demand = max(all.demand, all.FirstAttemptRate)
	if all.RunRate > 0 {
		all.RunMS, all.CallMS = ms/all.RunRate, calls/all.RunRate
	}
	all.KernelsUp = 2*kernels >= all.NodesIn
	w.fleet = all
}

// quietAfter is how long a node may be silent before it counts as quiet: one asking lost, with its answer's time.
func (w *Monitor) quietAfter() uint64 { return w.pace*3/2 + 800 }

// freshFor is how long a report counts.
func (w *Monitor) freshFor() uint64 { return 2*w.pace + 500 }

// median gives the middle of some figures.
func median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	sort.Float64s(x)
	if n := len(x); n%2 == 0 {
		return (x[n/2-1] + x[n/2]) / 2
	}
	return x[len(x)/2]
}

// Pooling. Where a node sees a few reqs in a report's time, as each of thousands does, or all do at a small share, most reports
// say none, and the median of them says none too. So nodes are pooled, in turn, until a pool sees poolRuns runs, in poolLeast pools
// at least, and the median is that of pools. A zone of fewer than twice as many nodes is not pooled: two of five that lie must
// not reach every pool.
const (
	poolRuns  = 8
	poolLeast = 9
)

// pooled is some nodes' reports as one: counts are sums, times are weighed by what they are of, MS is their mean.
type pooled struct {
	api.LoadReport
	nodes []*api.LoadReport
}

// pool puts reports together; of each node alone where it sees enough.
func pool(all []*api.LoadReport) []pooled {
	n := len(all)
	pools := n
	if n >= 2*poolLeast {
		each := 0.0
		for _, l := range all { // none counts for more than is enough: a few that lie don't decide what is
			each += min(poolRuns, float64(l.RunsEnded)) / float64(n)
		}
		if each < poolRuns/2 {
			pools = max(poolLeast, int(float64(n)*each/poolRuns))
		}
	}
	out := make([]pooled, pools)
	for i, l := range all {
		out[i%pools].nodes = append(out[i%pools].nodes, l)
	}
	for i := range out {
		out[i].add()
	}
	return out
}

func (p *pooled) add() {
	if len(p.nodes) == 1 {
		p.LoadReport = *p.nodes[0]
		return
	}
	up := 0
	for _, l := range p.nodes {
		p.WindowMS, p.Arrived, p.Retries, p.RejectedByZone = p.WindowMS+l.WindowMS, p.Arrived+l.Arrived, p.Retries+l.Retries, p.RejectedByZone+l.RejectedByZone
		p.Completed, p.Late, p.Shed, p.Failed = p.Completed+l.Completed, p.Late+l.Late, p.Shed+l.Shed, p.Failed+l.Failed
		p.RunsEnded, p.Calls, p.FailedCalls, p.ConnectionsOpened, p.RunsInFlight = p.RunsEnded+l.RunsEnded, p.Calls+l.Calls, p.FailedCalls+l.FailedCalls, p.ConnectionsOpened+l.ConnectionsOpened, p.RunsInFlight+l.RunsInFlight
		p.OfferedWeight, p.CompletedWeight, p.Cores, p.CoresUsed = p.OfferedWeight+l.OfferedWeight, p.CompletedWeight+l.CompletedWeight, p.Cores+l.Cores, p.CoresUsed+l.CoresUsed
		p.MeanRunMS, p.MeanCallMS = p.MeanRunMS+l.MeanRunMS*float64(l.RunsEnded), p.MeanCallMS+l.MeanCallMS*float64(l.Calls)
		if l.KernelConnected {
			up++
		}
	}
	p.WindowMS /= len(p.nodes)
	p.MeanRunMS, p.MeanCallMS = p.MeanRunMS/float64(max(1, p.RunsEnded)), p.MeanCallMS/float64(max(1, p.Calls))
	p.KernelConnected = 2*up >= len(p.nodes)
}

// sum makes a view of the reports of a zone's nodes.
func (v *View) sum(all []*api.LoadReport) {
	if len(all) == 0 {
		return
	}
	pools := pool(all)
	of := func(f func(l *api.LoadReport) float64) float64 {
		x := make([]float64, 0, len(pools))
		for i := range pools {
			x = append(x, f(&pools[i].LoadReport))
		}
		return median(x)
	}
	per := func(f func(l *api.LoadReport) float64) float64 { // a second, over all nodes that are in
		x := make([]float64, 0, len(pools))
		for i := range pools {
			x = append(x, f(&pools[i].LoadReport)*1000/float64(pools[i].WindowMS)/float64(len(pools[i].nodes)))
		}
		return float64(v.NodesIn) * median(x)
	}
	v.FirstAttemptRate = per(func(l *api.LoadReport) float64 { return float64(l.Arrived - l.Retries) })
	v.AdmittedRate = per(func(l *api.LoadReport) float64 { return float64(max(0, l.Arrived-l.Retries-l.RejectedByZone)) })
	v.RejectedRate = per(func(l *api.LoadReport) float64 { return float64(l.RejectedByZone) })
	v.RunRate = per(func(l *api.LoadReport) float64 { return float64(l.RunsEnded) })
	v.OfferedWeight = per(func(l *api.LoadReport) float64 { return l.OfferedWeight })
	v.CompletedWeight = per(func(l *api.LoadReport) float64 { return l.CompletedWeight })
	v.ConnectionRate = per(func(l *api.LoadReport) float64 { return float64(l.ConnectionsOpened) })
	v.RunCapacity = per(func(l *api.LoadReport) float64 {
		// A core never quite idles: under a twentieth a node is taken to have twenty times what it does.
		return float64(l.RunsEnded) / min(1, max(0.05, l.CoresUsed/l.Cores))
	})
	v.RunMS = of(func(l *api.LoadReport) float64 { return l.MeanRunMS })
	v.CallMS = of(func(l *api.LoadReport) float64 { return l.MeanCallMS })
	v.CallFailureRatio = of(func(l *api.LoadReport) float64 { return float64(l.FailedCalls) / max(1, float64(l.Calls)) })
	v.Concurrency = per(func(l *api.LoadReport) float64 {
		if l.RunsEnded == 0 {
			return float64(l.RunsInFlight) * float64(l.WindowMS) / 1000 // they are not a second's
		}
		return float64(l.RunsEnded) * l.MeanRunMS / 1000 // Little's law
	})
	up := 0
	for _, l := range all {
		if l.KernelConnected {
			up++
		}
	}
	v.KernelsUp = 2*up >= len(all)
	v.sick(pools)
	v.mix = mixOf(all)
}

// Kinds of sickness, as a node's report shows them.
const (
	kindKernel = "kernels" // no link, or runs that stand
	kindBelow  = "calls below that fail"
	kindCrawl  = "calls below that crawl"
	kindErrors = "runs that fail"
	kindLate   = "lateness"
	kindSlow   = "slowness" // runs take far longer than usual
)

var kinds = []string{kindKernel, kindBelow, kindErrors, kindCrawl, kindLate, kindSlow}

// cold tells whether this is what a service that has just come back shows: slow, and nothing else.
func cold(kind string) bool { return kind == kindCrawl || kind == kindSlow || kind == kindLate }

// Bounds of sickness. Three times the usual is past what load alone does to a run while run slots are bounded; three in
// ten is past any noise seen at ten samples.
const (
	slowTimes  = 3.0
	badShare   = 0.3
	leastRuns  = 3
	leastEnded = 5
	// A zone that is slow and does nearly what it bore at most is asked for too much: to leave it would lose just that.
	busyShare = 0.7
)

// kindOf tells what ails a node, if anything does.
func (v *View) kindOf(l *api.LoadReport) string {
	ended := l.Completed + l.Late + l.Failed
	switch {
	case !l.KernelConnected:
		return kindKernel
	case l.Calls >= leastRuns && float64(l.FailedCalls) >= badShare*float64(l.Calls):
		return kindBelow
	case float64(l.RunsInFlight) >= l.Cores && l.RunsEnded == 0 && l.WindowMS >= 900 && v.usual.RunMS > 0 && float64(l.WindowMS) > 4*v.usual.RunMS:
		return kindKernel
	case l.Calls >= leastRuns && v.usual.CallMS > 0 && l.MeanCallMS > slowTimes*v.usual.CallMS+5:
		return kindCrawl // runs fail for want of them, in one zone sooner than in another
	case ended >= leastEnded && float64(l.Failed) >= badShare*float64(ended):
		return kindErrors
	case ended >= leastEnded && float64(l.Late+l.Failed) >= badShare*float64(ended):
		return kindLate
	case l.RunsEnded >= leastRuns && v.usual.RunMS > 0 && l.MeanRunMS > slowTimes*v.usual.RunMS+5:
		return kindSlow
	}
	return ""
}

// sick counts the nodes that are: each by its own report, and all of a pool that shows it where their reports alone say too
// little.
func (v *View) sick(pools []pooled) {
	count := map[string]int{}
	var failed []float64
	for i := range pools {
		p := &pools[i]
		failed = append(failed, float64(p.Failed)/float64(max(1, p.Completed+p.Late+p.Failed)))
		together := ""
		if len(p.nodes) > 1 && p.KernelConnected {
			together = v.kindOf(&p.LoadReport)
		}
		for _, l := range p.nodes {
			k := v.kindOf(l)
			if k == "" {
				k = together
			}
			if k != "" {
				v.NodesUnhealthy++
				count[k]++
			}
		}
	}
	for _, k := range kinds {
		if count[k] > count[v.Symptom] {
			v.Symptom = k
		}
	}
	if ran := v.RunRate * (1 - median(failed)); cold(v.Symptom) && v.usual.RunRate > 0 && ran >= busyShare*v.usual.RunRate {
		v.Note = fmt.Sprintf("%d of %d nodes heard are slow (%s), but it does %.0f runs a second and bore %.0f: busy, not sick",
			v.NodesUnhealthy, v.NodesReporting, v.Symptom, v.RunRate, v.usual.RunRate)
		v.NodesUnhealthy, v.Symptom, v.busy = 0, "", true
	}
}

// mixOf adds up what came by value.
func mixOf(all []*api.LoadReport) (out []api.PriorityCount) {
	sum := map[float64]int{}
	for _, l := range all {
		for _, m := range l.ArrivedByWeight {
			if m.Arrived > 0 && m.Weight >= 0 {
				sum[m.Weight] += m.Arrived
			}
		}
	}
	for value, came := range sum {
		out = append(out, api.PriorityCount{Weight: value, Arrived: came})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Weight < out[k].Weight })
	return out
}

// quorum tells whether enough of a zone's nodes are heard to say anything of it: a third of those that are in, so that
// with half of the reports missing there is one.
func (v *View) quorum() bool { return v.NodesReporting > 0 && 3*v.NodesReporting >= v.NodesIn }

// share is how much of what is heard is sick.
func (v *View) share() float64 { return float64(v.NodesUnhealthy) / float64(max(1, v.NodesReporting)) }

// Most of a zone's nodes have to be sick for it to be the zone that is: at a majority one bad node, or two that lie in
// five, leave it in. A zone is well where hardly any is.
const (
	sickShare = 0.6
	wellShare = 0.25
)

// Silent tells that nobody of a zone is heard.
func (v *View) silent() bool {
	return v.NodesSilent > 0 && v.NodesSilent*10 >= 9*max(v.NodesIn, v.NodesSilent)
}

// judge keeps the score: how long and how surely a zone fails, over several looks.
func (w *Monitor) judge(now uint64, s *State, v *View, without Guard) {
	step, _ := s.PhaseOf(v.Zone)
	switch {
	case v.silent():
		serves, sheds, nobody := w.sights(now, v.Zone)
		switch all := serves + sheds + nobody; {
		case all > 0 && 2*serves >= all:
			v.FailureScore = max(0, v.FailureScore-wellStep)
			v.Note = fmt.Sprintf("not heard, but %d of %d looks at its nodes found them serving: cut off from the group alone",
				serves, all)
		case all >= 2:
			v.Cause, v.Note = "dead", fmt.Sprintf("not heard, and %d of %d looks at its nodes had no answer", nobody, all)
			if sheds > nobody {
				v.Cause, v.Note = "cut off", "not heard, and its nodes take nothing as others see them"
			}
			v.FailureScore = min(mostScore, v.FailureScore+needScore/2) // two looks: silence and sights took their time already
		default:
			v.Note = "not heard; nobody has looked yet"
		}
		return
	case !v.quorum():
		v.Note = fmt.Sprintf("%d of %d nodes heard: nothing can be told", v.NodesReporting, v.NodesIn)
		return
	case v.share() >= sickShare && !w.othersWell(s, v) && !without.Has(CommonCause):
		v.FailureScore, v.common = max(0, v.FailureScore-1), now
		v.Note = fmt.Sprintf("%d of %d sick (%s), and no other zone is well: a common cause, nobody leaves", v.NodesUnhealthy, v.NodesReporting,
			v.Symptom)
	case v.share() >= sickShare:
		// What ailed all may end a little sooner elsewhere: it takes twice as long to be sure of one zone then.
		if v.Cause = v.Symptom; v.common != 0 && now-v.common < commonFor {
			v.FailureScore = min(mostScore, v.FailureScore+0.5)
		} else {
			v.FailureScore = min(mostScore, v.FailureScore+1)
		}
	case v.share() <= wellShare:
		v.FailureScore = max(0, v.FailureScore-wellStep)
	default:
		v.FailureScore = max(0, v.FailureScore-wellStep/4)
	}
	if v.NodesUnhealthy > 0 && v.share() < sickShare {
		v.Note = fmt.Sprintf("%d of %d nodes heard are sick (%s): not the zone", v.NodesUnhealthy, v.NodesReporting, v.Symptom)
	}
	if v.usual.FirstAttemptRate > 1 && v.FirstAttemptRate < v.usual.FirstAttemptRate/20 && step == InService {
		v.Note = "hardly any callers reach it: nothing is won by leaving it"
	}
	// Guards against taking what a fleet shows on its way back from a restart, cold and held, for what is usual.
	if all, _ := s.PhaseOf(WholeFleet); step == InService && all == InService && v.FailureScore == 0 && v.NodesUnhealthy == 0 && 2*v.NodesReporting >= v.NodesIn {
		v.learn()
	} else {
		v.trail = v.trail[:0]
	}
}

// othersWell tells whether half or more of the other zones that are in, and one at least, are heard and well.
func (w *Monitor) othersWell(s *State, v *View) bool {
	well, in := 0, 0
	for _, o := range w.views {
		if step, _ := s.PhaseOf(o.Zone); o == v || step != InService || o.silent() {
			continue
		}
		in++
		// What is slow may be slow for the same cause as others that are; what fails, only as others that fail.
		if o.quorum() && (o.share() <= wellShare && !(o.busy && cold(v.Symptom)) || cold(o.Symptom) && !cold(v.Symptom)) {
			well++
		}
	}
	return well > 0 && 2*well >= in
}

// learn keeps what is usual. A peak falls by a tenth in a quarter of an hour, so that a fleet that shrank is not asked
// for what it once bore; what is usual follows within a minute.
//
// What is seen counts four seconds later, if the zone was well all the while: the first seconds of a trouble show runs
// that pile up before anything is sick, and that is not what a service bore.
func (v *View) learn() {
	const fall, follow, trail = 0.99994, 1.0 / 64, 8
	v.trail = append(v.trail, ObservedCapacity{v.RunRate, v.Concurrency, v.RunMS, v.CallMS, v.ConnectionRate, v.FirstAttemptRate})
	if len(v.trail) <= trail {
		return
	}
	is, u := v.trail[0], &v.usual
	v.trail = append(v.trail[:0], v.trail[1:]...)
	if u.RunMS > 0 && is.RunMS > warmTimes*u.RunMS {
		is.Concurrency = 0 // slower than usual: it bore that, but hardly
	}
	// Operator Little's law no more can be under way than come in the time that one takes: what is beyond that are runs that stand,
	// and a service that is held to have borne them is asked for far too much on its way back.
	if u.RunMS > 0 {
		is.Concurrency = min(is.Concurrency, warmTimes*is.RunRate*u.RunMS/1000)
	}
	near := func(x *float64, is float64) {
		if *x == 0 {
			*x = is
		} else {
			*x += follow * (is - *x)
		}
	}
	u.RunRate, u.Concurrency = max(u.RunRate*fall, is.RunRate), max(u.Concurrency*fall, is.Concurrency)
	u.ConnectionRate = max(u.ConnectionRate*fall, is.ConnectionRate)
	if is.RunRate > 0 {
		near(&u.RunMS, is.RunMS)
	}
	if is.CallMS > 0 {
		near(&u.CallMS, is.CallMS)
	}
	near(&u.FirstAttemptRate, is.FirstAttemptRate)
}

// probe chooses who looks at the nodes of a silent zone: three of its nodes, by two nodes of each other zone.
func (w *Monitor) probe(now uint64, f *membership.State) {
	w.looks, w.asked = map[string][]api.ProbeTarget{}, map[string]string{}
	for _, v := range w.views {
		if !v.silent() {
			continue
		}
		var at []api.ProbeTarget
		for _, n := range f.Nodes() {
			if n.Zone == v.Zone && n.OutReason != membership.OutLeft && n.Addr != "" && len(at) < 3 {
				at = append(at, api.ProbeTarget{Name: n.Name, Addr: n.Addr})
				w.asked[n.Name] = v.Zone
			}
		}
		n := map[string]int{}
		for _, node := range f.Nodes() {
			r, of := w.nodes[node.Name], w.zones[node.Zone]
			if node.Zone == v.Zone || of.silent() || n[node.Zone] >= 2 || r == nil || r.lease != node.Lease.ID ||
				now-r.at > w.freshFor() || len(w.looks[node.Name])+len(at) > api.MaxPeers {
				continue
			}
			n[node.Zone]++
			w.looks[node.Name] = append(w.looks[node.Name], at...)
		}
	}
	for k, s := range w.seen { // each is judged alone
		if w.asked[k.node] == "" || now-s.at > 3*w.pace+1000 {
			delete(w.seen, k)
		}
	}
}

// sights counts what others lately saw of a silent zone's nodes.
func (w *Monitor) sights(now uint64, zone string) (serves, sheds, nobody int) {
	for k, s := range w.seen { // order does not matter to sums
		if w.asked[k.node] != zone || now-s.at > 3*w.pace+1000 {
			continue
		}
		switch s.is {
		case api.PeerServing:
			serves++
		case api.PeerShedding:
			sheds++
		default:
			nobody++
		}
	}
	return serves, sheds, nobody
}
