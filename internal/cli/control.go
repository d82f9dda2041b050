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
	c := &cobra.Command{Use: "control", Short: "Run control instances and operate their group"}
	var a clientOptions
	a.addFlags(c)
	c.AddCommand(newControlRun(), newControlLocal(&a), newControlStatus(&a), newControlMembers(&a),
		newControlSnapshot(&a), newControlRecover())
	return c
}

func newControlRun() *cobra.Command {
	var file string
	c := &cobra.Command{Use: "run", Short: "Run one control instance until SIGTERM", Args: exactArgs(0),
		Long: `Run one instance of the control service with the settings in --file. SIGTERM transfers leadership
and stops it; SIGHUP reloads its certificates. A failed write or sync of its log stops it with exit status 1.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := config.ReadControl(file)
			if err != nil {
				return usageError(err)
			}
			return runInstance(cmd.Context(), settings, cmd.ErrOrStderr())
		}}
	c.Flags().StringVar(&file, "file", "deploy/control.ini", "settings file of the instance")
	return c
}

func runInstance(ctx context.Context, settings *config.Control, out io.Writer) error {
	log := logging.New(out, settings.LogFormat, settings.LogLevel)
	instance, err := consensus.Start(settings, log, harness.FaultsFromEnvironment())
	if err != nil {
		return err
	}
	api, err := instance.Serve()
	if err != nil {
		instance.Stop(ctx)
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	for {
		select {
		case <-reloads:
			if err := instance.Reload(); err != nil {
				log.WithField(logging.Error, err).Error("failed to reload certificates, keeping the current ones")
			} else {
				log.Info("certificates reloaded")
			}
		case <-instance.Done():
			api.Stop()
			log.WithField(logging.Error, instance.Err()).Error("instance failed")
			return instance.Err()
		case <-ctx.Done():
			log.Info("instance is stopping")
			stopCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			instance.Stop(stopCtx)
			cancel()
			api.Stop()
			return instance.Err()
		}
	}
}

// leaveTimeout bounds the leadership transfer of an instance that stops.
const leaveTimeout = 2 * time.Second
