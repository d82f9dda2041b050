package server

import (
	"os"
	"os/signal"
)

// Signals are the operator's signals to the serving program, each kind on a channel of its own, so that one kind can't
// displace another. ReadConfig reads the start-up file again. See row "signals at once" in docs/design/shutdown.md.
type Signals struct {
	Drain, Counters, Reload <-chan os.Signal
	ReadConfig              func() (*StartupFile, error)
}

// NotifySignals subscribes to the signals. It has to be called first, as an earlier signal ends the program.
func NotifySignals(drain, count, reload os.Signal) Signals {
	// A pending signal stands for all of its kind that follow.
	subscribe := func(s os.Signal) <-chan os.Signal {
		c := make(chan os.Signal, 1)
		signal.Notify(c, s)
		return c
	}
	return Signals{Drain: subscribe(drain), Counters: subscribe(count), Reload: subscribe(reload)}
}

// forward posts the signals to the loop, each kind from a goroutine that ends with the process, so that reading a slow
// start-up file delays no other signal.
func (l *loop) forward(signals Signals) {
	post := func(c <-chan os.Signal, newEvent func() event) {
		for range c {
			l.post(newEvent())
		}
	}
	go post(signals.Drain, func() event { return drainRequested{} })
	go post(signals.Counters, func() event { return countersRequested{} })
	go post(signals.Reload, func() event {
		next, err := signals.ReadConfig()
		return &startupFileReloaded{node: next, err: err}
	})
}
