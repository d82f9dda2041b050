// Command umberwinch runs a node: the overload controller of one server. It accepts requests from sidecars, admits or
// rejects them by the admission module, and runs them in the kernel that its start-up file names.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/logging"
	"umberwinch/internal/node/server"
)

const (
	// logQueueLength is the number of lines queued for a slow log reader; further lines are dropped and counted.
	logQueueLength = 4096
	// logFlushTimeout bounds the writing of the queued lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

func main() {
	signals := server.NotifySignals(syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
	// A log reader that has closed its pipe must not end the server: see row "write to the log: blocks, EPIPE" in
	// docs/design/failures.md.
	signal.Ignore(syscall.SIGPIPE)
	signals.ReadConfig = func() (*server.StartupFile, error) { return server.ReadConfig(os.Getenv) }
	node, err := signals.ReadConfig()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	form, from := node.LogSettings()
	lines := logging.NewWriter(os.Stderr, logQueueLength)
	log := logging.New(lines, form, from)
	if level, err := logrus.ParseLevel(os.Getenv("UMBERWINCH_LOG")); err == nil {
		log.SetLevel(level)
	}
	err = server.Run(node, log, signals)
	if err != nil {
		log.Error(err)
	}
	log.SetOutput(io.Discard) // goroutines that still log must not write to lines after Close
	lines.Close(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}
