package connlimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Clients make a server close connections and take nothing of the last answer. Those that wait for
// longest lose it; a client that reads gets all of it, and nothing waits afterwards.
func TestAnswersOfClosedConnectionsAreBounded(t *testing.T) {
	const answer, conns = 20_000, 12
	d := NewDrainer(1<<20, 3*answer, time.Hour) // one is closed directly
	port, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := d.Listener(port)
	defer func() { _ = ln.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	var clients []net.Conn
	for range conns {
		dialer := net.Dialer{Control: smallBuffer}
		client, err := dialer.Dial("tcp4", ln.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = client.Close() }()
		clients = append(clients, client)
		c, err := ln.Accept()
		assert.NilError(t, err)
		_, err = c.Write(make([]byte, answer))
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		d.mu.Lock()
		assert.Assert(t, d.bytes <= 3*answer, "%d bytes wait", d.bytes)
		d.mu.Unlock()
	}
	whole := 0
	for _, c := range clients {
		got, err := io.ReadAll(c)
		if err == nil && bytes.Equal(got, make([]byte, answer)) {
			whole++
		}
	}
	assert.Assert(t, whole >= 3 && whole < conns, "%d answers were read whole", whole)
	assert.Equal(t, int(d.Resets()), conns-whole)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(d.waiting) > 0 || d.bytes != 0 {
			return poll.Continue("%d wait", len(d.waiting))
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	cancel()
	assert.NilError(t, <-ended)
}

// smallBuffer is a Control function of a dialer whose connections receive little ahead.
func smallBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1) })
}
