package server

import (
	"github.com/sirupsen/logrus"

	"umberwinch/internal/config"
	"umberwinch/internal/logging"
)

// reload applies the addresses and pools of a start-up file that was read again. An invalid file is rejected as a
// whole; settings that can't change at run time are kept, with a warning. Calls and runs in progress end at their old
// addresses: see row "new start-up file, one or many in a row" in docs/design/shutdown.md.
func (l *loop) reload(next *StartupFile, err error) {
	if err != nil {
		l.log.WithField(logging.Error, err).Error(logStartupFileRejected)
		return
	}
	l.counters.Reloads++
	if keys := l.startup.changedFixedKeys(next); keys != "" {
		l.log.WithField(logging.FileKeys, keys).Warn(logStartupKeysKept)
	}
	l.log.WithFields(logrus.Fields{logging.KernelAddress: next.Kernel, logging.StoreAddress: next.Store,
		logging.DiscoveryAddress: next.Control}).Info(logStartupFileTaken)
	l.setLinkAddress(&l.kernel.link, next.Kernel)
	l.setLinkAddress(&l.discovery.link, next.Control)
	l.setStoreAddress(next.Store)
	if !next.operator.Fleet.Equal(l.startup.operator.Fleet) {
		l.log.Warn(logFleetSectionKept)
		next.operator.Fleet = l.startup.operator.Fleet
	}
	if !config.EqualResultStores(next.operator.ResultStore, l.startup.operator.ResultStore) {
		l.log.Warn(logResultSectionKept)
		next.operator.ResultStore = l.startup.operator.ResultStore
	}
	l.reconfigurePools(next)
}
