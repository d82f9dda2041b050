package policy

import (
	"fmt"
	"strings"
)

// Bounds of texts that go into the log and into answers.
const (
	maxListedNames     = 8   // names in one text
	maxNodeReasonBytes = 300 // of one node's reason
)

// truncate cuts a text of a node or of a check at its bound.
func truncate(text string) string {
	if len(text) > maxNodeReasonBytes {
		return text[:maxNodeReasonBytes] + "..."
	}
	return text
}

// Summarize lists the first names, and says how many more there are.
func Summarize(names []string) string {
	if len(names) > maxListedNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
	}
	return strings.Join(names, ", ")
}

func summarizeBlockers(blockers []Blocker) string {
	var reasons []string
	for _, b := range blockers {
		reasons = append(reasons, b.Node+" ("+b.Reason+")")
	}
	return Summarize(reasons)
}
