// Limits: every size, count and time of the program that is not a decision stands here, in one type that is
// filled at the start from what the machine allows and handed down. Nothing is changed after that, and no
// figure that decides about a req may stand here: those are the module's.

package server

import (
	"time"

	"umberwinch/admission"
	"umberwinch/internal/node/wire"
)

// Limits are the bounds the program keeps by itself.
type Limits struct {
	Cores    int
	MemoryMB int

	Connections      int // connections of sidecars at one time
	EvictAbove       int // from so many on, those that say nothing and then the longest idle are closed for room
	StoreConnections int // connections to the store
	DiscardBytes     int // bytes passed over after a bad message, for its sender to read the answer
	Pipelined        int // reqs read from one connection and not begun yet
	Requests         int // reqs in hand
	IdempotencyKeys  int // keys known
	ResultBytes      int // bytes of kept results
	Buffers          int // buffers that are out at one time
	Workers          int // goroutines kept for work on connections
	EventQueue       int // events handed over and not taken yet
	EventsPerRound   int // events taken into one round
	LinkQueue        int // buffers waiting to go out on a link
	ConnectionQueue  int // and on a connection

	RequestBounds wire.Bounds // what a sidecar may send
	LinkBounds    wire.Bounds // what a link may send

	DialTimeout   time.Duration
	ListenTimeout time.Duration // an address that can't be had yet is tried for so long
	AcceptPause   time.Duration // accepting waits so long when the system has no descriptor left
	WriteTimeout  time.Duration // a peer that takes nothing for so long is given up

	GaugesTimeout          admission.Time // a wake-up waits at most so long for its gauges
	ReplayTimeout          admission.Time // a link that doesn't say that its replay is over is opened anew
	AckSafetyMargin        admission.Time // commands answered for less long ago may still be lost with their link
	CallGrace              admission.Time // past its time a call that the store does not end is given up
	StoreIdleTimeout       admission.Time // a store connection unused for so long is not trusted with a call
	MaxClockAhead          admission.Time // one that comes later than now by more has a wrong time
	SweepInterval          admission.Time // connections are looked over so often
	MessageTimeout         admission.Time // a message that is not whole so long after it might have begun: closed
	HealthCheckIdleTimeout admission.Time // a connection that has brought nothing but health checks may be idle so long
	EvictionMinIdle        admission.Time // one that was used this lately is not closed to make room
	EvictionMinAge         admission.Time // nor one opened this lately
	LingerTimeout          admission.Time // how long a closing connection waits for the other side
	ReportInterval         admission.Time // time between reports
	MinBackoff             admission.Time // first wait before a link is tried again, which doubles
	MaxBackoff             admission.Time
	KillMargin             admission.Time // the module is told of a kill so much earlier, for its answers to get out
	DrainQuiet             admission.Time // nothing came in for so long: nobody sends here any more
	CrossingGrace          admission.Time // what crosses the close of a connection may come so late
	LogInterval            admission.Time // of lines beyond a few, one is written so often
}

// NewLimits derives the bounds from what the machine allows.
func NewLimits(cores float64, memoryMB, sockets int) Limits {
	const ms = admission.Second / 1000
	if memoryMB <= 0 {
		memoryMB = 192
	}
	if sockets <= 0 {
		sockets = 1024
	}
	l := Limits{
		Cores: max(int(cores), 1), MemoryMB: memoryMB,
		// A sidecar sends one at a time; two more let one that pipelines go on without a gap.
		Pipelined: 2,
		// More than the runs of any core count seen: then each call has a connection to itself.
		StoreConnections: min(max(sockets/8, 2), 64),
		// Descriptors are kept back for the store's connections, the links, each twice while it is opened again,
		// listener, pollers and standard streams. Sidecars use up to half of all, so no more than that is kept
		// back. One connection's buffers, netpoll's two and one of ours, are three; all together half of the
		// memory.
		Connections:  max(min(sockets-min(24+sockets/8, sockets/2), memoryMB<<20/2/(3*bufferBytes)), 8),
		DiscardBytes: 256 << 10,
		// A twelfth of the memory each for keys (some 256 bytes each) and results.
		IdempotencyKeys: memoryMB << 20 / 12 / 256, ResultBytes: memoryMB << 20 / 12,
		// A round of all connections at once, several times over.
		// A usual round writes to no more connections than this.
		Workers: 16, EventQueue: 4096, EventsPerRound: 1024,
		LinkQueue: 128, ConnectionQueue: 4,
		RequestBounds: wire.Bounds{HeadBytes: 4 << 10, BodyBytes: 2 << 10},
		LinkBounds:    wire.Bounds{HeadBytes: bufferBytes - 64, BodyBytes: bufferBytes - 512},
		DialTimeout:   time.Second, WriteTimeout: 3 * time.Second,
		ListenTimeout: 10 * time.Second, // a server has to be ready within 30 s
		// The kernel is on this machine: its answer takes well under a ms, and a due time has 44 ms to spare.
		GaugesTimeout: 8 * ms, ReplayTimeout: 500 * ms, AckSafetyMargin: 100 * ms,
		// Looked over several times in the least idle time; a first message takes a few ms, its sender is owed
		// an end within 3 s.
		// Clocks on one machine agree, but for what a standstill of one process hides.
		MaxClockAhead: admission.Second,
		SweepInterval: 100 * ms, MessageTimeout: 1500 * ms, HealthCheckIdleTimeout: 3 * admission.Second, EvictionMinIdle: 100 * ms,
		EvictionMinAge: 20 * ms,
		// The store ends calls by itself; this only guards against one that forgets.
		CallGrace: 200 * ms, StoreIdleTimeout: 500 * ms,
		LingerTimeout: 500 * ms, AcceptPause: 10 * time.Millisecond,
		// Three reports can be lost before the 3 s after which a server is taken off the list.
		ReportInterval: 700 * ms, MinBackoff: 20 * ms, MaxBackoff: 500 * ms,
		// Guards against a kill with an answer unsent: what holds the loop up by some ms of work, as a collection does, takes
		// so much longer the less of a core there is (37 ms at a seventh). Shorter of the drain by it: little runs by then.
		KillMargin: 30*ms + admission.Time(float64(8*ms)/min(max(cores, 0.02), 1)), DrainQuiet: 1500 * ms, CrossingGrace: 120 * ms, LogInterval: admission.Second,
	}
	// A req outlives its connection while it still runs: twice the connections, within the ids' range.
	l.Requests = min(2*l.Connections, maxSlots)
	l.EvictAbove = l.Connections - max(l.Connections/8, 1)
	// A quarter of the memory: one each for all connections and their reqs, several times over.
	l.Buffers = memoryMB << 20 / 4 / bufferBytes
	return l
}
