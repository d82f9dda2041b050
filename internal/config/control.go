package config

import (
	"fmt"
	"strconv"
	"time"
)

// Control holds the settings of one instance of the control service.
type Control struct {
	Name           string        // display name; the group identifies the instance by its id
	Data           string        // folder of the log and snapshots, used by one process at a time
	Start          string        // "new" creates a group of one, "join" waits to be added to a group
	Peer           string        // address at which other instances reach this one
	Bind           string        // address to listen on for other instances; differs from Peer behind a forwarder
	Listen         string        // address to listen on for clients
	Tick           time.Duration // time unit of the group
	ElectionTicks  int           // minimum ticks without a leader before an election; the maximum is twice as many
	DiskMB         int           // maximum size of log and snapshots, MiB
	SnapshotMB     int           // size of the log at which a snapshot is taken, MiB
	SnapshotRateMB int           // maximum rate of sending a snapshot to another instance, MiB/s
	ContactTimeout time.Duration // time without a leader after which the instance marks its data as possibly stale
	Cert           string        // PEM file
	Key            string        // PEM file
	CA             string        // PEM file
	Token          string        // required from clients for changes; never shown
	LogFormat      string        // text or json
	LogLevel       string        // minimum level of log lines
}

// ReadControl reads and validates an instance's settings file, such as deploy/control.ini. An invalid file is an error
// of type Faults.
func ReadControl(path string) (*Control, error) {
	t, err := Open(path)
	if err != nil {
		return nil, err
	}
	return readControl(t)
}

func readControl(t *Text) (*Control, error) {
	c := &Control{
		Name:           t.Required("instance", "name", "a name of letters, digits, '-', '_' and '.'"),
		Data:           t.Required("instance", "data", "a folder for log and snapshots"),
		Start:          t.Choice("instance", "start", "new", "new", "join"),
		Peer:           t.Address("instance", "peer", "127.0.0.1:7101"),
		Listen:         t.Address("instance", "listen", "127.0.0.1:7201"),
		Tick:           t.Duration("group", "tick", 50*time.Millisecond, 5*time.Millisecond, time.Second),
		ElectionTicks:  t.Int("group", "election_ticks", 10, 3, 1000),
		ContactTimeout: t.Duration("group", "out_of_touch", 2*time.Second, 100*time.Millisecond, time.Minute),
		DiskMB:         t.Int("disk", "limit_mb", 512, 16, 1<<20),
		SnapshotMB:     t.Int("disk", "snapshot_mb", 8, 1, 1024),
		SnapshotRateMB: t.Int("disk", "snapshot_rate_mb", 32, 1, 4096),
		Cert:           t.String("tls", "certificate", ""),
		Key:            t.String("tls", "key", ""),
		CA:             t.String("tls", "authority", ""),
		Token:          t.Secret("clients", "token"),
		LogFormat:      t.Choice("log", "form", "text", "text", "json"),
		LogLevel:       t.Choice("log", "from", "info", "debug", "info", "warning", "error"),
	}
	c.Bind = t.Address("instance", "bind", c.Peer)
	if c.Name != "" && !IsName(c.Name) {
		t.AddFault("instance", "name", strconv.Quote(truncate(c.Name)), "up to 40 letters, digits, '-', '_' and '.'")
	}
	if c.Peer == c.Listen || c.Bind == c.Listen {
		t.AddFault("instance", "listen", strconv.Quote(c.Listen)+", the peers' address", "a different address")
	}
	if c.DiskMB < 6*c.SnapshotMB {
		t.AddFault("disk", "limit_mb", strconv.Itoa(c.DiskMB), fmt.Sprintf("at least six times snapshot_mb, %d",
			6*c.SnapshotMB))
	}
	if hasTLS := c.Cert != "" || c.Key != "" || c.CA != ""; hasTLS && (c.Cert == "" || c.Key == "" || c.CA == "") {
		t.AddFault("tls", "", "only some of its keys", "certificate, key and authority, or none of them")
	} else if !hasTLS {
		for _, a := range []struct{ key, address string }{{"peer", c.Peer}, {"bind", c.Bind},
			{"listen", c.Listen}} {
			if !IsLoopback(a.address) && (a.key != "bind" || c.Bind != c.Peer) {
				t.AddFault("instance", a.key, strconv.Quote(a.address)+" and no [tls]",
					"a loopback address, or certificate, key and authority under [tls]")
			}
		}
	}
	if c.Token != "" && len(c.Token) < 16 {
		t.AddFault("clients", "token", "", "at least 16 characters, or no token")
	}
	if err := t.Finish(); err != nil {
		return nil, err
	}
	return c, nil
}

// IsName reports whether s is a valid name of an instance, class or the like: up to 40 letters, digits, '-', '_' and
// '.', the first not '-' or '.'.
func IsName(s string) bool {
	if s == "" || len(s) > 40 || s[0] == '-' || s[0] == '.' {
		return false
	}
	for _, r := range s {
		if !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' ||
			r == '.') {
			return false
		}
	}
	return true
}
