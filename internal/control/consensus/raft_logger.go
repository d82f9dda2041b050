package consensus

import (
	"github.com/sirupsen/logrus"
)

// raftLog hands the core's remarks on: what it calls information is detail here.
type raftLog struct{ log *logrus.Logger }

func (l raftLog) Debug(v ...any) { l.log.Trace(v...) }

func (l raftLog) Debugf(f string, v ...any) { l.log.Tracef(f, v...) }

func (l raftLog) Info(v ...any) { l.log.Debug(v...) }

func (l raftLog) Infof(f string, v ...any) { l.log.Debugf(f, v...) }

func (l raftLog) Warning(v ...any) { l.log.Debug(v...) }

func (l raftLog) Warningf(f string, v ...any) { l.log.Debugf(f, v...) }

func (l raftLog) Error(v ...any) { l.log.Warn(v...) }

func (l raftLog) Errorf(f string, v ...any) { l.log.Warnf(f, v...) }

func (l raftLog) Fatal(v ...any) { l.log.Panic(v...) }

func (l raftLog) Fatalf(f string, v ...any) { l.log.Panicf(f, v...) }

func (l raftLog) Panic(v ...any) { l.log.Panic(v...) }

func (l raftLog) Panicf(f string, v ...any) { l.log.Panicf(f, v...) }
