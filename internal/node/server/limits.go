package server

import (
	"time"

	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

// Limits are the sizes, counts and times that bound the program's resources. They are derived once, at the start, from
// the machine's resources, and never change. None of them affects a request that reaches the controller; its limits are
// the settings'.
type Limits struct {
	Cores    int // whole cores, at least 1
	MemoryMB int // MiB

	// Counts. They limit what clients and other servers can make the node hold.
	Connections       int // open client connections
	EvictionThreshold int // client connections above which idle ones are closed
	StoreConnections  int // connections to the store
	MaxPipelined      int // requests read on a connection and not handled yet
	Requests          int // requests in progress
	IdempotencyKeys   int // entries of the idempotency table
	Buffers           int // buffers in use for input
	Workers           int // reused goroutines for work on connections
	EventQueue        int // events posted and not handled yet
	EventsPerRound    int // events handled in one round
	LinkQueue         int // buffers queued for sending on a link
	ConnectionQueue   int // buffers queued for sending on a client connection

	// Sizes in bytes.
	DiscardBytes  int         // discarded after a connection's input is sealed
	ResultBytes   int         // results kept in memory
	RequestBounds wire.Bounds // requests
	LinkBounds    wire.Bounds // messages of the kernel, the store and service discovery

	// Times outside the loop.
	DialTimeout      time.Duration // maximum time of a dial
	ListenTimeout    time.Duration // how long a failing listen is retried
	AcceptRetryDelay time.Duration // pause before a failed accept or listen is retried
	WriteTimeout     time.Duration // maximum time of a write to a peer that does not read

	// Times of the loop.
	GaugesTimeout          admission.Time // maximum wait of a wake-up for its gauges
	ReplayTimeout          admission.Time // maximum time of a replay; then the link is reopened
	AckSafetyMargin        admission.Time // commands acknowledged more recently may still be lost with their link
	MaxCommandDelay        admission.Time // how long a command that must not be read twice waits for the kernel to respond
	MoveTimeout            admission.Time // maximum time until the kernel has read a link whose address changed
	CallGrace              admission.Time // how long after its deadline a call without a reply is given up
	StoreIdleTimeout       admission.Time // a store connection idle for longer gets no call
	MaxTimestampAhead      admission.Time // a receive timestamp further in the future is invalid
	SweepInterval          admission.Time // interval of sweeps over the connections
	MessageTimeout         admission.Time // a message incomplete for longer ends its connection
	HealthCheckIdleTimeout admission.Time // idle timeout of connections with health checks only
	EvictionMinIdle        admission.Time // a connection used more recently is not evicted
	EvictionMinAge         admission.Time // an unused connection opened more recently is not evicted
	LingerTimeout          admission.Time // how long a closing connection waits for its client to close
	ReportInterval         admission.Time // maximum interval between reports to service discovery
	MinBackoff             admission.Time // first wait before a link is dialled again; it doubles
	MaxBackoff             admission.Time // longest such wait
	KillMargin             admission.Time // the controller's kill time is this much before the kill
	DrainQuietPeriod       admission.Time // a draining node without requests for this long is out of use
	InFlightGrace          admission.Time // how long after a connection's close input that crossed it may arrive
	LogInterval            admission.Time // how often the number of dropped log lines is logged
}

const (
	ms = admission.Second / 1000

	// defaultMemoryMB and defaultSockets apply where the start-up file gives no limits.
	defaultMemoryMB = 192
	defaultSockets  = 1024

	// idempotencyKeyBytes is the memory of an idempotency key, in bytes.
	idempotencyKeyBytes = 256
	// keysMemoryDivisor and resultsMemoryDivisor give the parts of the memory for idempotency keys and for results: a
	// twelfth each, so that connections and buffers have the rest.
	keysMemoryDivisor, resultsMemoryDivisor = 12, 12
	// buffersMemoryDivisor gives the part of the memory for messages: a quarter fits several buffers per connection and
	// request.
	buffersMemoryDivisor = 4
	// connectionsMemoryDivisor gives the maximum part of the memory for connections, which take buffersPerConnection
	// buffers each: two of netpoll's and one of this package's.
	connectionsMemoryDivisor, buffersPerConnection = 2, 3

	// minConnections is the minimum number of connections on any machine, for clients, health checks and an operator.
	minConnections = 8
	// reservedDescriptors are for the links, each twice while it is reopened, the listener, pollers and standard
	// streams.
	reservedDescriptors = 24
	// storeDescriptorsDivisor gives the part of all descriptors for store connections.
	storeDescriptorsDivisor = 8
	// minStoreConnections allow a call beside one that hangs; maxStoreConnections exceed the runs of a node, so that
	// each call has a connection of its own.
	minStoreConnections, maxStoreConnections = 2, 64
	// evictionReserveDivisor gives the part of all connections kept free for new ones, which absorbs a burst of clients
	// while idle connections are closed.
	evictionReserveDivisor = 8

	// killMarginBase and killMarginCoreTime bound how long the last responses take to go out: a fixed time, plus the
	// work of one garbage collection in core time, which takes longer with less than a core. minCoreShare limits that,
	// in cores.
	killMarginBase, killMarginCoreTime = 30 * ms, 8 * ms
	minCoreShare                       = 0.02
)

// NewLimits derives the limits from cores, memory in MiB and descriptors; 0 means unknown.
func NewLimits(cores float64, memoryMB, sockets int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if sockets <= 0 {
		sockets = defaultSockets
	}
	memory := memoryMB << 20
	l := Limits{Cores: max(int(cores), 1), MemoryMB: memoryMB}
	l.setFixedCounts()
	l.setFixedTimes()
	// At least half of all descriptors is left to clients.
	reserved := min(reservedDescriptors+sockets/storeDescriptorsDivisor, sockets/2)
	connectionsInMemory := memory / connectionsMemoryDivisor / (buffersPerConnection * bufferBytes)
	l.Connections = max(min(sockets-reserved, connectionsInMemory), minConnections)
	l.EvictionThreshold = l.Connections - max(l.Connections/evictionReserveDivisor, 1)
	l.StoreConnections = min(max(sockets/storeDescriptorsDivisor, minStoreConnections), maxStoreConnections)
	// A request may outlive its connection while its run ends: twice the connections, at most the slots of a table.
	l.Requests = min(2*l.Connections, maxSlots)
	// newTable limits the table to maxSlots entries.
	l.IdempotencyKeys = memory / keysMemoryDivisor / idempotencyKeyBytes
	l.ResultBytes = memory / resultsMemoryDivisor
	l.Buffers = memory / buffersMemoryDivisor / bufferBytes
	// Prevents a kill with responses unsent, see row "kill near" in docs/design/shutdown.md.
	l.KillMargin = killMarginBase + admission.Time(float64(killMarginCoreTime)/min(max(cores, minCoreShare), 1))
	return l
}

// setFixedCounts sets the counts and sizes that don't depend on the machine.
func (l *Limits) setFixedCounts() {
	// Clients send one request at a time; two more keep a pipelining client going.
	l.MaxPipelined = 2
	// Covers the connections that a usual round writes to; beyond that each write starts a goroutine.
	l.Workers = 16
	// Several rounds of all connections: callbacks wait only while the loop is far behind.
	l.EventQueue = 4096
	// Bounds the time from the reading of a round's first event to its decision.
	l.EventsPerRound = 1024
	// The queue reaches this length only if the kernel or the store hangs.
	l.LinkQueue = 128
	// A connection has one response at a time, of at most two buffers.
	l.ConnectionQueue = 4
	// The client of an oversized body has sent it by then and reads the response instead of a reset.
	l.DiscardBytes = 256 << 10
	// The platform's requests, with a head twice as long.
	l.RequestBounds = wire.Bounds{HeadBytes: 4 << 10, BodyBytes: 2 << 10}
	// Fits into a buffer with the line or the head around it.
	l.LinkBounds = wire.Bounds{HeadBytes: bufferBytes - 64, BodyBytes: bufferBytes - 512}
}

// setFixedTimes sets the times that don't depend on the machine; KillMargin does.
func (l *Limits) setFixedTimes() {
	// Both ends are in one data centre, so a longer dial means a host that is down.
	l.DialTimeout = time.Second
	// A node has to be ready within 30 s of its start; the kernel needs the rest.
	l.ListenTimeout = 10 * time.Second
	// A descriptor is free with the next connection that closes, within milliseconds.
	l.AcceptRetryDelay = 10 * time.Millisecond
	// Longer than a client's timeout, so that a client on a machine at a standstill keeps its connection.
	l.WriteTimeout = 3 * time.Second

	// After the timeout the controller decides without gauges.
	l.GaugesTimeout = 8 * ms
	// Requests wait for the replay, so a kernel that hangs is dialled again.
	l.ReplayTimeout = 500 * ms
	// A break may lose the commands of the last 50 ms before it; it is noticed within as long again.
	l.AckSafetyMargin = 100 * ms
	// A kernel that is silent for as long as a break may lose commands is slow, not about to break.
	l.MaxCommandDelay = 50 * ms
	// Commands wait meanwhile, and the old address is served for longer.
	l.MoveTimeout = 100 * ms
	// The store ends calls at their deadline; this covers one that does not.
	l.CallGrace = 200 * ms
	// The store may close an idle connection, and a call that crosses the close may have run.
	l.StoreIdleTimeout = 500 * ms
	// Clocks on one machine agree, except across a standstill of a process.
	l.MaxTimestampAhead = admission.Second
	// A fraction of the idle timeouts that a sweep enforces.
	l.SweepInterval = 100 * ms
	// A message takes a few ms to arrive; its client needs a response within 3 s.
	l.MessageTimeout = 1500 * ms
	// Longer than the interval between health checks, so that their connections stay open.
	l.HealthCheckIdleTimeout = 3 * admission.Second
	// A client with another request sends it within this time of its response.
	l.EvictionMinIdle = 100 * ms
	// The first request of a connection arrives within this time.
	l.EvictionMinAge = 20 * ms
	// A client closes at once after the server's shutdown; one that does not holds a connection slot.
	l.LingerTimeout = 500 * ms
	// Three reports can be lost within the 3 s after which service discovery removes a node.
	l.ReportInterval = 700 * ms
	// A process that restarts is back after a few of these.
	l.MinBackoff, l.MaxBackoff = 20*ms, 500*ms
	// Clients that use this node send a request within this time.
	l.DrainQuietPeriod = 1500 * ms
	// A request in transit as the connection is closed arrives within this time.
	l.InFlightGrace = 120 * ms
	// One line a second reports the dropped lines.
	l.LogInterval = admission.Second
}
