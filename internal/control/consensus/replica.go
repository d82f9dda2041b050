// Package consensus is the replicated group that keeps an installation's configuration: etcd's raft core on
// our log, with our state machine, members, identity, transport and clients' API. replica.go owns the core
// and is driven from outside: told of ticks and messages, asked what to send. It knows no clock, socket or
// goroutine, so that a whole group runs in one test; group.go drives one in earnest.
package consensus

import (
	"encoding/binary"
	"errors"
	"hash/crc32"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/wal"
)

// Plan is what a replica is told at its start.
type Plan struct {
	Name     string
	Peer     string
	Listen   string
	Found    bool // an empty folder becomes a group of one; else it waits to be taken in
	Elect    int  // ticks of silence after which it stands for election, up to twice as many by chance
	Snapshot int  // bytes of log after which a snapshot is due
	Sizes    wal.Sizes
	Draw     func() uint64 // chance for ids; never for decisions
	Logger   raft.Logger
	Without  Guard
	Level    int          // what its program knows, for tests of a group on two builds; 0: all that this one does
	Guards   policy.Guard // taken out, for the laboratory
	Zones    zones.Guard
	Point    func(name string) // hears of each step of Work, for crashes on purpose; may be nil
}

// The steps of Work at which Point is told.
const (
	AtPersist = "persist" // before what raft wants kept is written
	AtSend    = "send"
	AtApply   = "apply"
	AtAnswer  = "answer"
)

// Points lists them in order.
var Points = []string{AtPersist, AtSend, AtApply, AtAnswer}

// ErrRoom says that the log is too near its bound to take changes.
var ErrRoom = errors.New("the log is near its bound; raise disk.limit_mb")

// ErrBarred says that the instance takes no part any more.
var ErrBarred = errors.New("this instance takes no part in the group any more")

// Bounds on what raft holds: a message carries a large document or many small ones, and a slow follower has
// at most this much on its way to it.
const (
	maxMessage     = 1 << 20
	maxOnTheWay    = 64
	maxOnTheWayB   = 8 << 20
	maxUncommitted = 32 << 20
	maxPerReady    = 4 << 20
	maxReads       = 4096
)

// Replica is one instance's part of the group.
type Replica struct {
	plan    Plan
	log     *wal.Log
	store   *store
	node    *raft.RawNode
	machine *Machine
	who     *Acquaintance
	conf    *pb.ConfState // as applied
	reads   []pendingRead
	saving  bool

	met      map[uint64]bool // in this life; members only
	age      int             // ticks of this life
	contacts []Member        // who greeted it before it knew the members
	asked    int             // at this age for a promotion
	raised   int             // and for a higher level
	silent   int             // ticks since a leader was heard
	alone    int             // the same, but not begun anew by standing for election
	timeout  int
	draws    uint32

	Found     wal.Found // what the start met
	Campaigns uint64
}

type pendingRead struct {
	id    uint64
	index uint64
}

// Result is a put's end as it was applied here.
type Result struct {
	Session string
	Seq     uint64
	Answer  Answer
}

// Outcome is what came of a round of Work.
type Outcome struct {
	Results []Result
	Reads   []uint64 // ids of reads that may be answered from the state as it is now
	Applied bool     // entries were applied, or a snapshot
	Nodes   []any    // ends of entries about nodes
}

// rearm draws how long a silence may last. Chance is a sum over the start's nonce and a counter.
func (r *Replica) rearm() {
	r.silent = 0
	r.draws++
	var raw [12]byte
	binary.LittleEndian.PutUint64(raw[:], r.who.own.Nonce)
	binary.LittleEndian.PutUint32(raw[8:], r.draws)
	r.timeout = r.plan.Elect + int(crc32.ChecksumIEEE(raw[:])%uint32(r.plan.Elect))
}

// Tick tells of one unit of time. Elections are timed here and not by the core, whose chance has no seed: it
// is told of time passing without its timer, and to stand when ours is over.
func (r *Replica) Tick() {
	if r.who.own.Barred != "" {
		return
	}
	if r.node.BasicStatus().RaftState == raft.StateLeader {
		r.silent, r.alone = 0, 0
		r.node.Tick()
		r.age++
		r.promote()
		r.rise()
		return
	}
	r.age++
	r.alone++
	r.node.TickQuiesced()
	if !r.settled() {
		return
	}
	if r.silent++; r.silent >= r.timeout {
		r.rearm()
		if r.votes(r.ID()) {
			r.Campaigns++
			r.node.Campaign()
		}
	}
}

// settled tells whether this life has made itself known: to all other voters, or to those that answered
// within an election's time. Until then it says nothing, as one of them may know that its folder is an old
// copy.
func (r *Replica) settled() bool {
	if r.age >= r.plan.Elect || r.plan.Without.Has(MemberIdentity) {
		return true
	}
	for _, list := range [][]uint64{r.conf.GetVoters(), r.conf.GetVotersOutgoing()} {
		for _, v := range list {
			if v != r.ID() && !r.met[v] {
				return false
			}
		}
	}
	return true
}

// Step takes a message of another instance's.
func (r *Replica) Step(m *pb.Message) {
	if r.who.own.Barred != "" || m.GetTo() != r.ID() || r.who.own.Cluster == "" || !r.settled() {
		return
	}
	switch m.GetType() {
	case pb.MessageType_MsgPreVote, pb.MessageType_MsgPreVoteResp: // in a term that is not begun
	case pb.MessageType_MsgAppResp:
		holds := m.GetIndex()
		if m.GetReject() {
			holds = 0
		}
		r.who.Heard(m.GetFrom(), m.GetTerm(), holds)
	default:
		r.who.Heard(m.GetFrom(), m.GetTerm(), 0)
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
			r.silent, r.alone = 0, 0
		}
	case pb.MessageType_MsgVote:
		if now.HardState.GetVote() == m.GetFrom() &&
			(vote != now.HardState.GetVote() || term != now.HardState.GetTerm()) {
			r.silent = 0
		}
	}
}

// Lost tells that messages to another instance did not go out, Snapped how a snapshot's sending ended.
func (r *Replica) Lost(to uint64) { r.node.ReportUnreachable(to) }

func (r *Replica) Snapped(to uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	r.node.ReportSnapshot(to, status)
}
