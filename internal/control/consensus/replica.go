package consensus

import (
	"encoding/binary"
	"hash/crc32"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/wal"
)

// Config is what a replica is told at its start.
type Config struct {
	Name                 string
	Peer                 string
	Listen               string
	FoundGroup           bool // an empty folder becomes a group of one; else it waits to be taken in
	ElectionTicks        int  // ticks of silence after which it stands for election, up to twice as many by chance
	SnapshotBytes        int  // bytes of log after which a snapshot is due
	Sizes                wal.Sizes
	Random               func() uint64 // chance for ids; never for decisions
	Logger               raft.Logger
	DisabledGuards       Guard
	Level                int          // what its program knows, for tests of a group on two builds; 0: all that this one does
	DisabledPolicyGuards policy.Guard // taken out, for the laboratory
	DisabledZoneGuards   zones.Guard
	OnStep               func(name string) // hears of each step of Work, for crashes on purpose; may be nil
}

// The steps of Work at which Point is told.
const (
	StepPersist = "persist" // before what raft wants kept is written
	StepSend    = "send"
	StepApply   = "apply"
	StepAnswer  = "answer"
)

// Steps lists them in order.
var Steps = []string{StepPersist, StepSend, StepApply, StepAnswer}

// Bounds on what raft holds: a message carries a large document or many small ones, and a slow follower has
// at most this much on its way to it.
const (
	maxMessageBytes           = 1 << 20
	maxInflightMessages       = 64
	maxInflightBytes          = 8 << 20
	maxUncommittedBytes       = 32 << 20
	maxCommittedBytesPerReady = 4 << 20
	maxPendingReads           = 4096
)

// Replica is one instance's part of the group.
type Replica struct {
	plan         Config
	log          *wal.Log
	store        *store
	node         *raft.RawNode
	stateMachine *StateMachine
	peers        *PeerRegistry
	voterConfig  *pb.ConfState // as applied
	pendingReads []pendingRead
	snapshotting bool

	metPeers          map[uint64]bool // in this life; members only
	ticks             int             // ticks of this life
	contacts          []Member        // who greeted it before it knew the members
	promotedAtTick    int             // at this age for a promotion
	levelRaisedAtTick int             // and for a higher level
	electionTicks     int             // ticks since a leader was heard
	ticksSinceLeader  int             // the same, but not begun anew by standing for election
	electionTimeout   int
	timeoutsDrawn     uint32

	LogRepair wal.Found // what the start met
	Campaigns uint64
}

type pendingRead struct {
	id    uint64
	index uint64
}

// AppliedPut is a put's end as it was applied here.
type AppliedPut struct {
	Session string
	Seq     uint64
	Result  PutResult
}

// WorkResult is what came of a round of Work.
type WorkResult struct {
	Puts       []AppliedPut
	Reads      []uint64 // ids of reads that may be answered from the state as it is now
	Applied    bool     // entries were applied, or a snapshot
	Operations []any    // ends of entries about nodes
}

// rearm draws how long a silence may last. Chance is a sum over the start's nonce and a counter.
func (r *Replica) resetElectionTimer() {
	r.electionTicks = 0
	r.timeoutsDrawn++
	var raw [12]byte
	binary.LittleEndian.PutUint64(raw[:], r.peers.self.Nonce)
	binary.LittleEndian.PutUint32(raw[8:], r.timeoutsDrawn)
	r.electionTimeout = r.plan.ElectionTicks + int(crc32.ChecksumIEEE(raw[:])%uint32(r.plan.ElectionTicks))
}

// Tick tells of one unit of time. Elections are timed here and not by the core, whose chance has no seed: it
// is told of time passing without its timer, and to stand when ours is over.
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
	if !r.introduced() {
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

// settled tells whether this life has made itself known: to all other voters, or to those that answered
// within an election's time. Until then it says nothing, as one of them may know that its folder is an old
// copy.
func (r *Replica) introduced() bool {
	if r.ticks >= r.plan.ElectionTicks || r.plan.DisabledGuards.Has(MemberIdentity) {
		return true
	}
	for _, list := range [][]uint64{r.voterConfig.GetVoters(), r.voterConfig.GetVotersOutgoing()} {
		for _, v := range list {
			if v != r.ID() && !r.metPeers[v] {
				return false
			}
		}
	}
	return true
}

// Step takes a message of another instance's.
func (r *Replica) Step(m *pb.Message) {
	if r.peers.self.Barred != "" || m.GetTo() != r.ID() || r.peers.self.Cluster == "" || !r.introduced() {
		return
	}
	switch m.GetType() {
	case pb.MessageType_MsgPreVote, pb.MessageType_MsgPreVoteResp: // in a term that is not begun
	case pb.MessageType_MsgAppResp:
		holds := m.GetIndex()
		if m.GetReject() {
			holds = 0
		}
		r.peers.RecordProgress(m.GetFrom(), m.GetTerm(), holds)
	default:
		r.peers.RecordProgress(m.GetFrom(), m.GetTerm(), 0)
	}
	was := r.node.BasicStatus()
	vote, term := was.HardState.GetVote(), was.HardState.GetTerm()
	if err := r.node.Step(m); err != nil {
		return // of a kind that is not for others to send, or from one we don't know: dropped as a lost one would be
	}
	now := r.node.BasicStatus()
	switch m.GetType() {
	case pb.MessageType_MsgApp, pb.MessageType_MsgHeartbeat, pb.MessageType_MsgSnap:
		if now.Lead == m.GetFrom() {
			r.electionTicks, r.ticksSinceLeader = 0, 0
		}
	case pb.MessageType_MsgVote:
		if now.HardState.GetVote() == m.GetFrom() &&
			(vote != now.HardState.GetVote() || term != now.HardState.GetTerm()) {
			r.electionTicks = 0
		}
	}
}

// ReportUnreachable tells raft that messages to another instance were not sent.
func (r *Replica) ReportUnreachable(to uint64) { r.node.ReportUnreachable(to) }

func (r *Replica) ReportSnapshot(to uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	r.node.ReportSnapshot(to, status)
}
