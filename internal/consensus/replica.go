// Package consensus is the replicated group that keeps an installation's configuration: etcd's raft core on
// our log, with our state machine, members, identity, transport and clients' API. replica.go owns the core
// and is driven from outside: told of ticks and messages, asked what to send. It knows no clock, socket or
// goroutine, so that a whole group runs in one test; group.go drives one in earnest.
package consensus

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"sort"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/comeback"
	"umberwinch/internal/policy"
	"umberwinch/internal/wal"
	"umberwinch/internal/zones"
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

// Open starts a replica on a folder: its own from an earlier life, or an empty one.
func Open(fs wal.FS, plan Plan) (*Replica, error) {
	log, found, err := wal.Open(fs, plan.Sizes)
	if err != nil {
		return nil, err
	}
	r := &Replica{plan: plan, log: log, Found: found, met: map[uint64]bool{}}
	if err := r.open(); err != nil {
		log.Close()
		return nil, err
	}
	return r, nil
}

func (r *Replica) open() error {
	if r.log.Mark(markOwn) == nil {
		if err := r.begin(); err != nil {
			return err
		}
	}
	var err error
	if r.who, err = readAcquaintance(r.log.Mark(markOwn), r.log.Mark(markSeen)); err != nil {
		return err
	}
	r.who.without = r.plan.Without
	r.who.removed = func(id uint64) bool { return r.machine.wasRemoved(id) }
	r.who.level = func() int { return r.machine.level }
	if r.plan.Level == 0 {
		r.plan.Level = LevelKnown
	}
	// Counted before a word is said, so that a copy of the folder can't pass for it.
	r.who.own.Starts++
	r.who.own.Nonce = r.plan.Draw()
	if err = r.remember(); err != nil {
		return err
	}
	var state []byte
	if r.store, state, err = openStore(r.log); err != nil {
		return err
	}
	if state == nil {
		r.machine = newMachine(r.who.own.Cluster, r.plan.Without)
	} else if r.machine, err = loadMachine(state, r.plan.Without); err != nil {
		return err
	}
	r.fit()
	r.conf = r.store.snap.GetConfState()
	r.store.state = r.state
	r.node, err = raft.NewRawNode(&raft.Config{ID: r.ID(), ElectionTick: r.plan.Elect, HeartbeatTick: 1,
		Storage: r.store, Applied: r.store.snap.GetIndex(), MaxSizePerMsg: maxMessage,
		MaxCommittedSizePerReady: maxPerReady, MaxUncommittedEntriesSize: maxUncommitted,
		MaxInflightMsgs: maxOnTheWay, MaxInflightBytes: maxOnTheWayB, CheckQuorum: true,
		PreVote: !r.plan.Without.Has(PreVote), StepDownOnRemoval: true, Logger: r.plan.Logger})
	if err != nil {
		return err
	}
	r.rearm()
	return nil
}

// fit tells a state that was made or loaded what this instance is.
func (r *Replica) fit() {
	r.machine.knows, r.machine.nodes.Without, r.machine.nodes.WithoutZones = r.plan.Level, r.plan.Guards, r.plan.Zones
}

// begin makes an empty folder an instance's: its id, and where it founds a group, the group's first state.
// The identity is written last, so that a crash on the way leaves a folder that counts as empty.
func (r *Replica) begin() error {
	own := Identity{ID: r.plan.Draw() | 1, Name: r.plan.Name}
	b := wal.Batch{}
	if r.plan.Found {
		own.Cluster = fmt.Sprintf("%016x%016x", r.plan.Draw(), r.plan.Draw())
		m := newMachine(own.Cluster, r.plan.Without)
		m.applied, m.term = 1, 1
		m.members = []Member{{ID: own.ID, Name: own.Name, Peer: r.plan.Peer, Listen: r.plan.Listen, Voter: true}}
		if err := r.seed(m, own.ID, &b); err != nil {
			return err
		}
	}
	return r.own(own, b)
}

