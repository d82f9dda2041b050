package cli

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/harness"
	"umberwinch/internal/report"
	"umberwinch/internal/simulation"
)

// newFaultTest is the harness's command: each below it runs the real code under faults and load, and ends with a verdict.
func newFaultTest() *cobra.Command {
	c := &cobra.Command{Use: "faulttest", Short: "The fault harness: the real code under faults and load"}
	c.AddCommand(newRaftTest(), newPoolsTest(), newPolicyTest(), newZonesTest(), renamed(newRecoveryTest(), "recovery"),
		renamed(newResultStoreTest(), "results"))
	return c
}

// newLab has the harness's commands under their earlier names.
func newLab() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Earlier name of faulttest", Hidden: true}
	for _, below := range []*cobra.Command{newRaftTest(), newPoolsTest(), newPolicyTest(), newZonesTest()} {
		c.AddCommand(deprecated(below, "faulttest "+below.Name()))
	}
	c.AddCommand(deprecated(newRecoveryTest(), "faulttest recovery"), deprecated(newResultStoreTest(), "faulttest results"))
	return c
}

// checkProcessTest checks what the laboratory's commands on processes have in common, and gives the program that they start.
func checkProcessTest(mode, only string, cases []string, size int) (program string, err error) {
	switch {
	case mode != "both" && mode != "virtual" && mode != "real":
		return "", usage(fmt.Errorf("--mode: found %q, expected virtual, real or both", mode))
	case only != "" && !slices.Contains(cases, only):
		return "", usage(fmt.Errorf("--only: found %q, expected one of %q", only, cases))
	case size != 0 && (size < 6 || size > 60):
		return "", usage(fmt.Errorf("--size: found %d, expected 6 to 60 nodes, or 0 for 9", size))
	}
	return os.Executable()
}

// parseGuards reads the guards that --without names, parted by commas.
func parseGuards[G ~uint](words string, named func(string) (G, error)) (out G, err error) {
	if words == "" {
		return 0, nil
	}
	for _, name := range strings.Split(words, ",") {
		g, err := named(name)
		if err != nil {
			return 0, usage(err)
		}
		out |= g
	}
	return out, nil
}

// verdict makes a broken promise the command's error.
func verdict(rep *report.Report, err error) error {
	if err == nil && rep.Broken != "" {
		return errors.New("a promise was broken")
	}
	return err
}

