package server

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	floodMemoryMB = 32 // the memory limit of the start-up file
	floodClients  = 400
	floodTime     = 3 * time.Second
)

// flooder opens connections again and again, and sends on each without reading a response, until it is closed.
type flooder struct {
	addr    string
	message string
}

func (f *flooder) run(end time.Time) {
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", f.addr, testTimeout)
		if err != nil {
			continue
		}
		c.SetDeadline(end)
		for err == nil {
			_, err = io.WriteString(c, f.message)
		}
		c.Close()
	}
}

// Hundreds of clients that send at full speed and read nothing don't make the program need more memory than it has, on
// one processor. Guards against input that is read ahead of its handling (issue 61, picture a).
func TestMemoryUnderFloodOnOneProcessor(t *testing.T) {
	for name, message := range map[string]string{
		"health checks": strings.Repeat("GET /health HTTP/1.1\r\nHost: a\r\n\r\n", 50),
		"large body": "POST /rpc/get HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n" +
			strings.Repeat("x", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("GOMAXPROCS", "1") // of the program
			n := startNode(t, map[string]string{"memory_mb": fmt.Sprint(floodMemoryMB), "sockets": "512"})
			end := time.Now().Add(floodTime)
			var clients sync.WaitGroup
			for range floodClients {
				clients.Go(func() { (&flooder{addr: n.addr, message: message}).run(end) })
			}
			clients.Wait()
			kb := n.peakMemoryKB()
			t.Logf("peak memory = %d KB", kb)
			if kb == 0 || kb > floodMemoryMB<<10 {
				t.Errorf("peak memory = %d KB, want at most %d", kb, floodMemoryMB<<10)
			}
		})
	}
}

// peakMemoryKB returns the program's peak resident memory, 0 if it is not known.
func (n *node) peakMemoryKB() (kb int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		n.t.Skip("/proc is not available")
	}
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	fmt.Sscan(peak, &kb)
	return kb
}
