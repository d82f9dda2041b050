package recovery

import (
	"fmt"
	"slices"
	"strings"
)

// maxNamesInMessage is the maximum number of names listed in a message; the others are counted.
const maxNamesInMessage = 8

// addUnknowns lists the state that can't be proven: that of nodes without a record, and what the old folder may lack.
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

// addMissingNodes lists the nodes of the old folder that have no record, and until when they may serve.
func (p *planner) addMissingNodes() {
	var missing []string
	for _, name := range p.stored.Nodes {
		if !slices.Contains(p.plan.Nodes, name) {
			missing = append(missing, name)
		}
	}
	if len(missing) == 0 {
		return
	}
	until := "for the rest of its lease"
	if p.stored.Autonomous {
		until = "for as long as they are not heard, as when_alone = go-on was in force"
	}
	p.addUnknown("%s: not heard; may serve under what they were told %s", joinNames(missing), until)
}

func (p *planner) addUnknown(format string, args ...any) {
	p.plan.Unknown = append(p.plan.Unknown, fmt.Sprintf(format, args...))
}

// joinNames lists at most maxNamesInMessage names and counts the others.
func joinNames(names []string) string {
	if len(names) > maxNamesInMessage {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamesInMessage], ", "),
			len(names)-maxNamesInMessage)
	}
	return strings.Join(names, ", ")
}
