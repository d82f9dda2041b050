package coordinator

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// TestFleetRestartLimitsNewNodes: a fleet restarts as a whole. Its first nodes come before that can be told from a lone restart, and
// would get all of its load, cold. They have to take a share until the others are heard, or have begun as well.
func TestFleetRestartLimitsNewNodes(t *testing.T) {
	g := newTestGroup(t)
	g.leaders[0].Level = LevelGenerations
	rules := policy.Rules{LeaseMS: 4000,
		Zones: api.ZoneRules{Mode: api.ZoneModeAuto, InitialShare: 16, MinStepMS: 1000, ColdStart: true}}
	g.state.Policy.CommittedVersion, g.state.Policy.DecidedVersion, g.state.Policy.Rules = 1, 1, rules
	leases := map[string]uint32{}
	heartbeats := func(names, nonce string, uptimeMS uint64) map[string]*api.HeartbeatResponse {
		responses := map[string]*api.HeartbeatResponse{}
		for _, n := range names {
			r := request(string(n))
			r.Nonce, r.UptimeMS, r.MinVersion, r.LeaseID = string(n)+nonce, uptimeMS, 1, leases[string(n)+nonce]
			r.Renew, r.LastClockMS = r.LeaseID != 0, g.state.Fleet.ClockMS
			response := &api.HeartbeatResponse{}
			responses[string(n)] = response
			g.leaders[0].Heartbeat(g.state, r, func(x api.HeartbeatResponse, _ error) { *response = x })
		}
		g.run(0, 1000)
		for n, response := range responses {
			leases[n+nonce] = response.LeaseID
		}
		return responses
	}
	heartbeats("abcdef", "-first-life", 60_000)
	capacity := zones.ObservedCapacity{RunRate: 96, Concurrency: 2, RunMS: 20}
	g.state.Zones.Zones = []*zones.Zone{
		{Name: "z", Phase: zones.InService, Share: api.FullShare, Capacity: capacity},
	}
	heartbeats("abcdef", "-first-life", 61_000)
	// One restarts: it takes a share until the others were heard after it, and all at once then.
	response := heartbeats("a", "-second-life", 0)["a"]
	if response.Zone == nil || response.Zone.Share != 16 || response.Zone.RateLimit != 1 || response.NextHeartbeatMS > 500 {
		t.Fatalf("%+v: the first one of maybe many begins whole", response.Zone)
	}
	heartbeats("bcdef", "-first-life", 63_000)
	if response := heartbeats("a", "-second-life", 2000)["a"]; response.Zone.Share != api.FullShare || response.Zone.RateLimited {
		t.Fatalf("%+v: a lone restart is held", response.Zone)
	}
	// All restart, the first two before the others.
	g.run(0, 20_000)
	heartbeats("abcdef", "-third-life", 90_000)
	heartbeats("abcdef", "-third-life", 91_000)
	early := heartbeats("ab", "-fourth-life", 0)
	if early["a"].Zone.Share != 16 || early["b"].Zone.Share != 16 || g.state.Zones.Find(zones.WholeFleet) != nil {
		t.Fatalf("%+v and %+v: the first two of six begin whole", early["a"].Zone, early["b"].Zone)
	}
	late := heartbeats("cdef", "-fourth-life", 0)
	if z := g.state.Zones.Find(zones.WholeFleet); z == nil || z.Phase != zones.Ramping || late["c"].Zone.Share != 16 {
		t.Fatalf("%+v, %+v: six of six began, and the fleet does not come back", z, late["c"].Zone)
	}
}
