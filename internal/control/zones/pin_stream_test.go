package zones

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// stream is a recorded run of a fleet of four zones with faults: reports go in, and all that is decided goes into a
// hash.
type stream struct {
	rng     *rand.Rand
	fleet   *membership.State
	state   *State
	monitor *Monitor
	rules   api.ZoneRules
	without Guard
	digest  hash.Hash
	now     uint64
	batches uint64
	counts  map[string]int
	joins   int
}

const streamTick = 250 // ms

// streamZones are the zones and how many nodes each has; the last is large enough to be pooled.
var streamZones = []struct {
	name  string
	nodes int
	came  int // a node's report
}{{"a", 5, 200}, {"b", 5, 200}, {"c", 4, 160}, {"d", 24, 6}}

func (s *stream) writeLine(format string, args ...any) { fmt.Fprintf(s.digest, format+"\n", args...) }

func (s *stream) joinRequest(zone string, i int, up uint64) api.JoinRequest {
	s.joins++
	return api.JoinRequest{Name: fmt.Sprintf("%s%d", zone, i), Zone: zone, Addr: fmt.Sprintf("10.0.0.%d:1", i),
		Nonce: fmt.Sprintf("process-%s-%d-%d", zone, i, s.joins), UptimeMS: up}
}

func numberOf(name string) int {
	i, _ := strconv.Atoi(name[1:])
	return i
}

func (s *stream) applyBatch(b *membership.HeartbeatBatch) {
	b.Term, b.Sequence, b.BatchesBefore, b.ElapsedMS, b.MinZoneEpoch = 1, s.batches, s.batches, streamTick, s.state.Epoch
	s.fleet.Apply(b, 1, membership.LeaseTerms{LeaseMS: 3000, ZoneEpoch: s.state.Epoch})
	s.batches++
}

// fault returns what ails a zone at a time of the run.
func (s *stream) fault(zone string) string {
	at := s.now / 1000 % 400
	switch {
	case at >= 20 && at < 32 && zone == "a":
		return "kernel"
	case at >= 60 && at < 75 && zone == "b":
		return "crawl"
	case at >= 90 && at < 100:
		return "slow" // all zones
	case at >= 120 && at < 140 && zone == "c":
		return "silent"
	case at >= 160 && at < 180 && zone == "a":
		return "errors"
	case at >= 200 && at < 210 && zone == "d":
		return "errors"
	case at >= 230 && at < 245 && zone == "b":
		return "stand"
	case at >= 255 && at < 262 && zone == "a":
		return "late"
	case at >= 330 && at < 350:
		return "cold"
	}
	return ""
}

func (s *stream) report(zone string, came int) *api.LoadReport {
	_, share := s.state.PhaseOf(zone)
	n := came/2 + s.rng.IntN(came+1)
	again := s.rng.IntN(n/4 + 1)
	turned := n * (api.FullShare - share) / api.FullShare
	runs := n - turned
	l := &api.LoadReport{WindowMS: 1800 + s.rng.IntN(200), Arrived: n, Retries: again, RejectedByZone: turned,
		Completed: runs, RunsEnded: runs,
		MeanRunMS: 18 + 4*s.rng.Float64(), Calls: 2 * runs, MeanCallMS: 9 + 2*s.rng.Float64(), KernelConnected: true,
		Cores:     4,
		CoresUsed: min(4, 4*float64(runs)/(1.3*float64(came))), OfferedWeight: float64(5 * n),
		CompletedWeight: float64(5 * runs), ConnectionsOpened: runs / 3,
		RunsInFlight: s.rng.IntN(4), ArrivedByWeight: []api.PriorityCount{{Weight: 1, Arrived: n / 2}, {Weight: 5,
			Arrived: n / 4}, {Weight: 20, Arrived: n / 4}}}
	switch s.fault(zone) {
	case "kernel":
		l.KernelConnected, l.Completed, l.Failed, l.CompletedWeight = false, 0, runs, 0
	case "crawl":
		l.MeanCallMS, l.MeanRunMS, l.Completed, l.Late, l.CompletedWeight = 20+70*s.rng.Float64(),
			40+160*s.rng.Float64(), runs/8, runs-runs/8, float64(runs/8)
		l.RunsEnded /= 4
	case "slow":
		l.MeanCallMS, l.MeanRunMS, l.Completed, l.Late, l.CompletedWeight = 60, 130, runs/2, runs-runs/2, float64(runs)
		l.RunsEnded /= 3
	case "errors":
		l.Failed = int(float64(runs) * (0.15 + 0.5*s.rng.Float64())) // around the bound
		l.Completed, l.CompletedWeight = runs-l.Failed, float64(runs)
	case "stand":
		l.RunsEnded, l.Completed, l.Calls, l.RunsInFlight, l.CompletedWeight, l.WindowMS = 0, 0, 0, 9, 0, 1900
	case "late":
		l.Late = int(float64(runs) * (0.2 + 0.6*s.rng.Float64()))
		l.Completed, l.CompletedWeight = runs-l.Late, float64(runs)
		l.RunsEnded = l.RunsEnded * 5 / 8
	case "cold":
		l.MeanCallMS, l.MeanRunMS = 40+20*s.rng.Float64(), 70
	}
	switch s.rng.IntN(60) {
	case 0: // a node that lies
		l.RunsEnded, l.MeanRunMS, l.Arrived = 900_000, 1, 1_000_000
	case 1: // a report that can't be
		l.OfferedWeight = math.NaN()
	}
	return l
}

