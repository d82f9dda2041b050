package server

import (
	"time"

	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

// Limits are the sizes, counts and times by which the program bounds itself. They are derived once, at the start, from
// what the machine allows, and never change. None of them decides about a request that the controller hears of: those
// figures are the controller's.
type Limits struct {
	Cores    int // whole ones, at least 1
	MemoryMB int // MiB

	// Counts. Each bounds what clients or other servers can make this one hold.
	Connections       int // connections of clients at one time
	EvictionThreshold int // connections from which on those of least use are closed for further ones
	StoreConnections  int // connections to the store
	Pipelined         int // requests read from one connection and not begun yet
	Requests          int // requests in hand
	IdempotencyKeys   int // keys known
	Buffers           int // buffers in use for what is read
	Workers           int // goroutines kept for work on connections
	EventQueue        int // events handed over and not taken yet
	EventsPerRound    int // events taken into one round
	LinkQueue         int // buffers waiting to go out on a link
	ConnectionQueue   int // buffers waiting to go out on a client's connection

	// Sizes in bytes.
	DiscardBytes  int         // passed over after a bad message, for its sender to read the response
	ResultBytes   int         // of results kept in memory
	RequestBounds wire.Bounds // of a request
	LinkBounds    wire.Bounds // of a message of the kernel, the store or service discovery

	// Times outside the loop.
	DialTimeout      time.Duration // a dial takes no longer
	ListenTimeout    time.Duration // an address that can't be had yet is tried for so long
	AcceptRetryDelay time.Duration // accepting waits so long when the system has no descriptor left
	WriteTimeout     time.Duration // a peer that takes nothing for so long is given up

	// Times of the loop.
	GaugesTimeout          admission.Time // a wake-up waits at most so long for its gauges
	ReplayTimeout          admission.Time // a link that doesn't say that its replay is over is opened anew
	AckSafetyMargin        admission.Time // commands answered for less long ago may still be lost with their link
	CallGrace              admission.Time // a call that the store does not end is given up so long after its deadline
	StoreIdleTimeout       admission.Time // a store connection unused for so long is not trusted with a call
	MaxClockAhead          admission.Time // a request that is stamped later than now by more has a wrong time
	SweepInterval          admission.Time // connections are looked over so often
	MessageTimeout         admission.Time // a message that is incomplete for so long ends its connection
	HealthCheckIdleTimeout admission.Time // a connection that has brought health checks alone may be idle so long
	EvictionMinIdle        admission.Time // a connection used less long ago is not closed to make room
	EvictionMinAge         admission.Time // nor one opened less long ago
	LingerTimeout          admission.Time // a closing connection waits so long for its client to close
	ReportInterval         admission.Time // time between reports to service discovery
	MinBackoff             admission.Time // first wait before a link is dialled again, which doubles
	MaxBackoff             admission.Time // longest such wait
	KillMargin             admission.Time // the controller is told of a kill so much earlier
	DrainQuietPeriod       admission.Time // without a request for so long, no client sends here any more
	InFlightGrace          admission.Time // what crosses the close of a connection may come so late
	LogInterval            admission.Time // of lines beyond a few, their number is written so often
}

const (
	ms = admission.Second / 1000

	// defaultMemoryMB and defaultSockets stand for what the start-up file does not say: a small container's.
	defaultMemoryMB = 192
	defaultSockets  = 1024

	// idempotencyKeyBytes is what an idempotency key takes in memory.
	idempotencyKeyBytes = 256
	// keysMemoryDivisor and resultsMemoryDivisor are the parts of the memory for keys and for results: one twelfth each, so that
	// connections and buffers have the rest.
	keysMemoryDivisor, resultsMemoryDivisor = 12, 12
	// buffersMemoryDivisor is the part for messages: a quarter has one for each connection and its request several times over.
	buffersMemoryDivisor = 4
	// connectionsMemoryDivisor is the part that connections may take at most, with buffersPerConnection: two of netpoll's and
	// one of this package's.
	connectionsMemoryDivisor, buffersPerConnection = 2, 3

	// minConnections are held however little the machine allows: clients, health checks and an operator.
	minConnections = 8
	// reservedDescriptors are kept back for the links, each twice while it is opened again, listener, pollers and standard
	// streams.
	reservedDescriptors = 24
	// storeDescriptorsDivisor is the part of all descriptors for connections to the store.
	storeDescriptorsDivisor = 8
	// minStoreConnections let one call go on beside another that hangs; maxStoreConnections are more than a node runs
	// at one time, so that each call has a connection to itself.
	minStoreConnections, maxStoreConnections = 2, 64
	// evictionReserveDivisor is the part of all connections that stays free for new ones: an eighth takes a burst of clients
	// in while the idle ones are closed.
	evictionReserveDivisor = 8

	// killMarginBase and killMarginCoreTime are how long the last responses take to go out: a base, and the work of one
	// collection, which takes so much longer the less of a core there is, but not for less than minCoreShare.
	killMarginBase, killMarginCoreTime = 30 * ms, 8 * ms
	minCoreShare                       = 0.02
)

// NewLimits derives the bounds from what the machine allows: cores, memory in MiB and descriptors; 0 stands for what is
// not known.
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
	// Clients use up to half of all descriptors, so no more than that is kept back.
	keptBack := min(reservedDescriptors+sockets/storeDescriptorsDivisor, sockets/2)
	inMemory := memory / connectionsMemoryDivisor / (buffersPerConnection * bufferBytes)
	l.Connections = max(min(sockets-keptBack, inMemory), minConnections)
	l.EvictionThreshold = l.Connections - max(l.Connections/evictionReserveDivisor, 1)
	l.StoreConnections = min(max(sockets/storeDescriptorsDivisor, minStoreConnections), maxStoreConnections)
	// A request outlives its connection while it still runs: twice the connections, within what handles can name.
	l.Requests = min(2*l.Connections, maxSlots)
	l.IdempotencyKeys = memory / keysMemoryDivisor / idempotencyKeyBytes
	l.ResultBytes = memory / resultsMemoryDivisor
	l.Buffers = memory / buffersMemoryDivisor / bufferBytes
	// Guards against a kill with a response unsent, see row "kill near" in docs/design/shutdown.md. Longer takes from
	// the drain, in which little runs by then.
	l.KillMargin = killMarginBase + admission.Time(float64(killMarginCoreTime)/min(max(cores, minCoreShare), 1))
	return l
}

