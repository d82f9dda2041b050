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

// clip cuts a text of a node or of a check at its bound.
func clip(s string) string {
	if len(s) > maxNodeReasonBytes {
		return s[:maxNodeReasonBytes] + "..."
	}
	return s
}

// Summarize lists the first names, and says how many more there are.
func Summarize(names []string) string {
	if len(names) > maxListedNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
	}
	return strings.Join(names, ", ")
}

func summarizeBlockers(list []Blocker) string {
	var reasons []string
	for _, b := range list {
		reasons = append(reasons, b.Node+" ("+b.Reason+")")
	}
	return Summarize(reasons)
}
