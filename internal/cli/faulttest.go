package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/harness"
	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// newFaultTest is the harness's command: each below it runs the real code under faults and load, and ends with a
// verdict.
func newFaultTest() *cobra.Command {
	c := &cobra.Command{Use: "faulttest", Short: "Fault tests: the real code under faults and load"}
	c.AddCommand(newRaftTest(), newPoolsTest(), newPolicyTest(), newZonesTest(), newRecoveryTest(),
		newResultStoreTest())
	return c
}

// Modes of a fault test.
const (
	modeBoth    = "both"
	modeVirtual = "virtual"
	modeReal    = "real"
)

// Bounds of --size.
const (
	minFleetSize = 6
	maxFleetSize = 60
	minGroupSize = 2
	maxGroupSize = 7
)

// addCommonFlags are those of every fault test.
func addCommonFlags(f *pflag.FlagSet, seed *int64, quick *bool, out *string, quickUsage string) {
	f.Int64Var(seed, "seed", 1, "seed of all random numbers")
	f.BoolVar(quick, "quick", false, quickUsage)
	f.StringVar(out, "out", "", "folder for report.html and result.json")
}

// addProcessFlags are those of fault tests that have cases on a fleet of processes.
func addProcessFlags(f *pflag.FlagSet, mode, only *string, size *int) {
	f.StringVar(mode, "mode", modeBoth, "virtual (in virtual time), real (on processes) or both")
	f.StringVar(only, "only", "", "one case on processes")
	f.IntVar(size, "size", 0, "nodes of the fleet of processes; 0 for 9")
}

// addGuardsFlag is --without. What breaks without a guard stands at its constant, in guard.go of consensus and policy and
// guards.go of zones.
func addGuardsFlag(f *pflag.FlagSet, list *string, names []string) {
	f.StringVar(list, "without", "", "guards to disable, separated by commas: "+strings.Join(names, ", "))
}

// checkMode says whether --mode is one of the three.
func checkMode(mode string) error {
	if mode != modeBoth && mode != modeVirtual && mode != modeReal {
		return fmt.Errorf("--mode: found %q, expected virtual, real or both", mode)
	}
	return nil
}

// checkOneOf says whether a flag that may be empty is one of its values.
func checkOneOf(flag, value string, values []string) error {
	if value != "" && !slices.Contains(values, value) {
		return fmt.Errorf("%s: found %q, expected one of %q", flag, value, values)
	}
	return nil
}

// checkProcessTest checks the flags of a fault test that has cases on a fleet of processes.
func checkProcessTest(mode, only string, cases []string, size int) error {
	if err := errors.Join(checkMode(mode), checkOneOf("--only", only, cases)); err != nil {
		return err
	}
	if size != 0 && (size < minFleetSize || size > maxFleetSize) {
		return fmt.Errorf("--size: found %d, expected %d to %d nodes, or 0 for 9", size, minFleetSize, maxFleetSize)
	}
	return nil
}

// parseGuards reads the guards that --without names, separated by commas.
func parseGuards[G ~uint](list string, parse func(string) (G, error)) (out G, err error) {
	if list == "" {
		return 0, nil
	}
	for _, name := range strings.Split(list, ",") {
		g, err := parse(name)
		if err != nil {
			return 0, err
		}
		out |= g
	}
	return out, nil
}

// faultTest is a run of any of the fault tests.
type faultTest interface {
	Run(ctx context.Context, w io.Writer) (*report.Report, error)
}

// runFaultTest checks the flags of a fault test, hands it this program to start processes of, and makes a broken
// promise the command's error.
func runFaultTest(test faultTest, program *string, check func() error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) (err error) {
		if err = check(); err != nil {
			return usageError(err)
		}
		if *program, err = os.Executable(); err != nil {
			return err
		}
		rep, err := test.Run(cmd.Context(), cmd.OutOrStdout())
		if err == nil && rep.Broken != "" {
			return errors.New("a promise was broken")
		}
		return err
	}
}

