// Node: what the program is told at its start, from one file. It is read once; nothing here decides.
package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"umberwinch/internal/profile"
)

// Node is the start-up file.
type Node struct {
	Name    string  `json:"name"`
	Listen  string  `json:"listen"`
	Kernel  string  `json:"kernel"`
	Control string  `json:"control"`
	Store   string  `json:"store"` // empty in the last tier, which makes no calls
	StopMS  float64 `json:"stop_ms"`
	Limits  struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Profile json.RawMessage `json:"settings"`

	prof *profile.Profile
}

// ReadNode reads the start-up file; name and address of the environment come before the file's.
func ReadNode(path, name, listen string) (*Node, error) {
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set, expected the path of the start-up file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var c Node
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("%s is not JSON as expected: %w", path, err)
	}
	if name != "" {
		c.Name = name
	}
	if listen != "" {
		c.Listen = listen
	}
	switch {
	case c.Name == "" || c.Listen == "" || c.Kernel == "":
		return nil, fmt.Errorf("%s: name, listen and kernel are needed", path)
	case !(c.StopMS > 0):
		return nil, fmt.Errorf("%s: stop_ms is %g, expected above 0", path, c.StopMS)
	}
	if c.prof, err = profile.Read(c.Profile); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &c, nil
}