// seed writes a state as the first of a group of one.
func (r *Replica) seed(m *Machine, id uint64, b *wal.Batch) error {
	meta := &pb.SnapshotMetadata{Index: proto.Uint64(m.applied), Term: proto.Uint64(m.term),
		ConfState: &pb.ConfState{Voters: []uint64{id}}}
	state, err := m.save()
	if err != nil {
		return err
	}
	parts, err := snapshotParts(meta, state)
	if err != nil {
		return err
	}
	if err = r.log.Save(m.applied, parts...); err != nil {
		return err
	}
	hard, err := proto.Marshal(&pb.HardState{Term: meta.Term, Commit: meta.Index})
	if err != nil {
		return err
	}
	b.Cut = m.applied + 1
	b.Marks = append(b.Marks, wal.Mark{Kind: markHard, Data: hard})
	return nil
}

// Restore makes an empty folder the first instance of a new group that has the state of a saved snapshot. The
// group is another one: instances of the old one are refused, and what was agreed on after the snapshot is
// lost. It is the next generation of the old one, which nodes of that one follow.
func Restore(fs wal.FS, plan Plan, raw []byte) (*Version, error) {
	old, err := ReadSaved(raw)
	if err != nil {
		return nil, err
	}
	return begun(fs, plan, old.machine, nil)
}

// begun writes a state as the first of a new group's first instance, restored by what was found, or as it is.
func begun(fs wal.FS, plan Plan, m *Machine, found *comeback.Found) (*Version, error) {
	log, _, err := wal.Open(fs, plan.Sizes)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	if log.Mark(markOwn) != nil {
		return nil, errors.New("the folder belongs to an instance already, expected an empty one")
	}
	r := &Replica{plan: plan, log: log}
	own := Identity{ID: plan.Draw() | 1, Name: plan.Name,
		Cluster: fmt.Sprintf("%016x%016x", plan.Draw(), plan.Draw())}
	if found == nil {
		found = comeback.Plan(nil, m.base(), "")
	}
	if err = m.restore(found); err != nil {
		return nil, err
	}
	m.cluster, m.removed = own.Cluster, nil
	m.members = []Member{{ID: own.ID, Name: own.Name, Peer: plan.Peer, Listen: plan.Listen, Voter: true}}
	b := wal.Batch{}
	if err = r.seed(m, own.ID, &b); err != nil {
		return nil, err
	}
	if err = r.own(own, b); err != nil {
		return nil, err
	}
	if len(m.lines) == 0 {
		return &Version{}, nil
	}
	return ReadVersion(m.lines[len(m.lines)-1])
}

func (r *Replica) own(own Identity, b wal.Batch) error {
	raw, err := json.Marshal(own)
	if err != nil {
		return err
	}
	b.Marks = append(b.Marks, wal.Mark{Kind: markOwn, Data: raw})
	_, err = r.log.Commit(b)
	return err
}

func (r *Replica) remember() error {
	own, seen, err := r.who.marks()
	if err != nil {
		return err
	}
	_, err = r.log.Commit(wal.Batch{Marks: []wal.Mark{{Kind: markOwn, Data: own}, {Kind: markSeen, Data: seen}}})
	return err
}

// Close lets the folder go; nothing is lost by not calling it.
func (r *Replica) Close() error { return r.log.Close() }

// ID gives the instance's number in the group.
func (r *Replica) ID() uint64 { return r.who.own.ID }

// Hello gives what this instance says of itself to another.
func (r *Replica) Hello(to uint64) Hello {
	_, last := r.Span()
	return Hello{Identity: r.who.own, Peer: r.plan.Peer, Term: r.store.hard.GetTerm(), Last: last, To: to,
		Level: r.plan.Level}
}

// Meet judges another's hello; a refusal comes as its reason. What was learnt is durable on return.
func (r *Replica) Meet(h Hello) (reason string, err error) {
	reason, learnt := r.who.Meet(h)
	if reason == "" {
		r.met[h.ID] = true
		if len(r.machine.members) == 0 && len(r.contacts) < maxMembers {
			r.contacts = append(r.contacts, Member{ID: h.ID, Name: h.Name, Peer: h.Peer})
		}
	}
	if !learnt {
		return reason, nil
	}
	if r.machine.cluster == "" {
		r.machine.cluster = r.who.own.Cluster
	}
	return reason, r.remember()
}

// Bar ends this instance's part in the group for good, as others told it what it is.
func (r *Replica) Bar(reason string) error {
	if r.who.own.Barred != "" || r.plan.Without.Has(MemberIdentity) {
		return nil
	}
	r.who.own.Barred = reason
	return r.remember()
}

