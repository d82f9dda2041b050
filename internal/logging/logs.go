// Package logging sets logrus up once for every program: text or JSON, fields named alike everywhere. It owns
// the names of the fields; it never decides what is logged, and whoever logs never hands it a secret.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// The names of fields. What is not here has the name of the figure it is.
const (
	Node    = "node"    // the instance or node that writes, or the one spoken of as Peer
	Peer    = "peer"    // another instance
	Req     = "req"     // a req's handle
	Version = "version" // of the configuration
	Term    = "term"    // of the group
	Index   = "index"   // in the group's log
	Cause   = "cause"   // an error
)

// New gives a logger that writes to w in the form "text" or "json", from a level on.
func New(w io.Writer, form, from string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	if form == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	} else {
		log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
			TimestampFormat: "15:04:05.000"})
	}
	if level, err := logrus.ParseLevel(from); err == nil {
		log.SetLevel(level)
	}
	return log
}
