package cli

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/config"
	"umberwinch/internal/control/consensus"
	"umberwinch/internal/harness"
	"umberwinch/internal/logging"
)

func newControl() *cobra.Command {
	c := &cobra.Command{Use: "control", Short: "The control service: run an instance, show and change a group"}
	var a clientOptions
	a.addFlags(c)
	c.AddCommand(newControlRun(), newControlLocal(&a), newControlStatus(&a), newControlMembers(&a), newControlSnapshot(&a), newControlRecover())
	return c
}

func newControlRun() *cobra.Command {
	var file string
	c := &cobra.Command{Use: "run", Short: "Run one instance until SIGTERM", Args: exactArgs(0),
		Long: `Runs one instance of the control service by the operator's file. SIGTERM transfers leadership and
ends it; SIGHUP reads the certificates again. A write or sync that fails ends it with status 1.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o, err := config.ReadControl(file)
			if err != nil {
				return usageError(err)
			}
			return runInstance(cmd.Context(), o, cmd.ErrOrStderr())
		}}
	c.Flags().StringVar(&file, "file", "deploy/control.ini", "the operator's file")
	return c
}

func runInstance(ctx context.Context, o *config.Control, out io.Writer) error {
	log := logging.New(out, o.LogForm, o.LogFrom)
	g, err := consensus.Start(o, log, harness.FaultsFromEnvironment())
	if err != nil {
		return err
	}
	api, err := g.Serve()
	if err != nil {
		g.Stop(ctx)
		return err
	}
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	for {
		select {
		case <-hups:
			if err := g.Reload(); err != nil {
				log.WithField(logging.Error, err).Error("certificates not taken, the old ones stay")
			} else {
				log.Info("certificates read again")
			}
		case <-g.Done():
			api.Stop()
			log.WithField(logging.Error, g.Err()).Error("the instance can't go on")
			return g.Err()
		case <-ctx.Done():
			log.Info("ending")
			end, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			g.Stop(end)
			cancel()
			api.Stop()
			return g.Err()
		}
	}
}

// leaveTimeout is how long an instance that ends may take to transfer its leadership.
const leaveTimeout = 2 * time.Second
