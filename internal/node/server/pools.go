package server

import (
	"fmt"
	"math"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/config"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/pools"
)

// Pools give classes their shares of the run slots: what the operator's file says of them becomes a plan for package
// pools, and a new file changes it. Without pools in the file nothing here runs.

// Own takes the operator's file along with the start-up file, checked against the handlers that this one names.
func (c *Node) Own(own *config.Node) error {
	names := make([]string, len(c.settings.Deployment.Handlers))
	for name, i := range c.settings.HandlerIndex {
		names[i] = name
	}
	if err := own.Against(names); err != nil {
		return err
	}
	c.own = own
	return nil
}

// poolPlan gives what the operator's file says for each handler; without a pool for any it is off.
func (c *Node) poolPlan() pools.Plan {
	d := c.settings.Deployment
	p := pools.Plan{Disabled: c.own == nil || len(c.own.Pools) == 0, Tenants: max(1, len(d.Tenants))}
	p.Classes = make([]pools.Class, len(d.Handlers))
	for name, i := range c.settings.HandlerIndex {
		p.Classes[i] = pools.Class{Name: name, Value: d.Handlers[i].Value}
	}
	if p.Disabled {
		return p
	}
	p.Reserve = c.own.Reserve
	for _, o := range c.own.Pools {
		k := &p.Classes[c.settings.HandlerIndex[o.Handler]]
		k.MinFraction, k.MaxFraction, k.FixedLimit = o.MinShare, o.Cap, o.Fixed
	}
	return p
}

// makePools readies pools for a controller that starts, if the operator wants them.
func (l *loop) makePools() {
	if p := l.startup.poolPlan(); !p.Disabled {
		l.pools = pools.New(p)
		l.settings.Deployment.Pools = l.pools
		l.log.WithFields(logrus.Fields{logging.Count: len(l.startup.own.Pools), logging.Reserve: p.Reserve}).
			Info(logPoolsMade)
	}
}

// reconfigurePools takes the pools of another file.
func (l *loop) reconfigurePools(next *Node) {
	p := next.poolPlan()
	switch {
	case l.pools != nil:
		l.pools.Reconfigure(p)
		l.log.WithField(logging.Enabled, !p.Disabled).Info(logPoolsChanged)
	case !p.Disabled:
		l.log.Warn(logPoolsNeedRestart)
	}
	l.startup.own = next.own
}

// unlimitedSlots is from where a pool's limit is none.
const unlimitedSlots = 1 << 20

// logPools logs each pool.
func (l *loop) logPools() {
	if l.pools == nil {
		return
	}
	for _, v := range l.pools.Status() {
		limit := "none"
		if v.Limit < unlimitedSlots {
			limit = fmt.Sprintf("%.1f", v.Limit)
		}
		l.log.WithFields(logrus.Fields{logging.Class: v.Name, logging.Limit: limit, logging.Reason: v.Reason,
			logging.FairSlots: roundToTenth(v.FairSlots), logging.Running: v.Running, logging.Heavy: v.Heavy,
			logging.Queued: v.Queued, logging.Shed: v.Shed, logging.StartedOverLimit: v.StartedOverLimit,
			logging.ReserveSlots: v.Reserve, logging.MedianWorkMS: roundToTenth(v.MedianWork / unitsPerMS),
			logging.P95WorkMS: roundToTenth(v.P95Work / unitsPerMS)}).Info(logPoolStatus)
	}
}

// roundToTenth is for figures of log lines.
func roundToTenth(x float64) float64 { return math.Round(10*x) / 10 }
