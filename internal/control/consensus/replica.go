package consensus

import (
	"encoding/binary"
	"hash/crc32"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/wal"
)

// Config is what a replica needs at its start. Sizes are bytes, times ticks.
type Config struct {
	Name                 string
	Peer                 string
	Listen               string
	FoundGroup           bool // an empty folder becomes a group of one; else it waits to be added
	ElectionTicks        int  // without a leader before it stands for election; drawn from here to twice as many
	SnapshotBytes        int  // of log since the last snapshot, after which one is due
	Sizes                wal.Sizes
	Random               func() uint64 // for ids alone, never for decisions
	Logger               raft.Logger
	DisabledGuards       Guard
	Level                int          // supported, for tests of a group on two builds; 0: LatestLevel
	DisabledPolicyGuards policy.Guard // for fault tests
	DisabledZoneGuards   zones.Guard
	OnStep               func(WorkStep) // called before each step of Work, for fault tests; may be nil
}

// WorkStep names a step of Work, as Config.OnStep is told before it is done.
type WorkStep string

// Steps of Work.
const (
	StepPersist WorkStep = "persist" // what raft needs stored is written
	StepSend    WorkStep = "send"
	StepApply   WorkStep = "apply"
	StepAnswer  WorkStep = "answer"
)

// Steps lists them in order.
var Steps = []WorkStep{StepPersist, StepSend, StepApply, StepAnswer}

// Bounds of raft: a message carries one large document or many small ones, and a slow follower has at most so much in
// flight to it. They protect memory; smaller ones cost round trips.
const (
	maxMessageBytes           = 1 << 20
	maxInflightMessages       = 64
	maxInflightBytes          = 8 << 20
	maxUncommittedBytes       = 32 << 20
	maxCommittedBytesPerReady = 4 << 20
	maxPendingReads           = 4096
)

// Replica is one instance of the group: raft, its log and the state machine. One goroutine at a time may use it.
type Replica struct {
	config       Config
	log          *wal.Log
	store        *store
	node         *raft.RawNode
	stateMachine *StateMachine
	peers        *PeerRegistry
	voterConfig  *pb.ConfState // as applied
	pendingReads []pendingRead
	snapshotting bool

	handshakePeers    map[uint64]bool // that shook hands in this run
	ticks             int             // of this run
	contactedPeers    []Member        // instances that shook hands before it knew the members
	promotedAtTick    int             // when a promotion was proposed last
	levelRaisedAtTick int             // when a higher level was proposed last
	electionTicks     int             // since a leader was heard, a vote was given or an election was begun
	ticksSinceLeader  int             // since a leader was heard
	electionTimeout   int
	timeoutCount      uint32

	LogRepair wal.Repair // what Open had to cut off
	Campaigns uint64
}

type pendingRead struct {
	id    uint64
	index uint64
}

// AppliedPut is a put that was applied here, with its result.
type AppliedPut struct {
	Session string
	Seq     uint64
	Result  PutResult
}

// WorkResult is what a call of Work did.
type WorkResult struct {
	Puts       []AppliedPut
	Reads      []uint64 // ids of reads that may be answered from the state now
	Applied    bool     // entries were applied, or a snapshot
	Operations []coordinator.Outcome
}

// resetElectionTimer draws the next election timeout, from a sum over the run's nonce and a counter, so that tests can
// repeat it.
func (r *Replica) resetElectionTimer() {
	r.electionTicks = 0
	r.timeoutCount++
	var raw [12]byte
	binary.LittleEndian.PutUint64(raw[:], r.peers.self.Nonce)
	binary.LittleEndian.PutUint32(raw[8:], r.timeoutCount)
	r.electionTimeout = r.config.ElectionTicks + int(crc32.ChecksumIEEE(raw[:])%uint32(r.config.ElectionTicks))
}

// Tick passes one tick on. Elections are timed here and not by raft, whose random timeouts have no seed: raft is told
// of time without its timer (TickQuiesced) and to stand for election when ours is over (Campaign).
func (r *Replica) Tick() {
	if r.peers.self.Barred != "" {
		return
	}
	if r.node.BasicStatus().RaftState == raft.StateLeader {
		r.electionTicks, r.ticksSinceLeader = 0, 0
		r.node.Tick()
		r.ticks++
		r.promoteLearner()
		r.raiseLevel()
		return
	}
	r.ticks++
	r.ticksSinceLeader++
	r.node.TickQuiesced()
	if !r.handshakesDone() {
		return
	}
	if r.electionTicks++; r.electionTicks >= r.electionTimeout {
		r.resetElectionTimer()
		if r.isVoter(r.ID()) {
			r.Campaigns++
			r.node.Campaign()
		}
	}
}

// handshakesDone tells whether this run has shaken hands with all other voters, or has waited for the time of an election
// for those that don't answer. It guards against a vote by an instance on an old copy of its folder: until then it
// sends nothing, as one of them may know that and bar it.
func (r *Replica) handshakesDone() bool {
	if r.ticks >= r.config.ElectionTicks || r.config.DisabledGuards.Has(MemberIdentity) {
		return true
	}
	for _, list := range [][]uint64{r.voterConfig.GetVoters(), r.voterConfig.GetVotersOutgoing()} {
		for _, v := range list {
			if v != r.ID() && !r.handshakePeers[v] {
				return false
			}
		}
	}
	return true
}

// Step handles a message of another instance.
func (r *Replica) Step(m *pb.Message) {
	if r.peers.self.Barred != "" || m.GetTo() != r.ID() || r.peers.self.Cluster == "" || !r.handshakesDone() {
		return
	}
	switch m.GetType() {
	case pb.MessageType_MsgPreVote, pb.MessageType_MsgPreVoteResp: // of a term that has not begun
	case pb.MessageType_MsgAppResp:
		ackedIndex := m.GetIndex()
		if m.GetReject() {
			ackedIndex = 0
		}
		r.peers.RecordProgress(m.GetFrom(), m.GetTerm(), ackedIndex)
	default:
		r.peers.RecordProgress(m.GetFrom(), m.GetTerm(), 0)
	}
	before := r.node.BasicStatus()
	vote, term := before.HardState.GetVote(), before.HardState.GetTerm()
	if err := r.node.Step(m); err != nil {
		return // not for others to send, or from an unknown instance: dropped, as if it was lost
	}
	after := r.node.BasicStatus()
	switch m.GetType() {
	case pb.MessageType_MsgApp, pb.MessageType_MsgHeartbeat, pb.MessageType_MsgSnap:
		if after.Lead == m.GetFrom() {
			r.electionTicks, r.ticksSinceLeader = 0, 0
		}
	case pb.MessageType_MsgVote:
		if after.HardState.GetVote() == m.GetFrom() &&
			(vote != after.HardState.GetVote() || term != after.HardState.GetTerm()) {
			r.electionTicks = 0
		}
	}
}

// ReportUnreachable tells raft that messages to another instance were not sent.
func (r *Replica) ReportUnreachable(to uint64) { r.node.ReportUnreachable(to) }

// ReportSnapshot tells raft whether a snapshot was sent completely.
func (r *Replica) ReportSnapshot(to uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	r.node.ReportSnapshot(to, status)
}
