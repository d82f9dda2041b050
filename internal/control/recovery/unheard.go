package recovery

import (
	"fmt"
	"slices"
	"strings"
)

// maxNamesInMessage names stand in a message; of a large fleet the others are counted.
const maxNamesInMessage = 8

// addUnknowns names what can't be known: what is with nodes that were not heard, and what the old folder may lack.
func (p *planner) addUnknowns() {
	if p.stored == nil {
		p.addUnknown("nodes that were not heard: what they were told, and whether there are any; versions that were " +
			"put and not decided")
		return
	}
	if p.stored.UncommittedEntries > 0 {
		p.addUnknown("whether the last %d entries of the folder were committed: they are left out",
			p.stored.UncommittedEntries)
	}
	p.addMissingNodes()
	for i := range p.plan.Records {
		if record := &p.plan.Records[i]; record.Index > p.stored.Index {
			p.addUnknown("what was agreed on after entry %d of the folder but is with no node: %s was told of entry %d",
				p.stored.Index, record.Name, record.Index)
			return
		}
	}
}

func (p *planner) addMissingNodes() {
	var unheard []string
	for _, name := range p.stored.Nodes {
		if !slices.Contains(p.plan.Nodes, name) {
			unheard = append(unheard, name)
		}
	}
	if len(unheard) == 0 {
		return
	}
	until := "for the rest of its lease"
	if p.stored.Autonomous {
		until = "for as long as they are not heard, as when_alone = go-on was in force"
	}
	p.addUnknown("%s: not heard; may serve under what they were told %s", joinNames(unheard), until)
}

func (p *planner) addUnknown(format string, args ...any) {
	p.plan.Unknown = append(p.plan.Unknown, fmt.Sprintf(format, args...))
}

func joinNames(names []string) string {
	if len(names) > maxNamesInMessage {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamesInMessage], ", "), len(names)-maxNamesInMessage)
	}
	return strings.Join(names, ", ")
}
