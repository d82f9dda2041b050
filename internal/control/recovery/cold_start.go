package recovery

// ColdStartWindowMS is the maximum uptime in ms of a node that counts as restarted. Platforms start nodes that were
// killed together within some seconds of each other; a rolling release takes longer.
const ColdStartWindowMS = 10_000

// minColdStartNodes keeps a lone restart, as in a fleet of two, from counting as a cold start.
const minColdStartNodes = 2

// IsColdStart decides whether a fleet has just restarted: at least half of its nodes, and at least minColdStartNodes,
// have been up for at most ColdStartWindowMS. Services below such a fleet are cold and have a fraction of their
// usual capacity.
func IsColdStart(restarted, total int) bool {
	return restarted >= minColdStartNodes && 2*restarted >= total
}
