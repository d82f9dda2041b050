package consensus

import (
	"github.com/sirupsen/logrus"
)

// raftLogger adapts a logrus logger to raft.Logger. Raft's info and warning messages are logged at debug level, its
// errors as warnings.
type raftLogger struct{ log *logrus.Logger }

func (l raftLogger) Debug(v ...any) { l.log.Trace(v...) }

func (l raftLogger) Debugf(f string, v ...any) { l.log.Tracef(f, v...) }

func (l raftLogger) Info(v ...any) { l.log.Debug(v...) }

func (l raftLogger) Infof(f string, v ...any) { l.log.Debugf(f, v...) }

func (l raftLogger) Warning(v ...any) { l.log.Debug(v...) }

func (l raftLogger) Warningf(f string, v ...any) { l.log.Debugf(f, v...) }

func (l raftLogger) Error(v ...any) { l.log.Warn(v...) }

func (l raftLogger) Errorf(f string, v ...any) { l.log.Warnf(f, v...) }

func (l raftLogger) Fatal(v ...any) { l.log.Panic(v...) }

func (l raftLogger) Fatalf(f string, v ...any) { l.log.Panicf(f, v...) }

func (l raftLogger) Panic(v ...any) { l.log.Panic(v...) }

func (l raftLogger) Panicf(f string, v ...any) { l.log.Panicf(f, v...) }
