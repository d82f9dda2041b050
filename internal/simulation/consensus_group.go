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

// Times are milliseconds; tickMS and electionTicks are those of the shipped configuration.
const (
	tickMS        = 50
	electionTicks = 10
	// writeRecoveryMS is the maximum time until writes succeed again once a majority is available.
	writeRecoveryMS      = 5000
	ScheduleMilliseconds = 12000 // duration of the faults under load, without growth, healing and scripted cases
	segmentBytes         = 16 << 10
	maxLogBytes          = 8 << 20
	snapshotBytes        = 12 << 10 // small, so that snapshots and lagging followers are frequent
)

var errPowerLoss = errors.New("power lost")

// logPosition identifies an entry of a log.
type logPosition struct{ index, term uint64 }

// host is a machine with a disk and, while it is running, an instance.
type host struct {
	number           int
	disk             *wal.MemFS
	replica          *consensus.Replica
	id               uint64
	incarnation      int   // unique over all hosts
	stalledUntil     int64 // time until which the host stalls
	stepsToCrash     int   // file-system steps until it loses power, -1 for none
	savedDisk        *wal.MemFS
	durableTerms     map[uint64]uint64 // index to term of the entries in its log on disk
	snapshotIndex    uint64            // last index covered by its snapshot
	checkedIndex     uint64            // last applied index that has been checked
	checkedVersion   uint64            // last version that has been checked
	puts             map[string]*pendingCall
	reads            map[uint64]*pendingCall
	needsReplacement bool // barred: the operator replaces it
}

// ConsensusGroup is one simulation of a Raft group on a faulty network and faulty disks.
type ConsensusGroup struct {
	scheduler[int64]
	network
	workload
	observedLogs
	random       *rand.Rand // for network, disks and clients
	without      consensus.Guard
	hosts        []*host
	incarnations int
	votersWanted int
	Broken       string
	Trace        func(string)
}

// network is the state of the links between hosts.
type network struct {
	handshakes   map[[2]int]bool // by the two incarnations, lower first: whether both accept each other
	blockedLinks map[[2]int]bool // by sender and receiver
	lossPerMille int             // messages lost or duplicated per 1,000
	maxDelay     int64           // of a message, ms
}

// workload is the set of clients and the history of their calls.
type workload struct {
	lastCallID uint64
	clients    []*client
	history    []porcupine.Operation
}

// observedLogs records the logs and states observed so far, which invariants compare with later ones.
type observedLogs struct {
	leaders   map[uint64]uint64 // term to instance
	committed map[uint64]uint64 // index to term
	// index to the term in which it was first applied: leaders of later terms must hold it
	appliedInTerm map[uint64]uint64
	checksums     map[logPosition]uint32
	stateAtIndex  map[uint64]string
	voterSets     [][]uint64
	newestVersion uint64 // newest version applied on any host
	lostEntries   map[uint64]map[logPosition]bool
}

// NewConsensusGroup creates size hosts; the first founds the group, the others wait to be added. No faults are
// scheduled.
func NewConsensusGroup(seed int64, size int, without consensus.Guard) *ConsensusGroup {
	g := &ConsensusGroup{
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
		g.addHost(n == 0)
	}
	g.reconcileMembers()
	return g
}

func (g *ConsensusGroup) addHost(found bool) {
	h := &host{number: len(g.hosts), disk: wal.NewMemFS(), stepsToCrash: -1}
	g.hosts = append(g.hosts, h)
	g.startHost(h, found)
	g.after(int64(h.number)*7%tickMS, func() { g.tick(h) })
}

func (g *ConsensusGroup) fail(format string, args ...any) {
	if g.Broken == "" {
		g.Broken = fmt.Sprintf("at %d ms: ", g.Now) + fmt.Sprintf(format, args...)
	}
}

func (g *ConsensusGroup) tracef(format string, args ...any) {
	if g.Trace != nil {
		g.Trace(fmt.Sprintf("%7d ", g.Now) + fmt.Sprintf(format, args...))
	}
}

