package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/consensus"
	"umberwinch/internal/control/zones"
)

func newZones() *cobra.Command {
	c := &cobra.Command{Use: "zones", Short: "Show, evacuate and return zones of the fleet"}
	var a clientOptions
	a.addFlags(c)
	c.AddCommand(newZonesList(&a), newZonesShow(&a), newZonesExplain(&a), newZonesLeave(&a), newZonesReturn(&a),
		newZonesHold(&a), newZonesDrill(&a))
	return c
}

func (c *client) fetchZones(ctx context.Context) (*consensus.ZonesView, error) {
	var v consensus.ZonesView
	return &v, c.get(ctx, "/v1/zones", &v)
}

func (c *client) sendZoneOp(ctx context.Context, op zones.Op) (zones.Result, error) {
	var r zones.Result
	op.Operator, op.IdempotencyKey = currentUser(), newSession()
	if err := op.Validate(); err != nil {
		return r, usageError(err)
	}
	body, err := json.Marshal(op)
	if err != nil {
		return r, err
	}
	res, err := c.send(ctx, http.MethodPost, "/v1/zones", body)
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	return r, json.NewDecoder(res.Body).Decode(&r)
}

// zoneState returns a zone's state and its share of traffic as text.
func zoneState(v *consensus.ZoneView) (state, share string) {
	if state = string(v.Phase); v.Phase == zones.InService && v.Evidence != nil && v.Evidence.FailureScore > 0 {
		state = "suspected"
	}
	return state, formatShare(v.Share)
}

// formatShare formats a share of traffic, in units of 1/api.FullShare, as a percentage.
func formatShare(share int) string { return fmt.Sprintf("%.0f%%", 100*float64(share)/api.FullShare) }

func newZonesList(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List all zones", Args: exactArgs(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			v, err := c.fetchZones(ctx)
			if err != nil {
				return err
			}
			if c.printJSON {
				return printJSON(w, v)
			}
			if !v.Rules.Enabled() {
				fmt.Fprintln(w, "zone decisions are disabled by the policy in force ([zones] decide = off)")
			}
			return printTable(w, zonesTable(v.Zones))
		})}
}

func zonesTable(views []consensus.ZoneView) [][]string {
	rows := [][]string{{"ZONE", "STATE", "SHARE", "NODES", "REPORTING", "UNHEALTHY", "RUNS/S", "CAPACITY", "CAUSE",
		"NOTE"}}
	for i := range views {
		z := &views[i]
		state, share := zoneState(z)
		in, reporting, unhealthy, runs, note := "-", "-", "-", "-", ""
		if e := z.Evidence; e != nil {
			in, reporting, unhealthy = fmt.Sprint(e.NodesIn), fmt.Sprint(e.NodesReporting), fmt.Sprint(e.NodesUnhealthy)
			runs, note = fmt.Sprintf("%.0f", e.RunRate), e.Note
		}
		rows = append(rows, []string{z.Name, state, share, in, reporting, unhealthy, runs,
			fmt.Sprintf("%.0f", z.Capacity.RunRate), string(z.Cause), note})
	}
	return rows
}

func findZone(ctx context.Context, c *client, name string) (*consensus.ZonesView, *consensus.ZoneView, error) {
	v, err := c.fetchZones(ctx)
	if err != nil {
		return nil, nil, err
	}
	for i := range v.Zones {
		if v.Zones[i].Name == name {
			return v, &v.Zones[i], nil
		}
	}
	return nil, nil, usageError(fmt.Errorf("found no zone %q, expected one that \"zones list\" shows", name))
}

func newZonesShow(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "show ZONE", Short: "Show one zone in detail", Args: exactArgs(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			v, z, err := findZone(ctx, c, args[0])
			if err != nil {
				return err
			}
			if c.printJSON {
				return printJSON(w, z)
			}
			return printTable(w, zoneRows(v, z))
		})}
}

