// Package recovery decides about starts: whether one is a lone restart among warm nodes, which costs next to nothing, or
// one of a fleet that comes back together, which begins small. Pure: no clock, no chance, no I/O.
package recovery

// ColdStartWindowMS is within which starts belong together, in ms: nodes that were killed at once are started by most platforms within
// some seconds of each other, and a release of a tenth of a fleet at a time takes longer than this for half of it.
const ColdStartWindowMS = 10_000

// IsColdStart tells a start of most of the fleet from lone ones: half or more of the nodes that are in are young, and two at
// least.
func IsColdStart(young, in int) bool { return young >= 2 && 2*young >= in }
