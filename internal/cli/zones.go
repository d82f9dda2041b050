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

// Zones of the fleet: how they stand and why, and what an operator does about them.

func newZones() *cobra.Command {
	c := &cobra.Command{Use: "zones", Short: "Zones of the fleet: how they stand, leaving one and returning to it"}
	var a access
	a.flags(c)
	c.AddCommand(newZonesList(&a), newZonesShow(&a), newZonesExplain(&a), newZonesLeave(&a), newZonesReturn(&a),
		newZonesHold(&a), newZonesDrill(&a))
	return c
}

func (c *client) zones(ctx context.Context) (*consensus.ZonesView, error) {
	var v consensus.ZonesView
	return &v, c.get(ctx, "/v1/zones", &v)
}

func (c *client) zoneOp(ctx context.Context, op zones.Op) (zones.Result, error) {
	var r zones.Result
	op.Operator, op.IdempotencyKey = whoami(), newSession()
	if err := op.Validate(); err != nil {
		return r, usage(err)
	}
	body, err := json.Marshal(op)
	if err != nil {
		return r, err
	}
	res, err := c.ask(ctx, http.MethodPost, "/v1/zones", body)
	if err != nil {
		return r, err
	}
	defer res.Body.Close()
	return r, json.NewDecoder(res.Body).Decode(&r)
}

// zoneState says how a zone stands in a word and a share.
func zoneState(v *consensus.ZoneView) (word, share string) {
	if word = string(v.Phase); v.Phase == zones.InService && v.Evidence != nil && v.Evidence.FailureScore > 0 {
		word = "suspected"
	}
	return word, fmt.Sprintf("%.0f%%", 100*float64(v.Share)/api.FullShare)
}

func newZonesList(a *access) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List all zones", Args: exact(0),
		RunE: withClient(a, func(ctx context.Context, c *client, _ []string, w io.Writer) error {
			v, err := c.zones(ctx)
			if err != nil {
				return err
			}
			if c.json {
				return printJSON(w, v)
			}
			if !v.Rules.Enabled() {
				fmt.Fprintln(w, "the policy in force decides nothing about zones ([zones] decide = off)")
			}
			rows := [][]string{{"ZONE", "STATE", "TAKES", "NODES", "HEARD", "SICK", "RUNS/S", "BORE", "CAUSE", "NOTE"}}
			for i := range v.Zones {
				z := &v.Zones[i]
				word, share := zoneState(z)
				row := []string{z.Name, word, share, "-", "-", "-", "-", fmt.Sprintf("%.0f", z.Capacity.RunRate), string(z.Cause), ""}
				if s := z.Evidence; s != nil {
					row[3], row[4], row[5] = fmt.Sprint(s.NodesIn), fmt.Sprint(s.NodesReporting), fmt.Sprint(s.NodesUnhealthy)
					row[6], row[9] = fmt.Sprintf("%.0f", s.RunRate), s.Note
				}
				rows = append(rows, row)
			}
			return table(w, rows)
		})}
}

func findZone(ctx context.Context, c *client, name string) (*consensus.ZonesView, *consensus.ZoneView, error) {
	v, err := c.zones(ctx)
	if err != nil {
		return nil, nil, err
	}
	for i := range v.Zones {
		if v.Zones[i].Name == name {
			return v, &v.Zones[i], nil
		}
	}
	return nil, nil, usage(fmt.Errorf("found no zone %q, expected one of zones list", name))
}

func newZonesShow(a *access) *cobra.Command {
	return &cobra.Command{Use: "show ZONE", Short: "Show one zone whole", Args: exact(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			v, z, err := findZone(ctx, c, args[0])
			if err != nil {
				return err
			}
			if c.json {
				return printJSON(w, z)
			}
			word, share := zoneState(z)
			rows := [][]string{{"zone", z.Name}, {"state", word}, {"takes", share},
				{"epoch", fmt.Sprintf("%d; the fleet is at %d, settled %d", z.Epoch, v.Epoch, v.SettledEpoch)},
				{"bore", fmt.Sprintf("%.0f runs a second, %.1f under way, %.0f ms a run, %.0f ms a call, %.1f connections a second",
					z.Capacity.RunRate, z.Capacity.Concurrency, z.Capacity.RunMS, z.Capacity.CallMS, z.Capacity.ConnectionRate)}}
			if z.Cause != "" {
				rows = append(rows, []string{"cause", string(z.Cause)})
			}
			if z.Phase == zones.Ramping {
				rows = append(rows, []string{"ceiling", fmt.Sprintf("%.0f runs and %.0f connections below a second, over %d leases",
					z.RateLimit, z.ConnectRateLimit, len(z.Quotas))})
			}
			if v.ClockMS < z.RampNotBeforeMS && z.Phase != zones.InService {
				rows = append(rows, []string{"returns", fmt.Sprintf("in %.1f s at the soonest; it failed again %d times",
					float64(z.RampNotBeforeMS-v.ClockMS)/1000, z.FlapCount)})
			}
			if v.ClockMS < z.HeldUntilMS {
				rows = append(rows, []string{"held", fmt.Sprintf("by an operator, for %.1f s more", float64(z.HeldUntilMS-v.ClockMS)/1000)})
			}
			if s := z.Evidence; s != nil {
				rows = append(rows, []string{"seen", fmt.Sprintf("%d nodes, %d quiet, %d heard, %d sick %s; score %.1f", s.NodesIn, s.NodesSilent,
					s.NodesReporting, s.NodesUnhealthy, s.Symptom, s.FailureScore)},
					[]string{"does", fmt.Sprintf("%.0f runs a second of %.0f it could, %.1f under way, %.0f ms a run; value %.0f of %.0f a "+
						"second", s.RunRate, s.RunCapacity, s.Concurrency, s.RunMS, s.CompletedWeight, s.OfferedWeight)}, []string{"note", s.Note})
			}
			return table(w, rows)
		})}
}