// operator does what an operator would, at fixed times.
func (s *stream) operator() {
	key := fmt.Sprintf("key-of-%d", s.now)
	at := map[uint64]*Op{
		150_000: {Kind: "hold", Zone: "b", WaitMS: 5000}, 270_000: {Kind: "leave", Zone: "d", DrillMS: 8000,
			Reason: "a drill"},
		300_000: {Kind: "leave", Zone: "c", Share: 64, PriorityCutoff: 5}, 306_000: {Kind: "step", Zone: "c",
			Share: 32},
		308_000: {Kind: "back", Zone: "c", Share: 8}, 310_000: {Kind: "back", Zone: "c"}, 314_000: {Kind: "step",
			Zone: "c", Share: 128},
		315_000: {Kind: "leave", Zone: "none"}, 316_000: {Kind: "back", Zone: "a", Share: 8}, 317_000: {Kind: "fly",
			Zone: "a"},
		318_000: {Kind: "leave", Zone: WholeFleet}, 344_000: {Kind: "step", Zone: WholeFleet, Share: 128},
	}[s.now%400_000]
	if at != nil {
		at.Operator, at.IdempotencyKey, at.Epoch = "op", key, s.state.Epoch
		s.writeLine("valid %v", at.Validate())
		s.apply(at)
	}
}

func (s *stream) apply(op *Op) {
	raw, _ := json.Marshal(op)
	r := s.state.Apply(op, s.fleet, s.without)
	s.writeLine("%s: %s %s %s %d %s %d %s", raw, r.Kind, r.Zone, r.IdempotencyKey, r.Epoch, r.Phase, r.Share, r.Err)
	s.counts[string(op.Kind)]++
	if r.Err != "" {
		s.counts["refused"]++
	}
}

func (s *stream) restart() {
	b := &membership.HeartbeatBatch{}
	for _, z := range streamZones {
		for i := range z.nodes {
			b.Joins = append(b.Joins, s.joinRequest(z.name, i, 0))
		}
	}
	s.applyBatch(b)
	if s.state.BeginColdStart(s.fleet, &s.rules, s.without) {
		s.counts["began"]++
	}
}

