package consensus

import (
	"encoding/json"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// This file is a replica's part in the group's membership: who it is, whom it meets, who votes, and how that changes.

// ID gives the instance's number in the group.
func (r *Replica) ID() uint64 { return r.peers.self.ID }

// HelloTo gives what this instance says of itself to another.
func (r *Replica) HelloTo(to uint64) Hello {
	_, last := r.LogBounds()
	return Hello{Identity: r.peers.self, Peer: r.plan.Peer, Term: r.store.hard.GetTerm(), Last: last, To: to,
		Level: r.plan.Level}
}

// Handshake judges another's hello; a refusal comes as its reason. What was learnt is durable on return.
func (r *Replica) Handshake(h Hello) (reason string, err error) {
	reason, learnt := r.peers.Handshake(h)
	if reason == "" {
		r.metPeers[h.ID] = true
		if len(r.stateMachine.members.list) == 0 && len(r.contacts) < maxMembers {
			r.contacts = append(r.contacts, Member{ID: h.ID, Name: h.Name, Peer: h.Peer})
		}
	}
	if !learnt {
		return reason, nil
	}
	if r.stateMachine.cluster == "" {
		r.stateMachine.cluster = r.peers.self.Cluster
	}
	return reason, r.persistIdentities()
}

// Bar ends this instance's part in the group for good, as others told it what it is.
func (r *Replica) Bar(reason string) error {
	if r.peers.self.Barred != "" || r.plan.DisabledGuards.Has(MemberIdentity) {
		return nil
	}
	r.peers.self.Barred = reason
	return r.persistIdentities()
}

// Barred tells why it takes no part any more, empty if it does.
func (r *Replica) Barred() string { return r.peers.self.Barred }

func (r *Replica) isVoter(id uint64) bool {
	for _, list := range [][]uint64{r.voterConfig.GetVoters(), r.voterConfig.GetVotersOutgoing()} {
		for _, v := range list {
			if v == id {
				return true
			}
		}
	}
	return false
}

// Change asks for a change of members; that it was made shows in Members, that it was not shows nowhere.
func (r *Replica) Change(c Change) error {
	if r.peers.self.Barred != "" {
		return ErrBarred
	}
	if err := r.stateMachine.members.check(&c); err != nil {
		return err
	}
	if c.Op == OpRemove && c.Member.ID == r.ID() || c.Op == OpReplace && c.ReplacedID == r.ID() {
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
	case OpAdd:
		cc.Changes = append(cc.Changes, one(pb.ConfChangeType_ConfChangeAddLearnerNode, c.Member.ID))
	case OpPromote:
		cc.Changes = append(cc.Changes, one(pb.ConfChangeType_ConfChangeAddNode, c.Member.ID))
	case OpRemove:
		cc.Changes = append(cc.Changes, one(pb.ConfChangeType_ConfChangeRemoveNode, c.Member.ID))
	case OpReplace:
		cc.Changes = append(cc.Changes, one(pb.ConfChangeType_ConfChangeAddNode, c.Member.ID),
			one(pb.ConfChangeType_ConfChangeRemoveNode, c.ReplacedID))
	}
	return r.node.ProposeConfChange(cc)
}

// maxPromotionLag is how many entries a learner may lack when it becomes a voter: less than comes in a round trip.
const maxPromotionLag = 16

// promote has the leader make voters of learners that have caught up, one at a time. What it asks for may
// come to nothing, as while another change is under way; it asks again an election's time later. It looks at
// each tick all the same: the core forgets at each of its checks for a quorum who was active lately.
func (r *Replica) promoteLearner() {
	if r.ticks < r.promotedAtTick+r.plan.ElectionTicks {
		return
	}
	for _, m := range r.stateMachine.members.list {
		if m.Voter || !m.Promote {
			continue
		}
		ready, last := false, r.node.BasicStatus().HardState.GetCommit()
		r.node.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
			if id == m.ID && p.RecentActive && p.Match+maxPromotionLag >= last && p.Match > 0 {
				ready = true
			}
		})
		if ready {
			r.promotedAtTick = r.ticks
			r.Change(Change{Op: OpPromote, Member: m})
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
	if to == 0 || !r.isVoter(to) {
		return errNoTransfer
	}
	r.node.TransferLeader(to)
	return nil
}

// Members gives the instances of the group, by id.
func (r *Replica) Members() []Member { return r.stateMachine.members.list }

// Voters gives the ids that elections and commits count, in both halves of a joint change.
func (r *Replica) Voters() (now, outgoing []uint64) {
	return r.voterConfig.GetVoters(), r.voterConfig.GetVotersOutgoing()
}

// Contacts gives whom to speak with: the members, or until it has those, who greeted it.
func (r *Replica) Contacts() []Member {
	if len(r.stateMachine.members.list) == 0 {
		return r.contacts
	}
	return r.stateMachine.members.list
}
