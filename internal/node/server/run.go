package server

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/sirupsen/logrus"

	"umberwinch/admission"
	"umberwinch/internal/clock"
	"umberwinch/internal/logging"
)

const (
	// heapShareTenths of the memory that the process may use are given to Go's heap: the rest is for stacks, what the system
	// counts to the process, and peaks between collections.
	heapShareTenths = 6
	// gcPercent has the collector run at half the usual growth. What lives is a few MB, so that it costs little time
	// and the memory in use stays level from early on.
	gcPercent = 50
	// minIdleTimeout is the least that stands for the settings' idle timeout until the controller gives one.
	minIdleTimeout = 30 * admission.Second
	// spareConnections of the table stay free: a connection is counted out of the listener before its slot is.
	spareConnections = 8
)

// Run serves until the program is told to leave and all that was read is answered. An error says that it could not
// begin to.
func Run(c *Node, log *logrus.Logger, signals Signals) error {
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

// configureNetpoll has one poller a core, and callbacks run by the workers.
func configureNetpoll(limits Limits, log *logrus.Logger, workers workers) error {
	return netpoll.Configure(netpoll.Config{
		PollerNum:    limits.Cores,
		LoggerOutput: &netpollLog{log: log, clock: clock.New()},
		LoadBalance:  netpoll.RoundRobin,
		Runner:       func(_ context.Context, f func()) { workers.run(f) },
	})
}

// newLoop gives a loop with empty tables, its clock running and nothing dialled.
func newLoop(c *Node, limits Limits, log *logrus.Logger, workers workers) *loop {
	deployment := c.settings.Deployment
	longest := admission.Time(0)
	for _, h := range deployment.Handlers {
		longest = max(longest, h.Timeout)
	}
	l := &loop{
		crossGoroutine: crossGoroutine{limits: limits, log: log, events: make(chan event, limits.EventQueue),
			pool: bufferPool{capacity: limits.Buffers}, workers: workers},
		configuration: configuration{startup: c, settings: c.settings,
			names: make([]string, len(deployment.Handlers))},
		loopTime:       loopTime{timer: time.NewTimer(time.Hour)},
		logLimit:       logLimit{debug: log.IsLevelEnabled(logrus.DebugLevel)},
		readiness:      readiness{ready: true, controllerReady: true},
		requestsInHand: newRequestsInHand(limits, longest),
		clients:        newClients(limits, c.settings.IdleTimeout),
		upstreams:      newUpstreams(c, limits),
		drainState:     drainState{killDelay: admission.Time(c.StopMS) * (admission.Second / 1000)},
	}
	l.startClock(2 * longest)
	for name, i := range c.settings.HandlerIndex {
		l.names[i] = name
	}
	return l
}

func newRequestsInHand(limits Limits, longestTimeout admission.Time) requestsInHand {
	return requestsInHand{requests: newTable[request](limits.Requests), byRequestID: map[string]handle{},
		idempotency: newIdempotencyTable(limits.IdempotencyKeys, limits.ResultBytes, longestTimeout)}
}

// newClients gives an empty table of connections. Clients close idle ones by themselves; until the controller gives an
// idle timeout, this server's only ends dead ones.
func newClients(limits Limits, idleTimeout admission.Time) clients {
	return clients{connections: newTable[connection](limits.Connections + spareConnections),
		idleTimeout: 2 * max(idleTimeout, minIdleTimeout)}
}

func newUpstreams(c *Node, limits Limits) upstreams {
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
