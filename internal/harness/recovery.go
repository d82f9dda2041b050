package harness

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"strconv"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// RecoveryTest is a run of `umberctl faulttest recovery`: restarts of a whole fleet, and a group that lost its
// state, in virtual time and on processes.
type RecoveryTest struct {
	Seed                  int64
	Quick                 bool
	Size                  int
	Out                   string
	DisabledProcessGuards string
	// Guards disabled in virtual time: of the zones, and of the leader.
	DisabledZoneGuards   zones.Guard
	DisabledPolicyGuards policy.Guard
	Mode                 string
	Program              string
	Only                 string
	Part                 int
	Parts                int
}

// Run runs restarts in virtual time with their baselines and lower bound, then the cases on processes, and writes
// the report.
func (r *RecoveryTest) Run(ctx context.Context, w io.Writer) (*report.Report, error) {
	rep := &report.Report{Name: "comeback", Title: "Recovery after a restart of most of the fleet",
		Head: []string{"PART", "NODES", "LOAD", "WAY", "HALF", "95 IN 100", "WHOLE", "AT BEST", "BELOW, PEAK",
			"TRIES A REQ"}}
	rep.AddFigure("seed", "%d", r.Seed)
	if r.Mode != "real" {
		entries, largest, worst, violation := runMassJoin(r.Seed, 5000, r.DisabledPolicyGuards)
		rep.AddFigure("crowd_entries", "%d", entries)
		rep.AddFigure("crowd_largest", "%d", largest)
		rep.AddFigure("crowd_worst_ms", "%d", worst)
		if violation != "" {
			rep.SetBroken("5,000 nodes join at once: %s", violation)
		}
		r.runVirtual(ctx, rep)
	}
	if r.Mode != "virtual" && rep.Broken == "" {
		z := &ZonesTest{Seed: r.Seed, Quick: r.Quick, Size: r.Size, DisabledProcessGuards: r.DisabledProcessGuards,
			Program: r.Program, Only: r.Only, Part: r.Part,
			Parts: r.Parts, cases: recoveryCases}
		if err := z.runProcesses(ctx, w, rep); err != nil {
			return nil, err
		}
	}
	if err := interrupted(ctx, nil); err != nil {
		return nil, err
	}
	return rep.Finish(r.Out, w)
}

// shortestRecovery returns the lower bound of the time, in seconds, until stores with cold caches are warm enough
// for a load: they serve at full capacity from the start, and that warms them. A cold call takes coldFactor times as
// long; warmUpSeconds of full warm capacity fill the caches.
func shortestRecovery(load, coldFactor, warmUpSeconds float64) float64 {
	coldShare := (1/load - 1) / (coldFactor - 1)
	if coldShare >= 1 {
		return 0
	}
	return warmUpSeconds * ((1 - coldShare) + (coldFactor-1)/2*(1-coldShare*coldShare))
}

// runVirtual runs restarts of all nodes for several sizes and loads.
func (r *RecoveryTest) runVirtual(ctx context.Context, rep *report.Report) {
	sizes, loads := []int{300, 5000}, []float64{0.6, 0.9, 1.3}
	if r.Quick {
		sizes, loads = []int{15}, []float64{0.6, 1.3}
	}
	for _, n := range sizes {
		for _, load := range loads {
			if ctx.Err() != nil {
				return
			}
			r.playRestart(rep, n, load)
		}
	}
}

