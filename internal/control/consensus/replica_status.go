package consensus

// This file shows where a replica stands.

import (
	"sort"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

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

// Span gives the indexes of the first and last entry held, TermOf the term and bytes of one of them.
func (r *Replica) Span() (first, last uint64) {
	return r.store.offset + 1, r.store.offset + uint64(len(r.store.entries))
}

func (r *Replica) TermOf(i uint64) (term uint64, data []byte) {
	e := r.store.entries[i-r.store.offset-1]
	return e.GetTerm(), e.GetData()
}

// Lines gives the versions kept, each as a line of JSON, and the number of the first. Neither changes any
// more.
func (r *Replica) Lines() ([][]byte, uint64) { return r.machine.lines, r.machine.first }
