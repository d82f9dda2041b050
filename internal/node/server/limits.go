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

	Conns     int // connections of sidecars at one time
	Crowd     int // from so many on, those that say nothing and then the longest idle are closed for room
	Wires     int // connections to the store
	Deaf      int // bytes passed over after a bad message, for its sender to read the answer
	Ahead     int // reqs read from one connection and not begun yet
	Reqs      int // reqs in hand
	Entries   int // keys known
	Results   int // bytes of kept results
	Buffers   int // buffers that are out at one time
	Workers   int // goroutines kept for work on connections
	HandOver  int // events handed over and not taken yet
	PerRound  int // events taken into one round
	LinkQueue int // buffers waiting to go out on a link
	ConnQueue int // and on a connection

	Request wire.Bounds // what a sidecar may send
	Line    wire.Bounds // what a link may send

	Dial         time.Duration
	Listen       time.Duration // an address that can't be had yet is tried for so long
	NoDescriptor time.Duration // accepting waits so long when the system has no descriptor left
	WriteStuck   time.Duration // a peer that takes nothing for so long is given up

	GaugeWait    admission.Time // a wake-up waits at most so long for its gauges
	ReplayWait   admission.Time // a link that doesn't say that its replay is over is opened anew
	AckLag       admission.Time // commands answered for less long ago may still be lost with their link
	CallGrace    admission.Time // past its time a call that the store does not end is given up
	StoreIdle    admission.Time // a store connection unused for so long is not trusted with a call
	FutureMost   admission.Time // one that comes later than now by more has a wrong time
	Sweep        admission.Time // connections are looked over so often
	FirstWord    admission.Time // a message that is not whole so long after it might have begun: closed
	CheckIdle    admission.Time // a connection that has brought nothing but health checks may be idle so long
	IdleLeast    admission.Time // one that was used this lately is not closed to make room
	SilentLeast  admission.Time // nor one opened this lately
	Linger       admission.Time // how long a closing connection waits for the other side
	Report       admission.Time // time between reports
	RetryLeast   admission.Time // first wait before a link is tried again, which doubles
	RetryMost    admission.Time
	LeaveBefore  admission.Time // the module is told of a kill so much earlier, for its answers to get out
	LeaveQuiet   admission.Time // nothing came in for so long: nobody sends here any more
	LeaveCrosses admission.Time // what crosses the close of a connection may come so late
	LogEvery     admission.Time // of lines beyond a few, one is written so often
}

// A 4 KiB result in base64 with its line fits, and a 2 KiB body with its head does twice over.
const bufSize = 8 << 10

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
		Ahead: 2,
		// More than the runs of any core count seen: then each call has a connection to itself.
		Wires: min(max(sockets/8, 2), 64),
		// Descriptors are kept back for the store's connections, the links, each twice while it is opened again,
		// listener, pollers and standard streams. Sidecars use up to half of all, so no more than that is kept
		// back. One connection's buffers, netpoll's two and one of ours, are three; all together half of the
		// memory.
		Conns: max(min(sockets-min(24+sockets/8, sockets/2), memoryMB<<20/2/(3*bufSize)), 8),
		Deaf:  256 << 10,
		// A twelfth of the memory each for keys (some 256 bytes each) and results.
		Entries: memoryMB << 20 / 12 / 256, Results: memoryMB << 20 / 12,
		// A round of all connections at once, several times over.
		// A usual round writes to no more connections than this.
		Workers: 16, HandOver: 4096, PerRound: 1024,
		LinkQueue: 128, ConnQueue: 4,
		Request: wire.Bounds{HeadBytes: 4 << 10, BodyBytes: 2 << 10},
		Line:    wire.Bounds{HeadBytes: bufSize - 64, BodyBytes: bufSize - 512},
		Dial:    time.Second, WriteStuck: 3 * time.Second,
		Listen: 10 * time.Second, // a server has to be ready within 30 s
		// The kernel is on this machine: its answer takes well under a ms, and a due time has 44 ms to spare.
		GaugeWait: 8 * ms, ReplayWait: 500 * ms, AckLag: 100 * ms,
		// Looked over several times in the least idle time; a first message takes a few ms, its sender is owed
		// an end within 3 s.
		// Clocks on one machine agree, but for what a standstill of one process hides.
		FutureMost: admission.Second,
		Sweep:      100 * ms, FirstWord: 1500 * ms, CheckIdle: 3 * admission.Second, IdleLeast: 100 * ms,
		SilentLeast: 20 * ms,
		// The store ends calls by itself; this only guards against one that forgets.
		CallGrace: 200 * ms, StoreIdle: 500 * ms,
		Linger: 500 * ms, NoDescriptor: 10 * time.Millisecond,
		// Three reports can be lost before the 3 s after which a server is taken off the list.
		Report: 700 * ms, RetryLeast: 20 * ms, RetryMost: 500 * ms,
		// Guards against a kill with an answer unsent: what holds the loop up by some ms of work, as a collection does, takes
		// so much longer the less of a core there is (37 ms at a seventh). Shorter of the drain by it: little runs by then.
		LeaveBefore: 30*ms + admission.Time(float64(8*ms)/min(max(cores, 0.02), 1)), LeaveQuiet: 1500 * ms, LeaveCrosses: 120 * ms, LogEvery: admission.Second,
	}
	// A req outlives its connection while it still runs: twice the connections, within the ids' range.
	l.Reqs = min(2*l.Conns, maxSlots)
	l.Crowd = l.Conns - max(l.Conns/8, 1)
	// A quarter of the memory: one each for all connections and their reqs, several times over.
	l.Buffers = memoryMB << 20 / 4 / bufSize
	return l
}
