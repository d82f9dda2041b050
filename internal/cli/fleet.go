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

// newNode is a node's program in this one, so that a fleet can be started where cmd/umberwinch was not built.
func newNode() *cobra.Command {
	return &cobra.Command{Use: "node", Hidden: true, Args: exactArgs(0),
		Short: "Run a node by NODE_CONFIG and UMBERWINCH_FILE, as cmd/umberwinch does",
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := server.NotifySignals(syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
			signals.Read = func() (*server.Node, error) { return server.ReadBoth(os.Getenv) }
			c, err := signals.Read()
			if err != nil {
				return usageError(err)
			}
			format, minLevel := c.Logs()
			return server.Run(c, logging.New(cmd.ErrOrStderr(), format, minLevel), signals)
		}}
}

func newFleet() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "A whole fleet: its recovery; one on loopback, for a look"}
	c.AddCommand(newFleetLocal(), newFleetStatus())
	return c
}

// localFleetOptions is what the flags of `fleet local` ask for.
type localFleetOptions struct{ harness.LocalFleet }

// Bounds of a local fleet.
const (
	maxLocalNodes     = 60
	maxLocalInstances = 7
	maxLocalRate      = 5000 // requests a second
)

func newFleetLocal() *cobra.Command {
	var r localFleetOptions
	c := &cobra.Command{Use: "local",
		Short: "Three control instances, six nodes in three zones and a load, on loopback",
		Args:  exactArgs(0), Long: `Starts a control service, nodes with emulated kernels and a load, all on loopback
addresses, as processes of their own; prints commands to try and processes to kill; starts again what ends, two
seconds later; runs until it is interrupted. Files, logs and data are under --dir, which has to be new; at its
end it says where.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := r.prepare(); err != nil {
				return err
			}
			return r.run(cmd.Context(), cmd.OutOrStdout())
		}}
	f := c.Flags()
	f.StringVar(&r.Dir, "dir", "fleet-local", "folder for files, logs and data")
	f.IntVar(&r.Instances, "instances", 3, "of the control service")
	f.IntVar(&r.Nodes, "nodes", 6, "in three zones")
	f.Float64Var(&r.Rate, "rate", 60, "requests a second, over all nodes")
	f.IntVar(&r.Seconds, "seconds", 0, "how long; 0 until it is interrupted")
	return c
}

// prepare makes the folder, unless the request is wrong.
func (r *localFleetOptions) prepare() (err error) {
	if r.Program, err = os.Executable(); err != nil {
		return err
	}
	if r.Nodes < 1 || r.Nodes > maxLocalNodes || r.Instances < 1 || r.Instances > maxLocalInstances || r.Rate < 0 ||
		r.Rate > maxLocalRate {
		return usageError(fmt.Errorf("--nodes: expected 1 to %d; --instances: 1 to %d; --rate: 0 to %d", maxLocalNodes,
			maxLocalInstances, maxLocalRate))
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
