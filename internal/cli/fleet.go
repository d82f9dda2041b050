package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/zones"
	"umberwinch/internal/harness"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/server"
)

// newNode is a node's program in this one, so that a fleet can be started where cmd/umberwinch was not built.
func newNode() *cobra.Command {
	return &cobra.Command{Use: "node", Hidden: true, Args: exact(0),
		Short: "Run a node by NODE_CONFIG and UMBERWINCH_FILE, as cmd/umberwinch does",
		RunE: func(cmd *cobra.Command, _ []string) error {
			signals := server.NotifySignals(syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP)
			signals.Read = func() (*server.Node, error) { return server.ReadBoth(os.Getenv) }
			c, err := signals.Read()
			if err != nil {
				return usage(err)
			}
			form, from := c.Logs()
			return server.Run(c, logging.New(cmd.ErrOrStderr(), form, from), signals)
		}}
}

func newFleet() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "A whole fleet: how far back it is; one on loopback, for a look"}
	c.AddCommand(newFleetLocal(), newFleetStatus())
	return c
}

func newFleetLocal() *cobra.Command {
	l := harness.LocalFleet{}
	c := &cobra.Command{Use: "local", Short: "Three control instances, six nodes in three zones and a load, on loopback",
		Args: exact(0), Long: `Starts a control service, nodes with emulated kernels and a load, all on loopback addresses, as processes of
their own; says what to ask and what to kill; starts again what ends, two seconds later; runs until it is interrupted.
Its files are under --dir, which has to be new.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if l.Program, err = os.Executable(); err != nil {
				return err
			}
			if l.Nodes < 1 || l.Nodes > 60 || l.Instances < 1 || l.Instances > 7 || l.Rate < 0 || l.Rate > 5000 {
				return usage(errors.New("--nodes: expected 1 to 60; --instances: 1 to 7; --rate: 0 to 5000"))
			}
			if err = os.MkdirAll(l.Dir, 0o700); err != nil {
				return err
			}
			if there, err := os.ReadDir(l.Dir); err != nil || len(there) > 0 {
				return usage(fmt.Errorf("--dir: found %d files in %s, expected an empty folder", len(there), l.Dir))
			}
			if l.Dir, err = filepath.Abs(l.Dir); err != nil {
				return err
			}
			ctx, stop := context.WithCancel(cmd.Context())
			defer stop()
			if l.Seconds > 0 {
				ctx, stop = context.WithTimeout(cmd.Context(), time.Duration(l.Seconds)*time.Second)
				defer stop()
			}
			return l.Run(ctx, cmd.OutOrStdout())
		}}
	f := c.Flags()
	f.StringVar(&l.Dir, "dir", "fleet-local", "folder for files, logs and data")
	f.IntVar(&l.Instances, "instances", 3, "of the control service")
	f.IntVar(&l.Nodes, "nodes", 6, "in three zones")
	f.Float64Var(&l.Rate, "rate", 60, "reqs a second, over all nodes")
	f.IntVar(&l.Seconds, "seconds", 0, "how long; 0 until it is interrupted")
	return c
}

// newFleetStatus shows how far back a fleet is, and what holds it.
func newFleetStatus() *cobra.Command {
	var a access
	c := &cobra.Command{Use: "status", Short: "How far back the fleet is, what holds it, and the time to its being whole at least",
		Args: exact(0), RunE: withClient(&a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			p, z, nodes, err := c.fleetViews(ctx)
			if err != nil {
				return err
			}
			s := fleetStatus(p, z, nodes)
			if c.json {
				return printJSON(w, s)
			}
			return table(w, s.rows())
		})}
	a.flags(c)
	return c
}

func (c *client) fleetViews(ctx context.Context) (*consensus.PolicyView, *consensus.ZonesView, []consensus.NodeView, error) {
	var p consensus.PolicyView
	var nodes []consensus.NodeView
	z, err := c.zones(ctx)
	return &p, z, nodes, errors.Join(err, c.get(ctx, "/v1/policy", &p), c.get(ctx, "/v1/nodes", &nodes))
}

// fleetView is what fleet status prints.
type fleetView struct {
	Generation uint64   `json:"generation"`
	Lost       string   `json:"lost,omitempty"`
	Version    uint64   `json:"version"`
	Known      int      `json:"nodes"`
	In         int      `json:"in"`
	Silent     int      `json:"silent"`
	Left       int      `json:"left"`
	Fenced     int      `json:"fenced"`
	Share      float64  `json:"takes"`
	SinceMS    uint64   `json:"since_ms,omitempty"`
	Cause      string   `json:"cause,omitempty"`
	Holds      string   `json:"holds,omitempty"`
	LeastMS    uint64   `json:"estimate_ms,omitempty"`
	HushMS     uint64   `json:"hush_ms,omitempty"`
	Zones      []string `json:"zones_not_in,omitempty"`
}

func fleetStatus(p *consensus.PolicyView, z *consensus.ZonesView, nodes []consensus.NodeView) *fleetView {
	s := &fleetView{Generation: p.Generation, Lost: p.StateLoss, Version: p.CommittedVersion, Known: len(nodes), Share: 1, HushMS: p.QuietMS}
	for i := range nodes {
		switch n := &nodes[i]; {
		case n.OutReason == membership.OutSilent:
			s.Silent++
		case n.OutReason == membership.OutLeft:
			s.Left++
		default:
			if s.In++; n.Fenced != "" {
				s.Fenced++
			}
		}
	}
	for i := range z.Zones {
		o := &z.Zones[i]
		if o.Phase == zones.InService {
			continue
		}
		if o.Name != zones.WholeFleet {
			word, share := zoneState(o)
			s.Zones = append(s.Zones, fmt.Sprintf("%s is %s, takes %s", o.Name, word, share))
			continue
		}
		s.Share, s.SinceMS, s.Cause = float64(o.Share)/api.FullShare, z.ClockMS-min(z.ClockMS, o.SinceMS), string(o.Cause)
		if o.Evidence != nil {
			s.Holds = o.Evidence.Note
		}
		// A step can't come sooner than a hold and the reports of it after the one before, and makes four times the share at most.
		each := z.Rules.MinStepMS + zones.HeartbeatIntervalMS(s.In)
		for share := o.Share; share < api.FullShare; share *= api.MaxRampFactor {
			s.LeastMS += each
		}
		s.LeastMS += each - min(each, s.SinceMS)
	}
	return s
}

func (s *fleetView) rows() [][]string {
	rows := [][]string{{"generation", fmt.Sprint(s.Generation)}, {"policy", fmt.Sprintf("version %d in force", s.Version)},
		{"nodes", fmt.Sprintf("%d of %d in, %d silent, %d left, %d fenced", s.In, s.Known, s.Silent, s.Left, s.Fenced)}}
	if s.Lost != "" {
		rows = append(rows, []string{"lost", s.Lost})
	}
	if s.HushMS > 0 {
		rows = append(rows, []string{"waits", fmt.Sprintf("leases of the generation before may be acted on for %.1f s more",
			float64(s.HushMS)/1000)})
	}
	if s.Share == 1 && s.LeastMS == 0 {
		rows = append(rows, []string{"fleet", "whole"})
	} else {
		rows = append(rows, []string{"fleet", fmt.Sprintf("comes back: takes %.0f%% since %.1f s, %s", 100*s.Share,
			float64(s.SinceMS)/1000, s.Cause)}, []string{"holds it", s.Holds},
			[]string{"estimate", fmt.Sprintf("%.0f s at least until it takes all", float64(s.LeastMS)/1000)})
	}
	for _, z := range s.Zones {
		rows = append(rows, []string{"zone", z})
	}
	return rows
}
