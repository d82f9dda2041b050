package config

import (
	"strconv"
	"strings"
)

// Node is the operator's file of a node, beside the platform's start-up file. Nothing in it is needed: without a file a
// node is as the platform's settings have it.
type Node struct {
	LogForm     string
	LogFrom     string
	Pools       []Pool       // none: no pools
	Reserve     bool         // the class with the least work takes a slot first while it waits
	Fleet       *Fleet       // nil: no control service
	ResultStore *ResultStore // nil: results are lost at a restart

	text *Text
}

// Pool is one handler's part of the run slots, in shares of them.
type Pool struct {
	Handler  string
	MinShare float64
	Cap      float64
	Fixed    bool // its limit is its cap and does not move
}

// ReadNode reads a node's file, as deploy/node.ini, and checks all that needs nothing else. The error is Faults, or
// that of the file.
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
		Reserve: t.Flag("pools", "reserve", true), Fleet: readFleet(t), ResultStore: readResultStore(t), text: t}
	floors := 0.0
	for _, name := range t.Names("pool") {
		s := "pool " + name
		p := Pool{Handler: name, MinShare: t.Number(s, "floor", 0, 0, 1), Cap: t.Number(s, "cap", 1, 0.01, 1),
			Fixed: t.Choice(s, "limit", "auto", "auto", "fixed") == "fixed"}
		if p.Cap < p.MinShare {
			t.Note(s, "cap", formatShare(p.Cap), "no less than floor, "+formatShare(p.MinShare))
		}
		if floors += p.MinShare; floors > 1+1e-9 {
			t.Note(s, "floor", "floors of "+formatShare(floors)+" up to here", "1 at most, all run slots")
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

func formatShare(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// Against checks what names handlers against those that there are.
func (n *Node) Against(handlers []string) error {
	known := map[string]bool{}
	for _, h := range handlers {
		known[h] = true
	}
	var faults Faults
	for _, p := range n.Pools {
		if !known[p.Handler] {
			faults = append(faults, Fault{n.text.name, n.text.lines[keyName{"pool " + p.Handler, ""}], "pool " +
				p.Handler,
				"a handler that is not known", "one of " + strings.Join(handlers, ", ")})
		}
	}
	if len(handlers) == 1 && len(n.Pools) > 0 && n.Reserve {
		faults = append(faults, Fault{n.text.name, n.text.lines[keyName{"pools", "reserve"}], "pools.reserve",
			"yes, and one handler", "no: there is nobody to keep it from"})
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}
