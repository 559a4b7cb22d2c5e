package mesh

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
)

var errReplaced = errors.New("mesh: a later incarnation runs at the address")

// wrongMemberError reports that another member than the wanted one answers at
// the address.
type wrongMemberError struct{ want, got ident.Member }

func (e *wrongMemberError) Error() string {
	return fmt.Sprintf("mesh: %s answers in place of %s", e.got, e.want)
}

// link holds the connection that this daemon dials to one address. It dials on
// first use. After a failure it does not dial again before a random delay that
// grows with each failure.
type link struct {
	m    *Mesh
	addr string

	mu          sync.Mutex                 // guards the fields below
	conn        *conn                      // the newest connection; nil if none
	dialing     *dialAttempt               // the dial in progress; nil if none
	pending     *duty.Ring[pendingMessage] // messages to send after the dial; if full, further ones are dropped
	retryDelays *backoff.ExponentialBackOff
	retryAt     int64 // no dial before this time, see Mesh.now
	lastErr     error // of the last failed dial or short-lived connection
}

// dialAttempt is a dial in progress, for which several callers may wait.
type dialAttempt struct {
	done chan struct{} // closed when err is set
	err  error
}

// pendingMessage is a control message that waits for a dial to end.
type pendingMessage struct {
	to      ident.Member
	payload []byte
}

func newLink(m *Mesh, addr string) *link {
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval = m.cfg.RetryMin
	retryDelays.MaxInterval = m.cfg.RetryMax
	return &link{m: m, addr: addr, retryDelays: retryDelays}
}

// openStream registers a stream with the connection to a peer. If the
// connection was just closed as idle, openStream dials a new one.
func (l *link) openStream(ctx context.Context, to Peer, s *stream) error {
	for {
		c, err := l.connect(ctx, to)
		if err != nil {
			return err
		}
		err = c.openStream(s)
		if !errors.Is(err, errIdle) {
			return err
		}
	}
}

// connect returns the connection to a peer. If there is none, it dials and
// waits.
func (l *link) connect(ctx context.Context, to Peer) (*conn, error) {
	for {
		c, d, err := l.connectOrDial(to)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-d.done:
		case <-ctx.Done():
			return nil, fmt.Errorf("mesh: dial %s: %w", l.addr, context.Cause(ctx))
		}
		if d.err != nil {
			return nil, d.err
		}
	}
}

// connectOrDial returns the live connection, or starts a dial if needed and
// returns the dial in progress.
func (l *link) connectOrDial(to Peer) (*conn, *dialAttempt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.liveConn(to); c != nil {
		return c, nil, checkMember(to.Member, c.peer)
	}
	if err := l.startDial(to); err != nil {
		return nil, nil, err
	}
	return nil, l.dialing, nil
}

// liveConn returns the live connection, or nil. If it leads to an earlier
// incarnation of the host than to.Member, the process there has been replaced,
// and liveConn drops the connection. The caller holds l.mu.
func (l *link) liveConn(to Peer) *conn {
	c := l.conn
	if c == nil || !c.alive() {
		return nil
	}
	if c.peer.Host == to.Member.Host && c.peer.Incarnation < to.Member.Incarnation {
		l.conn = nil
		l.m.spawn("replace", func() { c.fail(errReplaced) })
		return nil
	}
	return c
}

// checkMember returns an error if got is not the wanted member. A zero want
// matches any member.
func checkMember(want, got ident.Member) error {
	if want.IsZero() || want == got {
		return nil
	}
	return &wrongMemberError{want: want, got: got}
}

// startDial starts a dial unless one is in progress. It fails before retryAt.
// The caller holds l.mu.
func (l *link) startDial(to Peer) error {
	if l.dialing != nil {
		return nil
	}
	if l.m.now() < l.retryAt {
		return fmt.Errorf("mesh: not dialed again yet: %w", l.lastErr)
	}
	d := &dialAttempt{done: make(chan struct{})}
	if !l.m.spawn("dial", func() { l.dial(to, d) }) {
		return ErrClosed
	}
	l.dialing = d
	return nil
}

// dial dials the peer and completes d with the result.
func (l *link) dial(to Peer, d *dialAttempt) {
	ctx, cancel := context.WithTimeout(l.m.group.Context(), l.m.cfg.DialTimeout)
	defer cancel()
	c, err := l.m.dial(ctx, to)
	if err == nil {
		c.link = l
		err = l.m.startConn(c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = nil
	if err == nil {
		err = context.Cause(c.ctx)
	}
	if err != nil {
		l.onConnectFailed(err)
	} else {
		l.onConnected(c)
	}
	d.err = err
	close(d.done)
}

// onConnected stores the new connection and sends the pending messages over it.
// The caller holds l.mu.
func (l *link) onConnected(c *conn) {
	l.conn = c
	l.retryAt = 0
	l.retryDelays.Reset()
	if l.pending == nil {
		return
	}
	for range l.pending.Len() {
		p := <-l.pending.C()
		if checkMember(p.to, c.peer) != nil || !c.sendControl(p.payload) {
			l.m.counts.controlDropped.Add(1)
		}
	}
}

// onConnectFailed sets the delay before the next dial and drops the pending
// messages. The caller holds l.mu.
func (l *link) onConnectFailed(err error) {
	delay := l.retryDelays.NextBackOff()
	l.retryAt = l.m.now() + int64(delay)
	l.lastErr = err
	l.m.log.Warn("mesh_dial_failed", zap.String("addr", l.addr), zap.Duration("retry_after", delay), zap.Error(err))
	if l.pending == nil {
		return
	}
	for range l.pending.Len() {
		<-l.pending.C()
		l.m.counts.controlDropped.Add(1)
	}
}

// send queues a control message and reports whether it was queued.
func (l *link) send(to Peer, payload []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.liveConn(to); c != nil {
		return checkMember(to.Member, c.peer) == nil && c.sendControl(payload)
	}
	if err := l.startDial(to); err != nil {
		return false
	}
	if l.pending == nil {
		l.pending = duty.NewRing[pendingMessage](defaultPendingRing, duty.RefuseNew)
	}
	return l.pending.Put(context.Background(), pendingMessage{to: to.Member, payload: payload})
}

// removeConn removes an ended connection. A connection that ended within
// RetryMax of its start counts as a failed dial, so that a peer that accepts
// and then closes connections is not dialed in a tight loop.
func (l *link) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != c {
		return
	}
	l.conn = nil
	err := context.Cause(c.ctx)
	if time.Duration(l.m.now()-c.startedAt) < l.m.cfg.RetryMax && !errors.Is(err, errIdle) {
		l.onConnectFailed(err)
	}
}
