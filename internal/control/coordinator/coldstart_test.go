package coordinator

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// TestFleetRestartLimitsNewNodes: the first nodes of a restart of the whole fleet would get its full load cold. A new
// node must be limited to a share until the others have sent a heartbeat or restarted as well.
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
	// A single node restarts: it is limited until the others have sent a heartbeat, and then released.
	response := heartbeats("a", "-second-life", 0)["a"]
	if z := response.Zone; z == nil || z.Share != 16 || z.RateLimit != 1 || response.NextHeartbeatMS > 500 {
		t.Fatalf(
			"zone order %+v of a restarted node, next heartbeat in %d ms; want share 16, rate limit 1, at most 500 ms",
			z, response.NextHeartbeatMS)
	}
	heartbeats("bcdef", "-first-life", 63_000)
	if z := heartbeats("a", "-second-life", 2000)["a"].Zone; z.Share != api.FullShare || z.RateLimited {
		t.Fatalf("zone order %+v after a single restart, want share %d without a rate limit", z, api.FullShare)
	}
	// All nodes restart, the first two before the others.
	g.run(0, 20_000)
	heartbeats("abcdef", "-third-life", 90_000)
	heartbeats("abcdef", "-third-life", 91_000)
	early := heartbeats("ab", "-fourth-life", 0)
	if early["a"].Zone.Share != 16 || early["b"].Zone.Share != 16 || g.state.Zones.Find(zones.WholeFleet) != nil {
		t.Fatalf("zone orders %+v and %+v of the first two of six, want share 16 and no cold start of the fleet",
			early["a"].Zone, early["b"].Zone)
	}
	late := heartbeats("cdef", "-fourth-life", 0)
	if z := g.state.Zones.Find(zones.WholeFleet); z == nil || z.Phase != zones.Ramping || late["c"].Zone.Share != 16 {
		t.Fatalf("fleet %+v, zone order %+v after all six restarted; want the fleet ramping and share 16", z,
			late["c"].Zone)
	}
}
