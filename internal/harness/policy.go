package harness

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strconv"
	"time"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// PolicyTest is a run of `umberctl faulttest policy`.
type PolicyTest struct {
	Seed                  int64
	Quick                 bool
	Size                  int // nodes of the fleet of processes
	Out                   string
	DisabledGuards        policy.Guard
	DisabledProcessGuards string // names of the guards disabled in processes
	Mode                  string // virtual, real or both
	Schedules             int
	Changes               int
	Program               string
	Only                  string // name of the one case to run; empty: all
	Part                  int    // which of Parts subsets of the cases to run
	Parts                 int    // 0: all cases in one run
}

// Virtual schedules and changes on processes, with --quick and without.
const (
	quickPolicySchedules = 200
	longPolicySchedules  = 2000
	quickChanges         = 10
	longChanges          = 100
)

// Run runs schedules and large fleets in virtual time, then a fleet of processes, and writes the report.
func (r *PolicyTest) Run(ctx context.Context, w io.Writer) (*report.Report, error) {
	rep := &report.Report{Name: "policy", Title: "Policy changes under faults",
		Head: []string{"PART", "NODES", "CHANGES", "SETTLED", "CALLED OFF", "MEDIAN", "99TH", "WORST", "OVERLAP"}}
	rep.AddFigure("seed", "%d", r.Seed)
	if r.Mode != "real" {
		r.runVirtual(ctx, rep)
		if rep.Broken == "" && r.DisabledGuards == 0 {
			r.runLargeFleets(ctx, rep)
		}
	}
	if r.Mode != "virtual" && rep.Broken == "" {
		if err := r.runProcesses(ctx, w, rep); err != nil {
			return nil, err
		}
	}
	if err := interrupted(ctx, nil); err != nil {
		return nil, err
	}
	return rep.Finish(r.Out, w)
}

// quantileCells returns the median, the 99th percentile and the maximum of times in ms, as a table's cells.
func quantileCells(times []float64) []string {
	sort.Float64s(times)
	at := func(q float64) string {
		if len(times) == 0 {
			return "-"
		}
		return fmt.Sprintf("%.0f ms", times[min(len(times)-1, int(q*float64(len(times))))])
	}
	return []string{at(0.5), at(0.99), at(1)}
}

// addRow adds a row to the table; overlap is in tenths of a ms.
func (r *PolicyTest) addRow(rep *report.Report, part string, nodes, changes int, outcomes map[policy.Step]int,
	times []float64, overlap int64) {
	rep.Rows = append(rep.Rows, append(append([]string{part, strconv.Itoa(nodes), strconv.Itoa(changes),
		strconv.Itoa(outcomes[policy.Settled]), strconv.Itoa(outcomes[policy.Aborted])}, quantileCells(times)...),
		fmt.Sprintf("%.0f ms", float64(overlap)/10)))
}

// runVirtual runs schedules of faults on all cores, each from a seed of its own.
func (r *PolicyTest) runVirtual(ctx context.Context, rep *report.Report) {
	n := r.Schedules
	if n == 0 {
		if n = longPolicySchedules; r.Quick {
			n = quickPolicySchedules
		}
	}
	outcomes, causes, violating := map[policy.Step]int{}, map[string]int{}, violatingSchedules{}
	var times []float64
	var overlap int64
	report.RunSeeds(ctx, r.Seed*1_000_000, n, func(s int64) *simulation.Fleet {
		f := simulation.NewFleet(simulation.FleetPlan{Seed: s, Nodes: 9 + int(s%7), ControlInstances: 3 + 2*int(s%2),
			Changes: 5, DisabledGuards: r.DisabledGuards})
		f.Play()
		return f
	}, func(s int64, f *simulation.Fleet) bool {
		for k, v := range f.ChangesByStep {
			outcomes[k] += v
		}
		for k, v := range f.AbortCauses {
			causes[k] += v
		}
		times, overlap = append(times, f.CommitTimesMS...), max(overlap, f.LongestOverlap)
		violating.record(s, f.Broken)
		return false
	})
	changes := outcomes[policy.Settled] + outcomes[policy.Aborted]
	r.addRow(rep, "virtual, faults", 12, changes, outcomes, times, overlap)
	rep.AddFigure("schedules", "%d", n)
	rep.AddFigure("changes", "%d", changes)
	rep.AddFigure("broken", "%d", violating.count)
	for _, c := range []string{"a node said no", "not prepared in time", "by the operator"} {
		rep.Notes = append(rep.Notes, fmt.Sprintf("virtual, faults: called off, %s: %d of %d", c, causes[c],
			outcomes[policy.Aborted]))
	}
	violating.report(rep)
}

