package config

import (
	"strconv"
	"strings"
)

// Node is what the operator of a node says beside the platform's start-up file. Nothing in it is needed:
// without a file a node is as the platform's settings have it.
type Node struct {
	LogForm string
	LogFrom string
	Pools   []Pool // none: no pools
	Reserve bool   // the class with the least work takes a slot first while it waits
	Fleet   *Fleet // nil: the node serves alone
	Kept    *Kept  // nil: results outlast no restart

	text *Text
}

// Pool is what the operator says of one handler's run slots, in shares of them.
type Pool struct {
	Handler string
	Floor   float64
	Cap     float64
	Fixed   bool // its limit is its cap and does not move
}

// ReadNode reads deploy/node.ini and checks all that needs nothing else.
func ReadNode(path string) (*Node, error) {
	t, err := Open(path)
	if err != nil {
		return nil, err
	}
	return readNode(t)
}

func readNode(t *Text) (*Node, error) {
	n := &Node{LogForm: t.Choice("log", "form", "text", "text", "json"),
		LogFrom: t.Choice("log", "from", "info", "debug", "info", "warning", "error"),
		Reserve: t.Flag("pools", "reserve", true), Fleet: readFleet(t), Kept: readKept(t), text: t}
	floors := 0.0
	for _, name := range t.Names("pool") {
		s := "pool " + name
		p := Pool{Handler: name, Floor: t.Number(s, "floor", 0, 0, 1), Cap: t.Number(s, "cap", 1, 0.01, 1),
			Fixed: t.Choice(s, "limit", "auto", "auto", "fixed") == "fixed"}
		if p.Cap < p.Floor {
			t.Note(s, "cap", share(p.Cap), "no less than floor, "+share(p.Floor))
		}
		if floors += p.Floor; floors > 1+1e-9 {
			t.Note(s, "floor", "floors of "+share(floors)+" up to here", "1 at most, all run slots")
		}
		n.Pools = append(n.Pools, p)
	}
	if t.Has("pools") && len(n.Pools) == 0 {
		t.Note("pools", "", "no [pool HANDLER]", "one for each handler that has a floor, a cap or a limit")
	}
	if err := t.Done(); err != nil {
		return nil, err
	}
	return n, nil
}

func share(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// Against checks what names handlers against those that there are.
func (n *Node) Against(handlers []string) error {
	known := map[string]bool{}
	for _, h := range handlers {
		known[h] = true
	}
	var faults Faults
	for _, p := range n.Pools {
		if !known[p.Handler] {
			faults = append(faults, Fault{n.text.name, n.text.lines[place{"pool " + p.Handler, ""}], "pool " +
				p.Handler,
				"a handler that is not known", "one of " + strings.Join(handlers, ", ")})
		}
	}
	if len(handlers) == 1 && len(n.Pools) > 0 && n.Reserve {
		faults = append(faults, Fault{n.text.name, n.text.lines[place{"pools", "reserve"}], "pools.reserve",
			"yes, and one handler", "no: there is nobody to keep it from"})
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}
