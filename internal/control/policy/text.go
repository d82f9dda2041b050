package policy

import (
	"fmt"
	"strings"
)

// Limits of texts in log entries and responses.
const (
	maxListedNames     = 8   // names listed in a text
	maxNodeReasonBytes = 300 // bytes of a node's reason
)

// truncate limits a text to maxNodeReasonBytes and marks a cut by an ellipsis.
func truncate(text string) string {
	if len(text) > maxNodeReasonBytes {
		return text[:maxNodeReasonBytes] + "..."
	}
	return text
}

// Summarize lists the first names and the number of the others.
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
