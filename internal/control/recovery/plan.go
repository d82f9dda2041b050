package recovery

import (
	"fmt"
	"slices"
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// MaxRecords are collected: one of each node that a fleet may have.
const MaxRecords = membership.MaxNodes

// StoredGroup is what an old folder of the group holds: proof of its own, as of some time ago.
type StoredGroup struct {
	api.GroupIdentity
	LastVersion        uint64 // the newest, committed or not
	DecidedVersion     uint64
	CommittedVersion   uint64
	Index              uint64 // of its log
	ZoneEpoch          uint64
	Nodes              []string // that were in
	Autonomous         bool     // the policy in force lets nodes serve without a lease
	LeaseMS            uint64   // of the policy in force
	UncommittedEntries uint64   // of its log, that are not known to be committed
	// TextOf returns a version's text and hash; ok is false for one that is not kept. Nil: no text is.
	TextOf func(version uint64) (text, hash string, ok bool)
}

// text returns a version's text and hash.
func (s *StoredGroup) text(version uint64) (text, hash string, ok bool) {
	if s.TextOf == nil {
		return "", "", false
	}
	return s.TextOf(version)
}

// RestorePlan is what would be restored, and on what grounds.
type RestorePlan struct {
	Lost          api.GroupIdentity `json:"of"`      // the group that is gone
	Version       uint64            `json:"version"` // committed at the start; 0: nobody served under any
	Text          string            `json:"-"`
	Hash          string            `json:"hash,omitempty"`
	SourceVersion uint64            `json:"was"`   // the number that the text had
	Proof         string            `json:"proof"` // how it is known
	ZoneEpoch     uint64            `json:"epoch"` // epochs of zones go on after it
	LeaseMS       uint64            `json:"lease_ms"`
	Records       []api.NodeRecord  `json:"-"` // that count
	Nodes         []string          `json:"nodes"`
	NotCounted    []string          `json:"not_counted,omitempty"` // nodes whose records do not count, and why
	Unknown       []string          `json:"unknown,omitempty"`     // what can't be known
	Conflict      string            `json:"conflict,omitempty"`    // nothing is restored before an operator has chosen
}

// planner works a plan out.
type planner struct {
	plan   *RestorePlan
	stored *StoredGroup // nil without an old folder
	choice string       // beginning of a hash, empty without an operator's choice
	texts  map[uint64][]*versionText

	decided   uint64 // the newest version that somebody knows as decided
	decidedBy string
}

// PlanRestore decides what a lost group is restored from.
//
// Inputs: what nodes remember, what an old folder holds (nil without one), and the hash that an operator chose, in
// whole or its beginning, where two texts have one number. The newest decided version is restored of which a text is
// proved; an older one, under a new number, where nobody holds that text. The plan has a conflict, and restores
// nothing, where records contradict each other. It never guesses: what nobody holds is in Unknown. An operator reads
// the plan before it is carried out; nodes that were not heard may have been told more.
func PlanRestore(records []api.NodeRecord, stored *StoredGroup, choice string) *RestorePlan {
	p := &planner{plan: &RestorePlan{}, stored: stored, choice: choice, texts: map[uint64][]*versionText{}}
	records = slices.Clone(records)
	sort.Slice(records, func(i, k int) bool { return records[i].Name < records[k].Name })
	p.findGroup(records)
	if p.plan.Conflict != "" {
		return p.plan
	}
	p.collectEvidence()
	p.addUnknowns()
	p.chooseVersion()
	return p.plan
}

// findGroup finds the newest generation among all, and whose records are of it. Two groups of one generation are a
// conflict: somebody restored twice.
func (p *planner) findGroup(records []api.NodeRecord) {
	plan := p.plan
	if p.stored != nil {
		plan.Lost = p.stored.GroupIdentity
	}
	for i := range records {
		record := &records[i]
		if record.Group == "" || record.Generation <= plan.Lost.Generation {
			continue
		}
		plan.Lost = api.GroupIdentity{Group: record.Group, Generation: record.Generation}
		if p.stored != nil {
			plan.Lost.Predecessors = append(slices.Clone(p.stored.Predecessors), p.stored.Group)
		}
	}
	for i := range records {
		record := &records[i]
		switch {
		case record.Group == "":
			plan.NotCounted = append(plan.NotCounted, record.Name+" has heard no group yet")
		case record.Group == plan.Lost.Group:
			plan.Records = append(plan.Records, *record)
		case record.Generation == plan.Lost.Generation:
			plan.Conflict = fmt.Sprintf("%s is of group %.16s and others of %.16s, both of generation %d: "+
				"they go on apart since",
				record.Name, record.Group, plan.Lost.Group, record.Generation)
			return
		default:
			p.excludeRecord(record)
		}
	}
}

// excludeRecord names a record of an earlier generation.
func (p *planner) excludeRecord(record *api.NodeRecord) {
	lost := &p.plan.Lost
	p.plan.NotCounted = append(p.plan.NotCounted, fmt.Sprintf("%s is of generation %d, the newest heard of is %d",
		record.Name, record.Generation, lost.Generation))
	if !slices.Contains(lost.Predecessors, record.Group) {
		lost.Predecessors = append(lost.Predecessors, record.Group)
	}
}

// collectEvidence takes what the records and the folder prove.
func (p *planner) collectEvidence() {
	plan := p.plan
	if p.stored != nil {
		p.recordDecided(p.stored.DecidedVersion, storedGroupHolder)
		plan.ZoneEpoch, plan.LeaseMS = p.stored.ZoneEpoch, p.stored.LeaseMS
	}
	for i := range plan.Records {
		record := &plan.Records[i]
		plan.Nodes = append(plan.Nodes, record.Name)
		p.recordDecided(record.MinVersion, record.Name)
		plan.ZoneEpoch = max(plan.ZoneEpoch, record.ZoneEpoch)
		plan.LeaseMS = max(plan.LeaseMS, record.LeaseMS)
		p.addText(record.ActiveVersion, record.ActiveHash, record.ActiveText, record.Name, true)
		p.addText(record.PreparedVersion, record.PreparedHash, record.PreparedText, record.Name, false)
	}
	if p.stored == nil {
		return
	}
	for version := p.stored.LastVersion; version > 0; version-- {
		text, hash, ok := p.stored.text(version)
		if !ok {
			return
		}
		p.addText(version, hash, text, storedGroupHolder, version <= p.stored.CommittedVersion)
	}
}

func (p *planner) recordDecided(version uint64, by string) {
	if version > p.decided {
		p.decided, p.decidedBy = version, by
	}
}
