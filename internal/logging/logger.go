package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Forms of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Timestamps have milliseconds, which is enough to put the lines of several processes in order.
const (
	jsonTimestamp = "2006-01-02T15:04:05.000Z07:00"
	textTimestamp = "15:04:05.000"
)

// New returns a logger that writes to w as FormatText or FormatJSON (anything else is text) lines of minLevel and
// above. minLevel is a name that logrus knows; an unknown one leaves the default, info.
func New(w io.Writer, format, minLevel string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	if format == FormatJSON {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: jsonTimestamp})
	} else {
		log.SetFormatter(&logrus.TextFormatter{
			DisableColors:   true,
			FullTimestamp:   true,
			TimestampFormat: textTimestamp,
		})
	}
	if level, err := logrus.ParseLevel(minLevel); err == nil {
		log.SetLevel(level)
	}
	return log
}
