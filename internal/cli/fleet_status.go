package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/zones"
)

// newFleetStatus returns the command that shows the state of a fleet's recovery.
func newFleetStatus() *cobra.Command {
	var a clientOptions
	c := &cobra.Command{Use: "status",
		Short: "Show the fleet's share of traffic and the state of its recovery ramp",
		Args:  exactArgs(0), RunE: withClient(&a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			views, err := c.fetchFleetViews(ctx)
			if err != nil {
				return err
			}
			s := views.status()
			if c.printJSON {
				return printJSON(w, s)
			}
			return printTable(w, s.rows())
		})}
	a.addFlags(c)
	return c
}

// fleetViews holds the group's views of a fleet.
type fleetViews struct {
	policy consensus.PolicyView
	zones  *consensus.ZonesView
	nodes  []consensus.NodeView
}

func (c *client) fetchFleetViews(ctx context.Context) (v fleetViews, err error) {
	v.zones, err = c.fetchZones(ctx)
	return v, errors.Join(err, c.get(ctx, "/v1/policy", &v.policy), c.get(ctx, "/v1/nodes", &v.nodes))
}

// fleetStatus is the output of `fleet status`.
type fleetStatus struct {
	Generation      uint64   `json:"generation"`
	StateLoss       string   `json:"lost,omitempty"`
	Version         uint64   `json:"version"`
	Known           int      `json:"nodes"`
	In              int      `json:"in"`
	Silent          int      `json:"silent"`
	Left            int      `json:"left"`
	Fenced          int      `json:"fenced"`
	Share           float64  `json:"takes"`
	SinceMS         uint64   `json:"since_ms,omitempty"`
	Cause           string   `json:"cause,omitempty"`
	Note            string   `json:"holds,omitempty"`
	EstimateMS      uint64   `json:"estimate_ms,omitempty"` // minimum time to the full share
	UnknownLeasesMS uint64   `json:"hush_ms,omitempty"`     // time until all unknown leases have expired
	Zones           []string `json:"zones_not_in,omitempty"`
}

func (v *fleetViews) status() *fleetStatus {
	s := &fleetStatus{Generation: v.policy.Generation, StateLoss: v.policy.StateLoss,
		Version: v.policy.CommittedVersion, Known: len(v.nodes), Share: 1, UnknownLeasesMS: v.policy.UnknownLeasesMS}
	s.countNodes(v.nodes)
	for i := range v.zones.Zones {
		switch z := &v.zones.Zones[i]; {
		case z.Phase == zones.InService:
		case z.Name == zones.WholeFleet:
			s.setRamp(v.zones, z)
		default:
			state, share := zoneState(z)
			s.Zones = append(s.Zones, fmt.Sprintf("%s is %s, share %s", z.Name, state, share))
		}
	}
	return s
}

func (s *fleetStatus) countNodes(nodes []consensus.NodeView) {
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
}

// setRamp sets the share of a fleet that ramps as a whole and the minimum time to its full share. Steps are at least a
// hold and a heartbeat interval apart, and each raises the share by at most api.MaxRampFactor.
func (s *fleetStatus) setRamp(v *consensus.ZonesView, fleet *consensus.ZoneView) {
	s.Share, s.SinceMS, s.Cause = float64(fleet.Share)/api.FullShare, v.ClockMS-min(v.ClockMS, fleet.SinceMS),
		string(fleet.Cause)
	if fleet.Evidence != nil {
		s.Note = fleet.Evidence.Note
	}
	stepMS := v.Rules.MinStepMS + zones.HeartbeatIntervalMS(s.In)
	for share := fleet.Share; share < api.FullShare; share *= api.MaxRampFactor {
		s.EstimateMS += stepMS
	}
	s.EstimateMS += stepMS - min(stepMS, s.SinceMS)
}

func (s *fleetStatus) rows() [][]string {
	rows := [][]string{{"generation", fmt.Sprint(s.Generation)},
		{"policy", fmt.Sprintf("version %d committed", s.Version)},
		{"nodes", fmt.Sprintf("%d of %d in, %d silent, %d left, %d fenced", s.In, s.Known, s.Silent, s.Left, s.Fenced)}}
	if s.StateLoss != "" {
		rows = append(rows, []string{"state loss", s.StateLoss})
	}
	if s.UnknownLeasesMS > 0 {
		rows = append(rows, []string{"unknown leases",
			fmt.Sprintf("of the previous generation, may be in use for up to %s", seconds(s.UnknownLeasesMS))})
	}
	if s.Share == 1 && s.EstimateMS == 0 {
		rows = append(rows, []string{"fleet", "full share"})
	} else {
		rows = append(rows, []string{"fleet", fmt.Sprintf("ramping: share %.0f%% for %s, cause %s", 100*s.Share,
			seconds(s.SinceMS), s.Cause)}, []string{"note", s.Note},
			[]string{"estimate", fmt.Sprintf("at least %.0f s to full share", float64(s.EstimateMS)/1000)})
	}
	for _, z := range s.Zones {
		rows = append(rows, []string{"zone", z})
	}
	return rows
}
