package recovery

// ColdStartWindowMS is within which starts of nodes belong together, in ms. Most platforms start nodes that were killed
// together within some seconds of each other; a longer window would take a rolling release for a restart.
const ColdStartWindowMS = 10_000

// minColdStartNodes: one node alone that restarts, as in a fleet of two, is a lone restart among warm nodes.
const minColdStartNodes = 2

// IsColdStart decides whether most of a fleet has just restarted.
//
// Inputs: how many nodes have been up for less than ColdStartWindowMS, and how many are in. The reason: services
// below a fleet that restarts together are cold and bear a part of what they bore. It acts where half or more of the
// nodes are young. It may harm a fleet that is released in halves: that ramps though its services are warm.
func IsColdStart(restarted, total int) bool {
	return restarted >= minColdStartNodes && 2*restarted >= total
}
