package simulation

import (
	"errors"
	"fmt"
	"math/rand"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/wal"
)

// Times are milliseconds. An instance ticks as the shipped file has it.
const (
	tickMS        = 50
	electionTicks = 10
	// writeRecoveryMS is the promise: with a majority there, a leader takes writes again within it.
	writeRecoveryMS      = 5000
	ScheduleMilliseconds = 12000 // of faults under load; growth, rest and scripted cases come to it
	segmentBytes         = 16 << 10
	maxLogBytes          = 8 << 20
	snapshotBytes        = 12 << 10 // small, so that snapshots and lagging followers come often
)

var errPowerLoss = errors.New("the power went")

// logPosition is an entry as some log has it.
type logPosition struct{ index, term uint64 }

// host is a machine with a disk and, while it is up, an instance.
type host struct {
	number           int
	disk             *wal.MemFS
	replica          *consensus.Replica
	id               uint64
	incarnation      int   // numbered over all hosts
	stalledUntil     int64 // its disk stalls until then
	stepsToCrash     int   // file-system steps until it crashes, -1 for none
	savedDisk        *wal.MemFS
	durableTerms     map[uint64]uint64 // index to term of what its log held on disk when last seen
	snapshotIndex    uint64            // all up to it are held, in a snapshot
	checkedIndex     uint64            // applied when last checked
	checkedVersion   uint64            // number of the version checked last
	puts             map[string]*pendingCall
	reads            map[uint64]*pendingCall
	needsReplacement bool // barred, or its disk was lost: the operator replaces it
}

// ConsensusGroup is one run.
type ConsensusGroup struct {
	scheduler[int64]
	network
	workload
	observedLogs
	random       *rand.Rand // network, disks and clients
	without      consensus.Guard
	hosts        []*host
	incarnations int
	votersWanted int
	Broken       string
	Trace        func(string)
}

// network is what connects hosts.
type network struct {
	handshakes   map[[2]int]bool // by incarnations: whether they have exchanged handshakes that both accept
	blockedLinks map[[2]int]bool // by hosts, one way
	lossPerMille int             // of 1,000 messages
	maxDelay     int64           // of a message
}

// workload are the clients, and the history of their calls and responses.
type workload struct {
	lastCallID uint64
	clients    []*client
	history    []porcupine.Operation
}

// observedLogs is what was seen of all logs and states, for later ones to be held against.
type observedLogs struct {
	leaders       map[uint64]uint64
	committed     map[uint64]uint64 // index to term
	appliedInTerm map[uint64]uint64 // index to the term in which it was first seen applied: later leaders must have it
	checksums     map[logPosition]uint32
	stateAtIndex  map[uint64]string
	voterSets     [][]uint64
	newestVersion uint64 // version applied anywhere
	lostEntries   map[uint64]map[logPosition]bool
}

// NewConsensusGroup founds a group of one and lets it grow to size, without faults.
func NewConsensusGroup(seed int64, size int, without consensus.Guard) *ConsensusGroup {
	w := &ConsensusGroup{
		network: network{handshakes: map[[2]int]bool{}, blockedLinks: map[[2]int]bool{}, maxDelay: 20},
		observedLogs: observedLogs{
			leaders:       map[uint64]uint64{},
			committed:     map[uint64]uint64{},
			appliedInTerm: map[uint64]uint64{},
			checksums:     map[logPosition]uint32{},
			stateAtIndex:  map[uint64]string{},
			lostEntries:   map[uint64]map[logPosition]bool{},
		},
		random: rand.New(rand.NewSource(seed)), without: without, votersWanted: size,
	}
	for n := 0; n < size; n++ {
		w.addHost(n == 0)
	}
	w.reconcileMembers()
	return w
}

func (w *ConsensusGroup) addHost(found bool) {
	h := &host{number: len(w.hosts), disk: wal.NewMemFS(), stepsToCrash: -1}
	w.hosts = append(w.hosts, h)
	w.startHost(h, found)
	w.after(int64(h.number)*7%tickMS, func() { w.tick(h) })
}

