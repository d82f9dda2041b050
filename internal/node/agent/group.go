package agent

import "umberwinch/internal/control/api"

// firstGeneration is the generation of a group that was never restored.
const firstGeneration = 1

// groupPosition is the group that the node follows and the last seen position of its log.
type groupPosition struct {
	cluster    string // name of the group; a restored group has a new one
	generation uint64 // increases with each restoration of the group
	contacted  bool   // since the process started

	// term and index of the last accepted response since the process started. Unlike lastSeen they don't survive a
	// restart: a restarted node accepts an instance that is behind its record.
	term, index uint64
	clock       Milliseconds // the group's clock, returned in the next heartbeat
	lastSeen    api.GroupPosition
}

// restore sets the position from a stored record.
func (g *groupPosition) restore(stored *Record) {
	g.cluster = stored.Cluster
	g.generation = max(firstGeneration, stored.Generation)
	g.lastSeen = api.GroupPosition{Group: g.cluster, Generation: g.generation, Term: stored.Term, Index: stored.Index,
		EntryChecksum: stored.EntryChecksum}
}

// advance sets the position from an accepted response.
func (g *groupPosition) advance(r *api.HeartbeatResponse) {
	if g.cluster != r.Cluster { // the first group, or a later generation
		g.generation = max(firstGeneration, r.Generation)
	}
	g.cluster, g.term, g.index, g.clock, g.contacted = r.Cluster, r.Term, r.Index, r.ClockMS, true
	g.lastSeen = api.GroupPosition{Group: r.Cluster, Generation: g.generation, Term: r.Term, Index: r.Index,
		EntryChecksum: r.EntryChecksum}
}

// isNewGeneration reports whether a response is from a group of another name than the one that is followed. If it is
// accepted, that group is a later generation.
func (g *groupPosition) isNewGeneration(r *api.HeartbeatResponse) bool {
	return g.cluster != "" && r.Cluster != g.cluster
}
