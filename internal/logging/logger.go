package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Timestamps have milliseconds, to order the lines of several processes.
const (
	jsonTimestamp = "2006-01-02T15:04:05.000Z07:00"
	textTimestamp = "15:04:05.000"
)

// New returns a logger that writes lines of minLevel and above to w. Any format other than FormatJSON is text. An
// unknown minLevel is info.
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