// runLargeFleets runs large fleets without random faults, with all nodes up and with a third down. The baselines
// apply a change at each node as it arrives, and after a majority of nodes.
func (r *PolicyTest) runLargeFleets(ctx context.Context, rep *report.Report) {
	sizes := []int{300, 5000}
	if r.Quick {
		sizes = []int{300}
	}
	for _, n := range sizes {
		for _, c := range []struct {
			part     string
			down     float64
			baseline string
		}{{"calm", 0, ""}, {"a third down", 0.33, ""},
			{"a third down, each as it comes", 0.33, simulation.BaselineImmediate},
			{"a third down, majority", 0.33, simulation.BaselineMajority}} {
			if ctx.Err() != nil {
				return
			}
			started := time.Now()
			f := simulation.NewFleet(simulation.FleetPlan{Seed: r.Seed, Nodes: n, ControlInstances: 3, Changes: 3,
				NoFaults: true, PartitionedFraction: c.down, Baseline: c.baseline,
				LeaseMS: 10_000, FaultSpanMS: 60_000})
			f.Play()
			if f.Broken != "" {
				rep.SetBroken("%d nodes, %s: %s", n, c.part, f.Broken)
			}
			r.addRow(rep, "virtual, "+c.part, n, len(f.CommitTimesMS), f.ChangesByStep,
				f.CommitTimesMS, f.LongestOverlap)
			if c.baseline == "" {
				seconds := f.Now / 1000
				rep.Notes = append(rep.Notes, fmt.Sprintf(
					"%d nodes, %s: per second %.1f heartbeats, %.2f entries, %.1f KB of "+
						"entries; simulated in %v", n, c.part, float64(f.Heartbeats)/seconds,
					float64(f.Entries)/seconds, float64(f.EntryBytes)/1024/seconds,
					time.Since(started).Round(time.Millisecond)))
			}
		}
	}
}

// OnlyLoad selects, in place of a case, the changes under load and the heartbeats of a large fleet.
const OnlyLoad = "load"

// runProcesses runs the cases on processes, then changes under load.
func (r *PolicyTest) runProcesses(ctx context.Context, w io.Writer, rep *report.Report) error {
	return withWorkFolder(ctx, rep, func(dir string) error { return r.runProcessesIn(ctx, dir, w, rep) })
}

func (r *PolicyTest) runProcessesIn(ctx context.Context, dir string, w io.Writer, rep *report.Report) error {
	b, err := r.startFixture(ctx, dir, "fence")
	if err != nil {
		return err
	}
	defer b.Close()
	if r.Only != OnlyLoad {
		if r.playCases(ctx, b, w, rep); rep.Broken != "" || r.Only != "" {
			return nil
		}
	}
	if err = r.runChanges(ctx, b, rep); err != nil || rep.Broken != "" || r.Quick && r.Only != OnlyLoad {
		return err
	}
	if err = r.measureFencing(ctx, b, rep); err != nil {
		return err
	}
	b.Close()
	return r.measureHeartbeats(ctx, rep)
}

