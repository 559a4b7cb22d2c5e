package netlimit

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// Sockets are options of the connections of a listener, or of one that is dialed. The kernel
// doubles the sizes for its own structures.
type Sockets struct {
	BufferBytes int           // of the send and of the receive buffer, each; the kernel no longer enlarges them
	UnackedTime time.Duration // after which an accepted connection ends whose peer takes nothing of what was sent, also once it is closed; zero sets none
}

// setOption sets an option of a socket to an integer.
func setOption(raw syscall.RawConn, level, option, value int) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), level, option, value) })
	return errors.Join(err, optionErr)
}

// setBuffers sets the sizes of the buffers. Connections inherit those of their listener.
func (s Sockets) setBuffers(raw syscall.RawConn) error {
	return errors.Join(
		setOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, s.BufferBytes),
		setOption(raw, unix.SOL_SOCKET, unix.SO_SNDBUF, s.BufferBytes))
}

// limitUnacked sets how long a connection waits for its peer to take what was sent.
func limitUnacked(c net.Conn, d time.Duration) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return setOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// Listen opens a TCP port whose connections have the options of s. A port whose options cannot be
// set is used without them.
func (s Sockets) Listen(addr string, log *zap.Logger) (*Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if err := s.setBuffers(raw); err != nil {
			log.Warn("socket_options_failed", zap.String("addr", addr), zap.Error(err))
		}
		return nil
	}}
	ln, err := c.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("netlimit: %w", err)
	}
	l := NewListener(ln, log)
	l.unackedTime = s.UnackedTime
	return l, nil
}

// ControlDial is a Control function of a net.Dialer. A connection whose options cannot be set is
// used without them.
func (s Sockets) ControlDial(_, _ string, raw syscall.RawConn) error {
	_ = s.setBuffers(raw)
	return nil
}
