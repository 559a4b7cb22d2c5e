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

// wrongMemberError means that another member answers at the address.
type wrongMemberError struct{ want, got ident.Member }

func (e *wrongMemberError) Error() string {
	return fmt.Sprintf("mesh: %s answers in place of %s", e.got, e.want)
}

// link keeps the connection that this daemon dials to one address: it dials on
// first use, and after a failure not before a growing random delay.
type link struct {
	m    *Mesh
	addr string

	mu      sync.Mutex // guards the fields below
	cur     *conn
	dialing *dialing
	pending *duty.Ring[pendingMessage] // sent while dialing; full: the message is dropped
	delays  *backoff.ExponentialBackOff
	retryAt int64 // no dial before, see Mesh.now
	lastErr error // of the last dial
}

// dialing is a dial in progress that several callers wait for.
type dialing struct {
	done chan struct{} // closed when err is set
	err  error
}

type pendingMessage struct {
	to      ident.Member
	payload []byte
}

func newLink(m *Mesh, addr string) *link {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = m.cfg.RetryMin
	delays.MaxInterval = m.cfg.RetryMax
	return &link{m: m, addr: addr, delays: delays}
}

// open registers a stream with the connection to a peer. A connection that has
// become idle just now is replaced.
func (l *link) open(ctx context.Context, to Peer, s *stream) error {
	for {
		c, err := l.connect(ctx, to)
		if err != nil {
			return err
		}
		err = c.open(s)
		if !errors.Is(err, errIdle) {
			return err
		}
	}
}

// connect returns the connection to a peer and dials if there is none.
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

func (l *link) connectOrDial(to Peer) (*conn, *dialing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.current(to); c != nil {
		return c, nil, matchMember(to.Member, c.peer)
	}
	if err := l.startDial(to); err != nil {
		return nil, nil, err
	}
	return nil, l.dialing, nil
}

// current returns the live connection. One to an earlier incarnation than asked
// for is given up: its process has been replaced. The caller holds l.mu.
func (l *link) current(to Peer) *conn {
	c := l.cur
	if c == nil || !c.alive() {
		return nil
	}
	if c.peer.Host == to.Member.Host && c.peer.Incarnation < to.Member.Incarnation {
		l.cur = nil
		l.m.spawn("replace", func() { c.fail(errReplaced) })
		return nil
	}
	return c
}

func matchMember(want, got ident.Member) error {
	if want.IsZero() || want == got {
		return nil
	}
	return &wrongMemberError{want: want, got: got}
}

// startDial begins a dial unless one runs already. It fails while the delay
// after the last failure runs. The caller holds l.mu.
func (l *link) startDial(to Peer) error {
	if l.dialing != nil {
		return nil
	}
	if l.m.now() < l.retryAt {
		return fmt.Errorf("mesh: not dialed again yet: %w", l.lastErr)
	}
	d := &dialing{done: make(chan struct{})}
	if !l.m.spawn("dial", func() { l.dial(to, d) }) {
		return ErrClosed
	}
	l.dialing = d
	return nil
}

func (l *link) dial(to Peer, d *dialing) {
	ctx, cancel := context.WithTimeout(l.m.group.Context(), l.m.cfg.DialTimeout)
	defer cancel()
	c, err := l.m.dial(ctx, to)
	if err == nil {
		c.link = l
		err = l.m.run(c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = nil
	if err == nil {
		err = context.Cause(c.ctx)
	}
	if err != nil {
		l.failed(err)
	} else {
		l.connected(c)
	}
	d.err = err
	close(d.done)
}

// connected stores the connection and sends the messages that waited for it.
// The caller holds l.mu.
func (l *link) connected(c *conn) {
	l.cur = c
	l.retryAt = 0
	l.delays.Reset()
	if l.pending == nil {
		return
	}
	for range l.pending.Len() {
		p := <-l.pending.C()
		if matchMember(p.to, c.peer) != nil || !c.sendControl(p.payload) {
			l.m.counts.controlDropped.Add(1)
		}
	}
}

// failed sets the delay and drops the messages that waited. The caller holds
// l.mu.
func (l *link) failed(err error) {
	delay := l.delays.NextBackOff()
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
	if c := l.current(to); c != nil {
		return matchMember(to.Member, c.peer) == nil && c.sendControl(payload)
	}
	if err := l.startDial(to); err != nil {
		return false
	}
	if l.pending == nil {
		l.pending = duty.NewRing[pendingMessage](defaultPendingRing, duty.RefuseNew)
	}
	return l.pending.Put(context.Background(), pendingMessage{to: to.Member, payload: payload})
}

// forget drops an ended connection. One that ended soon after the dial counts as
// a failed dial, so that a peer that refuses is not dialed without pause.
func (l *link) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cur != c {
		return
	}
	l.cur = nil
	err := context.Cause(c.ctx)
	if time.Duration(l.m.now()-c.since) < l.m.cfg.RetryMax && !errors.Is(err, errIdle) {
		l.failed(err)
	}
}
