package consensus

import (
	"encoding/json"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// ID returns the instance's id in the group.
func (r *Replica) ID() uint64 { return r.peers.self.ID }

// HelloTo returns this instance's hello to a peer.
func (r *Replica) HelloTo(to uint64) Hello {
	_, last := r.LogBounds()
	return Hello{
		Identity:  r.peers.self,
		Peer:      r.config.Peer,
		Term:      r.store.hardState.GetTerm(),
		LastIndex: last,
		To:        to,
		Level:     r.config.Level,
	}
}

// Handshake decides whether to communicate with a peer by its hello; reason is why not, empty if accepted. Changes of
// the registry are durable on return.
func (r *Replica) Handshake(h Hello) (reason string, err error) {
	reason, changed := r.peers.Handshake(h)
	if reason == "" {
		r.handshakePeers[h.ID] = true
		if len(r.stateMachine.members.list) == 0 && len(r.contactedPeers) < maxMembers {
			r.contactedPeers = append(r.contactedPeers, Member{ID: h.ID, Name: h.Name, Peer: h.Peer})
		}
	}
	if !changed {
		return reason, nil
	}
	if r.stateMachine.cluster == "" {
		r.stateMachine.cluster = r.peers.self.Cluster
	}
	return reason, r.persistIdentities()
}

// Bar permanently excludes this instance from the group. The reason is stored.
func (r *Replica) Bar(reason string) error {
	if r.peers.self.Barred != "" || r.config.DisabledGuards.Has(MemberIdentity) {
		return nil
	}
	r.peers.self.Barred = reason
	return r.persistIdentities()
}

// Barred returns why this instance is barred from the group, empty if it is not.
func (r *Replica) Barred() string { return r.peers.self.Barred }

// isVoter reports whether an instance is a voter in either half of a joint configuration.
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

// ProposeMemberChange proposes a change of members. An applied change shows in Members; a lost proposal is not
// reported, and the caller proposes again. Errors are ErrBarred, raft.ErrProposalDropped, and a *MemberChangeError if
// the state does not allow it.
func (r *Replica) ProposeMemberChange(c MemberChange) error {
	if r.peers.self.Barred != "" {
		return ErrBarred
	}
	if err := r.stateMachine.members.check(&c); err != nil {
		return err
	}
	if c.Op == OpRemove && c.Member.ID == r.ID() || c.Op == OpReplace && c.ReplacedID == r.ID() {
		if r.node.BasicStatus().RaftState == raft.StateLeader {
			return r.Transfer(0) // the next leader makes the change when the caller proposes it again
		}
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	change := func(t pb.ConfChangeType, id uint64) *pb.ConfChangeSingle {
		return &pb.ConfChangeSingle{Type: t.Enum(), NodeId: proto.Uint64(id)}
	}
	cc := &pb.ConfChangeV2{Context: raw}
	switch c.Op {
	case OpAdd:
		cc.Changes = append(cc.Changes, change(pb.ConfChangeType_ConfChangeAddLearnerNode, c.Member.ID))
	case OpPromote:
		cc.Changes = append(cc.Changes, change(pb.ConfChangeType_ConfChangeAddNode, c.Member.ID))
	case OpRemove:
		cc.Changes = append(cc.Changes, change(pb.ConfChangeType_ConfChangeRemoveNode, c.Member.ID))
	case OpReplace:
		cc.Changes = append(cc.Changes, change(pb.ConfChangeType_ConfChangeAddNode, c.Member.ID),
			change(pb.ConfChangeType_ConfChangeRemoveNode, c.ReplacedID))
	}
	return r.node.ProposeConfChange(cc)
}

// maxPromotionLag is the number of entries that a learner may lack when it is promoted: few enough that a quorum that
// includes it does not stall, and more than zero, as the log of a busy group always grows.
const maxPromotionLag = 16

// promoteLearner lets the leader promote learners that have caught up, one at a time. A proposal may be dropped, such
// as during another change, so it is repeated after an election timeout. Every tick checks, as raft resets RecentActive
// at each quorum check.
func (r *Replica) promoteLearner() {
	if r.ticks < r.promotedAtTick+r.config.ElectionTicks {
		return
	}
	for _, m := range r.stateMachine.members.list {
		if m.Voter || !m.Promote {
			continue
		}
		ready, commit := false, r.node.BasicStatus().HardState.GetCommit()
		r.node.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
			if id == m.ID && p.RecentActive && p.Match+maxPromotionLag >= commit && p.Match > 0 {
				ready = true
			}
		})
		if ready {
			r.promotedAtTick = r.ticks
			r.ProposeMemberChange(MemberChange{Op: OpPromote, Member: m})
			return
		}
	}
}

// Transfer transfers leadership to a voter, to the active one with the longest log if to is 0. It returns
// raft.ErrProposalDropped if this instance is not the leader.
func (r *Replica) Transfer(to uint64) error {
	if r.node.BasicStatus().RaftState != raft.StateLeader {
		return raft.ErrProposalDropped
	}
	if to == 0 {
		bestMatch := uint64(0)
		r.node.WithProgress(func(id uint64, t raft.ProgressType, p tracker.Progress) {
			if id != r.ID() && t == raft.ProgressTypePeer && p.RecentActive && p.Match > bestMatch {
				to, bestMatch = id, p.Match
			}
		})
	}
	if to == 0 || !r.isVoter(to) {
		return errNoTransfer
	}
	r.node.TransferLeader(to)
	return nil
}

// Members returns the instances of the group, ordered by id. The list is immutable.
func (r *Replica) Members() []Member { return r.stateMachine.members.list }

// Voters returns the ids of the voters, of both halves of a joint configuration.
func (r *Replica) Voters() (incoming, outgoing []uint64) {
	return r.voterConfig.GetVoters(), r.voterConfig.GetVotersOutgoing()
}

// Contacts returns the peers to connect to: the members or, until those are known, the instances that completed a
// handshake.
func (r *Replica) Contacts() []Member {
	if len(r.stateMachine.members.list) == 0 {
		return r.contactedPeers
	}
	return r.stateMachine.members.list
}
