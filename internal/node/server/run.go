package server

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/clock"
	"umberwinch/internal/logging"
)

const (
	// heapShareTenths is the Go heap's share of the memory limit, in tenths: the rest is for stacks, kernel memory of
	// the process, and peaks between collections.
	heapShareTenths = 6
	// gcPercent halves the usual heap growth between collections, which keeps the memory in use level.
	gcPercent = 50
	// minIdleTimeout is the minimum of the settings' idle timeout, of which the double applies until the controller
	// sets one.
	minIdleTimeout = 30 * admission.Second
	// spareConnections are table slots beyond the listener's limit: a connection releases its listener slot before its
	// table slot.
	spareConnections = 8
)

// Run serves until the program gets SIGTERM and all requests read are answered. It returns an error if it can't start.
func Run(c *StartupFile, log *logrus.Logger, signals Signals) error {
	limits := NewLimits(c.Limits.Cores, c.Limits.MemoryMB, c.Limits.Sockets)
	boundMemory(limits)
	workers := newWorkers(limits.Workers)
	if err := configureNetpoll(limits, log, workers); err != nil {
		return err
	}
	log.WithFields(logrus.Fields{logging.Node: c.Name, logging.Address: c.Listen, logging.Cores: c.Limits.Cores,
		logging.MemoryMB: limits.MemoryMB, logging.Descriptors: c.Limits.Sockets,
		logging.MaxConnections: limits.Connections, logging.MaxStoreConnections: limits.StoreConnections}).
		Info(logNodeStarts)
	l := newLoop(c, limits, log, workers)
	if err := l.joinFleet(); err != nil {
		return err
	}
	warn := func(err error) {
		log.WithFields(logrus.Fields{logging.Address: c.Listen, logging.Error: err}).Warn(logListenFailed)
	}
	ln, err := listenWithRetry(c.Listen, limits, warn)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", c.Listen, err)
	}
	l.startResultKeeper()
	l.serve(ln)
	l.forward(signals)
	l.run()
	l.closeResults()
	return nil
}

func boundMemory(limits Limits) {
	debug.SetMemoryLimit(int64(limits.MemoryMB) << 20 * heapShareTenths / 10)
	debug.SetGCPercent(gcPercent)
}

// configureNetpoll starts one poller per core and runs callbacks on the workers. The poller yields to each callback.
// Guards against a poller that, on a single processor, reads the input of hundreds of connections for milliseconds
// before the first callback takes any of it: netpoll's buffers grow with what they hold. See row "clients that send
// without end" in docs/design/shutdown.md.
func configureNetpoll(limits Limits, log *logrus.Logger, workers workers) error {
	return netpoll.Configure(netpoll.Config{
		PollerNum:    limits.Cores,
		LoggerOutput: &netpollLog{log: log, clock: clock.New()},
		LoadBalance:  netpoll.RoundRobin,
		Runner: func(_ context.Context, f func()) {
			workers.run(f)
			runtime.Gosched()
		},
	})
}

// newLoop returns a loop with empty tables and a running clock; nothing is dialled yet.
func newLoop(c *StartupFile, limits Limits, log *logrus.Logger, workers workers) *loop {
	deployment := c.settings.Deployment
	longestTimeout := admission.Time(0)
	for _, h := range deployment.Handlers {
		longestTimeout = max(longestTimeout, h.Timeout)
	}
	l := &loop{
		crossGoroutine: crossGoroutine{limits: limits, log: log, events: make(chan event, limits.EventQueue),
			pool: bufferPool{capacity: limits.Buffers}, workers: workers},
		configuration: configuration{startup: c, settings: c.settings,
			names: make([]string, len(deployment.Handlers))},
		loopTime:         loopTime{timer: time.NewTimer(time.Hour)},
		logLimit:         logLimit{debug: log.IsLevelEnabled(logrus.DebugLevel)},
		readiness:        readiness{ready: true, controllerReady: true},
		inFlightRequests: newInFlightRequests(limits, longestTimeout),
		clients:          newClients(limits, c.settings.IdleTimeout),
		upstreams:        newUpstreams(c, limits),
		drainState:       drainState{killDelay: admission.Time(c.StopMS) * (admission.Second / 1000)},
	}
	l.startClock(2 * longestTimeout)
	for name, i := range c.settings.HandlerIndex {
		l.names[i] = name
	}
	return l
}

func newInFlightRequests(limits Limits, longestTimeout admission.Time) inFlightRequests {
	return inFlightRequests{requests: newTable[request](limits.Requests), byRequestID: map[string]handle{},
		idempotency: newIdempotencyTable(limits.IdempotencyKeys, limits.ResultBytes, longestTimeout)}
}

// newClients returns an empty connection table. Clients close idle connections themselves; until the controller sets an
// idle timeout, the server's only ends dead connections.
func newClients(limits Limits, idleTimeout admission.Time) clients {
	return clients{connections: newTable[connection](limits.Connections + spareConnections),
		idleTimeout: 2 * max(idleTimeout, minIdleTimeout)}
}

func newUpstreams(c *StartupFile, limits Limits) upstreams {
	bounds := limits.LinkBounds
	return upstreams{
		dialTo: dialTCP,
		kernel: kernelLink{link: link{peer: peerKernel, name: "kernel", addr: c.Kernel, retry: timerKernelDial,
			parser: kernelParser(bounds)}},
		store: storeConnections{addr: c.Store, connections: newTable[storeConnection](limits.StoreConnections),
			parser: storeParser(bounds)},
		discovery: discoveryLink{name: c.Name, ready: true, link: link{peer: peerDiscovery, name: "control",
			addr: c.Control, retry: timerDiscoveryDial, parser: discoveryParser(bounds)}},
	}
}
