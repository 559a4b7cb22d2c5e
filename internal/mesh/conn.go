package mesh

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
)

var (
	errPingTimeout = errors.New("mesh: peer has been silent for too long")
	errIdle        = errors.New("mesh: connection was idle")
	errUrgentFull  = errors.New("mesh: ring of urgent frames is full")
)

// conn is one WebSocket connection after its hello messages. The daemon that
// dialed it opens the streams, the other serves them. The reader and the writer
// have a goroutine each.
type conn struct {
	m          *Mesh
	cfg        *Config
	ws         *websocket.Conn
	link       *link // nil on the serving side
	dialed     bool  // this side opens the streams
	since      int64 // start of the connection, see Mesh.now
	peer       ident.Member
	version    uint16
	peerWindow int // credit of a new stream, as the peer's hello says

	// The writer takes from urgent first, then control, then data.
	urgent  *duty.Ring[*item] // credit, resets, pings; full: the connection is closed
	control *duty.Ring[*item] // control messages; full: the message is dropped
	data    *duty.Ring[*item] // heads and bodies; full: the sender waits

	ctx      context.Context // ends with the connection
	cancel   context.CancelCauseFunc
	closing  chan struct{} // closed to flush the rings and end
	closeOne sync.Once
	readDone chan struct{} // closed when the reader has ended

	lastRead  atomic.Int64 // time of the last message received, see Mesh.now
	lastWrite atomic.Int64 // time of the last message sent
	lastUsed  atomic.Int64 // time of the last stream or control message

	mu      sync.Mutex // guards the fields below
	streams map[uint32]*stream
	lastID  uint32 // of the newest stream that this side opened
	err     error  // why the connection ended
}

func newConn(m *Mesh, ws *websocket.Conn, remote hello, dialed bool) *conn {
	c := &conn{
		m:          m,
		cfg:        &m.cfg,
		ws:         ws,
		dialed:     dialed,
		peer:       remote.Member,
		version:    min(remote.Version, m.cfg.Version),
		peerWindow: int(min(remote.Window, maxCredit)),
		urgent:     duty.NewRing[*item](defaultUrgentRing, duty.RefuseNew),
		control:    duty.NewRing[*item](m.cfg.ControlRing, duty.RefuseNew),
		data:       duty.NewRing[*item](m.cfg.DataRing, duty.Block),
		closing:    make(chan struct{}),
		readDone:   make(chan struct{}),
		streams:    make(map[uint32]*stream),
	}
	c.ctx, c.cancel = context.WithCancelCause(m.group.Context())
	now := m.now()
	c.since = now
	c.lastRead.Store(now)
	c.lastWrite.Store(now)
	c.lastUsed.Store(now)
	ws.SetReadLimit(int64(m.cfg.maxMessage()))
	return c
}

// fail ends the connection and all its streams.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	streams := c.streams
	c.streams = nil
	c.mu.Unlock()

	c.cancel(err)
	_ = c.ws.Close()
	for _, s := range streams {
		s.fail(fmt.Errorf("mesh: connection to %s: %w", c.peer, err))
	}
	c.m.forget(c)
	c.m.log.Info("mesh_disconnected", zap.Stringer("peer", c.peer), zap.Bool("dialed", c.dialed), zap.Error(err))
}

// shut sends what is queued and then ends the connection.
func (c *conn) shut() { c.closeOne.Do(func() { close(c.closing) }) }

// await waits for the end of a connection that was shut, and forces it when ctx
// ends.
func (c *conn) await(ctx context.Context) {
	select {
	case <-c.ctx.Done():
	case <-ctx.Done():
		c.fail(ErrClosed)
	}
}

func (c *conn) isShut() bool {
	select {
	case <-c.closing:
		return true
	default:
		return false
	}
}

func (c *conn) alive() bool { return c.ctx.Err() == nil }

// open registers a new stream of this side.
func (c *conn) open(s *stream) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	if len(c.streams) >= c.cfg.MaxStreams {
		return ErrBusy
	}
	c.lastID = c.unusedID()
	s.init(c, c.lastID)
	c.streams[s.id] = s
	return nil
}

// unusedID returns the next number that no open stream has. The caller holds
// c.mu.
func (c *conn) unusedID() uint32 {
	id := c.lastID + 1
	for c.streams[id] != nil {
		id++
	}
	return id
}

// accept registers a stream that the peer opened. ErrBusy means that it is one
// too many; any other error ends the connection.
func (c *conn) accept(s *stream, id uint32) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	if c.streams[id] != nil {
		return fmt.Errorf("%w: stream %d is open already", errMalformed, id)
	}
	if len(c.streams) >= c.cfg.MaxStreams {
		return ErrBusy
	}
	s.init(c, id)
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	c.streams[id] = s
	return nil
}

func (c *conn) find(id uint32) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

// remove forgets a stream, whose later frames are ignored, and reports whether
// it was known.
func (c *conn) remove(id uint32) bool {
	c.lastUsed.Store(c.m.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.streams[id]
	delete(c.streams, id)
	return known
}

func (c *conn) streamCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

func (c *conn) sendUrgent(encode func(dst []byte) []byte) {
	it := newItem(0)
	it.buf = encode(it.buf)
	if !c.urgent.Put(c.ctx, it) {
		c.fail(errUrgentFull)
	}
}

func (c *conn) sendWindow(id uint32, credit int) {
	c.sendUrgent(func(dst []byte) []byte { return appendWindow(dst, id, uint32(credit)) })
}

func (c *conn) sendReset(id uint32, code resetCode, reason []byte) {
	c.sendUrgent(func(dst []byte) []byte { return appendReset(dst, id, code, reason) })
}

func (c *conn) sendEmpty(kind frameType) {
	c.sendUrgent(func(dst []byte) []byte { return appendFrame(dst, kind, 0, nil) })
}

// sendControl queues an encoded control message.
func (c *conn) sendControl(payload []byte) bool {
	it := newItem(0)
	it.buf = appendFrame(it.buf, frameControl, 0, payload)
	c.lastUsed.Store(c.m.now())
	return c.control.Put(c.ctx, it)
}

// keepalive ends a dead or idle connection. The dialing side pings, so that each
// side hears from the other.
func (c *conn) keepalive() error {
	now := c.m.now()
	silent := time.Duration(now - c.lastRead.Load())
	quiet := time.Duration(now - c.lastWrite.Load())
	unused := time.Duration(now - c.lastUsed.Load())
	switch {
	case silent >= c.cfg.PingTimeout:
		return errPingTimeout
	case !c.dialed:
		return nil
	case unused >= c.cfg.IdleTime && c.streamCount() == 0:
		return errIdle
	case max(silent, quiet) >= c.cfg.PingInterval:
		c.sendEmpty(framePing)
	}
	return nil
}