func (w *ConsensusGroup) fail(format string, args ...any) {
	if w.Broken == "" {
		w.Broken = fmt.Sprintf("at %d ms: ", w.Now) + fmt.Sprintf(format, args...)
	}
}

func (w *ConsensusGroup) tracef(format string, args ...any) {
	if w.Trace != nil {
		w.Trace(fmt.Sprintf("%7d ", w.Now) + fmt.Sprintf(format, args...))
	}
}

// Run goes on until a moment, or until something is broken.
func (w *ConsensusGroup) Run(until int64) {
	w.scheduler.runEvents(until, func() bool { return w.Broken != "" })
	if w.Broken == "" {
		w.Now = until
	}
}

// waitFor runs until a condition holds, for some time at most, and tells whether it does.
func (w *ConsensusGroup) waitFor(ms int64, holds func() bool) bool {
	for end := w.Now + ms; w.Now < end && w.Broken == ""; {
		if holds() {
			return true
		}
		w.Run(min(end, w.Now+20))
	}
	return holds()
}

func (w *ConsensusGroup) config(h *host, found bool) consensus.Config {
	return consensus.Config{Name: fmt.Sprint("i", w.incarnations), Peer: fmt.Sprint("h", h.number), Listen: fmt.Sprint("h",
		h.number),
		FoundGroup: found, ElectionTicks: electionTicks, SnapshotBytes: snapshotBytes, DisabledGuards: w.without,
		Random: w.random.Uint64,
		Sizes:  wal.Sizes{SegmentBytes: segmentBytes, MaxBytes: maxLogBytes}, Logger: discardLogger{},
		OnStep: func(step consensus.WorkStep) {
			if step == consensus.StepSend {
				w.recordLog(h)
			}
		}}
}

// startHost starts an instance on a host's disk.
func (w *ConsensusGroup) startHost(h *host, found bool) {
	w.incarnations++
	h.incarnation = w.incarnations
	h.puts, h.reads = map[string]*pendingCall{}, map[uint64]*pendingCall{}
	w.atHost(h, func() error {
		rep, err := consensus.Open(h.disk, w.config(h, found))
		if err != nil {
			return err
		}
		if h.replica = rep; rep.ID() != h.id {
			h.id, h.needsReplacement = rep.ID(), false
		}
		h.durableTerms, h.snapshotIndex, h.checkedIndex, h.checkedVersion = map[uint64]uint64{}, 0, 0, 0
		w.recordLog(h)
		return nil
	})
	w.tracef("host %d up as %x, life %d", h.number, h.id, h.incarnation)
	if h.replica != nil {
		w.processReady(h)
		w.connectInstance(h, h.incarnation)
	}
}

// atHost runs something at a host. A failure put there on purpose takes it down, any other breaks the run.
func (w *ConsensusGroup) atHost(h *host, f func() error) {
	defer func() {
		if p := recover(); p != nil {
			w.fail("host %d gave up: %v", h.number, p)
			h.replica = nil
		}
	}()
	h.disk.OnStep = func(string, string) (int, error) {
		if h.stepsToCrash < 0 {
			return 0, nil
		}
		if h.stepsToCrash--; h.stepsToCrash < 0 {
			return w.random.Intn(600), errPowerLoss
		}
		return 0, nil
	}
	if err := f(); err != nil {
		if !errors.Is(err, errPowerLoss) {
			w.fail("host %d: %v", h.number, err)
			return
		}
		w.crashHost(h, 300+int64(w.random.Intn(1500)))
	}
}

// crashHost ends a host's instance, by the power or by a kill, and has it come up again later.
func (w *ConsensusGroup) crashHost(h *host, ms int64) {
	w.tracef("host %d down", h.number)
	h.replica, h.stepsToCrash = nil, -1
	if w.random.Intn(3) == 0 {
		h.disk = h.disk.Kill()
	} else {
		h.disk = h.disk.PowerLoss(w.random.Intn)
	}
	incarnation := h.incarnation
	w.after(ms, func() {
		if h.replica == nil && h.incarnation == incarnation {
			w.startHost(h, false)
		}
	})
}

