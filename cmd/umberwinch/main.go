// Command umberwinch is one server's overload controller on real sockets: requests come in from sidecars, run
// in the kernel that its start-up file names, and are decided on by the admission module.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/backend"
	"umberwinch/internal/logs"
)

func main() {
	read := func() (*backend.Node, error) { return backend.ReadBoth(os.Getenv) }
	c, err := read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	form, from := c.Logs()
	log := logs.New(os.Stderr, form, from)
	if level, err := logrus.ParseLevel(os.Getenv("UMBERWINCH_LOG")); err == nil {
		log.SetLevel(level)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
	if err = backend.Run(c, log, signals, backend.Words{Drain: syscall.SIGTERM, Count: syscall.SIGUSR1,
		Reload: syscall.SIGHUP, Read: read}); err != nil {
		log.Error(err)
		os.Exit(1)
	}
}
