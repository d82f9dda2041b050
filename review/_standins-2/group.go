package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// instance is one instance of the control service.
type instance struct {
	*child
	name, listen, peer string
}

// group is a control service of three instances.
type group struct {
	bench     *bench
	instances []*instance
}

// newGroup starts three instances, each a process of its own, and joins them. peers maps an instance's own peer address
// to the one that the others use; nil: the same.
func (b *bench) newGroup() *group {
	g := &group{bench: b}
	for i, name := range []string{"a", "b", "c"} {
		in := &instance{name: name, listen: b.freeAddress(), peer: b.freeAddress()}
		begin := "join"
		if i == 0 {
			begin = "new"
		}
		path := b.file("control-"+name+".ini", fmt.Sprintf("[instance]\nname = %s\ndata = %s/data-%s\nstart = %s\n"+
			"peer = %s\nlisten = %s\n", name, b.work, name, begin, in.peer, in.listen))
		in.child = b.start("control-"+name, "exec bin/umberctl control run --file "+path)
		g.instances = append(g.instances, in)
	}
	b.await("the first instance", 10*time.Second, func() bool { return g.role(g.instances[0]) == "leader" })
	for _, in := range g.instances[1:] {
		b.await("instance "+in.name, 10*time.Second, func() bool { return g.role(in) != "" })
		if out, err := b.tool(15*time.Second, "control", "members", "add", in.listen, "--at", g.at()); err != nil {
			b.cannotRun("members add: %v: %s", err, out)
		}
	}
	b.await("three voters", 20*time.Second, func() bool {
		followers := 0
		for _, in := range g.instances {
			if r := g.role(in); r == "follower" || r == "leader" {
				followers++
			}
		}
		return followers == 3
	})
	b.await("the group's level", 20*time.Second, func() bool {
		var v struct{ Level int }
		return g.instances[0].get("/v1/policy", &v) == nil && v.Level >= 5
	})
	return g
}

// at returns the instances' client addresses for --at.
func (g *group) at() string {
	var list []string
	for _, in := range g.instances {
		list = append(list, in.listen)
	}
	return strings.Join(list, ",")
}

var plainClient = &http.Client{Timeout: 3 * time.Second}

func (in *instance) get(path string, into any) error {
	r, err := plainClient.Get("http://" + in.listen + path)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != 200 {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	return json.NewDecoder(r.Body).Decode(into)
}

func (g *group) role(in *instance) string {
	var s struct{ Role string }
	if in.get("/v1/status", &s) != nil {
		return ""
	}
	return s.Role
}

func (g *group) leader() *instance {
	for _, in := range g.instances {
		if g.role(in) == "leader" {
			return in
		}
	}
	return nil
}

// propose changes the policy to a document and waits for the end of the change.
func (g *group) propose(within time.Duration, name, text string, flags ...string) (out string, err error) {
	path := g.bench.file(name, text)
	args := append([]string{"policy", "propose", path, "--reason", name, "--at", g.at()}, flags...)
	return g.bench.tool(within, args...)
}

// awaitServing waits until the nodes of these names serve a version.
func (g *group) awaitServing(version uint64, names ...string) {
	g.bench.await(fmt.Sprintf("nodes %v serve version %d", names, version), 30*time.Second, func() bool {
		var nodes []struct {
			Name   string
			Serves uint64
			Fenced string
			Out    string
			Heard  bool
		}
		if g.instances[0].get("/v1/nodes", &nodes) != nil {
			return false
		}
		serving := 0
		for _, n := range nodes {
			for _, name := range names {
				if n.Name == name && n.Serves == version && n.Fenced == "" && n.Out == "" && n.Heard {
					serving++
				}
			}
		}
		return serving == len(names)
	})
}

// fencePolicy is the policy of a small fleet whose nodes serve nothing without a lease.
const fencePolicy = "[fleet]\nlease = 4s\nwhen_alone = fence\n" +
	"[class view]\nkind = replayable\nresponse_target = 2s\nclient_timeout = 6s\n" +
	"[class submit]\nkind = uniqued\nresponse_target = 2s\nclient_timeout = 6s\nwindow = 22s\n"

var twoClasses = []class{{name: "view", semantics: "idempotent", aim: 2000, deadline: 6000},
	{name: "submit", semantics: "deduplicated", aim: 2000, deadline: 6000, window: 22000}}

// fleetSection is the operator's file of a node that reaches the instances at these addresses.
func fleetSection(zone string, control []string) string {
	return "[fleet]\ncontrol = " + strings.Join(control, ", ") + "\nzone = " + zone + "\n"
}