func (w *ConsensusGroup) tick(h *host) {
	w.after(tickMS, func() { w.tick(h) })
	if h.replica != nil && h.stalledUntil <= w.Now {
		h.replica.Tick()
		w.processReady(h)
	}
}

// processReady lets an instance do what it has ready, checks its state, and responds to clients.
func (w *ConsensusGroup) processReady(h *host) {
	if h.replica == nil || w.Broken != "" {
		return
	}
	var out consensus.WorkResult
	incarnation := h.incarnation
	w.atHost(h, func() (err error) {
		out, err = h.replica.Work(func(ms []*pb.Message) { w.send(h, incarnation, ms) })
		return err
	})
	if h.replica == nil {
		return
	}
	w.checkInvariants(h)
	for _, r := range out.Puts {
		if c := h.puts[r.Session]; c != nil && c.put.Seq == r.Seq {
			delete(h.puts, r.Session)
			w.respond(c, r.Result)
		}
	}
	for _, id := range out.Reads {
		if c := h.reads[id]; c != nil {
			delete(h.reads, id)
			lines, first := h.replica.Versions()
			w.respond(c, consensus.PutResult{Version: first + uint64(len(lines)) - 1})
		}
	}
	w.atHost(h, func() error {
		s, err := h.replica.SnapshotIfDue()
		if s == nil || err != nil {
			return err
		}
		return h.replica.SnapshotWritten(s, s.Write())
	})
}

// leader gives the host whose instance leads in the latest term, nil if none does.
func (w *ConsensusGroup) leader() *host {
	var best *host
	term := uint64(0)
	for _, h := range w.hosts {
		if h.replica != nil {
			if s := h.replica.Status(); s.Role == "leader" && s.Term > term {
				best, term = h, s.Term
			}
		}
	}
	return best
}

// reconcileMembers is the operator: it takes in instances that wait, promotes them, and removes those that take no
// part.
func (w *ConsensusGroup) reconcileMembers() {
	w.after(200, w.reconcileMembers)
	for _, h := range w.hosts {
		if h.replica != nil && h.replica.Barred() != "" {
			w.wipeDisk(h)
		}
	}
	l := w.leader()
	if l == nil || l.stalledUntil > w.Now {
		return
	}
	members := l.replica.Members()
	for _, m := range members {
		if w.hostOf(m) == nil {
			l.replica.Change(consensus.Change{Op: "remove", Member: m})
			w.processReady(l)
			return
		}
	}
	if len(members) >= w.votersWanted {
		return
	}
	for _, h := range w.hosts {
		if h.replica == nil || h.replica.Status().Role != "waiting" {
			continue
		}
		l.replica.Change(consensus.Change{Op: "add", Member: consensus.Member{ID: h.id, Name: fmt.Sprintf("m%x", h.id),
			Peer: fmt.Sprint("h", h.number), Listen: fmt.Sprint("h", h.number), Promote: true}})
		w.processReady(l)
		return
	}
}

// voterCount counts the voters that are up and take part, as the leader has them.
func (w *ConsensusGroup) voterCount() int {
	l := w.leader()
	if l == nil {
		return 0
	}
	n := 0
	for _, m := range l.replica.Members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// recordLostEntries notes what a disk held that is no more.
func (w *ConsensusGroup) recordLostEntries(h *host) {
	for i, term := range h.durableTerms {
		if w.lostEntries[h.id] == nil {
			w.lostEntries[h.id] = map[logPosition]bool{}
		}
		w.lostEntries[h.id][logPosition{i, term}] = true
	}
}

// hostOf gives the host that a member runs on, nil if its disk was lost.
func (w *ConsensusGroup) hostOf(m consensus.Member) *host {
	for _, h := range w.hosts {
		if h.id == m.ID && !h.needsReplacement {
			return h
		}
	}
	return nil
}

// memberHosts gives the hosts of the group's members, as the leader has them.
func (w *ConsensusGroup) memberHosts() []*host {
	var out []*host
	l := w.leader()
	if l == nil {
		return nil
	}
	for _, m := range l.replica.Members() {
		if h := w.hostOf(m); h != nil {
			out = append(out, h)
		}
	}
	return out
}

var _ raft.Logger = discardLogger{}