func newZonesExplain(a *access) *cobra.Command {
	return &cobra.Command{Use: "explain ZONE", Short: "Tell what was decided about a zone, when, and on what", Args: exact(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			v, z, err := findZone(ctx, c, args[0])
			if err != nil {
				return err
			}
			if c.json {
				return printJSON(w, z.Events)
			}
			for _, e := range z.Events {
				fmt.Fprintf(w, "%10.1f s ago  epoch %-4d %s\n", float64(v.ClockMS-e.ClockMS)/1000, e.Epoch, e.Text)
				if e.ValueOfStaying != 0 || e.ValueOfEvacuating != 0 {
					fmt.Fprintf(w, "%31s value a second expected: %.0f by staying, %.0f by leaving\n", "", e.ValueOfStaying, e.ValueOfEvacuating)
				}
			}
			if z.Evidence != nil && z.Evidence.Note != "" {
				fmt.Fprintf(w, "%16s %s\n", "now", z.Evidence.Note)
			}
			return nil
		})}
}

// newZoneStep makes a command of one step of an operator's.
func newZoneStep(a *access, use, short, long string, flags func(c *cobra.Command), op func() (zones.Op, error)) *cobra.Command {
	why := ""
	c := &cobra.Command{Use: use + " ZONE", Short: short, Long: long, Args: exact(1),
		RunE: withClient(a, func(ctx context.Context, c *client, args []string, w io.Writer) error {
			o, err := op()
			if err != nil {
				return usage(err)
			}
			o.Zone, o.Reason = args[0], why
			r, err := c.zoneOp(ctx, o)
			if err != nil {
				return err
			}
			if c.json {
				return printJSON(w, r)
			}
			fmt.Fprintf(w, "zone %s is %s, takes %.0f%%, epoch %d\n", args[0], r.Phase, 100*float64(r.Share)/api.FullShare, r.Epoch)
			return nil
		})}
	c.Flags().StringVar(&why, "reason", "", "why, for explain")
	if flags != nil {
		flags(c)
	}
	return c
}

func parseShare(part float64) (int, error) {
	if part < 0 || part > 1 {
		return 0, fmt.Errorf("--share: found %g, expected 0 to 1", part)
	}
	return int(part*api.FullShare + 0.5), nil
}

func newZonesLeave(a *access) *cobra.Command {
	return newZoneStep(a, "leave", "Leave a zone: its nodes take nothing more", `Its nodes say that they are not ready, shed at once
what comes and what is held, with a time to come back, and end what runs. It stays so until "zones return". The last zone
that is in is not left.`, nil, func() (zones.Op, error) { return zones.Op{Kind: zones.OpEvacuate}, nil })
}

func newZonesReturn(a *access) *cobra.Command {
	share := 0.0
	return newZoneStep(a, "return", "Begin the return to a zone", `Begins with a share, and goes on by what the services below show.
Without --share it is a sixteenth.`, func(c *cobra.Command) {
		c.Flags().Float64Var(&share, "share", 0.0625, "of what comes, to begin with")
	}, func() (zones.Op, error) {
		n, err := parseShare(share)
		return zones.Op{Kind: zones.OpRamp, Share: max(1, n)}, err
	})
}

func newZonesHold(a *access) *cobra.Command {
	d := time.Hour
	return newZoneStep(a, "hold", "Have nothing decided about a zone by rules for a while", "It stays as it is; an operator's own steps "+
		"count all the same.", func(c *cobra.Command) { c.Flags().DurationVar(&d, "for", time.Hour, "for so long; 0 ends it") },
		func() (zones.Op, error) {
			if d < 0 || d > 24*time.Hour {
				return zones.Op{}, fmt.Errorf("--for: found %v, expected up to 24h", d)
			}
			return zones.Op{Kind: zones.OpHold, WaitMS: uint64(d.Milliseconds())}, nil
		})
}

func newZonesDrill(a *access) *cobra.Command {
	d := time.Minute
	return newZoneStep(a, "drill", "Leave a zone on purpose for a while, and return to it", `Leaves a zone as if it had failed and
begins its return when the time is over, or as soon as it does harm: another zone turns sick, or does less than eight
tenths of the value that it is asked for.`, func(c *cobra.Command) {
		c.Flags().DurationVar(&d, "for", time.Minute, "how long it is left, 1s to 1h")
	}, func() (zones.Op, error) {
		if d < time.Second || d > time.Hour {
			return zones.Op{}, fmt.Errorf("--for: found %v, expected 1s to 1h", d)
		}
		return zones.Op{Kind: zones.OpEvacuate, DrillMS: uint64(d.Milliseconds())}, nil
	})
}
