package simulation

// injectFault does one thing that goes wrong, and has it heal.
func (w *Fleet) injectFault() {
	n := w.nodes[w.random.Intn(len(w.nodes))]
	lease := float64(w.Lease)
	switch w.random.Intn(11) {
	case 0: // killed and back
		if n.up {
			n.kill()
			w.after(w.random.Float64()*2*lease, func() {
				if !n.up {
					n.start()
				}
			})
		}
	case 1, 2: // stopped, past its lease or not
		if n.up && !n.paused {
			n.set(false) // it decides nothing
			n.paused, n.missed = true, true
			life := n.incarnation
			w.after(w.random.Float64()*2*lease, func() {
				if n.incarnation == life && n.paused {
					n.paused = false
					n.agent.ExpireHeartbeat(n.clock())
					n.step()
				}
			})
		}
	case 3: // a zone cut off from the group
		zone := w.random.Intn(3)
		for _, o := range w.nodes {
			if o.zone == zone {
				o.cut = true
			}
		}
		w.after(w.random.Float64()*2*lease, func() {
			for _, o := range w.nodes {
				if o.zone == zone {
					o.cut = false
				}
			}
		})
	case 4: // cut off alone
		n.cut = true
		w.after(w.random.Float64()*2*lease, func() { n.cut = false })
	case 5, 6, 7: // the leader, or an instance
		i := w.random.Intn(len(w.control))
		if w.random.Intn(2) == 0 && w.leader >= 0 {
			i = w.leader
		}
		c := w.control[i]
		if !c.up {
			return
		}
		if w.gone {
			return
		}
		c.up = false
		if w.leader == i {
			w.leader = -1
			w.after(300+w.random.Float64()*700, w.elect)
		}
		part := w.state
		w.after(500+w.random.Float64()*lease, func() {
			if w.state != part || w.gone { // all were started anew meanwhile
				return
			}
			c.s, c.up, c.last = w.currentLeader(), true, w.Now*c.rate
			w.elect()
		})
	case 8: // says no to what comes next
		n.rejects = w.Last() + 1
	case 9: // never prepares, for a while
		n.neverPrepares = true
		w.after(2*lease, func() { n.neverPrepares, n.busy = false, 0 })
	case 10: // restarts in a loop
		for k := 0; k < 6; k++ {
			w.after(float64(k)*300, func() {
				if n.up {
					n.kill()
				}
				n.start()
			})
		}
	}
}
