package mesh

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

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

// conn is a WebSocket connection whose hello messages have been exchanged. The
// daemon that dialed it opens the streams and the other daemon serves them. One
// goroutine reads from the connection and another writes to it.
type conn struct {
	m           *Mesh
	cfg         *Config
	ws          *websocket.Conn
	link        *link // nil on the serving side
	dialed      bool  // this side dialed and opens the streams
	startedAt   int64 // see Mesh.now
	peer        ident.Member
	version     uint16
	peerWindow  int  // initial credit of a stream, from the peer's hello
	peerUnpaced int  // Config.UnpacedBytes of the peer
	paced       bool // the peer sends no more of a body than was granted; an old one has a window

	// Queues of the writer. Within a batch it prefers urgent to control and
	// control to data.
	urgent  *duty.Ring[*item] // credit grants, resets and pings; if full, the connection is closed
	control *duty.Ring[*item] // control messages; if full, the message is dropped
	data    *duty.Ring[*item] // heads and bodies; if full, the sender waits

	ctx       context.Context // ends with the connection
	cancel    context.CancelCauseFunc
	closing   chan struct{} // closed to make the writer flush the rings and end
	closeOnce sync.Once
	readDone  chan struct{} // closed when the reader has ended

	lastRead  atomic.Int64 // time of the last received message, see Mesh.now
	lastWrite atomic.Int64 // time of the last sent message
	lastUsed  atomic.Int64 // time of the last control message or removal of a stream
	pingedAt  atomic.Int64 // time of the first ping since the last received message; zero if there was none

	mu      sync.Mutex // guards the fields below
	streams map[uint32]*stream
	lastID  uint32 // of the newest stream that this side opened
	err     error  // why the connection ended
}

// newConn returns a connection that is not yet read or written; see
// Mesh.startConn.
func newConn(m *Mesh, ws *websocket.Conn, remote hello, dialed bool) *conn {
	c := &conn{
		m:           m,
		cfg:         &m.cfg,
		ws:          ws,
		dialed:      dialed,
		peer:        remote.Member,
		version:     min(remote.Version, m.cfg.Version),
		peerWindow:  int(min(remote.Window, maxCredit)),
		peerUnpaced: int(min(remote.Unpaced, maxCredit)),
		urgent:      duty.NewRing[*item](defaultUrgentRing, duty.RefuseNew),
		control:     duty.NewRing[*item](m.cfg.ControlRing, duty.RefuseNew),
		data:        duty.NewRing[*item](m.cfg.DataRing, duty.Block),
		closing:     make(chan struct{}),
		readDone:    make(chan struct{}),
		streams:     make(map[uint32]*stream),
	}
	c.paced = m.cfg.UnpacedBytes > 0 && c.version >= pacedVersion
	if c.peerUnpaced > 0 {
		c.peerWindow = 0
	}
	c.ctx, c.cancel = context.WithCancelCause(m.group.Context())
	now := m.now()
	c.startedAt = now
	c.lastRead.Store(now)
	c.lastWrite.Store(now)
	c.lastUsed.Store(now)
	ws.SetReadLimit(int64(m.cfg.maxMessage()))
	return c
}

// fail ends the connection and all its streams with err. Only the first call
// has an effect.
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
	c.m.removeConn(c)
	c.m.log.Info("mesh_disconnected", zap.Stringer("peer", c.peer), zap.Bool("dialed", c.dialed), zap.Error(err))
}

// startClose makes the writer send the queued items and then end the
// connection. It does not wait; see awaitEnd.
func (c *conn) startClose() { c.closeOnce.Do(func() { close(c.closing) }) }

// awaitEnd waits until the connection has ended. If ctx ends first, awaitEnd
// ends the connection at once.
func (c *conn) awaitEnd(ctx context.Context) {
	select {
	case <-c.ctx.Done():
	case <-ctx.Done():
		c.fail(ErrClosed)
	}
}

// isClosing reports whether startClose was called.
func (c *conn) isClosing() bool {
	select {
	case <-c.closing:
		return true
	default:
		return false
	}
}

func (c *conn) alive() bool { return c.ctx.Err() == nil }

// openStream registers a new stream that this side opens.
func (c *conn) openStream(s *stream) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	if len(c.streams) >= c.cfg.MaxStreams {
		return ErrBusy
	}
	c.lastID = c.nextStreamID()
	s.init(c, c.lastID)
	c.streams[s.id] = s
	return nil
}

// nextStreamID returns the next ID that no open stream has. The caller holds
// c.mu.
func (c *conn) nextStreamID() uint32 {
	id := c.lastID + 1
	for c.streams[id] != nil {
		id++
	}
	return id
}

// acceptStream registers a stream that the peer opened. It returns ErrBusy if
// the connection has MaxStreams open streams; after any other error the
// connection must end.
func (c *conn) acceptStream(s *stream, id uint32) error {
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

// findStream returns an open stream, or nil.
func (c *conn) findStream(id uint32) *stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

// removeStream removes a stream and reports whether it was registered. Frames
// of the stream that arrive later are ignored.
func (c *conn) removeStream(id uint32) bool {
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

// sendUrgent queues the frame that encode appends. It ends the connection if
// the ring of urgent frames is full.
func (c *conn) sendUrgent(encode func(dst []byte) []byte) {
	it := newItem(0)
	it.buf = encode(it.buf)
	if !c.urgent.Put(c.ctx, it) {
		c.fail(errUrgentFull)
	}
}

// sendWindow grants the peer credit, in bytes, for a stream.
func (c *conn) sendWindow(id uint32, credit int) {
	c.sendUrgent(func(dst []byte) []byte { return appendWindow(dst, id, uint32(credit)) })
}

func (c *conn) sendReset(id uint32, code resetCode, reason []byte) {
	c.sendUrgent(func(dst []byte) []byte { return appendReset(dst, id, code, reason) })
}

// sendEmptyFrame sends a frame of the connection without a payload.
func (c *conn) sendEmptyFrame(kind frameType) {
	c.sendUrgent(func(dst []byte) []byte { return appendFrame(dst, kind, 0, nil) })
}

// sendControl queues an encoded control message and reports whether it was
// queued.
func (c *conn) sendControl(payload []byte) bool {
	it := newItem(0)
	it.buf = appendFrame(it.buf, frameControl, 0, payload)
	c.lastUsed.Store(c.m.now())
	return c.control.Put(c.ctx, it)
}
