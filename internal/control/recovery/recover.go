package recovery

import (
	"fmt"
	"sort"
	"strings"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/membership"
)

// What a group is restored from when its own state is lost, in whole or for the last hour of it: what the nodes know.
// Each remembers what it was told, and none of it is believed but what proves itself: a text by its hash, a version in
// force by a node that served under it, a decided one by a node that promised it.

// Bounds of what is gathered.
const (
	MaxRecords = membership.MaxNodes
	maxWord    = 80
	maxBefore  = 64 // generations whose groups are remembered by name
	maxListed  = 8
)

// GroupIdentity names a group and how often it was restored.
type GroupIdentity struct {
	Group        string   `json:"group"`
	Generation   uint64   `json:"generation"`
	Predecessors []string `json:"before,omitempty"` // groups of earlier generations, the oldest first
}

// Succeeds tells whether this is a later generation of the group that is named.
func (w *GroupIdentity) Succeeds(group string, gen uint64) bool {
	if w.Generation <= gen {
		return false
	}
	for _, b := range w.Predecessors {
		if b == group {
			return true
		}
	}
	return false
}

// NextGeneration gives the generation after this one.
func (w *GroupIdentity) NextGeneration(group string) GroupIdentity {
	n := GroupIdentity{Group: group, Generation: max(1, w.Generation) + 1, Predecessors: append(append([]string{}, w.Predecessors...), w.Group)}
	if len(n.Predecessors) > maxBefore {
		n.Predecessors = n.Predecessors[len(n.Predecessors)-maxBefore:]
	}
	return n
}

// NodeRecord is what a node holds of its fleet, as it tells whoever gathers.
type NodeRecord struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Addr          string `json:"addr,omitempty"`
	Group         string `json:"group"` // as heard last
	Generation    uint64 `json:"generation"`
	Term          uint64 `json:"term"`
	Index         uint64 `json:"index"` // of the group's log, as heard last
	EntryChecksum uint64 `json:"-"`     // of that entry, 0: not told
	// ActiveVersion was served under, so it was in force. Text has Hash, or it is not looked at.
	ActiveVersion uint64 `json:"version"`
	ActiveHash    string `json:"hash,omitempty"`
	ActiveText    string `json:"text,omitempty"`
	MinVersion    uint64 `json:"floor"` // decided, as far as the node was told: it serves under nothing older
	// PreparedVersion is a version that was prepared and not taken over yet.
	PreparedVersion uint64 `json:"next,omitempty"`
	PreparedHash    string `json:"next_hash,omitempty"`
	PreparedText    string `json:"next_text,omitempty"`
	Autonomous      bool   `json:"alone,omitempty"` // it may serve without a lease
	ZoneEpoch       uint64 `json:"epoch,omitempty"` // of its zone's order
	ZoneShare       int    `json:"share,omitempty"` // that it takes, of fleet.Whole, where Epoch is not 0
	LeaseMS         uint64 `json:"lease_ms,omitempty"`
}

// Validate says what is wrong with it.
func (k *NodeRecord) Validate() error {
	j := api.JoinRequest{Name: k.Name, Zone: k.Zone, Addr: k.Addr, Nonce: "unused--"}
	if err := j.Validate(); err != nil {
		return err
	}
	switch {
	case len(k.Group) > maxWord || len(k.ActiveHash) > maxWord || len(k.PreparedHash) > maxWord:
		return fmt.Errorf("group, hash, next_hash: expected at most %d bytes each", maxWord)
	case len(k.ActiveText) > document.MaxBytes || len(k.PreparedText) > document.MaxBytes:
		return fmt.Errorf("text: found %d and %d bytes, expected at most %d", len(k.ActiveText), len(k.PreparedText), document.MaxBytes)
	case k.ZoneShare < 0 || k.ZoneShare > api.FullShare:
		return fmt.Errorf("share: found %d, expected 0 to %d", k.ZoneShare, api.FullShare)
	case k.MinVersion < k.ActiveVersion:
		return fmt.Errorf("floor: found %d, expected %d at least, which is served under", k.MinVersion, k.ActiveVersion)
	}
	return nil
}

