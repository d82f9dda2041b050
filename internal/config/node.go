package config

import (
	"strconv"
	"strings"
)

// Node holds the operator's settings of a node. They supplement the platform's start-up file, and all are optional.
type Node struct {
	LogFormat   string       // text or json
	LogLevel    string       // minimum level of log lines
	Pools       []Pool       // empty without pools
	Reserve     bool         // the handler with the lowest median work has reserved slots
	Fleet       *Fleet       // nil without a control service
	ResultStore *ResultStore // nil if results are lost at a restart

	text *Text
}

// Pool limits the run slots of one handler. Shares are fractions of all run slots.
type Pool struct {
	Handler    string
	MinShare   float64
	MaxShare   float64 // largest share
	FixedLimit bool    // the limit is always MaxShare instead of adapting to the load
}

// ReadNode reads the operator's file of a node, such as deploy/node.ini, and validates it except for handler names,
// which CheckHandlers checks. An invalid file is an error of type Faults.
func ReadNode(path string) (*Node, error) {
	t, err := Open(path)
	if err != nil {
		return nil, err
	}
	return readNode(t)
}

func readNode(t *Text) (*Node, error) {
	n := &Node{LogFormat: t.Choice("log", "form", "text", "text", "json"),
		LogLevel: t.Choice("log", "from", "info", "debug", "info", "warning", "error"),
		Reserve:  t.Bool("pools", "reserve", true), Fleet: readFleet(t), ResultStore: readResultStore(t), text: t}
	minShares := 0.0
	for _, name := range t.SectionNames("pool") {
		s := "pool " + name
		p := Pool{Handler: name, MinShare: t.Float(s, "floor", 0, 0, 1), MaxShare: t.Float(s, "cap", 1, 0.01, 1),
			FixedLimit: t.Choice(s, "limit", "auto", "auto", "fixed") == "fixed"}
		if p.MaxShare < p.MinShare {
			t.AddFault(s, "cap", formatShare(p.MaxShare), "at least floor, "+formatShare(p.MinShare))
		}
		if minShares += p.MinShare; minShares > 1+1e-9 {
			t.AddFault(s, "floor", "floors of "+formatShare(minShares)+" up to here", "at most 1, all run slots")
		}
		n.Pools = append(n.Pools, p)
	}
	if t.HasSection("pools") && len(n.Pools) == 0 {
		t.AddFault("pools", "", "no [pool HANDLER]", "one for each handler with a floor, a cap or a limit")
	}
	if err := t.Finish(); err != nil {
		return nil, err
	}
	return n, nil
}

func formatShare(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// CheckHandlers checks that the handlers of all pools exist, and that a reserve has at least two handlers to choose
// from.
func (n *Node) CheckHandlers(handlers []string) error {
	known := map[string]bool{}
	for _, h := range handlers {
		known[h] = true
	}
	var faults Faults
	for _, p := range n.Pools {
		if !known[p.Handler] {
			faults = append(faults, Fault{n.text.name, n.text.lines[keyName{"pool " + p.Handler, ""}],
				"pool " + p.Handler,
				"a handler that is not known", "one of " + strings.Join(handlers, ", ")})
		}
	}
	if len(handlers) == 1 && len(n.Pools) > 0 && n.Reserve {
		faults = append(faults, Fault{n.text.name, n.text.lines[keyName{"pools", "reserve"}], "pools.reserve",
			"yes, with one handler", "no, as a reserve needs at least two handlers"})
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}
