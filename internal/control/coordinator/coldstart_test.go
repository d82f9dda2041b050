package coordinator

import (
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// TestFirstOfMany: a fleet restarts as a whole. Its first nodes come before that can be told from a lone restart, and
// would get all of its load, cold. They have to take a share until the others are heard, or have begun as well.
func TestFirstOfMany(t *testing.T) {
	g := startGroup(t)
	g.leaders[0].Level = LevelGenerations
	rules := policy.Rules{LeaseMS: 4000,
		Zones: api.ZoneRules{Mode: api.ZoneModeAuto, InitialShare: 16, MinStepMS: 1000, ColdStart: true}}
	g.state.Policy.CommittedVersion, g.state.Policy.DecidedVersion, g.state.Policy.Rules = 1, 1, rules
	leases := map[string]uint32{}
	each := func(names, nonce string, up uint64) map[string]*api.HeartbeatResponse {
		out := map[string]*api.HeartbeatResponse{}
		for _, n := range names {
			r := request(string(n))
			r.Nonce, r.UptimeMS, r.MinVersion, r.LeaseID = string(n)+nonce, up, 1, leases[string(n)+nonce]
			r.Renew, r.LastClockMS = r.LeaseID != 0, g.state.Fleet.ClockMS
			told := &api.HeartbeatResponse{}
			out[string(n)] = told
			g.leaders[0].Heartbeat(g.state, r, func(x api.HeartbeatResponse, _ error) { *told = x })
		}
		g.run(0, 1000)
		for n, told := range out {
			leases[n+nonce] = told.LeaseID
		}
		return out
	}
	each("abcdef", "-first-life", 60_000)
	capacity := zones.ObservedCapacity{RunRate: 96, Concurrency: 2, RunMS: 20}
	g.state.Zones.Zones = []*zones.Zone{
		{Name: "z", Phase: zones.InService, Share: api.FullShare, Capacity: capacity},
	}
	each("abcdef", "-first-life", 61_000)
	// One restarts: it takes a share until the others were heard after it, and all at once then.
	told := each("a", "-second-life", 0)["a"]
	if told.Zone == nil || told.Zone.Share != 16 || told.Zone.RateLimit != 1 || told.NextHeartbeatMS > 500 {
		t.Fatalf("%+v: the first one of maybe many begins whole", told.Zone)
	}
	each("bcdef", "-first-life", 63_000)
	if told := each("a", "-second-life", 2000)["a"]; told.Zone.Share != api.FullShare || told.Zone.RateLimited {
		t.Fatalf("%+v: a lone restart is held", told.Zone)
	}
	// All restart, the first two before the others.
	g.run(0, 20_000)
	each("abcdef", "-third-life", 90_000)
	each("abcdef", "-third-life", 91_000)
	early := each("ab", "-fourth-life", 0)
	if early["a"].Zone.Share != 16 || early["b"].Zone.Share != 16 || g.state.Zones.Find(zones.WholeFleet) != nil {
		t.Fatalf("%+v and %+v: the first two of six begin whole", early["a"].Zone, early["b"].Zone)
	}
	late := each("cdef", "-fourth-life", 0)
	if z := g.state.Zones.Find(zones.WholeFleet); z == nil || z.Phase != zones.Ramping || late["c"].Zone.Share != 16 {
		t.Fatalf("%+v, %+v: six of six began, and the fleet does not come back", z, late["c"].Zone)
	}
}
