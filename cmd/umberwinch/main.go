// Command umberwinch is one server's overload controller on real sockets: requests come in from sidecars, run
// in the kernel that its start-up file names, and are decided on by the admission module.
package main

import (
	"fmt"
	"os"
	"syscall"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/backend"
	"umberwinch/internal/logs"
)

func main() {
	signals := backend.NotifySignals(syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
	signals.Read = func() (*backend.Node, error) { return backend.ReadBoth(os.Getenv) }
	node, err := signals.Read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	form, from := node.Logs()
	log := logs.New(os.Stderr, form, from)
	if level, err := logrus.ParseLevel(os.Getenv("UMBERWINCH_LOG")); err == nil {
		log.SetLevel(level)
	}
	if err = backend.Run(node, log, signals); err != nil {
		log.Error(err)
		os.Exit(1)
	}
}