func newRaftTest() *cobra.Command {
	r := &harness.RaftTest{}
	var without string
	var replay int64
	check := func() (err error) {
		if r.Without, err = parseGuards(without, consensus.GuardNamed); err != nil {
			return err
		}
		if err = checkMode(r.Mode); err != nil {
			return err
		}
		if r.Size != 0 && (r.Size < minGroupSize || r.Size > maxGroupSize) {
			return fmt.Errorf("--size: found %d, expected %d to %d, or 0 for groups of 3 and 5", r.Size, minGroupSize,
				maxGroupSize)
		}
		return nil
	}
	run := runFaultTest(r, &r.Program, check)
	c := &cobra.Command{Use: "raft",
		Short: "The replicated group: schedules of faults in virtual time, kills of processes",
		Args:  exactArgs(0), Long: `Virtual: the real consensus and log code on a simulated network, disks and clock, many
schedules from one seed, with the promises of docs/design/raft.md checked after each step and clients' histories checked
for linearizability. Real: processes on loopback whose leader is killed between any two of persist, send, apply and
respond. The last line says "raft: kept" or "raft: broken: WHAT"; a broken promise is exit status 1.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			if replay == 0 {
				return run(cmd, args)
			}
			if err := check(); err != nil {
				return usageError(err)
			}
			return replaySchedule(cmd.OutOrStdout(), replay, r.Size, r.Without)
		}}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "under 50 s on four cores")
	f.StringVar(&r.Mode, "mode", modeBoth, "virtual (in virtual time), real (on processes) or both")
	f.IntVar(&r.Size, "size", 0, "instances in a group; 0 for groups of 3 and of 5")
	f.IntVar(&r.Schedules, "schedules", 0, "virtual schedules; 0 for 400 with --quick, 6000 without")
	f.IntVar(&r.Kills, "kills", 0, "kills a group; 0 for 10 with --quick, 200 without")
	f.IntVar(&r.Clients, "clients", 8, "real: clients that put while leaders are killed")
	f.Int64Var(&replay, "replay", 0, "replay the schedule of one seed and print each step")
	addGuardsFlag(f, &without, consensus.GuardNames())
	return c
}

// replaySchedule plays one schedule of the group, of the size that it had among the others unless one is named.
func replaySchedule(w io.Writer, seed int64, size int, without consensus.Guard) error {
	if size == 0 {
		size = 3 + int(seed%2)*2
	}
	if res := harness.Replay(w, seed, size, without); res.Broken != "" {
		return errors.New(res.Broken)
	}
	return nil
}

func newResultStoreTest() *cobra.Command {
	r := &harness.ResultStoreTest{}
	check := func() error {
		return errors.Join(checkOneOf("--without", r.Without, harness.ResultStoreGuards),
			checkOneOf("--only", r.Only, []string{"kills", "costs"}))
	}
	c := &cobra.Command{Use: "results",
		Short: "Stored results: a node killed over and over while clients retry their keys",
		Args:  exactArgs(0), Long: `Nodes with [kept], each with an emulated kernel that outlives it and counts runs
by idempotency key, and clients that retry their keys within the idempotency window and after it. Each node is
killed with SIGKILL at named points and at random ones, at times in its start, sometimes with part of a write
left at its log's end, and started again on its folder. Then the cost of a request with an idempotency key,
beside one that is kept in memory alone. The last line says "kept: kept" or "kept: broken: WHAT"; a broken
promise is exit status 1.`,
		RunE: runFaultTest(r, &r.Program, check)}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "under 50 s on four cores")
	f.IntVar(&r.Kills, "kills", 0, "kills in all; 0 for 120 with --quick, 5000 without")
	f.StringVar(&r.Only, "only", "", "kills or costs")
	f.StringVar(&r.Without, "without", "",
		"one guard to disable in the node: "+strings.Join(harness.ResultStoreGuards, ", "))
	return c
}

func newPoolsTest() *cobra.Command {
	r := &simulation.Pools{}
	var program string // it starts no processes
	c := &cobra.Command{Use: "pools", Short: "Pools of run slots: overload in virtual time, beside three baselines",
		Args: exactArgs(0), Long: `Plays each scenario on emulated servers in virtual time, driving the module and
its pools directly: with pools, without, with fixed ones, and with a plain pool before a short queue, from the
same seed. Shows the share of each class's first attempts that complete within the latency objective. The last
line says "pools: kept" or "pools: broken: WHAT"; a broken promise is exit status 1.`,
		RunE: runFaultTest(r, &program, func() error {
			return checkOneOf("--without", r.Without, simulation.PoolGuards)
		})}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "six servers a scenario")
	f.IntVar(&r.Size, "size", 0, "servers; 0 for 6 with --quick, 24 without")
	f.StringVar(&r.Without, "without", "", "one guard to disable: "+strings.Join(simulation.PoolGuards, ", "))
	f.StringVar(&r.Only, "only", "", "one scenario")
	return c
}

func newPolicyTest() *cobra.Command {
	r := &harness.PolicyTest{}
	check := func() (err error) {
		if r.Without, err = parseGuards(r.ProcessGuards, policy.GuardNamed); err != nil {
			return err
		}
		return checkProcessTest(r.Mode, r.Only, harness.PolicyCases(), r.Size)
	}
	c := &cobra.Command{Use: "policy", Short: "Changes of policy: schedules in virtual time, hard cases on processes",
		Args: exactArgs(0), Long: `Virtual: the real decisions of group and nodes on simulated clocks, links and
crashes, many schedules from one seed, and fleets of 300 and 5,000 nodes beside two baselines. Real: a group and
nodes as processes, with kills, pauses and network partitions, under load. The history is checked against the
promises of docs/design/policy.md. The last line says "policy: kept" or "policy: broken: WHAT"; a broken promise
is exit status 1.`,
		RunE: runFaultTest(r, &r.Program, check)}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "fewer schedules, smaller fleets, fewer changes")
	addProcessFlags(f, &r.Mode, &r.Only, &r.Size)
	f.IntVar(&r.Schedules, "schedules", 0, "virtual schedules; 0 for 200 with --quick, 2000 without")
	f.IntVar(&r.Changes, "changes", 0, "real changes under load; 0 for 10 with --quick, 100 without")
	addGuardsFlag(f, &r.ProcessGuards, policy.GuardNames())
	return c
}

func newZonesTest() *cobra.Command {
	r := &harness.ZonesTest{}
	check := func() (err error) {
		if r.Without, err = parseGuards(r.ProcessGuards, zones.GuardNamed); err != nil {
			return err
		}
		return checkProcessTest(r.Mode, r.Only, harness.ZoneCases(), r.Size)
	}
	c := &cobra.Command{Use: "zones", Short: "Zones: schedules in virtual time, hard cases on processes",
		Args: exactArgs(0),
		Long: `Virtual: the real decisions of group, leaders and nodes, with the traffic of callers, zones and
dependencies that have a capacity and a cache; many schedules from one seed, fleets of 300 and 5,000 nodes
beside three baselines, and hours of noise. Real: a group and nodes in three zones as processes, a dependency
for each zone on a socket, forwarders between. The last line says "zones: kept" or "zones: broken: WHAT"; a
broken promise is exit status 1.`,
		RunE: runFaultTest(r, &r.Program, check)}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "fewer schedules, one size, an hour of noise")
	addProcessFlags(f, &r.Mode, &r.Only, &r.Size)
	f.IntVar(&r.Schedules, "schedules", 0, "virtual schedules; 0 for 60 with --quick, 300 without")
	addGuardsFlag(f, &r.ProcessGuards, zones.GuardNames())
	return c
}

func newRecoveryTest() *cobra.Command {
	r := &harness.RecoveryTest{}
	check := func() error {
		if err := parseRecoveryGuards(r); err != nil {
			return err
		}
		return checkProcessTest(r.Mode, r.Only, harness.RecoveryCases(), r.Size)
	}
	c := &cobra.Command{Use: "recovery", Short: "Recovery: restarts of a whole fleet, a group that lost its state",
		Args: exactArgs(0), Long: `Virtual: all nodes restart at once over cold dependencies, at several sizes and
loads, beside a start without a ramp, one by the clock, nodes without the group, and the shortest recovery there
could be. Real: a group and nodes as processes, killed at once; folders lost, restored from an older copy, or
used on by an older generation. The last line says "comeback: kept" or "comeback: broken: WHAT"; a broken
promise is exit status 1.`,
		RunE: runFaultTest(r, &r.Program, check)}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "one size and two loads in virtual time")
	addProcessFlags(f, &r.Mode, &r.Only, &r.Size)
	addGuardsFlag(f, &r.ProcessGuards, harness.RecoveryGuards)
	return c
}

// parseRecoveryGuards reads guards of zones and of the leader. Some are disabled in processes alone, which read the
// words themselves.
func parseRecoveryGuards(r *harness.RecoveryTest) error {
	if r.ProcessGuards == "" {
		return nil
	}
	for _, name := range strings.Split(r.ProcessGuards, ",") {
		if err := checkOneOf("--without", name, harness.RecoveryGuards); err != nil {
			return err
		}
		if g, err := zones.GuardNamed(name); err == nil {
			r.WithoutZoneGuards |= g
		}
		if g, err := policy.GuardNamed(name); err == nil {
			r.WithoutPolicyGuards |= g
		}
	}
	return nil
}
