package config

import (
	"fmt"
	"strconv"
	"time"
)

// Control is the file of one instance of the control service.
type Control struct {
	Name           string // of this instance, for people; the group knows it by an id of its own
	Data           string // folder of its log and snapshots; one process at a time
	Start          string // "new" founds a group of one, "join" waits to be added to one
	Peer           string // where other instances reach it
	Bind           string // where it listens for them, if a forwarder stands between
	Listen         string // where it listens for clients
	Tick           time.Duration
	ElectionTicks  int           // without a leader before an election; drawn from here to twice as many
	DiskMB         int           // limit of log and snapshots, MiB
	SnapshotMB     int           // MiB of log after which a snapshot is taken
	SnapshotRateMB int           // of a snapshot to another instance, MiB a second
	ContactTimeout time.Duration // without a leader before an instance says that what it holds may be old
	Cert           string
	Key            string
	CA             string
	Token          string // needed for changes; never shown
	LogForm        string
	LogFrom        string
}

// ReadControl reads and checks an instance's file, as deploy/control.ini. The error is Faults, or that of the file.
func ReadControl(path string) (*Control, error) {
	t, err := Open(path)
	if err != nil {
		return nil, err
	}
	return readControl(t)
}

func readControl(t *Text) (*Control, error) {
	c := &Control{
		Name:           t.Needed("instance", "name", "a name of letters, digits, '-' and '_'"),
		Data:           t.Needed("instance", "data", "a folder for log and snapshots"),
		Start:          t.Choice("instance", "start", "new", "new", "join"),
		Peer:           t.Address("instance", "peer", "127.0.0.1:7101"),
		Listen:         t.Address("instance", "listen", "127.0.0.1:7201"),
		Tick:           t.Time("group", "tick", 50*time.Millisecond, 5*time.Millisecond, time.Second),
		ElectionTicks:  t.Whole("group", "election_ticks", 10, 3, 1000),
		ContactTimeout: t.Time("group", "out_of_touch", 2*time.Second, 100*time.Millisecond, time.Minute),
		DiskMB:         t.Whole("disk", "limit_mb", 512, 16, 1<<20),
		SnapshotMB:     t.Whole("disk", "snapshot_mb", 8, 1, 1024),
		SnapshotRateMB: t.Whole("disk", "snapshot_rate_mb", 32, 1, 4096),
		Cert:           t.String("tls", "certificate", ""),
		Key:            t.String("tls", "key", ""),
		CA:             t.String("tls", "authority", ""),
		Token:          t.Secret("clients", "token"),
		LogForm:        t.Choice("log", "form", "text", "text", "json"),
		LogFrom:        t.Choice("log", "from", "info", "debug", "info", "warning", "error"),
	}
	c.Bind = t.Address("instance", "bind", c.Peer)
	if c.Name != "" && !IsName(c.Name) {
		t.Note("instance", "name", strconv.Quote(truncate(c.Name)), "up to 40 letters, digits, '-' and '_'")
	}
	if c.Peer == c.Listen || c.Bind == c.Listen {
		t.Note("instance", "listen", strconv.Quote(c.Listen)+", the peers' address", "an address of its own")
	}
	if c.DiskMB < 6*c.SnapshotMB {
		t.Note("disk", "limit_mb", strconv.Itoa(c.DiskMB), fmt.Sprintf("six times snapshot_mb at least, %d",
			6*c.SnapshotMB))
	}
	if given := c.Cert != "" || c.Key != "" || c.CA != ""; given && (c.Cert == "" || c.Key == "" || c.CA == "") {
		t.Note("tls", "", "some of its keys", "certificate, key and authority, or none")
	} else if !given {
		for _, a := range []struct{ key, at string }{{"peer", c.Peer}, {"bind", c.Bind},
			{"listen", c.Listen}} {
			if !Loopback(a.at) && (a.key != "bind" || c.Bind != c.Peer) {
				t.Note("instance", a.key, strconv.Quote(a.at)+" and no [tls]",
					"a loopback address, or certificate, key and authority under [tls]")
			}
		}
	}
	if c.Token != "" && len(c.Token) < 16 {
		t.Note("clients", "token", "", "16 characters at least, or no token")
	}
	if err := t.Done(); err != nil {
		return nil, err
	}
	return c, nil
}

// IsName tells whether s can name an instance, class or the like: up to 40 letters, digits, '-', '_' and '.'.
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
