package simulation

// injectFault starts the planned fault of each zone.
func (v *ZoneSimulation) injectFault() {
	v.faultActive = true
	v.crashLeader()
	for z, b := range v.dependencies {
		switch k := v.faultKind(z); k {
		case ZoneDead, ZoneRestart:
			b.warmth = 0
			for i, n := range v.Fleet.nodes {
				if n.zone == z && n.up {
					n.kill()
					v.nodeHealth[i].lastReady = min(v.nodeHealth[i].lastReady, v.Fleet.Now)
				}
			}
		case ZoneSlow:
			b.speed = 0.1
		case ZoneCommon:
			v.Fleet.after(v.StaggerMS*float64(z), func() {
				if v.faultActive {
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

// heal ends all faults. Dependencies that were slow or whose kernels failed are cold, and killed nodes restart.
func (v *ZoneSimulation) heal() {
	v.faultActive = false
	for z, b := range v.dependencies {
		if b.speed < 1 {
			b.speed, b.warmth = 1, 0 // cold: its cache is empty
		}
		if v.faultKind(z) == ZoneKernels {
			b.warmth = 0
		}
	}
	for _, n := range v.Fleet.nodes {
		n.partitioned = false
		if !n.up {
			n.start()
		}
	}
}

// injectSecondFault starts the late nodes, crashes the leader and slows z0's dependency for 25 s, as far as planned.
func (v *ZoneSimulation) injectSecondFault() {
	if v.secondFaultStarted {
		return
	}
	v.secondFaultStarted = true
	for _, n := range v.Fleet.nodes {
		if n.notStarted {
			n.notStarted = false
			n.start()
		}
	}
	v.crashLeader()
	if b := v.dependencies[0]; v.SecondFault {
		b.speed = 0.3
		v.Fleet.after(25_000, func() { b.speed = 1 })
	}
}

// crashLeader crashes the leader and restarts it after 3 s, if planned.
func (v *ZoneSimulation) crashLeader() {
	f := v.Fleet
	if !v.CrashLeader || f.leader < 0 {
		return
	}
	c := f.instances[f.leader]
	c.up, f.leader = false, -1
	f.after(800, f.elect)
	f.after(3000, func() { f.startInstance(c) })
}