// Barred tells why it takes no part any more, empty if it does.
func (r *Replica) Barred() string { return r.who.own.Barred }

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

func (r *Replica) votes(id uint64) bool {
	for _, list := range [][]uint64{r.conf.GetVoters(), r.conf.GetVotersOutgoing()} {
		for _, v := range list {
			if v == id {
				return true
			}
		}
	}
	return false
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

// Propose asks for a version. The answer comes as a Result of some later Work here, or never: whoever waits
// repeats it under the same number.
func (r *Replica) Propose(p *Put) error {
	if r.who.own.Barred != "" {
		return ErrBarred
	}
	if err := p.valid(); err != nil {
		return err
	}
	if r.log.Usage() > r.plan.Sizes.Bound/4*3 {
		return ErrRoom
	}
	p.Rules = rulesAt(r.machine.level)
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return r.node.Propose(raw)
}

// entry is what the log holds beside puts, whose entries have no kind.
type entry struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

const kindLevel = "level"

// ProposeEntry asks for an entry of a kind that came with a later level; whether it was made shows in what it does.
func (r *Replica) ProposeEntry(kind string, body []byte) error {
	switch {
	case r.who.own.Barred != "":
		return ErrBarred
	case r.machine.level < LevelFleet && kind != kindLevel:
		return ErrLevel
	case r.log.Usage() > r.plan.Sizes.Bound/8*7: // past where changes of the configuration are refused
		return ErrRoom
	}
	raw, err := json.Marshal(entry{kind, body})
	if err != nil {
		return err
	}
	return r.node.Propose(raw)
}

// Levels gives what members know, as they told this instance in this life; one that has not is not in it.
func (r *Replica) Levels() map[string]int {
	out := map[string]int{}
	for _, m := range r.machine.members {
		if m.ID == r.ID() {
			out[m.Name] = r.plan.Level
		} else if l := r.who.levels[m.ID]; l > 0 {
			out[m.Name] = l
		}
	}
	return out
}

// rise has the leader raise the group's level once every member has told that it knows the next one.
func (r *Replica) rise() {
	if r.machine.level >= r.plan.Level || r.age < r.raised+r.plan.Elect || len(r.machine.members) == 0 {
		return
	}
	for _, m := range r.machine.members {
		if m.ID != r.ID() && r.who.levels[m.ID] <= r.machine.level {
			return
		}
	}
	r.raised = r.age
	r.ProposeEntry(kindLevel, []byte(fmt.Sprint(r.machine.level+1)))
}

// Change asks for a change of members; that it was made shows in Members, that it was not shows nowhere.
func (r *Replica) Change(c Change) error {
	if r.who.own.Barred != "" {
		return ErrBarred
	}
	if err := r.machine.may(&c); err != nil {
		return err
	}
	if c.Op == "remove" && c.Member.ID == r.ID() || c.Op == "replace" && c.Gone == r.ID() {
		if r.node.BasicStatus().RaftState == raft.StateLeader {
			return r.Transfer(0) // the next leader makes the change when it is asked again
		}
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	one := func(t pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
		return &pb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(id)}
	}
	cc := &pb.ConfChangeV2{Context: raw}
	switch c.Op {
	case "add":
		cc.Changes = append(cc.Changes, one(pb.ConfChangeType_ConfChangeAddLearnerNode, c.Member.ID))
	case "promote":
		cc.Changes = append(cc.Changes, one(pb.ConfChangeType_ConfChangeAddNode, c.Member.ID))
	case "remove":
		cc.Changes = append(cc.Changes, one(pb.ConfChangeType_ConfChangeRemoveNode, c.Member.ID))
	case "replace":
		cc.Changes = append(cc.Changes, one(pb.ConfChangeType_ConfChangeAddNode, c.Member.ID),
			one(pb.ConfChangeType_ConfChangeRemoveNode, c.Gone))
	}
	return r.node.ProposeConfChange(cc)
}

// caughtUp is how many entries a learner may lack when it becomes a voter: less than comes in a round trip.
const caughtUp = 16

// promote has the leader make voters of learners that have caught up, one at a time. What it asks for may
// come to nothing, as while another change is under way; it asks again an election's time later. It looks at
// each tick all the same: the core forgets at each of its checks for a quorum who was active lately.
func (r *Replica) promote() {
	if r.age < r.asked+r.plan.Elect {
		return
	}
	for _, m := range r.machine.members {
		if m.Voter || !m.Promote {
			continue
		}
		ready, last := false, r.node.BasicStatus().HardState.GetCommit()
		r.node.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
			if id == m.ID && p.RecentActive && p.Match+caughtUp >= last && p.Match > 0 {
				ready = true
			}
		})
		if ready {
			r.asked = r.age
			r.Change(Change{Op: "promote", Member: m})
			return
		}
	}
}

