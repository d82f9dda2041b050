package simulation

import (
	"fmt"
	"strings"
)

// discardLogger discards the log output of the Raft library; fatal messages and panics still panic.
type discardLogger struct{}

func (discardLogger) Debug(...any) {}

func (discardLogger) Debugf(string, ...any) {}

func (discardLogger) Error(...any) {}

func (discardLogger) Errorf(string, ...any) {}

func (discardLogger) Info(...any) {}

func (discardLogger) Infof(string, ...any) {}

func (discardLogger) Warning(...any) {}

func (discardLogger) Warningf(string, ...any) {}

func (discardLogger) Fatal(v ...any) { panic(strings.TrimSpace(fmt.Sprintln(v...))) }

func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}

func (discardLogger) Panic(v ...any) { panic(strings.TrimSpace(fmt.Sprintln(v...))) }

func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