func zoneRows(v *consensus.ZonesView, z *consensus.ZoneView) [][]string {
	state, share := zoneState(z)
	rows := [][]string{{"zone", z.Name}, {"state", state}, {"share", share},
		{"epoch", fmt.Sprintf("%d; the fleet is at %d, settled %d", z.Epoch, v.Epoch, v.SettledEpoch)},
		{"capacity", fmt.Sprintf("%.0f runs/s, %.1f in flight, %.0f ms per run, %.0f ms per call, "+
			"%.1f connections/s",
			z.Capacity.RunRate, z.Capacity.Concurrency, z.Capacity.RunMS, z.Capacity.CallMS,
			z.Capacity.ConnectionRate)}}
	if z.Cause != "" {
		rows = append(rows, []string{"cause", string(z.Cause)})
	}
	if z.Phase == zones.Ramping {
		rows = append(rows, []string{"rate limit",
			fmt.Sprintf("%.0f runs/s and %.0f connections/s to dependencies, over "+
				"%d leases", z.RateLimit, z.ConnectRateLimit, len(z.Quotas))})
	}
	if v.ClockMS < z.RampNotBeforeMS && z.Phase != zones.InService {
		rows = append(rows, []string{"returns", fmt.Sprintf("in %s at the earliest; flap count %d",
			seconds(z.RampNotBeforeMS-v.ClockMS), z.FlapCount)})
	}
	if v.ClockMS < z.HeldUntilMS {
		rows = append(rows, []string{"hold", fmt.Sprintf("by an operator, for %s more",
			seconds(z.HeldUntilMS-v.ClockMS))})
	}
	if e := z.Evidence; e != nil {
		rows = append(rows,
			[]string{"nodes", fmt.Sprintf("%d in, %d silent, %d reporting, %d unhealthy %s; failure score %.1f",
				e.NodesIn, e.NodesSilent, e.NodesReporting, e.NodesUnhealthy, e.Symptom, e.FailureScore)},
			[]string{"load", fmt.Sprintf("%.0f runs/s of %.0f possible, %.1f in flight, %.0f ms per run; "+
				"priority weight %.0f/s of %.0f/s", e.RunRate, e.RunCapacity, e.Concurrency, e.RunMS,
				e.CompletedWeight, e.OfferedWeight)},
			[]string{"note", e.Note})
	}
	return rows
}

func newZonesExplain(a *clientOptions) *cobra.Command {
	return &cobra.Command{Use: "explain ZONE", Short: "Show the decisions about a zone with their times and reasons",
		Args: exactArgs(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			v, z, err := findZone(ctx, c, args[0])
			if err != nil {
				return err
			}
			if c.printJSON {
				return printJSON(w, z.Events)
			}
			for _, e := range z.Events {
				fmt.Fprintf(w, "%10.1f s ago  epoch %-4d %s\n", float64(v.ClockMS-e.ClockMS)/1000, e.Epoch, e.Text)
				if e.ValueOfStaying != 0 || e.ValueOfEvacuating != 0 {
					fmt.Fprintf(w, "%31s expected value per second: %.0f staying, %.0f evacuating\n", "",
						e.ValueOfStaying, e.ValueOfEvacuating)
				}
			}
			if z.Evidence != nil && z.Evidence.Note != "" {
				fmt.Fprintf(w, "%16s %s\n", "now", z.Evidence.Note)
			}
			return nil
		})}
}

// zoneCommand describes a command that applies an operation to a zone.
type zoneCommand struct {
	use, short, long string
	flags            func(c *cobra.Command)
	op               func() (zones.Op, error)
}

