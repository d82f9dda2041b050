package recovery

import (
	"fmt"
	"slices"
	"strings"

	"umberwinch/internal/control/document"
)

// storedGroupHolder names the old folder among the holders of a text.
const storedGroupHolder = "the folder"

// versionText is a text found for a version and the nodes that hold it.
type versionText struct {
	version  uint64
	hash     string
	text     string
	active   []string // holders that served under it
	prepared []string // holders that only prepared it
}

// addText adds a holder of a version's text. It ignores a text that does not match its hash, so that a corrupt text is
// never restored.
func (p *planner) addText(version uint64, hash, text, holder string, active bool) {
	if version == 0 || hash == "" || document.Hash([]byte(text)) != hash {
		return
	}
	entry := p.textByHash(version, hash)
	if entry == nil {
		entry = &versionText{version: version, hash: hash, text: text}
		p.texts[version] = append(p.texts[version], entry)
	}
	if active {
		entry.active = append(entry.active, holder)
	} else {
		entry.prepared = append(entry.prepared, holder)
	}
}

func (p *planner) textByHash(version uint64, hash string) *versionText {
	for _, candidate := range p.texts[version] {
		if candidate.hash == hash {
			return candidate
		}
	}
	return nil
}

// chooseVersion picks the version and text that the restored group begins with.
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
				"of one before it: put one again", p.decided, p.decidedKnownFrom))
		plan.Version, plan.Proof = p.decided+1, "none"
		return
	}
	plan.Text, plan.Hash, plan.SourceVersion, plan.Version = best.text, best.hash, best.version, best.version
	plan.Proof = fmt.Sprintf("decided as %s was told, prepared by %s", p.decidedKnownFrom, joinNames(best.prepared))
	if len(best.active) > 0 {
		plan.Proof = "served under by " + joinNames(best.active)
	}
	// Nodes that promised the decided version accept no lower number, so the older text gets a higher one.
	if best.version < p.decided {
		plan.Version = p.decided + 1
		plan.Unknown = append(plan.Unknown,
			fmt.Sprintf("version %d was decided (%s), and nobody holds its text: version %d "+
				"has that of %d", p.decided, p.decidedKnownFrom, plan.Version, best.version))
	}
	p.avoidNumberReuse()
}

// newestProvenText returns the proven text of the newest decided version that has one, nil if there is none. Of two
// proven texts of a version it returns the operator's choice, and sets a conflict without one.
func (p *planner) newestProvenText() *versionText {
	for version := p.decided; version > 0; version-- {
		proven := p.provenTexts(version)
		switch {
		case len(proven) == 1:
			return proven[0]
		case len(proven) > 1:
			chosen := p.chosenText(proven)
			if chosen == nil {
				p.plan.Conflict = fmt.Sprintf("version %d goes by %s: name one with --take", version,
					describeTexts(proven))
			}
			return chosen
		}
	}
	return nil
}

// provenTexts returns the texts of a version that nodes served under. If there is none for the newest decided version,
// a prepared text counts, since a node's promise proves that the version was decided.
func (p *planner) provenTexts(version uint64) (proven []*versionText) {
	for _, text := range p.texts[version] {
		if len(text.active) > 0 {
			proven = append(proven, text)
		}
	}
	if version == p.decided && len(proven) == 0 {
		return p.texts[version]
	}
	return proven
}

// chosenText returns the first text whose hash begins with the operator's choice, nil without one.
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

// avoidNumberReuse assigns a new version number if the old folder has another text under the planned one, or no longer
// stores its text. It guards against nodes serving under two texts of the same version: the folder may have diverged
// after it was copied.
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
