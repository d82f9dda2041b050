package coordinator

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// respond fills in what holds now.
func (l *Leader) respond(s *State, r api.HeartbeatResponse) api.HeartbeatResponse {
	r.Cluster, r.Generation, r.Term = l.cluster, s.Generation, l.term
	r.Index, r.EntryChecksum, r.ClockMS = s.Index, s.lastChecksum(), s.Fleet.ClockMS
	r.DecidedVersion = s.Policy.DecidedVersion
	r.CommittedVersion = api.VersionHash{Version: s.Policy.CommittedVersion, Hash: s.Policy.CommittedHash}
	terms := s.leaseTerms()
	r.Autonomous = terms.Autonomous
	pace := heartbeatPace{leaseMS: terms.LeaseMS, nodes: len(s.Fleet.Nodes())}
	if rules := s.Policy.ActiveRules().Zones; rules.Enabled() {
		pace.zones = true
		pace.newNodeLimited = l.addZoneOrder(s, &rules, &r)
	}
	if c := s.Policy.Current; c != nil {
		pace.change = true
		if c.Step == policy.Preparing {
			r.PrepareVersion = api.VersionHash{Version: c.Version, Hash: c.Hash}
		}
	}
	r.NextHeartbeatMS = pace.nextMS()
	return r
}

// addZoneOrder adds the order of the node's zone and whom to check. newNodeLimited tells whether the node has
// just begun and is limited to a share, as the whole fleet may be restarting.
func (l *Leader) addZoneOrder(s *State, rules *api.ZoneRules, r *api.HeartbeatResponse) (newNodeLimited bool) {
	n := s.Fleet.LeaseHolder(r.LeaseID)
	if n == nil {
		return false
	}
	order := s.Zones.Order(n.Zone, r.LeaseID, rules, l.DisabledZoneGuards)
	if rules.ColdStart && l.mayBeFirstOfMany(s, n) {
		node := zones.NewNode{Zone: n.Zone, UptimeMS: n.UptimeMS(s.Fleet.ClockMS), ClockMS: s.Fleet.ClockMS,
			NodesIn: l.coldStart.census.byZone[n.Zone]}
		newNodeLimited = s.Zones.LimitNewNode(&order, node, rules, l.DisabledZoneGuards)
	}
	if !newNodeLimited {
		l.coldStart.release(r.LeaseID)
	}
	r.Zone, r.ProbeTargets = &order, l.zoneMonitor.ProbesFor(n.Name)
	return newNodeLimited
}