// Run runs events until a time, or until an invariant is violated.
func (g *ConsensusGroup) Run(until int64) {
	g.scheduler.runEvents(until, func() bool { return g.Broken != "" })
	if g.Broken == "" {
		g.Now = until
	}
}

// waitFor runs until a condition holds, for at most ms, and reports whether it holds.
func (g *ConsensusGroup) waitFor(ms int64, holds func() bool) bool {
	for end := g.Now + ms; g.Now < end && g.Broken == ""; {
		if holds() {
			return true
		}
		g.Run(min(end, g.Now+20))
	}
	return holds()
}

func (g *ConsensusGroup) config(h *host, found bool) consensus.Config {
	return consensus.Config{Name: fmt.Sprint("i", g.incarnations), Peer: fmt.Sprint("h", h.number),
		Listen:    fmt.Sprint("h", h.number),
		Bootstrap: found, ElectionTicks: electionTicks, SnapshotBytes: snapshotBytes, DisabledGuards: g.without,
		Random: g.random.Uint64,
		Sizes:  wal.Sizes{SegmentBytes: segmentBytes, MaxBytes: maxLogBytes}, Logger: discardLogger{},
		OnStep: func(step consensus.ReadyStep) {
			if step == consensus.StepSend {
				g.recordLog(h)
			}
		}}
}

// startHost starts an instance on a host's disk.
func (g *ConsensusGroup) startHost(h *host, found bool) {
	g.incarnations++
	h.incarnation = g.incarnations
	h.puts, h.reads = map[string]*pendingCall{}, map[uint64]*pendingCall{}
	g.atHost(h, func() error {
		replica, err := consensus.Open(h.disk, g.config(h, found))
		if err != nil {
			return err
		}
		if h.replica = replica; replica.ID() != h.id {
			h.id, h.needsReplacement = replica.ID(), false
		}
		h.durableTerms, h.snapshotIndex, h.checkedIndex, h.checkedVersion = map[uint64]uint64{}, 0, 0, 0
		g.recordLog(h)
		return nil
	})
	g.tracef("host %d started as instance %x, incarnation %d", h.number, h.id, h.incarnation)
	if h.replica != nil {
		g.processReady(h)
		g.connectInstance(h, h.incarnation)
	}
}

// atHost runs f on a host. An injected power loss crashes the host; any other error or panic violates an invariant.
func (g *ConsensusGroup) atHost(h *host, f func() error) {
	defer func() {
		if p := recover(); p != nil {
			g.fail("host %d panicked: %v", h.number, p)
			h.replica = nil
		}
	}()
	h.disk.OnStep = func(string, string) (int, error) {
		if h.stepsToCrash < 0 {
			return 0, nil
		}
		if h.stepsToCrash--; h.stepsToCrash < 0 {
			return g.random.Intn(600), errPowerLoss
		}
		return 0, nil
	}
	if err := f(); err != nil {
		if !errors.Is(err, errPowerLoss) {
			g.fail("host %d: %v", h.number, err)
			return
		}
		g.crashHost(h, 300+int64(g.random.Intn(1500)))
	}
}

// crashHost ends a host's instance by power loss or a kill, and restarts it after ms.
func (g *ConsensusGroup) crashHost(h *host, ms int64) {
	g.tracef("host %d crashed", h.number)
	h.replica, h.stepsToCrash = nil, -1
	if g.random.Intn(3) == 0 {
		h.disk = h.disk.Kill()
	} else {
		h.disk = h.disk.PowerLoss(g.random.Intn)
	}
	incarnation := h.incarnation
	g.after(ms, func() {
		if h.replica == nil && h.incarnation == incarnation {
			g.startHost(h, false)
		}
	})
}

func (g *ConsensusGroup) tick(h *host) {
	g.after(tickMS, func() { g.tick(h) })
	if h.replica != nil && h.stalledUntil <= g.Now {
		h.replica.Tick()
		g.processReady(h)
	}
}

