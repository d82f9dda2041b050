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

// newFaultTest returns the command whose subcommands are the fault tests. Each runs the production code under faults
// and load, and prints a verdict as its last line.
func newFaultTest() *cobra.Command {
	c := &cobra.Command{Use: "faulttest", Short: "Run fault tests of the production code under faults and load"}
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

// addCommonFlags adds the flags of every fault test.
func addCommonFlags(f *pflag.FlagSet, seed *int64, quick *bool, out *string, quickUsage string) {
	f.Int64Var(seed, "seed", 1, "seed of the random number generators")
	f.BoolVar(quick, "quick", false, quickUsage)
	f.StringVar(out, "out", "", "folder to write report.html and result.json to")
}

// addProcessFlags adds the flags of fault tests that have cases on a fleet of processes.
func addProcessFlags(f *pflag.FlagSet, mode, only *string, size *int) {
	f.StringVar(mode, "mode", modeBoth, "where to run: virtual (in virtual time), real (on processes) or both")
	f.StringVar(only, "only", "", "name of the only case on processes to run")
	f.IntVar(size, "size", 0, "number of nodes in the fleet of processes, 6 to 60; 0 for 9")
}

// addGuardsFlag adds --without. The failure that each guard prevents is documented at its constant, in guard.go of
// consensus and policy and guards.go of zones.
func addGuardsFlag(f *pflag.FlagSet, list *string, names []string) {
	f.StringVar(list, "without", "", "comma-separated guards to disable: "+strings.Join(names, ", "))
}

// checkMode validates --mode.
func checkMode(mode string) error {
	if mode != modeBoth && mode != modeVirtual && mode != modeReal {
		return fmt.Errorf("--mode: found %q, expected virtual, real or both", mode)
	}
	return nil
}

// checkOneOf validates a flag that is empty or one of values.
func checkOneOf(flag, value string, values []string) error {
	if value != "" && !slices.Contains(values, value) {
		return fmt.Errorf("%s: found %q, expected one of %q", flag, value, values)
	}
	return nil
}

// checkProcessTest validates the flags of a fault test that has cases on a fleet of processes.
func checkProcessTest(mode, only string, cases []string, size int) error {
	if err := errors.Join(checkMode(mode), checkOneOf("--only", only, cases)); err != nil {
		return err
	}
	if size != 0 && (size < minFleetSize || size > maxFleetSize) {
		return fmt.Errorf("--size: found %d, expected %d to %d nodes, or 0 for 9", size, minFleetSize, maxFleetSize)
	}
	return nil
}

// parseGuards parses the comma-separated guards of --without and returns their union.
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

// faultTest is a configured fault test.
type faultTest interface {
	Run(ctx context.Context, w io.Writer) (*report.Report, error)
}

// runFaultTest validates the flags of a fault test and runs it, with this program as the one that its processes run. A
// broken promise is an error.
func runFaultTest(test faultTest, programPath *string, check func() error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) (err error) {
		if err = check(); err != nil {
			return usageError(err)
		}
		if *programPath, err = os.Executable(); err != nil {
			return err
		}
		result, err := test.Run(cmd.Context(), cmd.OutOrStdout())
		if err == nil && result.Broken != "" {
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
		if r.DisabledGuards, err = parseGuards(without, consensus.GuardNamed); err != nil {
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
		Short: "Test the replicated group under simulated faults and process kills",
		Args:  exactArgs(0),
		Long: `Virtual: runs the production consensus and log code on a simulated network, disks and
clock, with many schedules of faults from one seed. It checks the promises of docs/design/raft.md after each step and
the clients' histories for linearizability. Real: runs processes on loopback and kills the leader between any two of
persist, send, apply and respond. The last line is "raft: kept" or "raft: broken: PROMISE"; a broken promise is exit
status 1.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			if replay == 0 {
				return run(cmd, args)
			}
			if err := check(); err != nil {
				return usageError(err)
			}
			return replaySchedule(cmd.OutOrStdout(), replay, r.Size, r.DisabledGuards)
		}}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "run fewer cases, in less than 50 s on four cores")
	f.StringVar(&r.Mode, "mode", modeBoth, "where to run: virtual (in virtual time), real (on processes) or both")
	f.IntVar(&r.Size, "size", 0, "number of instances in a group, 2 to 7; 0 for groups of 3 and of 5")
	f.IntVar(&r.Schedules, "schedules", 0, "number of virtual schedules; 0 for 400 with --quick, 6000 without")
	f.IntVar(&r.Kills, "kills", 0, "number of kills in each group of processes; 0 for 10 with --quick, 200 without")
	f.IntVar(&r.Clients, "clients", 8, "number of clients that put versions while leaders are killed")
	f.Int64Var(&replay, "replay", 0, "seed of a single schedule to replay, printing each step; 0 for none")
	addGuardsFlag(f, &without, consensus.GuardNames())
	return c
}

// replaySchedule runs one schedule of the group and prints its steps. A size of 0 is the size that a full run gives
// this seed.
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
		return errors.Join(checkOneOf("--without", r.DisabledGuard, harness.ResultStoreGuards),
			checkOneOf("--only", r.Only, []string{"kills", "costs"}))
	}
	c := &cobra.Command{Use: "results",
		Short: "Test stored results while nodes are killed and clients retry",
		Args:  exactArgs(0),
		Long: `Runs nodes with [kept], each with an emulated kernel that survives the node's kills and
counts runs by idempotency key, and clients that retry their keys within the idempotency window and after it. Each
node is killed with SIGKILL at named and at random points, also during its start and with a partial write at the end
of its log, and is restarted on its folder. Then measures the cost of a request with an idempotency key against one
whose result is held in memory only. The last line is "kept: kept" or "kept: broken: PROMISE"; a broken promise is
exit status 1.`,
		RunE: runFaultTest(r, &r.Program, check)}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "run fewer cases, in less than 50 s on four cores")
	f.IntVar(&r.Kills, "kills", 0, "total number of kills; 0 for 120 with --quick, 5000 without")
	f.StringVar(&r.Only, "only", "", "the only part to run: kills or costs")
	f.StringVar(&r.DisabledGuard, "without", "",
		"guard to disable in the nodes, one of "+strings.Join(harness.ResultStoreGuards, ", "))
	return c
}

func newPoolsTest() *cobra.Command {
	r := &simulation.PoolTest{}
	var program string // unused: this test starts no processes
	c := &cobra.Command{Use: "pools", Short: "Test pools of run slots under overload in virtual time",
		Args: exactArgs(0),
		Long: `Runs each scenario on emulated servers in virtual time, with the admission module and its
pools called directly, four times from the same seed: with pools, without pools, with fixed pools, and with a plain
pool and a short queue. Prints the fraction of each class's first attempts that complete within the latency
objective. The last line is "pools: kept" or "pools: broken: PROMISE"; a broken promise is exit status 1.`,
		RunE: runFaultTest(r, &program, func() error {
			return checkOneOf("--without", r.Without, simulation.PoolGuards)
		})}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "run each scenario on six servers")
	f.IntVar(&r.Size, "size", 0, "number of servers; 0 for 6 with --quick, 24 without")
	f.StringVar(&r.Without, "without", "", "guard to disable, one of "+strings.Join(simulation.PoolGuards, ", "))
	f.StringVar(&r.Only, "only", "", "name of the only scenario to run")
	return c
}

func newPolicyTest() *cobra.Command {
	r := &harness.PolicyTest{}
	check := func() (err error) {
		if r.DisabledGuards, err = parseGuards(r.DisabledProcessGuards, policy.GuardNamed); err != nil {
			return err
		}
		return checkProcessTest(r.Mode, r.Only, harness.PolicyCases(), r.Size)
	}
	c := &cobra.Command{Use: "policy", Short: "Test policy changes in virtual time and on processes",
		Args: exactArgs(0),
		Long: `Virtual: runs the production decisions of group and nodes with simulated clocks, links and
crashes, in many schedules from one seed, and on fleets of 300 and 5,000 nodes compared with two baselines. Real: runs
a group and nodes as processes under load, with kills, pauses and network partitions. The history is checked against
the promises of docs/design/policy.md. The last line is "policy: kept" or "policy: broken: PROMISE"; a broken promise
is exit status 1.`,
		RunE: runFaultTest(r, &r.Program, check)}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "run fewer schedules, smaller fleets and fewer changes")
	addProcessFlags(f, &r.Mode, &r.Only, &r.Size)
	f.IntVar(&r.Schedules, "schedules", 0, "number of virtual schedules; 0 for 200 with --quick, 2000 without")
	f.IntVar(&r.Changes, "changes", 0,
		"number of changes under load on processes; 0 for 10 with --quick, 100 without")
	addGuardsFlag(f, &r.DisabledProcessGuards, policy.GuardNames())
	return c
}

func newZonesTest() *cobra.Command {
	r := &harness.ZonesTest{}
	check := func() (err error) {
		if r.DisabledGuards, err = parseGuards(r.DisabledProcessGuards, zones.GuardNamed); err != nil {
			return err
		}
		return checkProcessTest(r.Mode, r.Only, harness.ZoneCases(), r.Size)
	}
	c := &cobra.Command{Use: "zones", Short: "Test zone decisions in virtual time and on processes",
		Args: exactArgs(0),
		Long: `Virtual: runs the production decisions of group, leaders and nodes with simulated callers, zones and
dependencies that have a capacity and a cache, in many schedules from one seed, on fleets of 300 and 5,000 nodes
compared with three baselines, and through hours of noise. Real: runs a group and nodes in three zones as processes,
with a dependency on a socket for each zone and forwarders between them. The last line is "zones: kept" or
"zones: broken: PROMISE"; a broken promise is exit status 1.`,
		RunE: runFaultTest(r, &r.Program, check)}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "run fewer schedules, one fleet size and an hour of noise")
	addProcessFlags(f, &r.Mode, &r.Only, &r.Size)
	f.IntVar(&r.Schedules, "schedules", 0, "number of virtual schedules; 0 for 60 with --quick, 300 without")
	addGuardsFlag(f, &r.DisabledProcessGuards, zones.GuardNames())
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
	c := &cobra.Command{Use: "recovery", Short: "Test restarts of a whole fleet and loss of the group's state",
		Args: exactArgs(0),
		Long: `Virtual: restarts all nodes at once with cold dependencies, at several fleet sizes and
loads, compared with a start without a ramp, a ramp by time alone, nodes without the group, and the shortest possible
recovery. Real: runs a group and nodes as processes that are killed at once, with data folders lost, restored from an
older copy, or still in use by an older generation. The last line is "comeback: kept" or "comeback: broken: PROMISE";
a broken promise is exit status 1.`,
		RunE: runFaultTest(r, &r.Program, check)}
	f := c.Flags()
	addCommonFlags(f, &r.Seed, &r.Quick, &r.Out, "run one fleet size and two loads in virtual time")
	addProcessFlags(f, &r.Mode, &r.Only, &r.Size)
	addGuardsFlag(f, &r.DisabledProcessGuards, harness.RecoveryGuards)
	return c
}

// parseRecoveryGuards parses the guards of zones and policy for the virtual part. Processes parse --without themselves,
// and have guards that the virtual part lacks.
func parseRecoveryGuards(r *harness.RecoveryTest) error {
	if r.DisabledProcessGuards == "" {
		return nil
	}
	for _, name := range strings.Split(r.DisabledProcessGuards, ",") {
		if err := checkOneOf("--without", name, harness.RecoveryGuards); err != nil {
			return err
		}
		if g, err := zones.GuardNamed(name); err == nil {
			r.DisabledZoneGuards |= g
		}
		if g, err := policy.GuardNamed(name); err == nil {
			r.DisabledPolicyGuards |= g
		}
	}
	return nil
}
