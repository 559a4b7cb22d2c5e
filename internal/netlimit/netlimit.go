// Package netlimit keeps a process alive that runs out of file descriptors: it divides them
// between callers and the process itself, and its listeners outlast failed accepts.
package netlimit

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// Descriptors that callers may not use: for other daemons, the backend server, the store and
// files.
const (
	maxReserved   = 1024
	reservedShare = 4 // at most the fourth part of all
)

// Delays after a failed accept.
const (
	firstAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay   = 200 * time.Millisecond
)

// CallerConnections returns how many connections of callers the process can hold.
func CallerConnections() (int, error) {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0, fmt.Errorf("netlimit: %w", err)
	}
	const most = 1 << 20 // the limit may be "infinite"
	n := int(min(l.Cur, most))
	return n - min(maxReserved, n/reservedShare), nil
}

// Listener is a listener whose Accept waits and tries again while the process or the machine
// lacks the means for another connection.
type Listener struct {
	net.Listener
	log         *zap.Logger
	delays      *backoff.ExponentialBackOff
	unackedTime time.Duration // of its connections; zero sets none
}

// NewListener returns a listener on top of ln. Only one goroutine may call Accept.
func NewListener(ln net.Listener, log *zap.Logger) *Listener {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstAcceptDelay, maxAcceptDelay
	return &Listener{Listener: ln, log: log, delays: b}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for failed := false; ; failed = true {
		c, err := l.Listener.Accept()
		if err == nil || !isTemporary(err) {
			l.delays.Reset()
			if err == nil && l.unackedTime > 0 {
				if err := limitUnacked(c, l.unackedTime); err != nil {
					l.log.Debug("socket_options_failed", zap.Stringer("addr", l.Addr()), zap.Error(err)) // the peer may have left
				}
			}
			return c, err
		}
		if !failed {
			l.log.Warn("accept_failed", zap.Stringer("addr", l.Addr()), zap.Error(err))
		}
		time.Sleep(l.delays.NextBackOff())
	}
}

// isTemporary reports whether a later accept may succeed.
func isTemporary(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPERM, syscall.EPROTO} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