// Transfer hands the lead over, to the voter that is furthest if to is 0.
func (r *Replica) Transfer(to uint64) error {
	if r.node.BasicStatus().RaftState != raft.StateLeader {
		return raft.ErrProposalDropped
	}
	if to == 0 {
		most := uint64(0)
		r.node.WithProgress(func(id uint64, t raft.ProgressType, p tracker.Progress) {
			if id != r.ID() && t == raft.ProgressTypePeer && p.RecentActive && p.Match > most {
				to, most = id, p.Match
			}
		})
	}
	if to == 0 || !r.votes(to) {
		return fmt.Errorf("no voter to hand the lead to")
	}
	r.node.TransferLeader(to)
	return nil
}

// Read asks for a point from which the state here is as new as any answer given before; its id comes back in
// an Outcome once that is so, or never. An id is used once.
func (r *Replica) Read(id uint64) error {
	if r.who.own.Barred != "" {
		return ErrBarred
	}
	if r.plan.Without.Has(ReadIndex) {
		r.reads = append(r.reads, pendingRead{id, 0})
		return nil
	}
	if r.node.BasicStatus().Lead == 0 {
		return raft.ErrProposalDropped
	}
	r.node.ReadIndex(binary.LittleEndian.AppendUint64(nil, id))
	return nil
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

func (r *Replica) point(name string) {
	if r.plan.Point != nil {
		r.plan.Point(name)
	}
}

// Work does what raft has ready: makes it durable, then sends, then applies. An error means that the instance
// can't go on: what it holds in memory is no longer what is on its disk.
func (r *Replica) Work(send func([]*pb.Message)) (Outcome, error) {
	var out Outcome
	for r.node.HasReady() {
		rd := r.node.Ready()
		if r.plan.Without.Has(PersistFirst) {
			send(rd.Messages)
		}
		r.point(AtPersist)
		if err := r.persist(&rd); err != nil {
			return out, err
		}
		r.point(AtSend)
		if !r.plan.Without.Has(PersistFirst) {
			send(rd.Messages)
		}
		r.point(AtApply)
		if !raft.IsEmptySnap(rd.Snapshot) {
			m, err := loadMachine(rd.Snapshot.GetData(), r.plan.Without)
			if err != nil {
				return out, err
			}
			r.machine, r.conf, out.Applied = m, rd.Snapshot.GetMetadata().GetConfState(), true
			r.fit()
		}
		for _, e := range rd.CommittedEntries {
			if err := r.apply(e, &out); err != nil {
				return out, fmt.Errorf("entry %d: %w", e.GetIndex(), err)
			}
		}
		for _, s := range rd.ReadStates {
			if len(s.RequestCtx) == 8 && len(r.reads) < maxReads {
				r.reads = append(r.reads, pendingRead{binary.LittleEndian.Uint64(s.RequestCtx), s.Index})
			}
		}
		r.node.Advance(rd)
	}
	kept := r.reads[:0]
	for _, p := range r.reads {
		if p.index <= r.machine.applied {
			out.Reads = append(out.Reads, p.id)
		} else {
			kept = append(kept, p)
		}
	}
	r.reads = kept
	if len(out.Results) > 0 {
		r.point(AtAnswer)
	}
	return out, nil
}

func (r *Replica) persist(rd *raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		return r.store.install(rd.Snapshot, rd.HardState)
	}
	if !rd.MustSync { // a commit index alone is learnt again from the leader
		r.store.remember(rd.HardState, rd.Entries)
		return r.keepMembers(rd.CommittedEntries)
	}
	if err := r.store.persist(rd.HardState, rd.Entries); err != nil {
		return err
	}
	return r.keepMembers(rd.CommittedEntries)
}

