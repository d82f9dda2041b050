package simulation

import (
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/control/consensus"
)

// connectInstance exchanges handshakes between a started instance and all others, and retries until all have accepted
// it or it has ended.
func (g *ConsensusGroup) connectInstance(h *host, incarnation int) {
	if h.replica == nil || h.incarnation != incarnation {
		return
	}
	done := true
	for _, o := range g.hosts {
		if o != h && o.replica != nil && !g.handshake(h, o) {
			done = false
		}
		if h.replica == nil {
			return
		}
	}
	if !done {
		g.after(100, func() { g.connectInstance(h, incarnation) })
	}
}

// handshake reports whether two instances accept each other. They exchange handshakes if both directions are open and
// neither host is stalled. An instance that is barred by its peer is recorded as to be replaced.
func (g *ConsensusGroup) handshake(a, b *host) bool {
	key := [2]int{min(a.incarnation, b.incarnation), max(a.incarnation, b.incarnation)}
	if ok, known := g.handshakes[key]; known {
		return ok
	}
	if g.blockedLinks[[2]int{a.number, b.number}] || g.blockedLinks[[2]int{b.number, a.number}] ||
		a.stalledUntil > g.Now || b.stalledUntil > g.Now {
		return false
	}
	ok := true
	for _, p := range [][2]*host{{a, b}, {b, a}} {
		var reason string
		g.atHost(p[0], func() (err error) {
			to := uint64(0) // 0 if the peer isn't in its list of members
			for _, m := range p[1].replica.Members() {
				if m.ID == p[0].id {
					to = m.ID
				}
			}
			reason, err = p[0].replica.Handshake(p[1].replica.HelloTo(to))
			return err
		})
		if p[0].replica == nil {
			return false
		}
		if reason != "" {
			ok = false
			if consensus.BarsInstance(reason) {
				g.tracef("host %d rejected by host %d: %s", p[1].number, p[0].number, reason)
				g.atHost(p[1], func() error { return p[1].replica.Bar(reason) })
				if p[1].replica == nil {
					return false
				}
				p[1].needsReplacement = p[1].needsReplacement || p[1].replica.Barred() != ""
			}
		}
	}
	// A rejection is final only if both are in a group: a waiting instance is accepted once it has become a member.
	if ok || a.replica.Status().Cluster != "" && b.replica.Status().Cluster != "" {
		g.handshakes[key] = ok
	}
	return ok
}

// send delivers messages after a random delay each; some are lost or duplicated.
func (g *ConsensusGroup) send(h *host, incarnation int, messages []*pb.Message) {
	for _, m := range messages {
		raw, err := proto.Marshal(m)
		if err != nil {
			g.fail("encode message: %v", err)
			return
		}
		copies := 1
		if g.random.Intn(1000) < g.lossPerMille {
			copies = g.random.Intn(2) * 2 // lost or duplicated
		}
		to, isSnapshot := m.GetTo(), m.GetType() == pb.MessageType_MsgSnap
		for ; copies > 0; copies-- {
			delay := 1 + g.random.Int63n(g.maxDelay)
			g.after(delay, func() { g.deliver(h, incarnation, to, raw) })
		}
		if isSnapshot {
			g.after(2*g.maxDelay, func() {
				if h.replica != nil && h.incarnation == incarnation {
					h.replica.ReportSnapshot(to, true)
					g.processReady(h)
				}
			})
		}
	}
}

func (g *ConsensusGroup) deliver(from *host, incarnation int, to uint64, raw []byte) {
	var h *host
	for _, o := range g.hosts {
		if o.id == to && o.replica != nil {
			h = o
		}
	}
	if h == nil || g.blockedLinks[[2]int{from.number, h.number}] {
		return
	}
	if h.stalledUntil > g.Now { // buffered in a socket
		g.after(h.stalledUntil-g.Now, func() { g.deliver(from, incarnation, to, raw) })
		return
	}
	if from.incarnation == incarnation && from.replica != nil && !g.handshake(from, h) || h.replica == nil {
		return
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(raw, m); err != nil {
		g.fail("decode message: %v", err)
		return
	}
	g.atHost(h, func() error { h.replica.Step(m); return nil })
	g.processReady(h)
}
