package simulation

import (
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/control/consensus"
)

// connectInstance has an instance that has started exchange handshakes with all that it reaches, again until all have
// accepted it or it ends.
func (w *ConsensusGroup) connectInstance(h *host, incarnation int) {
	if h.replica == nil || h.incarnation != incarnation {
		return
	}
	all := true
	for _, o := range w.hosts {
		if o != h && o.replica != nil && !w.handshake(h, o) {
			all = false
		}
		if h.replica == nil {
			return
		}
	}
	if !all {
		w.after(100, func() { w.connectInstance(h, incarnation) })
	}
}

// handshake tells whether two instances speak with each other; they greet where both ways are open and neither
// stalls.
func (w *ConsensusGroup) handshake(a, b *host) bool {
	key := [2]int{min(a.incarnation, b.incarnation), max(a.incarnation, b.incarnation)}
	if ok, known := w.handshakes[key]; known {
		return ok
	}
	if w.blockedLinks[[2]int{a.number, b.number}] || w.blockedLinks[[2]int{b.number, a.number}] || a.stalledUntil > w.Now || b.stalledUntil > w.Now {
		return false
	}
	ok := true
	for _, p := range [][2]*host{{a, b}, {b, a}} {
		var reason string
		w.atHost(p[0], func() (err error) {
			to := uint64(0) // an id is known from the list of members
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
				w.tracef("host %d told by %d: %s", p[1].number, p[0].number, reason)
				w.atHost(p[1], func() error { return p[1].replica.Bar(reason) })
				if p[1].replica == nil {
					return false
				}
				p[1].needsReplacement = p[1].needsReplacement || p[1].replica.Barred() != ""
			}
		}
	}
	// An instance that waits is spoken with once it was taken in; the question is put again until then.
	if ok || a.replica.Status().Cluster != "" && b.replica.Status().Cluster != "" {
		w.handshakes[key] = ok
	}
	return ok
}

func (w *ConsensusGroup) send(h *host, incarnation int, ms []*pb.Message) {
	for _, m := range ms {
		raw, err := proto.Marshal(m)
		if err != nil {
			w.fail("a message: %v", err)
			return
		}
		copies := 1
		if w.random.Intn(1000) < w.lossPerMille {
			copies = w.random.Intn(2) * 2 // lost, or doubled
		}
		to, snap := m.GetTo(), m.GetType() == pb.MessageType_MsgSnap
		for ; copies > 0; copies-- {
			took := 1 + w.random.Int63n(w.maxDelay)
			w.after(took, func() { w.deliver(h, incarnation, to, raw) })
		}
		if snap {
			w.after(2*w.maxDelay, func() {
				if h.replica != nil && h.incarnation == incarnation {
					h.replica.ReportSnapshot(to, true)
					w.processReady(h)
				}
			})
		}
	}
}

func (w *ConsensusGroup) deliver(from *host, incarnation int, to uint64, raw []byte) {
	var h *host
	for _, o := range w.hosts {
		if o.id == to && o.replica != nil {
			h = o
		}
	}
	if h == nil || w.blockedLinks[[2]int{from.number, h.number}] {
		return
	}
	if h.stalledUntil > w.Now { // it waits in a socket
		w.after(h.stalledUntil-w.Now, func() { w.deliver(from, incarnation, to, raw) })
		return
	}
	if from.incarnation == incarnation && from.replica != nil && !w.handshake(from, h) || h.replica == nil {
		return
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(raw, m); err != nil {
		w.fail("a message: %v", err)
		return
	}
	w.atHost(h, func() error { h.replica.Step(m); return nil })
	w.processReady(h)
}