// keepMembers makes it durable that a change of members is committed before the change counts here. A life
// that began with an older commit index would count votes by the members of its snapshot: the founder alone,
// as seen on a few schedules in a hundred.
func (r *Replica) keepMembers(committed []*pb.Entry) error {
	if r.plan.Without.Has(MembersKept) {
		return nil
	}
	for _, e := range committed {
		if e.GetType() != pb.EntryType_EntryNormal {
			return r.store.persist(r.store.hard, nil)
		}
	}
	return nil
}

// apply hands one committed entry to the state machine.
func (r *Replica) apply(e *pb.Entry, out *Outcome) error {
	out.Applied = true
	m := r.machine
	switch e.GetType() {
	case pb.EntryType_EntryNormal:
		if len(e.GetData()) > 0 {
			if err := r.applyData(e, out); err != nil {
				return err
			}
		}
	case pb.EntryType_EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("not a change of members: %w", err)
		}
		if len(cc.GetContext()) > 0 {
			var c Change
			if err := json.Unmarshal(cc.GetContext(), &c); err != nil {
				return fmt.Errorf("not a change of members: %w", err)
			}
			if m.may(&c) != nil { // it no longer holds; all instances find so, and the core is not told
				break
			}
			m.change(&c)
		}
		r.conf = r.node.ApplyConfChange(cc)
	default:
		return fmt.Errorf("of kind %v, expected a put or a change of members", e.GetType())
	}
	m.applied, m.term = e.GetIndex(), e.GetTerm()
	return nil
}

// applyData plays an entry with something in it: a put, or one of a kind.
func (r *Replica) applyData(e *pb.Entry, out *Outcome) error {
	m := r.machine
	var k entry
	if err := json.Unmarshal(e.GetData(), &k); err != nil {
		return fmt.Errorf("not an entry: %w", err)
	}
	switch {
	case k.Kind == "":
		var p Put
		if err := json.Unmarshal(e.GetData(), &p); err != nil {
			return fmt.Errorf("not a put: %w", err)
		}
		if p.Rules < 1 || p.Rules > rulesAt(m.knows) {
			return fmt.Errorf("made under rules %d, expected %d at most: this instance needs the program that made it",
				p.Rules, rulesAt(m.knows))
		}
		out.Results = append(out.Results, Result{p.Session, p.Seq, m.put(&p, e.GetIndex(), e.GetTerm())})
	case m.knows < LevelFleet:
		return fmt.Errorf("of kind %q, expected a put: this instance needs the program that made it", k.Kind)
	case k.Kind == kindLevel:
		var level int
		if err := json.Unmarshal(k.Body, &level); err != nil || level > m.knows {
			return fmt.Errorf("a rise to level %s, expected %d at most: this instance needs the program that made it", k.Body,
				m.knows)
		}
		m.level = max(m.level, level)
	default:
		end, err := m.nodes.Apply(k.Kind, k.Body, e.GetIndex(), e.GetTerm(), m)
		if err != nil {
			return err
		}
		out.Nodes = append(out.Nodes, end)
	}
	return nil
}

// Save is a snapshot under way: Write may run beside the replica, Saved takes note of its end.
type Save struct {
	meta  *pb.SnapshotMetadata
	parts [][]byte
	log   *wal.Log
}

// Due gives a snapshot to be written if there is enough new log, nil if not.
func (r *Replica) Due() (*Save, error) {
	if r.saving || r.store.bytes < r.plan.Snapshot || r.machine.applied <= r.store.snap.GetIndex() {
		return nil, nil
	}
	return r.SaveNow()
}

// state gives the state machine as it is, in parts that don't change any more.
func (r *Replica) state() (*pb.SnapshotMetadata, [][]byte, error) {
	meta := &pb.SnapshotMetadata{Index: proto.Uint64(r.machine.applied), Term: proto.Uint64(r.machine.term),
		ConfState: proto.Clone(r.conf).(*pb.ConfState)}
	state, err := r.machine.save()
	return meta, state, err
}

// SaveNow gives a snapshot of the state as it is.
func (r *Replica) SaveNow() (*Save, error) {
	meta, state, err := r.state()
	if err != nil {
		return nil, err
	}
	parts, err := snapshotParts(meta, state)
	if err != nil {
		return nil, err
	}
	r.saving = true
	return &Save{meta, parts, r.log}, nil
}

