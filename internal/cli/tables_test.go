package cli

import (
	"strings"
	"testing"

	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// Column headings must be the glossary's terms, and each column must hold the value that its heading names.
func TestTablesHaveGlossaryColumns(t *testing.T) {
	for _, c := range []struct {
		name string
		rows [][]string
		want []string
	}{
		{"nodes list", nodesTable([]consensus.NodeView{
			{Node: membership.Node{Name: "n1", Zone: "z1"}, AgeMS: 1500, Reported: true, ActiveVersion: 4,
				PreparedVersion: 5},
			{Node: membership.Node{Name: "n2", Zone: "z2", OutReason: membership.OutSilent}}}),
			[]string{"NODE|ZONE|STATE|ACTIVE|PREPARED|LAST HEARTBEAT|NOTE", "n1|z1|serves|4|5|1.5 s ago|",
				"n2|z2|silent|-|-|0.0 s ago|"}},
		{"zones list", zonesTable([]consensus.ZoneView{
			{Zone: zones.Zone{Name: "z1", Phase: zones.Ramping, Share: 64, Cause: "dead"},
				Evidence: &zones.View{NodesIn: 3,
					NodesReporting: 2, NodesUnhealthy: 1, RunRate: 40, Note: "waits"}},
			{Zone: zones.Zone{Name: "z2", Phase: zones.InService, Share: 256}}}),
			[]string{"ZONE|STATE|SHARE|NODES|REPORTING|UNHEALTHY|RUNS/S|CAPACITY|CAUSE|NOTE",
				"z1|returning|25%|3|2|1|40|0|dead|waits",
				"z2|in|100%|-|-|-|-|0||"}},
		{"policy status", blockersTable(&consensus.PolicyView{RefusedBy: []policy.Blocker{{Node: "n1", Zone: "z1",
			Reason: "refused it"}},
			WaitingFor: []policy.Blocker{{Node: "n2", Zone: "z2", Reason: "is silent"}}}),
			[]string{"BLOCKER|ZONE|REASON", "n1|z1|refused it", "n2|z2|is silent"}},
		{"control status", statusTable([]instanceRow{{Name: "a", Listen: "127.0.0.1:7201",
			Report: &consensus.StatusReport{SinceLeaderMS: 40,
				OutOfContact: true, Status: consensus.Status{Role: consensus.RoleFollower, Term: 2, FirstIndex: 1,
					LastIndex: 9,
					Applied:   7, Version: 3, DiskBytes: 1 << 20}}},
			{Name: "b", Listen: "127.0.0.1:7202"}}, 9),
			[]string{"NAME|LISTEN|ROLE|TERM|LOG|APPLIED|LAG|VERSION|DISK|LEADER SEEN|NOTE",
				"a|127.0.0.1:7201|follower|2|1-9|7|2|3|1.0 MB|40 ms ago|out of contact: may be stale",
				"b|127.0.0.1:7202|-|-|-|-|-|-|-|-|no response"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if len(c.rows) != len(c.want) {
				t.Fatalf("got %d rows, want %d: %v", len(c.rows), len(c.want), c.rows)
			}
			for i, want := range c.want {
				if got := strings.Join(c.rows[i], "|"); got != want {
					t.Errorf("row %d: got\n%s, want\n%s", i, got, want)
				}
			}
		})
	}
}

// policy explain must tell nodes that refuse a change from those that it waits for. Nodes of the generation before a
// restored group have no zone, which must not print as an empty one.
func TestBlockersOfChange(t *testing.T) {
	var out strings.Builder
	printBlockers(&out, "refused by", []policy.Blocker{{Node: "n9", Zone: "z3", Reason: "class fill: not found"}})
	printBlockers(&out, "waiting for", []policy.Blocker{{Node: "n2", Zone: "z2", Reason: "has not prepared it"},
		{Node: membership.UnknownNodes, Reason: "may act on their leases for 9 ms at most"}})
	const want = "             refused by n9 (zone z3): class fill: not found\n" +
		"             waiting for n2 (zone z2): has not prepared it\n" +
		"             waiting for nodes of the generation before: may act on their leases for 9 ms at most\n"
	if out.String() != want {
		t.Errorf("printBlockers printed\n%s, want\n%s", out.String(), want)
	}
}