// setFixedCounts sets the counts and sizes that are the same on each machine.
func (l *Limits) setFixedCounts() {
	// A client sends one request at a time; two more let one that pipelines go on without a gap.
	l.Pipelined = 2
	// A usual round writes to no more connections than this; more get a goroutine of their own.
	l.Workers = 16
	// A round of all connections at once, several times over: callbacks wait only while the loop is far behind.
	l.EventQueue = 4096
	// More would have the first request of a round wait long for the last to be read.
	l.EventsPerRound = 1024
	// The kernel or the store takes nothing for this long a queue only when it hangs.
	l.LinkQueue = 128
	// A connection has one response at a time, of at most two buffers.
	l.ConnectionQueue = 4
	// A client that sends a body too long has sent it by then, and reads the response in place of a reset.
	l.DiscardBytes = 256 << 10
	// What the platform's requests come to, and a head twice as long.
	l.RequestBounds = wire.Bounds{HeadBytes: 4 << 10, BodyBytes: 2 << 10}
	// What fits into a buffer with the line or the head around it.
	l.LinkBounds = wire.Bounds{HeadBytes: bufferBytes - 64, BodyBytes: bufferBytes - 512}
}

// setFixedTimes sets the times that are the same on each machine, but for KillMargin.
func (l *Limits) setFixedTimes() {
	// Both ends are in one data centre: longer than this is a host that is down.
	l.DialTimeout = time.Second
	// A node has to be ready within 30 s of its start; the rest is for the kernel.
	l.ListenTimeout = 10 * time.Second
	// Descriptors come free in milliseconds, with the next connection that closes.
	l.AcceptRetryDelay = 10 * time.Millisecond
	// Past a client's patience for its response; shorter would cut off one whose machine stands still for a while.
	l.WriteTimeout = 3 * time.Second

	// The kernel is on this machine and answers in under a millisecond; later the controller decides without gauges.
	l.GaugesTimeout = 8 * ms
	// A kernel that hangs over a replay is dialled anew; requests wait for it meanwhile.
	l.ReplayTimeout = 500 * ms
	// A break shows within this time after what it took with it; longer sends more commands twice, which does no harm.
	l.AckSafetyMargin = 100 * ms
	// The store ends calls by itself; this is for one that forgets.
	l.CallGrace = 200 * ms
	// The other side may close an idle connection, and a call that crosses that may have run.
	l.StoreIdleTimeout = 500 * ms
	// Clocks on one machine agree, but for what a standstill of one process hides.
	l.MaxClockAhead = admission.Second
	// Several times within each of the idle times that are looked after.
	l.SweepInterval = 100 * ms
	// A message takes a few ms to come; its client is to have an end within 3 s.
	l.MessageTimeout = 1500 * ms
	// Checks come each second or so: one that has stopped is noticed after some.
	l.HealthCheckIdleTimeout = 3 * admission.Second
	// A client that has its response sends its next request within this time, if it has one.
	l.EvictionMinIdle = 100 * ms
	// The first request of a connection comes within this time, unless its client only means to hold a place.
	l.EvictionMinAge = 20 * ms
	// Clients close at once when told to; one that does not is given up, as it holds a place.
	l.LingerTimeout = 500 * ms
	// Three reports can be lost before the 3 s after which service discovery takes a server off its list.
	l.ReportInterval = 700 * ms
	// A process that restarts is back within some of these; a longer wait would be time without its service.
	l.MinBackoff, l.MaxBackoff = 20*ms, 500*ms
	// Clients that know this server send within this time, or have learned that it leaves.
	l.DrainQuietPeriod = 1500 * ms
	// A request that was on its way when the connection was closed is here by then.
	l.InFlightGrace = 120 * ms
	// One line a second on what was left out is enough to see that something was.
	l.LogInterval = admission.Second
}
