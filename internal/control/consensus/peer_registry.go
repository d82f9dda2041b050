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
	refusedOtherCluster  = "it is of another cluster"
	refusedWrongInstance = "it is meant for another instance"
	refusedRemoved       = "it was removed from the group"
	refusedOldCopy       = "its folder is an old copy, or is in use twice"
	refusedBarred        = "it takes no part any more"
	refusedOlderProgram  = "its program is older than what the group's log holds"
)

// BarsInstance tells whether a refusal means that the refused instance must take no further part in the group.
func BarsInstance(reason string) bool { return reason == refusedRemoved || reason == refusedOldCopy }

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
type peerProgress struct{ term, lastIndex uint64 }

// RecordProgress notes the term that another instance spoke in and the last entry that it said it holds.
func (p *PeerRegistry) RecordProgress(id, term, ackedIndex uint64) {
	progress, known := p.progress[id]
	if !known && len(p.progress) >= maxPeers || term < progress.term {
		return
	}
	if term > progress.term {
		progress = peerProgress{term: term}
	}
	progress.lastIndex = max(progress.lastIndex, ackedIndex)
	p.progress[id] = progress
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
func (p *PeerRegistry) Handshake(h Hello) (reason string, changed bool) {
	switch {
	case h.ID == 0 || h.ID == p.self.ID || h.To != 0 && h.To != p.self.ID:
		return refusedWrongInstance, false
	case h.Cluster != "" && p.self.Cluster != "" && h.Cluster != p.self.Cluster:
		return refusedOtherCluster, false
	case p.self.Cluster == "" && (h.Cluster == "" || h.To != p.self.ID):
		return refusedOtherCluster, false // only an instance that was told its id may add it
	case max(h.Level, LevelVersions) < p.groupLevel():
		return refusedOlderProgram, false
	}
	if len(p.peerLevels) < maxPeers || p.peerLevels[h.ID] > 0 {
		p.peerLevels[h.ID] = max(h.Level, LevelVersions)
	}
	if p.self.Cluster == "" {
		p.self.Cluster, changed = h.Cluster, true
	}
	switch {
	case p.disabledGuards.Has(MemberIdentity) || h.Cluster == "":
		return "", changed // one that is in no group yet has nothing that an old copy could lack
	case h.Barred != "":
		return refusedBarred, changed
	case p.removed(h.ID):
		return refusedRemoved, changed
	}
	last, known := p.lastStarts[h.ID]
	if known && (h.Starts < last.Starts || h.Starts == last.Starts && h.Nonce != last.Nonce) {
		return refusedOldCopy, changed
	}
	if progress := p.progress[h.ID]; h.Term < progress.term || h.Term == progress.term && h.Last < progress.lastIndex {
		return refusedOldCopy, changed
	}
	if !known && len(p.lastStarts) >= maxPeers {
		return fmt.Sprintf("%d instances were met, expected at most %d", len(p.lastStarts)+1, maxPeers), changed
	}
	if !known || h.Starts > last.Starts {
		p.lastStarts[h.ID], changed = peerStart{h.Starts, h.Nonce}, true
	}
	return "", changed
}

// marshal gives what has to be stored.
func (p *PeerRegistry) marshal() (identity, starts []byte, err error) {
	if identity, err = json.Marshal(p.self); err != nil {
		return nil, nil, err
	}
	starts, err = json.Marshal(p.lastStarts)
	return identity, starts, err
}

func loadPeerRegistry(identity, starts []byte) (*PeerRegistry, error) {
	p := &PeerRegistry{lastStarts: map[uint64]peerStart{}, progress: map[uint64]peerProgress{},
		peerLevels: map[uint64]int{},
		groupLevel: func() int { return LevelVersions }}
	if err := json.Unmarshal(identity, &p.self); err != nil {
		return nil, fmt.Errorf("this instance's identity: %w", err)
	}
	if starts != nil {
		if err := json.Unmarshal(starts, &p.lastStarts); err != nil {
			return nil, fmt.Errorf("the instances met: %w", err)
		}
	}
	return p, nil
}
