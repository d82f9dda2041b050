package server

import (
	"fmt"
	"math"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/config"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/pools"
)

// Pools give handlers shares of the run slots. The operator's file is turned into a plan for package pools, and a
// reload reconfigures them. They are off unless the file has pools.

// SetOperatorConfig sets the operator's file, after a check against the handlers of the start-up file.
func (c *StartupFile) SetOperatorConfig(own *config.Node) error {
	names := make([]string, len(c.settings.Deployment.Handlers))
	for name, i := range c.settings.HandlerIndex {
		names[i] = name
	}
	if err := own.CheckHandlers(names); err != nil {
		return err
	}
	c.operator = own
	return nil
}

// poolPlan returns the operator's pools for each handler; the plan is disabled if there are none.
func (c *StartupFile) poolPlan() pools.Config {
	d := c.settings.Deployment
	p := pools.Config{Disabled: c.operator == nil || len(c.operator.Pools) == 0, Tenants: max(1, len(d.Tenants))}
	p.Classes = make([]pools.Class, len(d.Handlers))
	for name, i := range c.settings.HandlerIndex {
		p.Classes[i] = pools.Class{Name: name, Value: d.Handlers[i].Value}
	}
	if p.Disabled {
		return p
	}
	p.Reserve = c.operator.Reserve
	for _, o := range c.operator.Pools {
		class := &p.Classes[c.settings.HandlerIndex[o.Handler]]
		class.MinFraction, class.MaxFraction, class.FixedLimit = o.MinShare, o.MaxShare, o.FixedLimit
	}
	return p
}

// startPools creates the pools of a new controller, if the operator's file has any.
func (l *loop) startPools() {
	if p := l.startup.poolPlan(); !p.Disabled {
		l.pools = pools.New(p)
		l.settings.Deployment.Pools = l.pools
		l.log.WithFields(logrus.Fields{logging.Count: len(l.startup.operator.Pools), logging.Reserve: p.Reserve}).
			Info(logPoolsEnabled)
	}
}

// reconfigurePools applies the pools of a reloaded file.
func (l *loop) reconfigurePools(next *StartupFile) {
	p := next.poolPlan()
	switch {
	case l.pools != nil:
		l.pools.Reconfigure(p)
		l.log.WithField(logging.Enabled, !p.Disabled).Info(logPoolsChanged)
	case !p.Disabled:
		l.log.Warn(logPoolsNeedRestart)
	}
	l.startup.operator = next.operator
}

// unlimitedSlots is the limit of run slots from which a pool counts as unlimited.
const unlimitedSlots = 1 << 20

// logPools logs the status of each pool.
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

// roundToTenth rounds a value for log lines.
func roundToTenth(x float64) float64 { return math.Round(10*x) / 10 }
