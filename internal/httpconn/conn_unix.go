package httpconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable peeks at the socket without blocking and reports whether data, an end of
// file or an error is pending. It also returns true if the socket cannot be
// examined.
func Readable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	pending := true
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err != unix.EAGAIN
		return true
	})
	return pending || err != nil
}
