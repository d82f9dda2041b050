package consensus

import (
	"encoding/json"
	"fmt"
)

// Identity identifies an instance and its run. ID and cluster are assigned once and stored in the log; the number of
// starts is stored too, so that an old copy of the folder is detected.
type Identity struct {
	Cluster string `json:"cluster"` // empty until the instance is added to a group
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Starts  uint64 `json:"starts"`
	Nonce   uint64 `json:"nonce"`            // random, drawn at each start
	Barred  string `json:"barred,omitempty"` // why the instance is barred from the group; empty if it is not
}

// Hello is the handshake message of either side of a connection.
type Hello struct {
	Identity
	Peer      string `json:"peer"`           // address for peers; for a receiver that does not know the members yet
	Term      uint64 `json:"term"`           // of its hard state
	LastIndex uint64 `json:"last"`           // index of its last log entry
	To        uint64 `json:"to"`             // id of the intended instance, 0 if unknown
	Bulk      bool   `json:"bulk,omitempty"` // the connection carries a snapshot
	// Level is the feature level that its program supports; programs older than levels omit it.
	Level int `json:"level,omitempty"`
}

// Reasons to refuse a hello, as sent in a frameRefused.
const (
	refusedOtherCluster  = "it is of another cluster"
	refusedWrongInstance = "it is meant for another instance"
	refusedRemoved       = "it was removed from the group"
	refusedOldCopy       = "its folder is an old copy, or is in use twice"
	refusedBarred        = "it takes no part any more"
	refusedOlderProgram  = "its program is older than what the group's log holds"
)

// BarsInstance reports whether a refusal with this reason permanently bars the refused instance from the group.
func BarsInstance(reason string) bool { return reason == refusedRemoved || reason == refusedOldCopy }

// PeerRegistry decides which peers an instance communicates with. It guards against an instance on an old copy of its
// folder, which could vote twice in a term or lack entries that it acknowledged, so that a committed entry is lost.
//
// A peer's number of starts is stored, so a copy of an earlier run is always detected. The term and index that a peer
// reported are in memory, so a copy of the same run is detected by instances that have run since. The registry does no
// I/O: its caller stores what changed before it answers the peer.
type PeerRegistry struct {
	disabledGuards Guard
	self           Identity
	lastStarts     map[uint64]peerStart
	progress       map[uint64]peerProgress
	removed        func(id uint64) bool
	groupLevel     func() int     // feature level of the group
	peerLevels     map[uint64]int // feature levels that peers reported in this run
}

// peerProgress is the highest term in which a peer sent a message, and the last entry that it acknowledged in that
// term. Both are durable at the peer before it sends them. The term never decreases, nor does the index within a term;
// entries of earlier terms may be truncated.
type peerProgress struct{ term, lastIndex uint64 }

// RecordProgress records the term of a peer's message and the index that it acknowledged, 0 for none.
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

// peerStart identifies a run of a peer.
type peerStart struct {
	Starts uint64 `json:"starts"`
	Nonce  uint64 `json:"nonce"`
}

// maxPeers bounds the tables. Only past and present members are recorded, and each needs a change by an operator.
const maxPeers = 1024

// Handshake decides whether to communicate with a peer by its hello. reason is why not, empty if accepted. changed
// reports that the registry must be stored before the peer is answered.
func (p *PeerRegistry) Handshake(h Hello) (reason string, changed bool) {
	switch {
	case h.ID == 0 || h.ID == p.self.ID || h.To != 0 && h.To != p.self.ID:
		return refusedWrongInstance, false
	case h.Cluster != "" && p.self.Cluster != "" && h.Cluster != p.self.Cluster:
		return refusedOtherCluster, false
	case p.self.Cluster == "" && (h.Cluster == "" || h.To != p.self.ID):
		return refusedOtherCluster, false // only an instance that knows its id may add it to a group
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
		return "", changed // an instance outside a group has acknowledged nothing that an old copy could lack
	case h.Barred != "":
		return refusedBarred, changed
	case p.removed(h.ID):
		return refusedRemoved, changed
	}
	last, known := p.lastStarts[h.ID]
	if known && (h.Starts < last.Starts || h.Starts == last.Starts && h.Nonce != last.Nonce) {
		return refusedOldCopy, changed
	}
	progress := p.progress[h.ID]
	if h.Term < progress.term || h.Term == progress.term && h.LastIndex < progress.lastIndex {
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

// marshal encodes the identity and the peers' starts for storage.
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
		return nil, fmt.Errorf("stored identity: %w", err)
	}
	if starts != nil {
		if err := json.Unmarshal(starts, &p.lastStarts); err != nil {
			return nil, fmt.Errorf("stored starts of peers: %w", err)
		}
	}
	return p, nil
}
