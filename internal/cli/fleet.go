package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/backend"
	"umberwinch/internal/lab"
	"umberwinch/internal/logs"
	"umberwinch/internal/policy"
)

// newNode is a node's program in this one, so that a fleet can be started where cmd/umberwinch was not built.
func newNode() *cobra.Command {
	return &cobra.Command{Use: "node", Hidden: true, Args: exact(0),
		Short: "Run a node by NODE_CONFIG and UMBERWINCH_FILE, as cmd/umberwinch does",
		RunE: func(cmd *cobra.Command, _ []string) error {
			read := func() (*backend.Node, error) { return backend.ReadBoth(os.Getenv) }
			c, err := read()
			if err != nil {
				return usage(err)
			}
			form, from := c.Logs()
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
			return backend.Run(c, logs.New(cmd.ErrOrStderr(), form, from), signals, backend.Words{Drain: syscall.SIGTERM,
				Count: syscall.SIGUSR1, Reload: syscall.SIGHUP, Read: read})
		}}
}

func newFleet() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "A whole fleet on loopback, for a look"}
	c.AddCommand(newFleetLocal())
	return c
}

func newFleetLocal() *cobra.Command {
	l := lab.Local{}
	c := &cobra.Command{Use: "local", Short: "Three control instances, six nodes in three zones and a load, on loopback",
		Args: exact(0), Long: `Starts a control service, nodes with emulated kernels and a load, all on loopback addresses, as processes of
their own; says what to ask and what to kill; starts again what ends, two seconds later; runs until it is interrupted.
Its files are under --dir, which has to be new.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if l.Program, err = os.Executable(); err != nil {
				return err
			}
			if l.Nodes < 1 || l.Nodes > 60 || l.Instances < 1 || l.Instances > 7 || l.Rate < 0 || l.Rate > 5000 {
				return usage(errors.New("--nodes: expected 1 to 60; --instances: 1 to 7; --rate: 0 to 5000"))
			}
			if err = os.MkdirAll(l.Dir, 0o700); err != nil {
				return err
			}
			if there, err := os.ReadDir(l.Dir); err != nil || len(there) > 0 {
				return usage(fmt.Errorf("--dir: found %d files in %s, expected an empty folder", len(there), l.Dir))
			}
			if l.Dir, err = filepath.Abs(l.Dir); err != nil {
				return err
			}
			ctx, stop := context.WithCancel(cmd.Context())
			defer stop()
			if l.Seconds > 0 {
				ctx, stop = context.WithTimeout(cmd.Context(), time.Duration(l.Seconds)*time.Second)
				defer stop()
			}
			return l.Run(ctx, cmd.OutOrStdout())
		}}
	f := c.Flags()
	f.StringVar(&l.Dir, "dir", "fleet-local", "folder for files, logs and data")
	f.IntVar(&l.Instances, "instances", 3, "of the control service")
	f.IntVar(&l.Nodes, "nodes", 6, "in three zones")
	f.Float64Var(&l.Rate, "rate", 60, "reqs a second, over all nodes")
	f.IntVar(&l.Seconds, "seconds", 0, "how long; 0 until it is interrupted")
	return c
}

func newLabPolicy() *cobra.Command {
	r := &lab.Policy{}
	c := &cobra.Command{Use: "policy", Short: "Changes of policy: schedules in virtual time, hard cases on processes",
		Args: exact(0), Long: `Virtual: the real decisions of group and nodes on played clocks, lines and crashes, many schedules from one
seed, and fleets of 300 and 5,000 nodes beside two baselines. Real: a group and nodes as processes, with kills, stops and
cuts between them, a load on top. What happened is held against the promises of docs/design/policy.md. The last line says
"policy: kept" or "policy: broken: WHAT"; a broken promise is exit status 1.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if r.Words != "" {
				for _, name := range strings.Split(r.Words, ",") {
					g, err := policy.GuardNamed(name)
					if err != nil {
						return usage(err)
					}
					r.Without |= g
				}
			}
			if r.Mode != "both" && r.Mode != "virtual" && r.Mode != "real" {
				return usage(fmt.Errorf("--mode: found %q, expected virtual, real or both", r.Mode))
			}
			if r.Only != "" && !slices.Contains(lab.PolicyCases(), r.Only) {
				return usage(fmt.Errorf("--only: found %q, expected one of %q", r.Only, lab.PolicyCases()))
			}
			if r.Size != 0 && (r.Size < 6 || r.Size > 60) {
				return usage(fmt.Errorf("--size: found %d, expected 6 to 60 nodes, or 0 for 9", r.Size))
			}
			var err error
			if r.Program, err = os.Executable(); err != nil {
				return err
			}
			rep, err := r.Run(cmd.Context(), cmd.OutOrStdout())
			if err == nil && rep.Broken != "" {
				err = errors.New("a promise was broken")
			}
			return err
		}}
	f := c.Flags()
	f.Int64Var(&r.Seed, "seed", 1, "all chance comes from it")
	f.BoolVar(&r.Quick, "quick", false, "fewer schedules, smaller fleets, fewer changes")
	f.IntVar(&r.Size, "size", 0, "nodes of the real part; 0 for 9")
	f.StringVar(&r.Out, "out", "", "folder for report.html and result.json")
	f.StringVar(&r.Mode, "mode", "both", "virtual, real or both")
	f.IntVar(&r.Schedules, "schedules", 0, "virtual schedules; 0 for 200 with --quick, 2000 without")
	f.IntVar(&r.Changes, "changes", 0, "real changes under load; 0 for 10 with --quick, 100 without")
	f.StringVar(&r.Only, "only", "", "one case of the real part")
	f.StringVar(&r.Words, "without", "", "guards taken out, parted by commas: "+strings.Join(policy.GuardNames(), ", "))
	return c
}
