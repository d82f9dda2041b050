// Command umberwinch is one server's overload controller on real sockets: requests come in from sidecars, run
// in the kernel that its start-up file names, and are decided on by the admission module.
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
	// logQueueLength are kept for a log reader that is slow; what is over is left out and counted.
	logQueueLength = 4096
	// logFlushTimeout is how long the last lines may take.
	logFlushTimeout = 200 * time.Millisecond
)

func main() {
	signals := server.NotifySignals(syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
	// A log reader that is gone must not end the server: see row "write to the log: stands still, EPIPE" in
	// docs/design/failures.md.
	signal.Ignore(syscall.SIGPIPE)
	signals.Read = func() (*server.Node, error) { return server.ReadBoth(os.Getenv) }
	node, err := signals.Read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	form, from := node.Logs()
	lines := logging.NewWriter(os.Stderr, logQueueLength)
	log := logging.New(lines, form, from)
	if level, err := logrus.ParseLevel(os.Getenv("UMBERWINCH_LOG")); err == nil {
		log.SetLevel(level)
	}
	err = server.Run(node, log, signals)
	if err != nil {
		log.Error(err)
	}
	log.SetOutput(io.Discard) // goroutines that still log have nobody to write for them
	lines.Close(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}
