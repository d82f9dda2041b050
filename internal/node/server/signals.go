package server

import (
	"os"
	"os/signal"
)

// Signals are what the operator tells the program while it serves, each by a channel of its own, so that no number of
// one kind takes the place of another. Read reads the start-up file anew. See row "signals at once" in
// docs/design/shutdown.md.
type Signals struct {
	Drain, Count, Reload <-chan os.Signal
	Read                 func() (*Node, error)
}

// NotifySignals subscribes to the signals. It is called before anything else, as a signal that comes before it
// ends the program.
func NotifySignals(drain, count, reload os.Signal) Signals {
	// One signal that waits stands for all that come meanwhile.
	subscribe := func(s os.Signal) <-chan os.Signal {
		c := make(chan os.Signal, 1)
		signal.Notify(c, s)
		return c
	}
	return Signals{Drain: subscribe(drain), Count: subscribe(count), Reload: subscribe(reload)}
}

// forward hands the signals over, each kind in a goroutine that ends with the process: a start-up file that is slow to
// read holds up no other signal.
func (l *loop) forward(signals Signals) {
	events := func(c <-chan os.Signal, newEvent func() event) {
		for range c {
			l.post(newEvent())
		}
	}
	go events(signals.Drain, func() event { return drainRequested{} })
	go events(signals.Count, func() event { return countersRequested{} })
	go events(signals.Reload, func() event {
		next, err := signals.Read()
		return &startupFileReloaded{node: next, err: err}
	})
}