// StoredGroup is what an old folder of the group holds, if there is one: proof of its own, as of some time ago.
type StoredGroup struct {
	GroupIdentity
	LastVersion        uint64                                           // the newest version, in force or not
	DecidedVersion     uint64                                           // decided
	CommittedVersion   uint64                                           // in force
	Index              uint64                                           // of its log
	ZoneEpoch          uint64                                           // of the zones
	Nodes              []string                                         // that it knew as in
	Autonomous         bool                                             // the policy in force lets nodes go on alone
	TextOf             func(number uint64) (text, hash string, ok bool) // nil: none
	LeaseMS            uint64                                           // of the policy in force, in ms
	UncommittedEntries uint64                                           // entries that are not known to be committed
}

// RestorePlan is what would be restored, and on what grounds.
type RestorePlan struct {
	Lost          GroupIdentity `json:"of"`      // the group that is gone
	Version       uint64        `json:"version"` // it begins with, in force; 0: nobody served under any
	Text          string        `json:"-"`
	Hash          string        `json:"hash,omitempty"`
	SourceVersion uint64        `json:"was"`   // the number that the text had
	Proof         string        `json:"proof"` // how it is known
	ZoneEpoch     uint64        `json:"epoch"` // of the zones: it goes on after it
	LeaseMS       uint64        `json:"lease_ms"`
	Records       []NodeRecord  `json:"-"`
	Nodes         []string      `json:"nodes"`
	NotCounted    []string      `json:"not_counted,omitempty"` // nodes whose word does not count, and why
	Unknown       []string      `json:"unknown,omitempty"`     // what can't be known
	Conflict      string        `json:"conflict,omitempty"`    // nothing is restored before an operator has chosen
}

// holder is a version's text with who holds it.
type holder struct {
	number         uint64
	hash, text     string
	served, others []string // who served under it, who only prepared it
}

