package recovery

import (
	"fmt"
	"slices"
	"strings"

	"umberwinch/internal/control/document"
)

// storedGroupHolder stands for the old folder among the names of nodes.
const storedGroupHolder = "the folder"

// versionText is a text that somebody holds by a version's number.
type versionText struct {
	version  uint64
	hash     string
	text     string
	active   []string // who served under it
	prepared []string // who only prepared it
}

// addText notes who holds a version's text.
//
// It guards against a spoilt text being restored: one that does not have its hash counts for nothing.
func (p *planner) addText(version uint64, hash, text, holder string, active bool) {
	if version == 0 || hash == "" || document.Hash([]byte(text)) != hash {
		return
	}
	known := p.textByHash(version, hash)
	if known == nil {
		known = &versionText{version: version, hash: hash, text: text}
		p.texts[version] = append(p.texts[version], known)
	}
	if active {
		known.active = append(known.active, holder)
	} else {
		known.prepared = append(known.prepared, holder)
	}
}

func (p *planner) textByHash(version uint64, hash string) *versionText {
	for _, known := range p.texts[version] {
		if known.hash == hash {
			return known
		}
	}
	return nil
}

// chooseVersion decides which version the restored group begins with.
func (p *planner) chooseVersion() {
	plan := p.plan
	if p.decided == 0 {
		plan.Proof = "nobody served under a version"
		return
	}
	best := p.newestProvenText()
	switch {
	case plan.Conflict != "":
		return
	case best == nil:
		plan.Unknown = append(plan.Unknown,
			fmt.Sprintf("version %d was decided (by %s), and nobody holds the text of it or "+
				"of one before it: put one again", p.decided, p.decidedBy))
		plan.Version, plan.Proof = p.decided+1, "none"
		return
	}
	plan.Text, plan.Hash, plan.SourceVersion, plan.Version = best.text, best.hash, best.version, best.version
	plan.Proof = fmt.Sprintf("decided as %s was told, prepared by %s", p.decidedBy, joinNames(best.prepared))
	if len(best.active) > 0 {
		plan.Proof = "served under by " + joinNames(best.active)
	}
	// nodes that promised the lost version take nothing older: going back is a change forward
	if best.version < p.decided {
		plan.Version = p.decided + 1
		plan.Unknown = append(plan.Unknown,
			fmt.Sprintf("version %d was decided (%s), and nobody holds its text: version %d "+
				"has that of %d", p.decided, p.decidedBy, plan.Version, best.version))
	}
	p.avoidNumberReuse()
}

// newestProvenText returns the newest decided version of which a text is proved, nil if there is none. Where two are proved
// by one number it is the one that an operator chose, and a conflict if he has not.
func (p *planner) newestProvenText() *versionText {
	for version := p.decided; version > 0; version-- {
		proved := p.provenTexts(version)
		switch {
		case len(proved) == 1:
			return proved[0]
		case len(proved) > 1:
			chosen := p.chosenText(proved)
			if chosen == nil {
				p.plan.Conflict = fmt.Sprintf("version %d goes by %s: name one with --take", version, describeTexts(proved))
			}
			return chosen
		}
	}
	return nil
}

// provenTexts returns the texts that a version had in force: those that somebody served under. The newest decided version
// may have been served under by nobody who was heard: a node's promise proves that it was decided, so a prepared text
// counts.
func (p *planner) provenTexts(version uint64) (proved []*versionText) {
	for _, text := range p.texts[version] {
		if len(text.active) > 0 {
			proved = append(proved, text)
		}
	}
	if version == p.decided && len(proved) == 0 {
		return p.texts[version]
	}
	return proved
}

func (p *planner) chosenText(texts []*versionText) *versionText {
	if p.choice == "" {
		return nil
	}
	for _, text := range texts {
		if strings.HasPrefix(text.hash, p.choice) {
			return text
		}
	}
	return nil
}

// avoidNumberReuse takes another number where the old folder has another text by it, or has dropped it.
//
// It guards against one number standing for two texts: the folder may have gone on another way after it was copied, and
// a node that knows that text would take it for the one in force.
func (p *planner) avoidNumberReuse() {
	if p.stored == nil {
		return
	}
	_, hash, ok := p.stored.text(p.plan.Version)
	if ok && hash != p.plan.Hash || !ok && p.stored.LastVersion >= p.plan.Version {
		p.plan.Version = max(p.stored.LastVersion, p.decided) + 1
	}
}

func describeTexts(texts []*versionText) string {
	var descriptions []string
	for _, text := range texts {
		holders := slices.Concat(text.active, text.prepared)
		descriptions = append(descriptions, fmt.Sprintf("%.16s (%s)", text.hash, joinNames(holders)))
	}
	return strings.Join(descriptions, " and ")
}
