package recovery

import (
	"fmt"
	"slices"
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// MaxRecords is the maximum number of records collected, one for each node of a fleet.
const MaxRecords = membership.MaxNodes

// StoredGroup is the state in an old data folder or snapshot of the group (the old folder), which may be out of date.
type StoredGroup struct {
	api.GroupIdentity
	LastVersion        uint64 // newest version, committed or not
	DecidedVersion     uint64
	CommittedVersion   uint64
	Index              uint64 // last entry of its log
	ZoneEpoch          uint64
	Nodes              []string // nodes of the fleet that were not out
	Autonomous         bool     // the committed policy lets nodes serve without a lease
	LeaseMS            uint64   // of the committed policy
	UncommittedEntries uint64   // entries of its log that are not known to be committed
	// TextOf returns a version's text and hash; ok is false if it is not stored. Nil means that no text is stored.
	TextOf func(version uint64) (text, hash string, ok bool)
}

func (s *StoredGroup) text(version uint64) (text, hash string, ok bool) {
	if s.TextOf == nil {
		return "", "", false
	}
	return s.TextOf(version)
}

// RestorePlan is the state that a restored group begins with and its evidence.
type RestorePlan struct {
	Lost          api.GroupIdentity `json:"of"`      // the group that lost its state
	Version       uint64            `json:"version"` // first version of the restored group; 0: none was decided
	Text          string            `json:"-"`
	Hash          string            `json:"hash,omitempty"`
	SourceVersion uint64            `json:"was"`   // the version that Text is taken from
	Proof         string            `json:"proof"` // evidence that the version was decided or committed
	ZoneEpoch     uint64            `json:"epoch"` // newest zone epoch seen; new epochs are higher
	LeaseMS       uint64            `json:"lease_ms"`
	Records       []api.NodeRecord  `json:"-"` // of the lost generation
	Nodes         []string          `json:"nodes"`
	NotCounted    []string          `json:"not_counted,omitempty"` // nodes whose records are ignored, and why
	Unknown       []string          `json:"unknown,omitempty"`     // state that no record and no folder proves
	Conflict      string            `json:"conflict,omitempty"`    // nothing is restored until it is resolved
}

// planner holds the inputs and intermediate results of PlanRestore.
type planner struct {
	plan   *RestorePlan
	stored *StoredGroup              // nil without an old folder
	choice string                    // hash chosen by an operator, or its prefix; may be empty
	texts  map[uint64][]*versionText // by version

	decided          uint64 // newest version known to be decided
	decidedKnownFrom string // where it is known from: name of a node, or storedGroupHolder
}

// PlanRestore plans the restoration of a lost group from node records and an old folder (nil if there is none).
//
// It restores the newest decided version with a proven text, under a new number if a newer version was decided whose
// text is missing. choice is a hash or its prefix, by which an operator picks one of two texts of the same version.
// Contradicting records give a plan with a Conflict, which restores nothing. An operator reviews the plan before it is
// applied, since nodes without a record may have had newer state.
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

// findGroup finds the newest generation and the records that belong to it. Two groups of the same generation are a
// conflict: the group was restored twice.
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

// excludeRecord ignores a record of an earlier generation and adds its group to the predecessors.
func (p *planner) excludeRecord(record *api.NodeRecord) {
	lost := &p.plan.Lost
	p.plan.NotCounted = append(p.plan.NotCounted, fmt.Sprintf("%s is of generation %d, the newest heard of is %d",
		record.Name, record.Generation, lost.Generation))
	if !slices.Contains(lost.Predecessors, record.Group) {
		lost.Predecessors = append(lost.Predecessors, record.Group)
	}
}

// collectEvidence gathers the decided version, zone epoch, lease and texts from the records and the folder.
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

func (p *planner) recordDecided(version uint64, holder string) {
	if version > p.decided {
		p.decided, p.decidedKnownFrom = version, holder
	}
}
