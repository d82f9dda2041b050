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
	"umberwinch/internal/operator"
)

func main() {
	own := func() (*operator.Node, error) {
		if path := os.Getenv("UMBERWINCH_FILE"); path != "" {
			return operator.ReadNode(path)
		}
		return &operator.Node{LogForm: "text", LogFrom: "info"}, nil
	}
	file, err := own()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	log := logs.New(os.Stderr, file.LogForm, file.LogFrom)
	if level, err := logrus.ParseLevel(os.Getenv("UMBERWINCH_LOG")); err == nil {
		log.SetLevel(level)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
	read := func() (*backend.Node, error) {
		c, err := backend.ReadNode(os.Getenv("NODE_CONFIG"), os.Getenv("NODE_NAME"), os.Getenv("NODE_LISTEN"))
		if err != nil {
			return nil, err
		}
		mine, err := own()
		if err != nil {
			return nil, err
		}
		return c, c.Own(mine)
	}
	c, err := read()
	if err != nil {
		log.Error(err)
		os.Exit(2)
	}
	if err = backend.Run(c, log, signals, backend.Words{Drain: syscall.SIGTERM, Count: syscall.SIGUSR1,
		Reload: syscall.SIGHUP, Read: read}); err != nil {
		log.Error(err)
		os.Exit(1)
	}
}