// processReady processes the instance's pending work, checks invariants and responds to clients.
func (g *ConsensusGroup) processReady(h *host) {
	if h.replica == nil || g.Broken != "" {
		return
	}
	var out consensus.ReadyResult
	incarnation := h.incarnation
	g.atHost(h, func() (err error) {
		out, err = h.replica.ProcessReady(func(ms []*pb.Message) { g.send(h, incarnation, ms) })
		return err
	})
	if h.replica == nil {
		return
	}
	g.checkInvariants(h)
	for _, r := range out.Puts {
		if call := h.puts[r.Session]; call != nil && call.put.Seq == r.Seq {
			delete(h.puts, r.Session)
			g.respond(call, r.Result)
		}
	}
	for _, id := range out.Reads {
		if call := h.reads[id]; call != nil {
			delete(h.reads, id)
			lines, first := h.replica.Versions()
			g.respond(call, consensus.PutResult{Version: first + uint64(len(lines)) - 1})
		}
	}
	g.atHost(h, func() error {
		s, err := h.replica.SnapshotIfDue()
		if s == nil || err != nil {
			return err
		}
		return h.replica.SnapshotWritten(s, s.Write())
	})
}

// leader returns the host that leads in the latest term, nil if there is no leader.
func (g *ConsensusGroup) leader() *host {
	var best *host
	term := uint64(0)
	for _, h := range g.hosts {
		if h.replica != nil {
			if s := h.replica.Status(); s.Role == "leader" && s.Term > term {
				best, term = h, s.Term
			}
		}
	}
	return best
}

// reconcileMembers acts as the operator: it adds waiting instances as members to be promoted, removes members whose
// host was lost, and wipes barred instances.
func (g *ConsensusGroup) reconcileMembers() {
	g.after(200, g.reconcileMembers)
	for _, h := range g.hosts {
		if h.replica != nil && h.replica.Barred() != "" {
			g.wipeDisk(h)
		}
	}
	leader := g.leader()
	if leader == nil || leader.stalledUntil > g.Now {
		return
	}
	members := leader.replica.Members()
	for _, m := range members {
		if g.hostOf(m) == nil {
			leader.replica.ProposeMemberChange(consensus.MemberChange{Op: "remove", Member: m})
			g.processReady(leader)
			return
		}
	}
	if len(members) >= g.votersWanted {
		return
	}
	for _, h := range g.hosts {
		if h.replica == nil || h.replica.Status().Role != "waiting" {
			continue
		}
		leader.replica.ProposeMemberChange(consensus.MemberChange{Op: "add",
			Member: consensus.Member{ID: h.id, Name: fmt.Sprintf("m%x", h.id), Peer: fmt.Sprint("h", h.number),
				Listen: fmt.Sprint("h", h.number), Promote: true}})
		g.processReady(leader)
		return
	}
}

// voterCount returns the number of voters in the leader's list of members, 0 without a leader.
func (g *ConsensusGroup) voterCount() int {
	leader := g.leader()
	if leader == nil {
		return 0
	}
	n := 0
	for _, m := range leader.replica.Members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// recordLostEntries records the entries of a disk that is about to be replaced.
func (g *ConsensusGroup) recordLostEntries(h *host) {
	for i, term := range h.durableTerms {
		if g.lostEntries[h.id] == nil {
			g.lostEntries[h.id] = map[logPosition]bool{}
		}
		g.lostEntries[h.id][logPosition{i, term}] = true
	}
}

// hostOf returns the host of a member, nil if it is to be replaced or runs another instance.
func (g *ConsensusGroup) hostOf(m consensus.Member) *host {
	for _, h := range g.hosts {
		if h.id == m.ID && !h.needsReplacement {
			return h
		}
	}
	return nil
}

// memberHosts returns the hosts of the members in the leader's list.
func (g *ConsensusGroup) memberHosts() []*host {
	var out []*host
	leader := g.leader()
	if leader == nil {
		return nil
	}
	for _, m := range leader.replica.Members() {
		if h := g.hostOf(m); h != nil {
			out = append(out, h)
		}
	}
	return out
}

var _ raft.Logger = discardLogger{}