func newRaftTest() *cobra.Command {
	r := &harness.RaftTest{}
	var without string
	var replay int64
	c := &cobra.Command{Use: "raft", Short: "The replicated group: schedules of faults in virtual time, kills of processes",
		Args: exact(0), Long: `Virtual: the real consensus and log code on a simulated network, disks and clock, many
schedules from one seed, with the promises of docs/design/raft.md checked after each step and clients' histories checked
for linearizability. Real: processes on loopback whose leader is killed between any two of persist, send, apply and
answer. The last line says "raft: kept" or "raft: broken: WHAT"; a broken promise is exit status 1.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if r.Without, err = parseGuards(without, consensus.GuardNamed); err != nil {
				return err
			}
			if r.Mode != "both" && r.Mode != "virtual" && r.Mode != "real" {
				return usage(fmt.Errorf("--mode: found %q, expected virtual, real or both", r.Mode))
			}
			if r.Size != 0 && (r.Size < 2 || r.Size > 7) {
				return usage(fmt.Errorf("--size: found %d, expected 2 to 7, or 0 for groups of 3 and 5", r.Size))
			}
			if replay != 0 {
				size := r.Size
				if size == 0 {
					size = 3 + int(replay%2)*2
				}
				if res := harness.Replay(cmd.OutOrStdout(), replay, size, r.Without); res.Broken != "" {
					return errors.New(res.Broken)
				}
				return nil
			}
			if r.Program, err = os.Executable(); err != nil {
				return err
			}
			return verdict(r.Run(cmd.Context(), cmd.OutOrStdout()))
		}}
	f := c.Flags()
	f.Int64Var(&r.Seed, "seed", 1, "all chance comes from it")
	f.BoolVar(&r.Quick, "quick", false, "under 50 s on four cores")
	f.IntVar(&r.Size, "size", 0, "instances in a group; 0 for groups of 3 and of 5")
	f.StringVar(&r.Out, "out", "", "folder for report.html and result.json")
	f.StringVar(&r.Mode, "mode", "both", "virtual, real or both")
	f.IntVar(&r.Schedules, "schedules", 0, "virtual schedules; 0 for 400 with --quick, 6000 without")
	f.IntVar(&r.Kills, "kills", 0, "kills a group; 0 for 10 with --quick, 200 without")
	f.IntVar(&r.Clients, "clients", 8, "real: clients that put while leaders are killed")
	f.StringVar(&without, "without", "", "guards taken out, parted by commas: "+strings.Join(consensus.GuardNames(), ", "))
	f.Int64Var(&replay, "replay", 0, "play one schedule's seed and tell each step")
	return c
}

func newResultStoreTest() *cobra.Command {
	r := &harness.ResultStoreTest{}
	c := &cobra.Command{Use: "kept", Short: "Keyed results: a node killed over and over while callers repeat their keys", Args: exact(0),
		Long: `Nodes with [kept], each with an emulated kernel that outlives it and counts runs by key, and callers that repeat
their keys inside the window and outside. Each is killed with SIGKILL at named points and at random ones, at times in its
start, sometimes with part of a write left at its log's end, and started again on its folder. Then what a uniqued req costs
beside one that is kept in memory alone. The last line says "kept: kept" or "kept: broken: WHAT"; a broken promise is exit
status 1.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if r.Without != "" && !slices.Contains(harness.ResultStoreGuards, r.Without) {
				return usage(fmt.Errorf("--without: found %q, expected one of %v", r.Without, harness.ResultStoreGuards))
			}
			if r.Only != "" && r.Only != "kills" && r.Only != "costs" {
				return usage(fmt.Errorf("--only: found %q, expected kills or costs", r.Only))
			}
			var err error
			if r.Program, err = os.Executable(); err != nil {
				return err
			}
			return verdict(r.Run(cmd.Context(), cmd.OutOrStdout()))
		}}
	f := c.Flags()
	f.Int64Var(&r.Seed, "seed", 1, "all chance comes from it, but for what processes do at one time")
	f.BoolVar(&r.Quick, "quick", false, "under 50 s on four cores")
	f.IntVar(&r.Kills, "kills", 0, "kills in all; 0 for 120 with --quick, 5000 without")
	f.StringVar(&r.Out, "out", "", "folder for report.html and result.json")
	f.StringVar(&r.Only, "only", "", "kills or costs")
	f.StringVar(&r.Without, "without", "", "a guard taken out of the node: "+strings.Join(harness.ResultStoreGuards, ", "))
	return c
}

func newPoolsTest() *cobra.Command {
	r := &simulation.Pools{}
	c := &cobra.Command{Use: "pools", Short: "Pools of run slots: scenarios of overload in virtual time, four ways side by side",
		Args: exact(0), Long: `Plays each scenario on emulated servers in virtual time, driving the module and its pools
directly: with pools, without, with fixed ones, and with a plain pool before a short queue, from the same seed. Shows the
share of each class's first tries done within the response target. The last line says "pools: kept" or "pools: broken:
WHAT"; a broken promise is exit status 1.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if r.Without != "" && !slices.Contains(simulation.PoolGuards, r.Without) {
				return usage(fmt.Errorf("--without: found %q, expected one of %v", r.Without, simulation.PoolGuards))
			}
			return verdict(r.Run(cmd.Context(), cmd.OutOrStdout()))
		}}
	f := c.Flags()
	f.Int64Var(&r.Seed, "seed", 1, "all chance comes from it")
	f.BoolVar(&r.Quick, "quick", false, "six servers a scenario")
	f.IntVar(&r.Size, "size", 0, "servers; 0 for 6 with --quick, 24 without")
	f.StringVar(&r.Out, "out", "", "folder for report.html and result.json")
	f.StringVar(&r.Without, "without", "", "a guard taken out: "+strings.Join(simulation.PoolGuards, ", "))
	f.StringVar(&r.Only, "only", "", "one scenario")
	return c
}