// PlanRestore works out what to restore from what nodes told and what an old folder holds, nil without one. take, if not empty,
// is the hash that an operator chose where two texts go by one number. It never guesses: what is at odds is a conflict,
// and what nobody holds is named.
func PlanRestore(all []NodeRecord, base *StoredGroup, take string) *RestorePlan {
	f := &RestorePlan{}
	all = append([]NodeRecord(nil), all...)
	sort.Slice(all, func(i, k int) bool { return all[i].Name < all[k].Name })
	f.whose(all, base)
	if f.Conflict != "" {
		return f
	}
	top, why := uint64(0), ""
	raise := func(n uint64, by string) {
		if n > top {
			top, why = n, by
		}
	}
	if base != nil {
		raise(base.DecidedVersion, "the folder")
		f.ZoneEpoch, f.LeaseMS = base.ZoneEpoch, base.LeaseMS
	}
	texts := map[uint64][]*holder{}
	hold := func(n uint64, hash, text, who string, served bool) {
		if n == 0 || hash == "" || document.Hash([]byte(text)) != hash {
			return
		}
		var h *holder
		for _, o := range texts[n] {
			if o.hash == hash {
				h = o
			}
		}
		if h == nil {
			h = &holder{number: n, hash: hash, text: text}
			texts[n] = append(texts[n], h)
		}
		if served {
			h.served = append(h.served, who)
		} else {
			h.others = append(h.others, who)
		}
	}
	for i := range f.Records {
		k := &f.Records[i]
		f.Nodes = append(f.Nodes, k.Name)
		raise(k.MinVersion, k.Name)
		f.ZoneEpoch, f.LeaseMS = max(f.ZoneEpoch, k.ZoneEpoch), max(f.LeaseMS, k.LeaseMS)
		hold(k.ActiveVersion, k.ActiveHash, k.ActiveText, k.Name, true)
		hold(k.PreparedVersion, k.PreparedHash, k.PreparedText, k.Name, false)
	}
	if base != nil && base.TextOf != nil {
		for n := base.LastVersion; n > 0; n-- {
			text, hash, ok := base.TextOf(n)
			if !ok {
				break
			}
			hold(n, hash, text, "the folder", n <= base.CommittedVersion)
		}
	}
	f.unheard(base)
	if top == 0 {
		f.Proof = "nobody served under a version"
		return f
	}
	// The newest that is decided and that somebody has. Below it only what was served under is known to have been in force.
	var best *holder
	for n := top; n > 0 && best == nil; n-- {
		var can []*holder
		for _, h := range texts[n] {
			if len(h.served) > 0 {
				can = append(can, h)
			}
		}
		if n == top && len(can) == 0 { // decided, and taken over by nobody who was heard
			can = texts[n]
		}
		if len(can) > 1 {
			if best = chosen(can, take); best == nil {
				f.Conflict = fmt.Sprintf("version %d goes by %s: name one with --take", n, saying(can))
				return f
			}
		} else if len(can) == 1 {
			best = can[0]
		}
	}
	if best == nil {
		f.Unknown = append(f.Unknown, fmt.Sprintf("version %d was decided (by %s), and nobody holds the text of it or of one "+
			"before it: put one again", top, why))
		f.Version = top + 1
		f.Proof = "none"
		return f
	}
	f.Text, f.Hash, f.SourceVersion = best.text, best.hash, best.number
	f.Version = best.number
	switch {
	case len(best.served) > 0:
		f.Proof = "served under by " + listed(best.served)
	default:
		f.Proof = fmt.Sprintf("decided as %s was told, prepared by %s", why, listed(best.others))
	}
	if best.number < top {
		// To go back is a change forward: those who promised the lost one take nothing older.
		f.Version = top + 1
		f.Unknown = append(f.Unknown, fmt.Sprintf("version %d was decided (%s), and nobody holds its text: version %d has that "+
			"of %d", top, why, f.Version, best.number))
	}
	if base != nil {
		if _, hash, ok := textOf(base, f.Version); ok && hash != f.Hash || !ok && base.LastVersion >= f.Version {
			// The folder went on another way after it was copied: that number stands for something else there.
			f.Version = max(base.LastVersion, top) + 1
		}
	}
	return f
}

func textOf(b *StoredGroup, n uint64) (text, hash string, ok bool) {
	if b.TextOf == nil {
		return "", "", false
	}
	return b.TextOf(n)
}

// whose finds the newest generation among all, and who is of it or of one before it.
func (f *RestorePlan) whose(all []NodeRecord, base *StoredGroup) {
	if base != nil {
		f.Lost = base.GroupIdentity
	}
	for i := range all {
		k := &all[i]
		if k.Group != "" && k.Generation > f.Lost.Generation {
			f.Lost = GroupIdentity{Group: k.Group, Generation: k.Generation}
			if base != nil {
				f.Lost.Predecessors = append(append([]string{}, base.Predecessors...), base.Group)
			}
		}
	}
	for _, k := range all {
		switch {
		case k.Group == "":
			f.NotCounted = append(f.NotCounted, k.Name+" has heard no group yet")
		case k.Group == f.Lost.Group:
			f.Records = append(f.Records, k)
		case k.Generation == f.Lost.Generation:
			f.Conflict = fmt.Sprintf("%s is of group %.16s and others of %.16s, both of generation %d: they go on apart since", k.Name,
				k.Group, f.Lost.Group, k.Generation)
			return
		default:
			f.NotCounted = append(f.NotCounted, fmt.Sprintf("%s is of generation %d, the newest heard of is %d", k.Name, k.Generation, f.Lost.Generation))
			if !has(f.Lost.Predecessors, k.Group) {
				f.Lost.Predecessors = append(f.Lost.Predecessors, k.Group)
			}
		}
	}
}