// playCases runs the selected cases in turn under load, up to the first violation.
func (r *PolicyTest) playCases(ctx context.Context, b *policyFixture, w io.Writer, rep *report.Report) {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	calls := b.Load(loadCtx, 100)
	passed := 0
	for i := range policyCases {
		c := &policyCases[i]
		if !r.selection().includes(i, c.name, c.long) {
			continue
		}
		started := time.Now()
		if err := b.playCase(c); err != nil {
			rep.SetBroken("%s: %v", c.name, err)
			break
		}
		passed++
		fmt.Fprintf(w, "%-55s kept, %.1f s\n", c.name, time.Since(started).Seconds())
	}
	stop()
	b.loads.Wait()
	rep.AddFigure("cases", "%d", passed)
	rep.Notes = append(rep.Notes, fmt.Sprintf("cases, real: callers: %v", calls))
}

func (r *PolicyTest) selection() caseSelection {
	return caseSelection{only: r.Only, quick: r.Quick, part: r.Part, parts: r.Parts}
}

// playCase runs a case. Afterwards, with all link faults removed, all nodes have to serve and the history has to
// hold its invariants.
func (b *policyFixture) playCase(c *policyCase) error {
	err := runCase(func() { c.run(b) })
	b.heal()
	if err == nil {
		err = b.AwaitAllServing(b.committedVersion, 60*time.Second)
	}
	if err == nil {
		_, err = b.Check(b.historyLimits())
	}
	return err
}

// measureFencing measures the effect on callers of a zone that is cut off from the group and fenced, under the same
// load as without the fault.
func (r *PolicyTest) measureFencing(ctx context.Context, b *policyFixture, rep *report.Report) error {
	const span = 10 * time.Second
	for _, cut := range []bool{false, true} {
		if cut {
			b.partitionFromGroup(b.nodesIn("z2")...)
			time.Sleep(b.lease + b.lease/2)
		}
		loadCtx, stop := context.WithTimeout(ctx, span)
		calls := b.Load(loadCtx, 200)
		b.loads.Wait()
		stop()
		prefix := map[bool]string{false: "whole", true: "zone_cut"}[cut]
		rep.AddFigure(prefix+"_done_of", "%d/%d", calls.Done, calls.Requests)
		rep.AddFigure(prefix+"_tries_each", "%.3f", float64(calls.Attempts)/float64(max(1, calls.Requests)))
		rep.AddFigure(prefix+"_ms_99th", "%.0f", calls.quantile(0.99))
	}
	b.heal()
	return b.AwaitAllServing(b.committedVersion, 20*time.Second)
}

// runChanges makes changes in turn under load; no caller may notice one.
func (r *PolicyTest) runChanges(ctx context.Context, b *policyFixture, rep *report.Report) error {
	n := r.Changes
	if n == 0 {
		if n = longChanges; r.Quick {
			n = quickChanges
		}
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	calls := b.Load(loadCtx, 200)
	time.Sleep(time.Second)
	before, outcomes, times, numbers := calls.String(), map[policy.Step]int{}, []float64{}, []uint64{}
	for i := 0; i < n && ctx.Err() == nil; i++ {
		c, err := b.change(policy.Proposal{})
		if err != nil {
			rep.SetBroken("change %d of %d under load: %v", i+1, n, err)
			return nil
		}
		outcomes[c.Step]++
		numbers = append(numbers, c.Number)
	}
	stop()
	b.loads.Wait()
	overlap, err := b.Check(b.historyLimits())
	if err != nil {
		rep.SetBroken("%d changes under load: %v", n, err)
	}
	for _, c := range numbers {
		times = append(times, b.commitTimes[c])
	}
	r.addRow(rep, "real, under load", len(b.nodes), n, outcomes, times, overlap)
	rep.AddFigure("real_changes", "%d", n)
	rep.AddFigure("asked", "%d", calls.Requests)
	rep.AddFigure("lost", "%d", calls.Lost)
	rep.AddFigure("shed", "%d", calls.Shed)
	rep.AddFigure("errored", "%d", calls.Errors)
	rep.Notes = append(rep.Notes, "before the first change: "+before,
		fmt.Sprintf("done within %.0f ms in the median, %.0f at the 99th", calls.quantile(0.5), calls.quantile(0.99)))
	if calls.Lost+calls.Shed+calls.Errors > 0 {
		rep.SetBroken("%d changes under load: want no request lost, shed or errored, got %v", n, calls)
	}
	return nil
}