// Write makes it durable.
func (s *Save) Write() error { return s.log.Save(s.meta.GetIndex(), s.parts...) }

// Saved ends a snapshot. One that found no room is tried again when more log has come.
func (r *Replica) Saved(s *Save, err error) error {
	r.saving = false
	if err != nil {
		if errors.Is(err, wal.ErrFull) {
			r.store.bytes = 0
			return nil
		}
		return err
	}
	return r.store.saved(s.meta)
}

// Peer is another instance as the leader sees it.
type Peer struct {
	ID     uint64 `json:"id"`
	Match  uint64 `json:"match"`
	State  string `json:"state"`
	Active bool   `json:"active"`
}

// Status is the replica's own view.
type Status struct {
	ID       uint64 `json:"id"`
	Cluster  string `json:"cluster"`
	Name     string `json:"name"`
	Role     string `json:"role"`
	Leader   uint64 `json:"leader"`
	Term     uint64 `json:"term"`
	Vote     uint64 `json:"vote"`
	First    uint64 `json:"log_first"`
	Last     uint64 `json:"log_last"`
	Commit   uint64 `json:"commit"`
	Applied  uint64 `json:"applied"`
	Snapshot uint64 `json:"snapshot"`
	Disk     int64  `json:"disk_bytes"`
	Syncs    uint64 `json:"syncs"`
	Version  uint64 `json:"version"`
	Alone    int    `json:"alone_ticks"` // since a leader was heard
	Stood    uint64 `json:"elections"`   // it stood for
	Barred   string `json:"barred,omitempty"`
	Level    int    `json:"level"` // of the group, as applied here
	Peers    []Peer `json:"peers,omitempty"`
}

// Status gives the view as it is now.
func (r *Replica) Status() Status {
	b := r.node.BasicStatus()
	last, _ := r.store.LastIndex()
	s := Status{ID: r.ID(), Cluster: r.who.own.Cluster, Name: r.who.own.Name, Leader: b.Lead,
		Term: b.HardState.GetTerm(), Vote: b.HardState.GetVote(), First: r.store.offset + 1, Last: last,
		Commit: b.HardState.GetCommit(), Applied: r.machine.applied, Snapshot: r.store.snap.GetIndex(),
		Disk: r.log.Usage(), Syncs: r.log.Flushes(), Version: r.machine.last(), Alone: r.alone, Stood: r.Campaigns,
		Barred: r.who.own.Barred, Level: r.machine.level}
	switch b.RaftState {
	case raft.StateLeader:
		s.Role = "leader"
		r.node.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
			s.Peers = append(s.Peers, Peer{id, p.Match, p.State.String(), p.RecentActive})
		})
		sort.Slice(s.Peers, func(i, k int) bool { return s.Peers[i].ID < s.Peers[k].ID })
	case raft.StateFollower:
		s.Role = "follower"
		if !r.votes(r.ID()) {
			s.Role = "learner"
		}
	default:
		s.Role = "candidate"
	}
	if s.Barred != "" {
		s.Role = "barred"
	} else if r.who.own.Cluster == "" {
		s.Role = "waiting"
	}
	return s
}

// Members gives the instances of the group, by id.
func (r *Replica) Members() []Member { return r.machine.members }

// Span gives the indexes of the first and last entry held, TermOf the term and bytes of one of them.
func (r *Replica) Span() (first, last uint64) {
	return r.store.offset + 1, r.store.offset + uint64(len(r.store.entries))
}

func (r *Replica) TermOf(i uint64) (term uint64, data []byte) {
	e := r.store.entries[i-r.store.offset-1]
	return e.GetTerm(), e.GetData()
}

// Voters gives the ids that elections and commits count, in both halves of a joint change.
func (r *Replica) Voters() (now, outgoing []uint64) {
	return r.conf.GetVoters(), r.conf.GetVotersOutgoing()
}

// Known gives whom to speak with: the members, or until it has those, who greeted it.
func (r *Replica) Known() []Member {
	if len(r.machine.members) == 0 {
		return r.contacts
	}
	return r.machine.members
}

// Lines gives the versions kept, each as a line of JSON, and the number of the first. Neither changes any
// more.
func (r *Replica) Lines() ([][]byte, uint64) { return r.machine.lines, r.machine.first }
