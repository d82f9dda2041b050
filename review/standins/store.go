package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the store of PROTOCOL.md. It answers each call OK after a while; the reply depends on the
// call's body alone.
type Store struct {
	rec  *Record
	ln   net.Listener
	time func() time.Duration // of a call
}

func storeReply(body string) string { return "reply to " + body }

// NewStore starts a store on a free port.
func NewStore(rec *Record, callTime func() time.Duration) (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{rec: rec, ln: ln, time: callTime}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// Addr is where the store listens.
func (s *Store) Addr() string { return s.ln.Addr().String() }

func (s *Store) serve(c net.Conn) {
	defer c.Close()
	var mu sync.Mutex          // guards the writes and newest
	newest := map[string]int{} // by id: the number of its latest line, which gives up the earlier calls
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var verb, id string
		var ms, size int
		fmt.Sscan(line, &verb, &id, &ms, &size)
		mu.Lock()
		newest[id] = n
		mu.Unlock()
		if verb == "DROP" {
			s.rec.Addf("store DROP %s", id)
			continue
		}
		if verb != "CALL" || size < 0 || size > 1<<20 {
			return
		}
		body := make([]byte, size+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		text := strings.TrimSuffix(string(body), "\r\n")
		s.rec.Addf("store CALL %s %q", id, text)
		time.AfterFunc(s.time(), func() {
			mu.Lock()
			defer mu.Unlock()
			if newest[id] != n {
				return
			}
			reply := storeReply(text)
			s.rec.Addf("store OK %s %q", id, reply)
			fmt.Fprintf(c, "%s OK %d\r\n%s\r\n", id, len(reply), reply)
		})
	}
}
