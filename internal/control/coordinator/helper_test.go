package coordinator

import (
	"fmt"
	"testing"

	"umberwinch/internal/control/api"
)

// testGroup is a replicated state and two instances, one of which leads at a time. The test commits the entries.
type testGroup struct {
	*testing.T
	state   *State
	leaders [2]*Leader
	index   uint64
	term    uint64
}

func (g *testGroup) Last() uint64 { return 3 }

func (g *testGroup) Text(n uint64) (string, string, bool) {
	text := fmt.Sprintf("[fleet]\nlease = 4s\nwhen_alone = fence\n[tenant t]\nrate = %d\n", n)
	return text, fmt.Sprint("h", n), n > 0 && n <= 3
}

func newTestGroup(t *testing.T) *testGroup {
	g := &testGroup{T: t, state: NewState(0), leaders: [2]*Leader{NewLeader(0), NewLeader(0)}}
	g.lead(0)
	return g
}

func (g *testGroup) lead(i int) {
	g.term++
	for j, l := range g.leaders {
		l.SetRole("g", j == i, g.term)
	}
}

// apply commits an entry and passes its outcome to both instances.
func (g *testGroup) apply(e Entry, term uint64) {
	g.Helper()
	g.index++
	outcome, err := g.state.Apply(e.Kind, e.Body, g.index, term, g)
	if err != nil {
		g.Fatal(err)
	}
	for _, l := range g.leaders {
		l.EntryApplied(g.state, outcome)
	}
}

func (g *testGroup) run(i int, ms uint64) {
	g.Helper()
	for _, e := range g.leaders[i].Tick(g.state, ms) {
		g.apply(e, g.term)
	}
}

// responses collects successful heartbeat responses.
type responses []api.HeartbeatResponse

func (a *responses) add(response api.HeartbeatResponse, err error) {
	if err == nil {
		*a = append(*a, response)
	}
}

func request(name string) api.HeartbeatRequest {
	return api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: name, Zone: "z", Nonce: name + "-nonce-1"}}
}