func (f *RestorePlan) unheard(base *StoredGroup) {
	if base == nil {
		f.Unknown = append(f.Unknown, "nodes that were not heard: what they were told, and whether there are any; versions that were "+
			"put and not decided")
		return
	}
	if base.UncommittedEntries > 0 {
		f.Unknown = append(f.Unknown, fmt.Sprintf("whether the last %d entries of the folder were committed: they are left out", base.UncommittedEntries))
	}
	var not []string
	for _, n := range base.Nodes {
		if !has(f.Nodes, n) {
			not = append(not, n)
		}
	}
	if len(not) > 0 {
		what := "for the rest of its lease"
		if base.Autonomous {
			what = "for as long as they are not heard, as when_alone = go-on was in force"
		}
		f.Unknown = append(f.Unknown, fmt.Sprintf("%s: not heard; may serve under what they were told %s", listed(not), what))
	}
	for i := range f.Records {
		if f.Records[i].Index > base.Index {
			f.Unknown = append(f.Unknown, fmt.Sprintf("what was agreed on after entry %d of the folder but is with no node: %s was told of "+
				"entry %d", base.Index, f.Records[i].Name, f.Records[i].Index))
			break
		}
	}
}

func chosen(can []*holder, take string) *holder {
	for _, h := range can {
		if take != "" && strings.HasPrefix(h.hash, take) {
			return h
		}
	}
	return nil
}

func saying(can []*holder) string {
	var out []string
	for _, h := range can {
		out = append(out, fmt.Sprintf("%.16s (%s)", h.hash, listed(append(append([]string{}, h.served...), h.others...))))
	}
	return strings.Join(out, " and ")
}

func has(list []string, one string) bool {
	for _, o := range list {
		if o == one {
			return true
		}
	}
	return false
}

func listed(names []string) string {
	if len(names) > maxListed {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], ", "), len(names)-maxListed)
	}
	return strings.Join(names, ", ")
}

// GroupPosition is where a group's own state stands.
type GroupPosition struct {
	Group                                  string
	Generation, Term, Index                uint64
	DecidedVersion, LastVersion, ZoneEpoch uint64
	HashOf                                 func(version uint64) string // empty: not kept
	// ChecksumAt gives what its log has at an entry: 0 where there is another kind of entry; known is false where it goes back no more.
	ChecksumAt func(index uint64) (sum uint64, known bool)
}

// LostState tells what a node was told by this group, of this generation, that the group does not know: then the group's
// state was lost or put back to an older one, and nothing it decides can be trusted. Empty: nothing. Whatever a node was
// told was committed before, so a group that lost nothing knows it.
func (h *GroupPosition) LostState(k *NodeRecord) string {
	if k.Group != h.Group || k.Generation != h.Generation {
		return "" // of another generation: whoever is behind is told so
	}
	switch {
	case k.Index > h.Index:
		return fmt.Sprintf("entry %d of the log, and the group is at %d", k.Index, h.Index)
	case k.Term > h.Term:
		return fmt.Sprintf("term %d, and the group is in %d", k.Term, h.Term)
	case k.MinVersion > h.DecidedVersion:
		return fmt.Sprintf("version %d decided, and the group has %d", k.MinVersion, h.DecidedVersion)
	case k.ZoneEpoch > h.ZoneEpoch:
		return fmt.Sprintf("epoch %d of the zones, and the group is at %d", k.ZoneEpoch, h.ZoneEpoch)
	}
	if k.EntryChecksum != 0 && h.ChecksumAt != nil {
		// Its log has grown past what was lost, and elections past the term: the entry that the node was told as of is another.
		if sum, known := h.ChecksumAt(k.Index); known && sum != k.EntryChecksum {
			return fmt.Sprintf("another entry %d than the group has", k.Index)
		}
	}
	if hash := h.HashOf(k.ActiveVersion); k.ActiveVersion > 0 && hash != "" && k.ActiveHash != "" && hash != k.ActiveHash {
		return fmt.Sprintf("another version %d than the group has", k.ActiveVersion)
	}
	return ""
}
