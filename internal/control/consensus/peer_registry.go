package consensus

import (
	"encoding/json"
	"fmt"
)

// Identity is who an instance is. Id and cluster are made once and kept in its log; the starts are counted
// there, so that a copy of the folder shows.
type Identity struct {
	Cluster string `json:"cluster"` // empty until it was taken into a group
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Starts  uint64 `json:"starts"`
	Nonce   uint64 `json:"nonce"`            // drawn at each start
	Barred  string `json:"barred,omitempty"` // why it may take no part any more
}

// Hello opens a connection, in either direction.
type Hello struct {
	Identity
	Peer string `json:"peer"` // where it is reached, for one that does not know the members yet
	Term uint64 `json:"term"` // as its log has it
	Last uint64 `json:"last"` // entry of its log
	To   uint64 `json:"to"`   // who it is meant for, 0 where the opener does not know
	Bulk bool   `json:"bulk,omitempty"`
	// Level is what its program knows; one from before there were levels says nothing.
	Level int `json:"level,omitempty"`
}

// Reasons to refuse a hello. Those about the other itself end its part in the group.
const (
	otherCluster = "it is of another cluster"
	forAnother   = "it is meant for another instance"
	wasRemoved   = "it was removed from the group"
	oldCopy      = "its folder is an old copy, or is in use twice"
	isBarred     = "it takes no part any more"
	olderProgram = "its program is older than what the group's log holds"
)

// BarsInstance tells whether a refusal means that whoever was refused must take no further part.
func BarsInstance(reason string) bool { return reason == wasRemoved || reason == oldCopy }

// PeerRegistry decides whom an instance speaks with, and finds out old copies of a folder by two things that
// never go back: how often the other has started, kept durable, so that a copy from an earlier life shows for
// good; and what it said it holds, kept in memory, so that one from the same life shows to whoever was up
// since. It does no I/O; whoever asks it makes durable what it learnt before answering the other.
type PeerRegistry struct {
	disabledGuards Guard
	self           Identity
	lastStarts     map[uint64]peerStart
	progress       map[uint64]peerProgress
	removed        func(id uint64) bool
	groupLevel     func() int     // the group's
	peerLevels     map[uint64]int // what others said they know, in this life
}

// saying is the highest term another spoke in, and the last entry it said in that term to hold like its
// leader. Both are on its disk before it says so. Within a term an entry held like the leader's is never
// dropped, so neither goes back; entries of an earlier term may.
type peerProgress struct{ term, last uint64 }

// RecordProgress notes the term that another instance spoke in and the last entry that it said it holds.
func (a *PeerRegistry) RecordProgress(id, term, holds uint64) {
	s, known := a.progress[id]
	if !known && len(a.progress) >= maxPeers || term < s.term {
		return
	}
	if term > s.term {
		s = peerProgress{term: term}
	}
	s.last = max(s.last, holds)
	a.progress[id] = s
}

type peerStart struct {
	Starts uint64 `json:"starts"`
	Nonce  uint64 `json:"nonce"`
}

// maxPeers bounds the table; only members, past or present, get into it, and each takes a change by an
// operator.
const maxPeers = 1024

// Handshake judges a hello. learnt tells that own or seen changed and has to be kept before an answer goes out.
func (a *PeerRegistry) Handshake(h Hello) (reason string, learnt bool) {
	switch {
	case h.ID == 0 || h.ID == a.self.ID || h.To != 0 && h.To != a.self.ID:
		return forAnother, false
	case h.Cluster != "" && a.self.Cluster != "" && h.Cluster != a.self.Cluster:
		return otherCluster, false
	case a.self.Cluster == "" && (h.Cluster == "" || h.To != a.self.ID):
		return otherCluster, false // one that waits is taken in by whoever knows its id, and by nobody else
	case max(h.Level, LevelVersions) < a.groupLevel():
		return olderProgram, false
	}
	if len(a.peerLevels) < maxPeers || a.peerLevels[h.ID] > 0 {
		a.peerLevels[h.ID] = max(h.Level, LevelVersions)
	}
	if a.self.Cluster == "" {
		a.self.Cluster, learnt = h.Cluster, true
	}
	switch {
	case a.disabledGuards.Has(MemberIdentity) || h.Cluster == "":
		return "", learnt // one that is not of a group yet has nothing that an old copy could lack
	case h.Barred != "":
		return isBarred, learnt
	case a.removed(h.ID):
		return wasRemoved, learnt
	}
	was, known := a.lastStarts[h.ID]
	if known && (h.Starts < was.Starts || h.Starts == was.Starts && h.Nonce != was.Nonce) {
		return oldCopy, learnt
	}
	if s := a.progress[h.ID]; h.Term < s.term || h.Term == s.term && h.Last < s.last {
		return oldCopy, learnt
	}
	if !known && len(a.lastStarts) >= maxPeers {
		return fmt.Sprintf("%d instances were met, expected at most %d", len(a.lastStarts)+1, maxPeers), learnt
	}
	if !known || h.Starts > was.Starts {
		a.lastStarts[h.ID], learnt = peerStart{h.Starts, h.Nonce}, true
	}
	return "", learnt
}

// marks gives what has to be kept of it.
func (a *PeerRegistry) marshal() (own, seen []byte, err error) {
	if own, err = json.Marshal(a.self); err != nil {
		return nil, nil, err
	}
	seen, err = json.Marshal(a.lastStarts)
	return own, seen, err
}

func loadPeerRegistry(own, seen []byte) (*PeerRegistry, error) {
	a := &PeerRegistry{lastStarts: map[uint64]peerStart{}, progress: map[uint64]peerProgress{}, peerLevels: map[uint64]int{},
		groupLevel: func() int { return LevelVersions }}
	if err := json.Unmarshal(own, &a.self); err != nil {
		return nil, fmt.Errorf("this instance's identity: %w", err)
	}
	if seen != nil {
		if err := json.Unmarshal(seen, &a.lastStarts); err != nil {
			return nil, fmt.Errorf("the instances met: %w", err)
		}
	}
	return a, nil
}
