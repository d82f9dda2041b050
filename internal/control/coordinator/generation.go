package coordinator

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/recovery"
)

// BeginGeneration turns the state into the initial state of the group's next generation, by a restore plan. It returns
// an error if the text of the plan's version can't be parsed.
//
// The current policy change ends. A zone whose newest recorded share is less than the full share starts as
// evacuated and ramps up like any evacuated zone.
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
		restored := policy.RestoredVersion{Version: plan.Version, Hash: plan.Hash, Rules: rules, Proof: plan.Proof}
		s.Policy.BeginGeneration(restored, s.Fleet.ClockMS)
	}
	s.Zones.BeginGeneration(plan.ZoneEpoch, reducedShares(plan.Records), s.Fleet)
	return nil
}

// reducedShares returns the share of each zone whose record of the newest zone epoch has less than the full share.
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
