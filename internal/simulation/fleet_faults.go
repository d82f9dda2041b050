package simulation

// injectFault starts a random fault and schedules its end.
func (f *Fleet) injectFault() {
	n := f.nodes[f.random.Intn(len(f.nodes))]
	switch f.random.Intn(11) {
	case 0:
		f.killAndRestart(n)
	case 1, 2:
		f.pause(n)
	case 3:
		f.partitionZone(f.random.Intn(3))
	case 4:
		n.partitioned = true
		f.after(f.drawFaultDuration(), func() { n.partitioned = false })
	case 5, 6, 7:
		f.crashInstance()
	case 8: // rejects the next version
		n.rejectedVersion = f.Last() + 1
	case 9: // prepares no version for two leases
		n.neverPrepares = true
		f.after(2*float64(f.LeaseMS), func() { n.neverPrepares, n.preparingVersion = false, 0 })
	case 10:
		f.crashLoop(n)
	}
}

// drawFaultDuration draws the duration of a fault, up to two leases.
func (f *Fleet) drawFaultDuration() float64 { return f.random.Float64() * 2 * float64(f.LeaseMS) }

func (f *Fleet) killAndRestart(n *node) {
	if !n.up {
		return
	}
	n.kill()
	f.after(f.drawFaultDuration(), func() {
		if !n.up {
			n.start()
		}
	})
}

// pause suspends a node's process.
func (f *Fleet) pause(n *node) {
	if !n.up || n.paused {
		return
	}
	n.setServing(false)
	n.paused = true
	incarnation := n.incarnation
	f.after(f.drawFaultDuration(), func() {
		if n.incarnation == incarnation && n.paused {
			n.paused = false
			n.agent.ExpireHeartbeat(n.clock())
			n.step()
		}
	})
}

// partitionZone partitions the nodes of a zone from the group.
func (f *Fleet) partitionZone(zone int) {
	set := func(cut bool) {
		for _, n := range f.nodes {
			if n.zone == zone {
				n.partitioned = cut
			}
		}
	}
	set(true)
	f.after(f.drawFaultDuration(), func() { set(false) })
}

// crashInstance crashes and restarts an instance of the group, in half of the cases the leader.
func (f *Fleet) crashInstance() {
	i := f.random.Intn(len(f.instances))
	if f.random.Intn(2) == 0 && f.leader >= 0 {
		i = f.leader
	}
	c := f.instances[i]
	if !c.up || f.stopped {
		return
	}
	c.up = false
	if f.leader == i {
		f.leader = -1
		f.after(300+f.random.Float64()*700, f.elect)
	}
	state := f.state
	f.after(500+f.random.Float64()*float64(f.LeaseMS), func() {
		if f.state != state || f.stopped { // all instances were restarted meanwhile
			return
		}
		f.startInstance(c)
		f.elect()
	})
}

// crashLoop restarts a node six times within 1.5 s.
func (f *Fleet) crashLoop(n *node) {
	for k := range 6 {
		f.after(float64(k)*300, func() {
			if n.up {
				n.kill()
			}
			n.start()
		})
	}
}
