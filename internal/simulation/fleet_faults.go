package simulation

// injectFault does one thing that goes wrong, and has it heal.
func (w *Fleet) injectFault() {
	n := w.nodes[w.random.Intn(len(w.nodes))]
	switch w.random.Intn(11) {
	case 0:
		w.killAndRestart(n)
	case 1, 2:
		w.pause(n)
	case 3:
		w.partitionZone(w.random.Intn(3))
	case 4:
		n.partitioned = true
		w.after(w.drawFaultDuration(), func() { n.partitioned = false })
	case 5, 6, 7:
		w.crashInstance()
	case 8: // refuses the next version
		n.rejectedVersion = w.Last() + 1
	case 9: // prepares nothing, for a while
		n.neverPrepares = true
		w.after(2*float64(w.Lease), func() { n.neverPrepares, n.preparingVersion = false, 0 })
	case 10:
		w.crashLoop(n)
	}
}

// drawFaultDuration draws how long a fault lasts, in ms: past the end of a lease or not.
func (w *Fleet) drawFaultDuration() float64 { return w.random.Float64() * 2 * float64(w.Lease) }

func (w *Fleet) killAndRestart(n *node) {
	if !n.up {
		return
	}
	n.kill()
	w.after(w.drawFaultDuration(), func() {
		if !n.up {
			n.start()
		}
	})
}

// pause stops a node's process, which decides nothing meanwhile.
func (w *Fleet) pause(n *node) {
	if !n.up || n.paused {
		return
	}
	n.setServing(false)
	n.paused = true
	incarnation := n.incarnation
	w.after(w.drawFaultDuration(), func() {
		if n.incarnation == incarnation && n.paused {
			n.paused = false
			n.agent.ExpireHeartbeat(n.clock())
			n.step()
		}
	})
}

// partitionZone parts a zone's nodes from the group.
func (w *Fleet) partitionZone(zone int) {
	set := func(cut bool) {
		for _, n := range w.nodes {
			if n.zone == zone {
				n.partitioned = cut
			}
		}
	}
	set(true)
	w.after(w.drawFaultDuration(), func() { set(false) })
}

// crashInstance ends an instance of the group, in half of the cases its leader, and starts it again.
func (w *Fleet) crashInstance() {
	i := w.random.Intn(len(w.instances))
	if w.random.Intn(2) == 0 && w.leader >= 0 {
		i = w.leader
	}
	c := w.instances[i]
	if !c.up || w.stopped {
		return
	}
	c.up = false
	if w.leader == i {
		w.leader = -1
		w.after(300+w.random.Float64()*700, w.elect)
	}
	state := w.state
	w.after(500+w.random.Float64()*float64(w.Lease), func() {
		if w.state != state || w.stopped { // all were restarted meanwhile
			return
		}
		w.startInstance(c)
		w.elect()
	})
}

// crashLoop restarts a node over and over.
func (w *Fleet) crashLoop(n *node) {
	for k := range 6 {
		w.after(float64(k)*300, func() {
			if n.up {
				n.kill()
			}
			n.start()
		})
	}
}
