package simulation

// injectFault begins the fault of each zone.
func (v *Zones) injectFault() {
	v.failing = true
	v.loseLeader()
	for z, b := range v.dependencies {
		switch k := v.kind(z); k {
		case ZoneDead, ZoneRestart:
			b.warm = 0
			for i, n := range v.Fleet.nodes {
				if n.zone == z && n.up {
					n.kill()
					v.health[i].lastReady = min(v.health[i].lastReady, v.Fleet.Now)
				}
			}
		case ZoneSlow:
			b.speed = 0.1
		case ZoneCommon:
			v.Fleet.after(v.Stagger*float64(z), func() {
				if v.failing {
					b.speed = 0.1
				}
			})
		case ZoneCutOff:
			for _, n := range v.Fleet.nodes {
				n.partitioned = n.partitioned || n.zone == z
			}
		}
	}
}

// heal ends all faults. Services that had one, and nodes that were killed, start cold.
func (v *Zones) heal() {
	v.failing = false
	for z, b := range v.dependencies {
		if b.speed < 1 {
			b.speed, b.warm = 1, 0 // its cache is empty
		}
		if v.kind(z) == ZoneKernels {
			b.warm = 0
		}
	}
	for _, n := range v.Fleet.nodes {
		n.partitioned = false
		if !n.up {
			n.start()
		}
	}
}

// injectSecondFault does what is planned for the middle of a return.
func (v *Zones) injectSecondFault() {
	if v.secondFaultBegan {
		return
	}
	v.secondFaultBegan = true
	for _, n := range v.Fleet.nodes {
		if n.notStarted {
			n.notStarted = false
			n.start()
		}
	}
	v.loseLeader()
	if b := v.dependencies[0]; v.SecondFault {
		b.speed = 0.3
		v.Fleet.after(25_000, func() { b.speed = 1 })
	}
}

// loseLeader crashes the leader, if the plan says so, and starts it again later.
func (v *Zones) loseLeader() {
	w := v.Fleet
	if !v.Lead || w.leader < 0 {
		return
	}
	c := w.instances[w.leader]
	c.up, w.leader = false, -1
	w.after(800, w.elect)
	w.after(3000, func() { w.startInstance(c) })
}