func (s *stream) tick() {
	s.now += streamTick
	b := &membership.HeartbeatBatch{MinVersion: 0}
	for _, n := range s.fleet.Nodes() {
		switch {
		case n.OutReason != "" && s.fault(n.Zone) == "":
			b.Joins = append(b.Joins, s.joinRequest(n.Zone, numberOf(n.Name), 60_000))
		case n.OutReason == "" && s.fault(n.Zone) != "silent" && s.rng.IntN(40) != 0:
			b.Renewals = append(b.Renewals, n.Lease.ID)
		}
	}
	if s.now%15_000 == 4000 { // a node begins anew, its old lease may still be acted on
		b.Joins = append(b.Joins, s.joinRequest("a", 0, 60_000), s.joinRequest("d", 3, 60_000))
	}
	s.applyBatch(b)
	if s.state.BeginColdStart(s.fleet, &s.rules, s.without) {
		s.counts["began"]++
	}
	for _, z := range streamZones {
		for i := range z.nodes {
			n := s.fleet.Lookup(fmt.Sprintf("%s%d", z.name, i))
			if n == nil || n.OutReason != "" || s.fault(z.name) == "silent" || s.rng.IntN(3) != 0 {
				continue
			}
			var seen []api.PeerHealth
			for _, l := range s.monitor.ProbesFor(n.Name) {
				is := []api.Health{api.PeerServing, api.PeerShedding, api.PeerSilent, api.PeerSilent}[s.rng.IntN(4)]
				seen = append(seen, api.PeerHealth{Name: l.Name, Health: is})
			}
			s.monitor.Record(s.now, n, s.report(z.name, z.came), seen)
			s.writeLine("heard %d", s.monitor.LastHeard(n))
		}
	}
	s.operator()
	if op := s.monitor.Decide(s.now, s.state, s.fleet, &s.rules, s.without); op != nil {
		s.apply(op)
	}
	s.writeState()
}

// writeState adds all that can be seen of the state, of the views and of what nodes are told.
func (s *stream) writeState() {
	saved, _ := s.state.Snapshot()
	views, _ := json.Marshal(s.monitor.Views())
	all, _ := json.Marshal(s.monitor.FleetView())
	s.writeLine("%s\n%s\n%s", saved, views, all)
	for _, n := range s.fleet.Nodes() {
		order := s.state.Order(n.Zone, n.Lease.ID, &s.rules, s.without)
		began := s.state.LimitNewNode(&order,
			NewNode{Zone: n.Zone, UptimeMS: n.UptimeMS(s.fleet.ClockMS), ClockMS: s.fleet.ClockMS, NodesIn: 5},
			&s.rules, s.without)
		raw, _ := json.Marshal(order)
		s.writeLine("%s %s %v", n.Name, raw, began)
	}
}

func (s *stream) run(seconds uint64) string {
	s.restart()
	for s.now < seconds*1000 {
		switch s.now {
		case 135_000, 205_000: // another leader
			s.monitor = NewMonitor()
		case 325_000:
			s.restart()
		case 390_000:
			s.state.BeginGeneration(s.state.Epoch+3, map[string]int{"a": 16, "nobody": 3}, s.fleet)
		case 395_000:
			s.rules.Mode = api.ZoneModeManual
		}
		s.tick()
	}
	return hex.EncodeToString(s.digest.Sum(nil))
}

func newStream(seed uint64, without Guard) *stream {
	return &stream{rng: rand.New(rand.NewPCG(seed, 1)), fleet: membership.New(), state: &State{},
		monitor: NewMonitor(), without: without,
		digest: sha256.New(), counts: map[string]int{}, rules: api.ZoneRules{Mode: api.ZoneModeAuto, InitialShare: 16,
			MinStepMS:  2000,
			OrderTTLMS: 60_000, MaxRampDelayMS: 20_000, ColdStart: true}}
}

// TestPinnedStream: a recorded run with faults (kernels gone, services that crawl, fail or stand, silence, a common
// cause, a restart, another leader, lost state, nodes that lie, an operator's commands) gives the decisions of
// version 2a0a97e, byte for byte, also with each guard taken out.
func TestPinnedStream(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "pin_stream.txt"))
	if err != nil {
		t.Error(err)
	}
	var got strings.Builder
	for guard := -1; guard < len(guardNames)-1; guard++ {
		name, without := "all guards", Guard(0)
		if guard >= 0 {
			name, without = "without "+guardNames[guard], 1<<guard
		}
		for seed := uint64(1); seed == 1 || guard < 0 && seed <= 3; seed++ {
			s := newStream(seed, without)
			fmt.Fprintf(&got, "%s, seed %d: %s", name, seed, s.run(420))
			for _, kind := range sortedKeys(s.counts) {
				fmt.Fprintf(&got, " %s=%d", kind, s.counts[kind])
			}
			got.WriteString("\n")
		}
	}
	if got.String() != string(raw) {
		t.Errorf("found\n%s\nexpected\n%s", got.String(), raw)
	}
}
