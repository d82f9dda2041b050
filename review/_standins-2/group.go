package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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

// link is a path from one node to one instance through a proxy of the case. It understands nothing but HTTP messages
// with a length, which is what node and instance exchange.
type link struct {
	bench  *bench
	addr   string
	target string
	owner  *partition
}

// partition is the state of all links of a node. While it is one-way, requests of the node arrive and no answer comes
// back.
type partition struct {
	mu     sync.Mutex
	oneWay bool
	mark   []byte // the first request that contains it is noted
	seen   bool   // it was delivered

	answers int // that came back
}

func (p *partition) set(oneWay bool) {
	p.mu.Lock()
	p.oneWay = oneWay
	p.mu.Unlock()
}

func (p *partition) answersSeen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers
}

func (p *partition) isOneWay() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.oneWay
}

func (p *partition) markSeen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen
}

// newLink opens a proxy in front of an instance.
func (b *bench) newLink(target string, owner *partition) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.cannotRun("proxy: %v", err)
	}
	k := &link{bench: b, addr: l.Addr().String(), target: target, owner: owner}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k.addr
}

func (k *link) serve(c net.Conn) {
	defer c.Close()
	up, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		return
	}
	defer up.Close()
	requests, answers := bufio.NewReader(c), bufio.NewReader(up)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		p := k.owner
		head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
			r.Method, r.URL.RequestURI(), k.target, len(body))
		if _, err = up.Write(append([]byte(head), body...)); err != nil {
			return
		}
		p.mu.Lock()
		if len(p.mark) > 0 && !p.seen && bytes.Contains(body, p.mark) {
			p.seen = true
			k.bench.note("delivered to %s: %s", k.target, body)
		}
		p.mu.Unlock()
		answer, err := http.ReadResponse(answers, r)
		if err != nil {
			return
		}
		answerBody, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		if err != nil {
			return
		}
		if p.isOneWay() {
			k.bench.note("an answer of %s is lost: %d %s", k.target, answer.StatusCode, bytes.TrimSpace(answerBody))
			for p.isOneWay() {
				time.Sleep(20 * time.Millisecond)
			}
			return
		}
		head = fmt.Sprintf("HTTP/1.1 %d OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
			answer.StatusCode, len(answerBody))
		if _, err = c.Write(append([]byte(head), answerBody...)); err != nil {
			return
		}
		p.mu.Lock()
		p.answers++
		p.mu.Unlock()
	}
}
