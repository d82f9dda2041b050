package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/harness"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/server"
)

// newNode returns a hidden command that runs a node as cmd/umberwinch does, so that a local fleet needs no second
// program.
func newNode() *cobra.Command {
	return &cobra.Command{Use: "node", Hidden: true, Args: exactArgs(0),
		Short: "Run a node by NODE_CONFIG and UMBERWINCH_FILE, as cmd/umberwinch does",
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := server.NotifySignals(syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
			signals.ReadConfig = func() (*server.StartupFile, error) { return server.ReadConfig(os.Getenv) }
			c, err := signals.ReadConfig()
			if err != nil {
				return usageError(err)
			}
			format, minLevel := c.LogSettings()
			return server.Run(c, logging.New(cmd.ErrOrStderr(), format, minLevel), signals)
		}}
}

func newFleet() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Show a fleet's recovery, or run a fleet on loopback"}
	c.AddCommand(newFleetLocal(), newFleetStatus())
	return c
}

// localFleetOptions are the flags of `fleet local`.
type localFleetOptions struct{ harness.LocalFleet }

// Bounds of a local fleet.
const (
	maxLocalNodes     = 60
	maxLocalInstances = 7
	maxLocalRate      = 5000 // requests per second
)

func newFleetLocal() *cobra.Command {
	var r localFleetOptions
	c := &cobra.Command{Use: "local",
		Short: "Run a control service, nodes in three zones and a load on loopback",
		Args:  exactArgs(0),
		Long: `Start a control service, nodes with emulated kernels and a load as separate processes on
loopback addresses. Print commands to try and the ids of processes to kill. A process that exits is restarted after two
seconds. The fleet runs for --seconds or until interrupted. Files, logs and data are under --dir, which must be empty
or not exist.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := r.prepare(); err != nil {
				return err
			}
			return r.run(cmd.Context(), cmd.OutOrStdout())
		}}
	f := c.Flags()
	f.StringVar(&r.Dir, "dir", "fleet-local", "folder for files, logs and data; must be empty or not exist")
	f.IntVar(&r.Instances, "instances", 3, "number of control instances, 1 to 7")
	f.IntVar(&r.Nodes, "nodes", 6, "number of nodes, spread over three zones, 1 to 60")
	f.Float64Var(&r.Rate, "rate", 60, "requests per second to all nodes together, 0 to 5000")
	f.IntVar(&r.Seconds, "seconds", 0, "duration in seconds; 0 to run until interrupted")
	return c
}

// prepare validates the flags and creates the folder.
func (r *localFleetOptions) prepare() (err error) {
	if r.Program, err = os.Executable(); err != nil {
		return err
	}
	if r.Nodes < 1 || r.Nodes > maxLocalNodes || r.Instances < 1 || r.Instances > maxLocalInstances || r.Rate < 0 ||
		r.Rate > maxLocalRate {
		return usageError(fmt.Errorf("found --nodes %d, --instances %d, --rate %g, "+
			"expected 1 to %d, 1 to %d and 0 to %d", r.Nodes, r.Instances, r.Rate, maxLocalNodes, maxLocalInstances,
			maxLocalRate))
	}
	if err = os.MkdirAll(r.Dir, 0o700); err != nil {
		return err
	}
	if entries, err := os.ReadDir(r.Dir); err != nil || len(entries) > 0 {
		return usageError(fmt.Errorf("--dir: found %d files in %s, expected an empty folder", len(entries), r.Dir))
	}
	r.Dir, err = filepath.Abs(r.Dir)
	return err
}

func (r *localFleetOptions) run(ctx context.Context, w io.Writer) error {
	if r.Seconds > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, time.Duration(r.Seconds)*time.Second)
		defer stop()
	}
	return r.Run(ctx, w)
}
