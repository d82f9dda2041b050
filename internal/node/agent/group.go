package agent

import "umberwinch/internal/control/api"

// firstGeneration is that of a group which was never restored.
const firstGeneration = 1

// groupPosition is which group the node follows, and how far its log was when the node was told last.
type groupPosition struct {
	cluster    string // names the group; a restored one has another name
	generation uint64 // counts how often the group was restored
	contacted  bool   // since the process started

	// Of the last accepted response since the process started. They are apart from lastSeen, which a record brings
	// over a restart: a node that restarts accepts an instance that is behind its record.
	term, index uint64
	clock       Milliseconds // the group's own time, sent back with the next heartbeat
	lastSeen    api.GroupPosition
}

// restore goes on from a stored record.
func (g *groupPosition) restore(stored *Record) {
	g.cluster = stored.Cluster
	g.generation = max(firstGeneration, stored.Generation)
	g.lastSeen = api.GroupPosition{Group: g.cluster, Generation: g.generation, Term: stored.Term, Index: stored.Index,
		EntryChecksum: stored.EntryChecksum}
}

// advance takes the position of an accepted response.
func (g *groupPosition) advance(r *api.HeartbeatResponse) {
	if g.cluster != r.Cluster { // the first one, or a later generation of it
		g.generation = max(firstGeneration, r.Generation)
	}
	g.cluster, g.term, g.index, g.clock, g.contacted = r.Cluster, r.Term, r.Index, r.ClockMS, true
	g.lastSeen = api.GroupPosition{Group: r.Cluster, Generation: g.generation, Term: r.Term, Index: r.Index,
		EntryChecksum: r.EntryChecksum}
}

// isNewGeneration tells whether an accepted response comes of a later generation of the group that is followed.
func (g *groupPosition) isNewGeneration(r *api.HeartbeatResponse) bool {
	return g.cluster != "" && r.Cluster != g.cluster
}
