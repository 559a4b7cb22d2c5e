package netlimit

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Accepted connections have the options of their listener, and dialed ones those of their dialer.
func TestSocketOptionsAreInherited(t *testing.T) {
	s := Sockets{BufferBytes: 16 << 10, UnackedTime: 10 * time.Second}
	ln, err := s.Listen("127.0.0.1:0", zap.NewNop())
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	d := net.Dialer{Control: Sockets{BufferBytes: 64 << 10}.ControlDial}
	dialed, err := d.Dial("tcp4", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = dialed.Close() }()
	accepted, err := ln.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	for _, want := range []struct {
		conn                  net.Conn
		level, option, double int
	}{
		{accepted, unix.SOL_SOCKET, unix.SO_RCVBUF, 2 * 16 << 10},
		{accepted, unix.SOL_SOCKET, unix.SO_SNDBUF, 2 * 16 << 10},
		{accepted, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 10_000},
		{dialed, unix.SOL_SOCKET, unix.SO_RCVBUF, 2 * 64 << 10},
		{dialed, unix.SOL_SOCKET, unix.SO_SNDBUF, 2 * 64 << 10},
		{dialed, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 0},
	} {
		raw, err := want.conn.(*net.TCPConn).SyscallConn()
		assert.NilError(t, err)
		got := 0
		assert.NilError(t, raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), want.level, want.option) }))
		assert.NilError(t, err)
		assert.Equal(t, got, want.double, "option %d", want.option)
	}
}
