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

// Config configures a replica. Sizes are bytes, durations ticks.
type Config struct {
	Name                 string
	Peer                 string // address for peers
	Listen               string // address for clients
	Bootstrap            bool   // bootstrap a group of one in an empty folder; otherwise wait to be added to a group
	ElectionTicks        int    // each election timeout is drawn from ElectionTicks to 2*ElectionTicks-1
	SnapshotBytes        int    // bytes of new log entries after which a snapshot is due
	Sizes                wal.Sizes
	Random               func() uint64 // for ids only, never for decisions
	Logger               raft.Logger
	DisabledGuards       Guard
	Level                int          // supported feature level, for tests of a group with two builds; 0: LatestLevel
	DisabledPolicyGuards policy.Guard // for fault tests
	DisabledZoneGuards   zones.Guard
	OnStep               func(ReadyStep) // called before each step of a ready cycle, for fault tests; may be nil
}

// ReadyStep names a step of a ready cycle, as passed to Config.OnStep before the step.
type ReadyStep string

// Steps of a ready cycle.
const (
	StepPersist ReadyStep = "persist" // write what raft requires to be durable
	StepSend    ReadyStep = "send"    // send messages to peers
	StepApply   ReadyStep = "apply"   // apply a snapshot and committed entries
	StepRespond ReadyStep = "answer"  // return results of puts
)

// Steps lists the steps in order.
var Steps = []ReadyStep{StepPersist, StepSend, StepApply, StepRespond}

// Bounds of raft's memory: the size of a message, what is in flight to a follower, and what is proposed or read but not
// finished.
const (
	maxMessageBytes           = 1 << 20
	maxInflightMessages       = 64
	maxInflightBytes          = 8 << 20
	maxUncommittedBytes       = 32 << 20
	maxCommittedBytesPerReady = 4 << 20
	maxPendingReads           = 4096
)

// Replica is one instance of the group: the Raft core, its log and the state machine. It is not safe for concurrent
// use.
type Replica struct {
	config       Config
	log          *wal.Log
	store        *store
	node         *raft.RawNode
	stateMachine *StateMachine
	peers        *PeerRegistry
	voterConfig  *pb.ConfState // last applied one
	pendingReads []pendingRead
	snapshotting bool

	handshakePeers    map[uint64]bool // peers with a completed handshake in this run
	ticks             int             // since Open
	contactedPeers    []Member        // peers with a completed handshake before the members were known
	promotedAtTick    int             // tick of the last proposal to promote a learner
	levelRaisedAtTick int             // tick of the last proposal to raise the level
	electionTicks     int             // since the last message of a leader, vote granted, or campaign
	ticksSinceLeader  int             // since the last message of a leader
	electionTimeout   int
	timeoutCount      uint32

	LogRepair wal.Repair // what Open truncated or removed
	Campaigns uint64
}

type pendingRead struct {
	id    uint64
	index uint64
}

// AppliedPut is a put applied by this replica, and its result.
type AppliedPut struct {
	Session string
	Seq     uint64
	Result  PutResult
}

// ReadyResult is what ready cycles completed.
type ReadyResult struct {
	Puts     []AppliedPut
	Reads    []uint64 // ids of reads that the current state may serve
	Applied  bool     // entries or a snapshot were applied
	Outcomes []coordinator.Outcome
}

// resetElectionTimer draws the next election timeout from a checksum over the run's nonce and a counter, so that tests
// can reproduce it.
func (r *Replica) resetElectionTimer() {
	r.electionTicks = 0
	r.timeoutCount++
	var raw [12]byte
	binary.LittleEndian.PutUint64(raw[:], r.peers.self.Nonce)
	binary.LittleEndian.PutUint32(raw[8:], r.timeoutCount)
	r.electionTimeout = r.config.ElectionTicks + int(crc32.ChecksumIEEE(raw[:])%uint32(r.config.ElectionTicks))
}

// Tick advances the replica by one tick. Election timeouts are kept here, as raft's random ones can not be seeded:
// raft's own timer is bypassed by TickQuiesced, and elections start by Campaign.
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

// handshakesDone reports whether this run has completed a handshake with all other voters, or has waited an election
// timeout for them. It guards against a vote by an instance on an old copy of its folder: until then it neither
// campaigns nor handles messages, as a peer may detect the copy and bar it.
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

// Step handles a message from a peer.
func (r *Replica) Step(m *pb.Message) {
	if r.peers.self.Barred != "" || m.GetTo() != r.ID() || r.peers.self.Cluster == "" || !r.handshakesDone() {
		return
	}
	switch m.GetType() {
	case pb.MessageType_MsgPreVote, pb.MessageType_MsgPreVoteResp: // they carry a term that has not begun
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
		return // local message type or unknown sender: dropped, as if lost
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

// ReportUnreachable reports to raft that a message to a peer was not sent.
func (r *Replica) ReportUnreachable(to uint64) { r.node.ReportUnreachable(to) }

// ReportSnapshot reports to raft whether a peer received the whole snapshot.
func (r *Replica) ReportSnapshot(to uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	r.node.ReportSnapshot(to, status)
}