// command builds the cobra command.
func (s *zoneCommand) command(a *clientOptions) *cobra.Command {
	reason := ""
	c := &cobra.Command{Use: s.use + " ZONE", Short: s.short, Long: s.long, Args: exactArgs(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			op, err := s.op()
			if err != nil {
				return usageError(err)
			}
			op.Zone, op.Reason = args[0], reason
			r, err := c.sendZoneOp(ctx, op)
			if err != nil {
				return err
			}
			if c.printJSON {
				return printJSON(w, r)
			}
			_, err = fmt.Fprintf(w, "zone %s is %s, share %s, epoch %d\n", args[0], r.Phase, formatShare(r.Share),
				r.Epoch)
			return err
		})}
	c.Flags().StringVar(&reason, "reason", "", "reason, shown by \"zones explain\"")
	if s.flags != nil {
		s.flags(c)
	}
	return c
}

func newZonesLeave(a *clientOptions) *cobra.Command {
	return (&zoneCommand{use: "leave", short: "Evacuate a zone",
		long: `Evacuate a zone: its nodes report that they are not ready, reject arriving and queued requests with a
Retry-After, and complete the requests that run. The zone stays evacuated until "zones return". The last zone in service
can't be evacuated.`,
		op: func() (zones.Op, error) { return zones.Op{Kind: zones.OpEvacuate}, nil }}).command(a)
}

// defaultReturnShare is the share of traffic at which an operator's return begins, as a fraction.
const defaultReturnShare = 0.0625

func newZonesReturn(a *clientOptions) *cobra.Command {
	share := defaultReturnShare
	return (&zoneCommand{use: "return", short: "Start a zone's recovery ramp",
		long: `Set the zone's share of traffic to --share, which may be lower than its present one, and raise it from
there as its dependencies keep up.`,
		flags: func(c *cobra.Command) {
			c.Flags().Float64Var(&share, "share", defaultReturnShare, "initial share of traffic, 0 to 1")
		},
		op: func() (zones.Op, error) {
			if share < 0 || share > 1 {
				return zones.Op{}, fmt.Errorf("--share: found %g, expected 0 to 1", share)
			}
			return zones.Op{Kind: zones.OpRamp, Share: max(1, int(share*api.FullShare+0.5))}, nil
		}}).command(a)
}

// maxHoldTime bounds the time for which an operator may suspend decisions about a zone.
const maxHoldTime = 24 * time.Hour

func newZonesHold(a *clientOptions) *cobra.Command {
	duration := time.Hour
	return (&zoneCommand{use: "hold", short: "Suspend automatic decisions about a zone",
		long: "Suspend automatic decisions about a zone. Operators' commands still apply to it.",
		flags: func(c *cobra.Command) {
			c.Flags().DurationVar(&duration, "for", time.Hour, "duration of the hold, at most 24h; 0 ends it")
		},
		op: func() (zones.Op, error) {
			if duration < 0 || duration > maxHoldTime {
				return zones.Op{}, fmt.Errorf("--for: found %v, expected 0 to 24h", duration)
			}
			return zones.Op{Kind: zones.OpHold, WaitMS: uint64(duration.Milliseconds())}, nil
		}}).command(a)
}

// Bounds of a drill.
const (
	minDrillTime = time.Second
	maxDrillTime = time.Hour
)

func newZonesDrill(a *clientOptions) *cobra.Command {
	duration := time.Minute
	return (&zoneCommand{use: "drill", short: "Evacuate a zone for a limited time as an exercise",
		long: `Evacuate a zone as if it had failed, and start its recovery ramp when the time is over, or as soon as
another zone becomes unhealthy or completes less than 80% of the priority weight that arrives there.`,
		flags: func(c *cobra.Command) {
			c.Flags().DurationVar(&duration, "for", time.Minute, "duration of the drill, 1s to 1h")
		},
		op: func() (zones.Op, error) {
			if duration < minDrillTime || duration > maxDrillTime {
				return zones.Op{}, fmt.Errorf("--for: found %v, expected 1s to 1h", duration)
			}
			return zones.Op{Kind: zones.OpEvacuate, DrillMS: uint64(duration.Milliseconds())}, nil
		}}).command(a)
}
