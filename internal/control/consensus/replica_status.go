package consensus

import (
	"sort"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// Peer is raft's progress of a member, as known to the leader.
type Peer struct {
	ID     uint64 `json:"id"`
	Match  uint64 `json:"match"`
	State  string `json:"state"`
	Active bool   `json:"active"`
}

// Status is the state of a replica.
type Status struct {
	ID               uint64 `json:"id"`
	Cluster          string `json:"cluster"`
	Name             string `json:"name"`
	Role             Role   `json:"role"`
	Leader           uint64 `json:"leader"`
	Term             uint64 `json:"term"`
	Vote             uint64 `json:"vote"`
	FirstIndex       uint64 `json:"log_first"`
	LastIndex        uint64 `json:"log_last"`
	Commit           uint64 `json:"commit"`
	Applied          uint64 `json:"applied"`
	SnapshotIndex    uint64 `json:"snapshot"`
	DiskBytes        int64  `json:"disk_bytes"`
	Syncs            uint64 `json:"syncs"`
	Version          uint64 `json:"version"`
	TicksSinceLeader int    `json:"alone_ticks"` // since the last message of a leader
	Campaigns        uint64 `json:"elections"`   // elections that it started
	Barred           string `json:"barred,omitempty"`
	Level            int    `json:"level"` // feature level of the group, as applied here
	Peers            []Peer `json:"peers,omitempty"`
}

// Status returns the current status.
func (r *Replica) Status() Status {
	b := r.node.BasicStatus()
	last, _ := r.store.LastIndex()
	s := Status{
		ID:               r.ID(),
		Cluster:          r.peers.self.Cluster,
		Name:             r.peers.self.Name,
		Leader:           b.Lead,
		Term:             b.HardState.GetTerm(),
		Vote:             b.HardState.GetVote(),
		FirstIndex:       r.store.offset + 1,
		LastIndex:        last,
		Commit:           b.HardState.GetCommit(),
		Applied:          r.stateMachine.applied,
		SnapshotIndex:    r.store.snapshotMeta.GetIndex(),
		DiskBytes:        r.log.DiskBytes(),
		Syncs:            r.log.SyncCount(),
		Version:          r.stateMachine.Last(),
		TicksSinceLeader: r.ticksSinceLeader,
		Campaigns:        r.Campaigns,
		Barred:           r.peers.self.Barred,
		Level:            r.stateMachine.featureLevel,
	}
	switch b.RaftState {
	case raft.StateLeader:
		s.Role = RoleLeader
		r.node.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
			s.Peers = append(s.Peers, Peer{id, p.Match, p.State.String(), p.RecentActive})
		})
		sort.Slice(s.Peers, func(i, k int) bool { return s.Peers[i].ID < s.Peers[k].ID })
	case raft.StateFollower:
		s.Role = RoleFollower
		if !r.isVoter(r.ID()) {
			s.Role = RoleLearner
		}
	default:
		s.Role = RoleCandidate
	}
	if s.Barred != "" {
		s.Role = RoleBarred
	} else if r.peers.self.Cluster == "" {
		s.Role = RoleWaiting
	}
	return s
}

// LogBounds returns the indexes of the first and last entry in memory.
func (r *Replica) LogBounds() (first, last uint64) {
	return r.store.offset + 1, r.store.offset + uint64(len(r.store.entries))
}

// EntryAt returns the term and data of an entry within LogBounds.
func (r *Replica) EntryAt(i uint64) (term uint64, data []byte) {
	e := r.store.entries[i-r.store.offset-1]
	return e.GetTerm(), e.GetData()
}

// Versions returns the stored versions, each as one line of JSON, and the number of the first. The lines are immutable.
func (r *Replica) Versions() ([][]byte, uint64) {
	return r.stateMachine.versions.lines, r.stateMachine.versions.first
}
