package server

import (
	"github.com/sirupsen/logrus"

	"umberwinch/internal/config"
	"umberwinch/internal/logging"
)

// reload takes the addresses and pools of a start-up file that was read anew. Where it can't be read the old one
// stays, and what can't change while the program serves stays as it was. Calls and runs under the old addresses end
// where they are: see row "new start-up file, one or many in a row" in docs/design/shutdown.md.
func (l *loop) reload(c *Node, err error) {
	if err != nil {
		l.log.WithField(logging.Error, err).Error(logStartupFileRejected)
		return
	}
	l.counters.Reloads++
	if keys := l.startup.changedFixedKeys(c); keys != "" {
		l.log.WithField(logging.FileKeys, keys).Warn(logStartupKeysKept)
	}
	l.log.WithFields(logrus.Fields{logging.KernelAddress: c.Kernel, logging.StoreAddress: c.Store,
		logging.DiscoveryAddress: c.Control}).Info(logStartupFileTaken)
	l.moveLink(&l.kernel.link, c.Kernel)
	l.moveLink(&l.discovery.link, c.Control)
	l.moveStore(c.Store)
	if !c.own.Fleet.Same(l.startup.own.Fleet) {
		l.log.Warn(logFleetSectionKept)
		c.own.Fleet = l.startup.own.Fleet
	}
	if !config.SameResultStore(c.own.ResultStore, l.startup.own.ResultStore) {
		l.log.Warn(logResultSectionKept)
		c.own.ResultStore = l.startup.own.ResultStore
	}
	l.reconfigurePools(c)
}
