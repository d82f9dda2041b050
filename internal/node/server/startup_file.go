package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"umberwinch/internal/config"
	"umberwinch/internal/node/settings"
)

// StartupFile is the start-up file: the node's configuration, read at start and on a reload. It is validated as a whole
// before any of it applies.
type StartupFile struct {
	Name    string  `json:"name"`
	Listen  string  `json:"listen"`
	Kernel  string  `json:"kernel"`
	Control string  `json:"control"` // address of service discovery, not of the control service
	Store   string  `json:"store"`   // empty in the last tier, which makes no calls
	StopMS  float64 `json:"stop_ms"`
	Limits  struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"`

	settings *settings.Startup
	operator *config.Node // the operator's file, or defaults without one; nil only before SetOperatorConfig
}

// ReadStartupFile reads the start-up file. name and listen, from the environment, override the file's values.
func ReadStartupFile(path, name, listen string) (*StartupFile, error) {
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set, expected the path of the start-up file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var c StartupFile
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("%s is not JSON as expected: %w", path, err)
	}
	if name != "" {
		c.Name = name
	}
	if listen != "" {
		c.Listen = listen
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.settings, err = settings.Parse(c.Settings); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &c, nil
}

// check returns an error that names the invalid key, the value found and the value expected.
func (c *StartupFile) check() error {
	if c.Name == "" {
		return errors.New("name: found none, expected the server's name")
	}
	for _, field := range []struct {
		key, found string
		required   bool
	}{
		{"listen", c.Listen, true},
		{"kernel", c.Kernel, true},
		{"store", c.Store, false},
		{"control", c.Control, false},
	} {
		if (field.required || field.found != "") && !isHostPort(field.found) {
			return fmt.Errorf("%s: found %.80q, expected HOST:PORT", field.key, field.found)
		}
	}
	if !(c.StopMS > 0) {
		return fmt.Errorf("stop_ms: found %g, expected above 0", c.StopMS)
	}
	return nil
}

// ReadConfig reads the start-up file and the operator's file, if UMBERWINCH_FILE names one, and validates them
// together.
func ReadConfig(getenv func(string) string) (*StartupFile, error) {
	own := &config.Node{LogFormat: "text", LogLevel: "info"}
	var err error
	if path := getenv("UMBERWINCH_FILE"); path != "" {
		if own, err = config.ReadNode(path); err != nil {
			return nil, err
		}
	}
	c, err := ReadStartupFile(getenv("NODE_CONFIG"), getenv("NODE_NAME"), getenv("NODE_LISTEN"))
	if err != nil {
		return nil, err
	}
	return c, c.SetOperatorConfig(own)
}

// LogSettings returns the format and the minimum level of the log.
func (c *StartupFile) LogSettings() (format, level string) {
	return c.operator.LogFormat, c.operator.LogLevel
}

// isHostPort reports whether a string has the form HOST:PORT.
func isHostPort(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}

// changedFixedKeys lists the keys that differ in another file but can't change while the program serves.
func (c *StartupFile) changedFixedKeys(next *StartupFile) string {
	var changed []string
	for _, f := range []struct {
		name string
		same bool
	}{{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen}, {"stop_ms", c.StopMS == next.StopMS},
		{"limits", c.Limits == next.Limits}, {"settings", bytes.Equal(c.Settings, next.Settings)}} {
		if !f.same {
			changed = append(changed, f.name)
		}
	}
	return strings.Join(changed, ", ")
}
