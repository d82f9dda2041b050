package server

import (
	"net"
	"testing"
	"time"
)

// A command that is queued as the kernel has already ended the link is never sent, so it is not in doubt. Guards
// against an error for a request whose start the kernel can't have read.
func TestUnsentCommandIsNotInDoubt(t *testing.T) {
	for _, ended := range []bool{false, true} {
		l := loopWithKernel()
		l.answerGauges(l.sendGaugesRequest()) // opens the gate
		_, before := l.startRunOf(keyedHandler)
		l.awaitSent()
		l.kernel.dialed.writer.peerEnded = func() bool { return ended }
		_, after := l.startRunOf(nonRetryableHandler)
		after.stop()
		l.sendStop(after)
		l.awaitSent()
		l.closeLink(&l.kernel.link, errClosed)
		l.connectKernel()
		if before.runCommand == unsentCommand || (after.runCommand == unsentCommand) != ended ||
			(after.stopCommand == unsentCommand) != ended {
			t.Errorf("kernel ended = %v: start before = %d, after = %d, stop after = %d, want those after unsent: %v", ended,
				before.runCommand, after.runCommand, after.stopCommand, ended)
		}
		l.reconnect()
		if inDoubt := l.counters.CommandsInDoubt; after.startInDoubt == ended || (inDoubt != 2) != ended {
			t.Errorf("kernel ended = %v: start after in doubt = %v, commands in doubt = %d", ended, after.startInDoubt, inDoubt)
		}
	}
}

// The end of a peer's stream shows on its socket once everything before it was read.
func TestStreamEnded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	file, err := conn.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	s := &socket{fd: int(file.Fd())}
	if s.streamEnded() || hasUnread(s.fd) {
		t.Error("stream of an idle connection has ended, or has bytes to read")
	}
	client.Write([]byte("x"))
	client.Close()
	if !waitUntil(func() bool { return hasUnread(s.fd) }) || s.streamEnded() {
		t.Error("stream has ended before its last byte was read")
	}
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if !waitUntil(s.streamEnded) || hasUnread(s.fd) {
		t.Error("stream has not ended after its last byte was read")
	}
}
