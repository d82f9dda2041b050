package coordinator

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// completeResponse fills in the current state of the group: its position, versions, lease terms, zone order and the
// next heartbeat.
func (l *Leader) completeResponse(s *State, response api.HeartbeatResponse) api.HeartbeatResponse {
	response.Cluster, response.Generation, response.Term = l.group, s.Generation, l.term
	response.Index, response.EntryChecksum, response.ClockMS = s.Index, s.lastChecksum(), s.Fleet.ClockMS
	response.DecidedVersion = s.Policy.DecidedVersion
	response.CommittedVersion = api.VersionHash{Version: s.Policy.CommittedVersion, Hash: s.Policy.CommittedHash}
	terms := s.leaseTerms()
	response.Autonomous = terms.Autonomous
	schedule := heartbeatSchedule{leaseMS: terms.LeaseMS, nodes: len(s.Fleet.Nodes())}
	if rules := s.Policy.ActiveRules().Zones; rules.Enabled() {
		schedule.zonesEnabled = true
		schedule.newNodeLimited = l.addZoneOrder(s, &rules, &response)
	}
	if c := s.Policy.Current; c != nil {
		schedule.changeActive = true
		if c.Step == policy.Preparing {
			response.PrepareVersion = api.VersionHash{Version: c.Version, Hash: c.Hash}
		}
	}
	response.NextHeartbeatMS = schedule.nextMS()
	return response
}

// addZoneOrder adds the order for the node's zone and the node's probe targets. newNodeLimited reports whether the node
// is new and limited to a share because the whole fleet may be restarting.
func (l *Leader) addZoneOrder(s *State, rules *api.ZoneRules, r *api.HeartbeatResponse) (newNodeLimited bool) {
	n := s.Fleet.LeaseHolder(r.LeaseID)
	if n == nil {
		return false
	}
	order := s.Zones.Order(n.Zone, r.LeaseID, rules, l.DisabledZoneGuards)
	if rules.ColdStart && l.mayBeFleetRestart(s, n) {
		node := zones.NewNode{Zone: n.Zone, UptimeMS: n.UptimeMS(s.Fleet.ClockMS), ClockMS: s.Fleet.ClockMS,
			NodesIn: l.coldStart.fleetCount.byZone[n.Zone]}
		newNodeLimited = s.Zones.LimitNewNode(&order, node, rules, l.DisabledZoneGuards)
	}
	if !newNodeLimited {
		l.coldStart.release(r.LeaseID)
	}
	r.Zone, r.ProbeTargets = &order, l.zoneMonitor.ProbesFor(n.Name)
	return newNodeLimited
}