// playRestart runs a restart of all nodes with the fleet's own recovery and with the baselines.
func (r *RecoveryTest) playRestart(rep *report.Report, n int, load float64) {
	base := simulation.ZonePlan{Seed: r.Seed, Nodes: n,
		Faults:       []string{simulation.ZoneRestart, simulation.ZoneRestart, simulation.ZoneRestart},
		FaultStartMS: 15_000, FaultEndMS: 17_000, EndMS: 300_000, Load: load, DisabledGuards: r.DisabledZoneGuards}
	if n > 1000 {
		base.EndMS = 200_000
	}
	for i, v := range playVariants(base, []zoneVariant{{"the fleet", func(*simulation.ZonePlan) {}},
		{"the fleet, patient callers", func(p *simulation.ZonePlan) { p.HonorRetryAfter = true }},
		{"no ramp", func(p *simulation.ZonePlan) { p.DisabledGuards |= zones.ColdStart }},
		{"by the clock", func(p *simulation.ZonePlan) { p.DisabledGuards |= zones.ColdStart; p.ClockRampMS = 60_000 }},
		{"nodes alone", func(p *simulation.ZonePlan) { p.NoEvacuation = true }}}) {
		// Above capacity a fleet never observes its full capacity, a limitation of the design.
		if i < 2 && v.Broken != "" && load <= 1 {
			rep.SetBroken("%d nodes, load %.2f: %s", n, load, v.Broken)
		}
		maxShare := min(1, 1/load)
		rep.Rows = append(rep.Rows, []string{"virtual", strconv.Itoa(n), fmt.Sprintf("%.2f", load), v.name,
			secondsText(v.TimeToRecovery(0.5 * maxShare)), secondsText(v.TimeToRecovery(0.95 * maxShare)),
			secondsText(v.TimeToRecovery(0.98 * maxShare)),
			fmt.Sprintf("%.0f s", shortestRecovery(min(load, 1), 8, simulation.WarmUpSeconds)),
			fmt.Sprintf("%.2f", v.PeakRestartLoad), fmt.Sprintf("%.2f", v.AttemptsPerRequest)})
		if i == 0 && n <= 300 {
			v.Plot[0].Name, v.Plot[1].Name = "value done", "stores: load over capacity"
			rep.Plots = append(rep.Plots, report.Plot{
				Title: fmt.Sprintf("%d nodes restart, load %.2f", n, load),
				X:     "seconds; killed at 15, restarted from 17 on", Y: "share", Lines: v.Plot[:2]})
		}
	}
}

// emptyPolicyLog is the log of a group without any version.
type emptyPolicyLog struct{}

func (emptyPolicyLog) Last() uint64                       { return 0 }
func (emptyPolicyLog) Text(uint64) (string, string, bool) { return "", "", false }

// runMassJoin has nodes request to join at a leader, four fifths of them within a second and the rest over the next
// two, and checks that they are accepted in the order of their arrival. It returns the number of entries that this
// took, the size of the largest in bytes, the longest wait in ms, and the first violation.
func runMassJoin(seed int64, nodes int, disabled policy.Guard) (entries, largest, worst int, violation string) {
	const step, commit = 20, 40 // ms
	r, state, leader := rand.New(rand.NewSource(seed)), coordinator.NewState(disabled), coordinator.NewLeader(disabled)
	leader.SetRole("g", true, 1)
	arriveAt := make([]int, nodes)
	for i := range arriveAt {
		if arriveAt[i] = r.Intn(1000); i >= nodes*4/5 {
			arriveAt[i] = 1000 + r.Intn(2000)
		}
	}
	slices.Sort(arriveAt)
	requested, answered := 0, 0
	var sent []coordinator.Entry
	now, due := 0, 0
	for ; now < 30_000 && answered < nodes && violation == ""; now += step {
		for ; requested < nodes && arriveAt[requested] <= now; requested++ {
			i := requested
			name := fmt.Sprintf("n%05d", i)
			join := api.JoinRequest{Name: name, Zone: "z", Nonce: name + "-nonce", Addr: "127.0.0.1:1"}
			leader.Heartbeat(state, api.HeartbeatRequest{JoinRequest: join},
				func(response api.HeartbeatResponse, err error) {
					if err != nil || response.LeaseID == 0 || i != answered {
						const text = "at %d ms the join of node %d was answered (error %v), want that of node %d next"
						violation = fmt.Sprintf(text, now, i, err, answered)
					}
					answered++
					worst = max(worst, now-arriveAt[i])
				})
		}
		if len(sent) > 0 && now >= due {
			for _, e := range sent {
				result, err := state.Apply(e.Kind, e.Body, uint64(entries), 1, emptyPolicyLog{})
				if err != nil {
					return entries, largest, worst, err.Error()
				}
				leader.EntryApplied(state, result)
			}
			sent = nil
		}
		if appended := leader.Tick(state, step); len(appended) > 0 {
			sent, due = append(sent, appended...), now+commit
			entries += len(appended)
			for _, e := range appended {
				largest = max(largest, len(e.Body))
			}
		}
	}
	if violation == "" && answered < nodes {
		violation = fmt.Sprintf("%d of %d nodes joined within 30 s, want all", answered, nodes)
	}
	return entries, largest, worst, violation
}

// secondsText formats ms as seconds; "-" if it is negative.
func secondsText(ms float64) string {
	if ms < 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f s", ms/1000)
}
