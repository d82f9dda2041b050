package coordinator

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
)

// BeginGeneration makes the state the first one of a group's next generation, by what was found of the one before. It
// gives an error if the text of the version found can't be read.
//
// A change under way has no outcome there: it ends. Zones stand as the newest orders of their nodes say; one of which a
// node had less than the full share ramps up as any that was evacuated.
func (s *State) BeginGeneration(plan *recovery.RestorePlan, v Versions) error {
	rules := policy.DefaultRules
	if plan.Hash != "" {
		var err error
		if rules, _, err = (versionCatalog{v}).Check(plan.Version, 0); err != nil {
			return err
		}
	}
	next := plan.Lost.NextGeneration("")
	s.Generation, s.Predecessors = next.Generation, next.Predecessors
	var recordedNodes []api.JoinRequest
	for _, r := range plan.Records {
		recordedNodes = append(recordedNodes, api.JoinRequest{Name: r.Name, Zone: r.Zone, Addr: r.Addr})
	}
	s.Fleet.BeginGeneration(max(plan.LeaseMS, rules.LeaseMS), rules.Autonomous, recordedNodes)
	if plan.Version > 0 || s.Policy.Current != nil {
		restored := policy.Restored{Version: plan.Version, Hash: plan.Hash, Rules: rules, Proof: plan.Proof}
		s.Policy.BeginGeneration(restored, s.Fleet.ClockMS)
	}
	s.Zones.BeginGeneration(plan.ZoneEpoch, reducedShares(plan.Records), s.Fleet)
	return nil
}

// reducedShares gives the zones that had less than the full share, by each zone's record of the newest epoch.
func reducedShares(records []api.NodeRecord) map[string]int {
	newest := map[string]api.NodeRecord{}
	for _, r := range records {
		if current, ok := newest[r.Zone]; r.ZoneEpoch > 0 && (!ok || r.ZoneEpoch > current.ZoneEpoch) {
			newest[r.Zone] = r
		}
	}
	reduced := map[string]int{}
	for zone, r := range newest {
		if r.ZoneShare < api.FullShare {
			reduced[zone] = r.ZoneShare
		}
	}
	return reduced
}
