package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
)

// Mesh implements Transport and is the server that peers connect to. A daemon
// sends to a peer only over a connection that it dialed itself, and serves the
// connections that peers dialed.
type Mesh struct {
	cfg            Config
	log            *zap.Logger
	createdAt      time.Time // origin of the times that now returns
	group          *duty.Group
	workers        *workerPool
	http           *fasthttp.Server
	writeBuffers   sync.Pool // of the WebSocket connections
	controlHandler ControlHandler
	streamHandler  StreamHandler
	counts         counters
	sendPace       *sendPace // nil on a fast link

	mu     sync.Mutex       // guards the fields below
	links  map[string]*link // by address
	conns  map[*conn]struct{}
	closed bool
}

// Stats holds the counters of a Mesh.
type Stats struct {
	Connections     int    // open now
	ControlSent     uint64 // control messages queued
	ControlDropped  uint64 // control messages dropped
	ControlReceived uint64
	ControlBytes    uint64 // bytes of queued control messages, with frame headers
	BytesSent       uint64 // frames of all types
	BytesReceived   uint64
}

type counters struct {
	controlSent, controlDropped, controlReceived, controlBytes atomic.Uint64
	bytesSent, bytesReceived                                   atomic.Uint64
}

// New returns a Mesh without connections.
func New(cfg Config) (*Mesh, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	m := &Mesh{
		cfg:            cfg,
		log:            cfg.Logger,
		createdAt:      time.Now(),
		group:          duty.NewGroup(context.Background()),
		controlHandler: noHandler{},
		streamHandler:  noHandler{},
		sendPace:       newSendPace(cfg.SendRate),
		links:          make(map[string]*link),
		conns:          make(map[*conn]struct{}),
	}
	m.workers = newWorkers(m.group)
	m.http = newServer(m)
	return m, nil
}

// SetHandlers sets the handlers of control messages and streams from peers. It
// must be called before Serve and before the first Open or Send.
func (m *Mesh) SetHandlers(c ControlHandler, s StreamHandler) {
	m.controlHandler = c
	m.streamHandler = s
}

// Serve accepts the connections of peers until Close. If a goroutine of the
// mesh panics, Serve returns its error.
func (m *Mesh) Serve(ln net.Listener) error {
	stop := context.AfterFunc(m.group.Context(), func() {
		_ = m.http.Shutdown()
		_ = ln.Close() // the HTTP server may not know it yet
	})
	defer stop()
	err := m.http.Serve(m.wrapTLS(ln))
	cause := context.Cause(m.group.Context())
	if cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// Close sends the queued items within FlushTime, ends all connections and waits
// for the goroutines of the mesh. Streams that have not ended are cut.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	conns := make([]*conn, 0, len(m.conns))
	for c := range m.conns {
		conns = append(conns, c)
	}
	m.mu.Unlock()

	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.FlushTime)
	defer cancel()
	for _, c := range conns {
		c.startClose()
	}
	for _, c := range conns {
		c.awaitEnd(ctx)
	}
	err := m.http.ShutdownWithContext(ctx)
	m.group.Stop()
	return errors.Join(m.group.Wait(), err)
}

// Stats returns the current counters.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	n := len(m.conns)
	m.mu.Unlock()
	return Stats{
		Connections:     n,
		ControlSent:     m.counts.controlSent.Load(),
		ControlDropped:  m.counts.controlDropped.Load(),
		ControlReceived: m.counts.controlReceived.Load(),
		ControlBytes:    m.counts.controlBytes.Load(),
		BytesSent:       m.counts.bytesSent.Load(),
		BytesReceived:   m.counts.bytesReceived.Load(),
	}
}

// BytesReceived returns Stats.BytesReceived.
func (m *Mesh) BytesReceived() uint64 { return m.counts.bytesReceived.Load() }

// Send implements Transport.
func (m *Mesh) Send(to Peer, msg Message) {
	payload, err := codec.Marshal(msg)
	if err != nil || len(payload) > m.cfg.MaxHead {
		m.counts.controlDropped.Add(1)
		m.log.Error("mesh_message_dropped", zap.String("type", msg.Type), zap.Int("bytes", len(payload)), zap.Error(err))
		return
	}
	if !m.linkTo(to.Addr).send(to, payload) {
		m.counts.controlDropped.Add(1)
		return
	}
	m.counts.controlSent.Add(1)
	m.counts.controlBytes.Add(uint64(len(payload) + frameHeaderBytes))
}

// spawn runs f in a goroutine of the mesh. It returns false if the mesh is
// closed.
func (m *Mesh) spawn(name string, f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.group.Go(name, func(context.Context) error {
		if err := duty.Contain(f); err != nil {
			m.log.Error("mesh_panic", zap.String("duty", name), zap.Error(err))
		}
		return nil
	})
	return true
}

// startConn registers a connection and starts its reader and its writer. It
// returns ErrClosed if the mesh is closed.
func (m *Mesh) startConn(c *conn) error {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		c.fail(ErrClosed)
		return ErrClosed
	}
	m.conns[c] = struct{}{}
	m.group.Go("write", func(context.Context) error {
		c.fail(containLoop(c.writeLoop))
		return nil
	})
	m.group.Go("read", func(context.Context) error {
		defer close(c.readDone)
		c.fail(containLoop(c.readLoop))
		return nil
	})
	m.mu.Unlock()
	m.log.Info("mesh_connected", zap.Stringer("peer", c.peer), zap.Bool("dialed", c.dialed),
		zap.Uint16("version", c.version))
	if m.cfg.OnConnect != nil {
		m.cfg.OnConnect(c.peer)
	}
	return nil
}

// containLoop runs a loop of a connection. A panic, for example of a handler of control
// messages, ends that connection only; it is logged as the reason.
func containLoop(loop func() error) (err error) {
	if panicked := duty.Contain(func() { err = loop() }); panicked != nil {
		return panicked
	}
	return err
}

// removeConn removes an ended connection from the mesh and from its link.
func (m *Mesh) removeConn(c *conn) {
	m.mu.Lock()
	delete(m.conns, c)
	m.mu.Unlock()
	if c.link != nil {
		c.link.removeConn(c)
	}
}

// linkTo returns the link to an address and creates it on first use.
func (m *Mesh) linkTo(addr string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.links[addr]
	if !ok {
		l = newLink(m, addr)
		m.links[addr] = l
	}
	return l
}

// now returns the time since the mesh was created, in nanoseconds.
func (m *Mesh) now() int64 { return int64(time.Since(m.createdAt)) }

// checkHello returns an error if the peer belongs to another cluster.
func (m *Mesh) checkHello(h hello) error {
	if h.Cluster != m.cfg.Cluster {
		return fmt.Errorf("mesh: peer %s is of cluster %q", h.Member, h.Cluster)
	}
	return nil
}

// ownHello returns the hello that this daemon sends.
func (m *Mesh) ownHello() hello {
	return hello{
		Version: m.cfg.Version,
		Cluster: m.cfg.Cluster,
		Member:  m.cfg.Self.Member,
		Window:  uint32(m.cfg.Window),
		Unpaced: uint32(min(m.cfg.UnpacedBytes, maxCredit)),
	}
}

// noHandler is the default handler of control messages and streams until
// SetHandlers is called.
type noHandler struct{}

// HandleControl drops the message.
func (noHandler) HandleControl(ident.Member, Message) {}

// HandleStream returns without an answer, which cuts the stream.
func (noHandler) HandleStream(context.Context, ident.Member, ServerStream) {}
