package consensus

import (
	"encoding/json"
	"fmt"
)

// Identity is who an instance is. ID and cluster are made once and stored in its log; starts are counted there, so
// that a copy of the folder shows.
type Identity struct {
	Cluster string `json:"cluster"` // empty until it was added to a group
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Starts  uint64 `json:"starts"`
	Nonce   uint64 `json:"nonce"`            // drawn at each start
	Barred  string `json:"barred,omitempty"` // why it may take no part any more
}

// Hello opens a connection, in either direction.
type Hello struct {
	Identity
	Peer string `json:"peer"` // address, for an instance that does not know the members yet
	Term uint64 `json:"term"` // that its log holds
	Last uint64 `json:"last"` // index of its log
	To   uint64 `json:"to"`   // id of the instance that it is meant for, 0 where that is not known
	Bulk bool   `json:"bulk,omitempty"`
	// Level is the feature level that its program supports; one from before there were levels leaves it out.
	Level int `json:"level,omitempty"`
}

// Reasons to refuse a hello.
const (
	otherCluster = "it is of another cluster"
	forAnother   = "it is meant for another instance"
	wasRemoved   = "it was removed from the group"
	oldCopy      = "its folder is an old copy, or is in use twice"
	isBarred     = "it takes no part any more"
	olderProgram = "its program is older than what the group's log holds"
)

// BarsInstance tells whether a refusal means that the refused instance must take no further part in the group.
func BarsInstance(reason string) bool { return reason == wasRemoved || reason == oldCopy }

// PeerRegistry decides whom an instance speaks with. It guards against an instance on an old copy of its folder,
// which could vote twice in a term or lack entries that it acknowledged, so that a committed entry is lost. Two
// values show it, as they never go back: how often the other started, which is stored, so that a copy from an earlier
// run is found for good; and the term and index that it reported, which are in memory, so that a copy from the same
// run is found by instances that were up since. It does no I/O: its caller stores what it learnt before the other is
// answered.
type PeerRegistry struct {
	disabledGuards Guard
	self           Identity
	lastStarts     map[uint64]peerStart
	progress       map[uint64]peerProgress
	removed        func(id uint64) bool
	groupLevel     func() int     // of the group
	peerLevels     map[uint64]int // that others reported in this run
}

// peerProgress is the highest term in which another instance sent a message, and the last entry that it acknowledged
// in that term. Both are on its disk before it sends them. Within a term an acknowledged entry is never dropped, so
// neither goes back; entries of an earlier term may be.
type peerProgress struct{ term, last uint64 }

// RecordProgress notes the term that another instance spoke in and the last entry that it said it holds.
func (p *PeerRegistry) RecordProgress(id, term, holds uint64) {
	s, known := p.progress[id]
	if !known && len(p.progress) >= maxPeers || term < s.term {
		return
	}
	if term > s.term {
		s = peerProgress{term: term}
	}
	s.last = max(s.last, holds)
	p.progress[id] = s
}

type peerStart struct {
	Starts uint64 `json:"starts"`
	Nonce  uint64 `json:"nonce"`
}

// maxPeers bounds the tables. Only members, past or present, get into them, and each takes a change by an operator,
// so a larger one is not needed.
const maxPeers = 1024

// Handshake decides whether to speak with an instance by its hello: reason is why not, empty if so. learnt tells that
// something changed that has to be stored before the other is answered.
func (p *PeerRegistry) Handshake(h Hello) (reason string, learnt bool) {
	switch {
	case h.ID == 0 || h.ID == p.self.ID || h.To != 0 && h.To != p.self.ID:
		return forAnother, false
	case h.Cluster != "" && p.self.Cluster != "" && h.Cluster != p.self.Cluster:
		return otherCluster, false
	case p.self.Cluster == "" && (h.Cluster == "" || h.To != p.self.ID):
		return otherCluster, false // only an instance that was told its id may add it
	case max(h.Level, LevelVersions) < p.groupLevel():
		return olderProgram, false
	}
	if len(p.peerLevels) < maxPeers || p.peerLevels[h.ID] > 0 {
		p.peerLevels[h.ID] = max(h.Level, LevelVersions)
	}
	if p.self.Cluster == "" {
		p.self.Cluster, learnt = h.Cluster, true
	}
	switch {
	case p.disabledGuards.Has(MemberIdentity) || h.Cluster == "":
		return "", learnt // one that is in no group yet has nothing that an old copy could lack
	case h.Barred != "":
		return isBarred, learnt
	case p.removed(h.ID):
		return wasRemoved, learnt
	}
	was, known := p.lastStarts[h.ID]
	if known && (h.Starts < was.Starts || h.Starts == was.Starts && h.Nonce != was.Nonce) {
		return oldCopy, learnt
	}
	if s := p.progress[h.ID]; h.Term < s.term || h.Term == s.term && h.Last < s.last {
		return oldCopy, learnt
	}
	if !known && len(p.lastStarts) >= maxPeers {
		return fmt.Sprintf("%d instances were met, expected at most %d", len(p.lastStarts)+1, maxPeers), learnt
	}
	if !known || h.Starts > was.Starts {
		p.lastStarts[h.ID], learnt = peerStart{h.Starts, h.Nonce}, true
	}
	return "", learnt
}

// marshal gives what has to be stored.
func (p *PeerRegistry) marshal() (own, seen []byte, err error) {
	if own, err = json.Marshal(p.self); err != nil {
		return nil, nil, err
	}
	seen, err = json.Marshal(p.lastStarts)
	return own, seen, err
}

func loadPeerRegistry(own, seen []byte) (*PeerRegistry, error) {
	p := &PeerRegistry{lastStarts: map[uint64]peerStart{}, progress: map[uint64]peerProgress{},
		peerLevels: map[uint64]int{},
		groupLevel: func() int { return LevelVersions }}
	if err := json.Unmarshal(own, &p.self); err != nil {
		return nil, fmt.Errorf("this instance's identity: %w", err)
	}
	if seen != nil {
		if err := json.Unmarshal(seen, &p.lastStarts); err != nil {
			return nil, fmt.Errorf("the instances met: %w", err)
		}
	}
	return p, nil
}
