package mesh

import (
	"crypto/tls"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Defaults and internal limits of a Mesh.
const (
	DefaultDialTimeout      = 2 * time.Second
	DefaultPingInterval     = 5 * time.Second
	DefaultIdlePingInterval = 5 * time.Second
	DefaultPingTimeout      = 15 * time.Second
	DefaultIdleTime         = 2 * time.Minute
	DefaultRetryMin         = 50 * time.Millisecond
	DefaultRetryMax         = 1 * time.Second
	DefaultWindow           = 1 << 20   // bytes
	DefaultChunk            = 16 << 10  // bytes
	DefaultMaxHead          = 256 << 10 // bytes
	DefaultMaxStreams       = 1024      // for each connection
	DefaultControlRing      = 256       // messages
	DefaultDataRing         = 128       // items
	DefaultFlushTime        = 1 * time.Second
	defaultUrgentRing       = 1024     // frames
	defaultPendingRing      = 64       // control messages that wait for a dial
	maxBatchBytes           = 64 << 10 // of items in one WebSocket message; the last item may exceed it
	maxQueuedChunks         = 4        // chunks of one stream in the data ring
	handshakeBytes          = 4 << 10
	readBufferBytes         = 4 << 10
	writeBufferBytes        = 32 << 10
	smallestUsefulWindow    = 1 << 10 // bytes
)

// TLSSource provides the TLS settings of both sides. Renewed certificate files
// must apply to new connections without a restart: ClientTLS is called for each
// dial, but ServerTLS only once for each listener, so its callbacks, such as
// GetCertificate, have to return the current files.
type TLSSource interface {
	ServerTLS() *tls.Config
	ClientTLS() *tls.Config
}

// LinkHook wraps the connections that this daemon dials. Tests and the
// benchmark use it to delay or cut them.
type LinkHook interface {
	// WrapConn is called with each new connection before any byte is sent over
	// it. If it returns an error, the dial fails.
	WrapConn(from ident.Member, to Peer, c net.Conn) (net.Conn, error)
}

// Config is the configuration of a Mesh. A limit that is zero takes its
// default.
type Config struct {
	Self    Peer
	Cluster string // peers of another cluster are refused
	TLS     TLSSource
	Plain   bool // connect without TLS; TLS must then be nil

	DialTimeout      time.Duration // limit for connecting, TLS, upgrade and hello together
	PingInterval     time.Duration // silence after which the dialing side sends a ping
	PingTimeout      time.Duration // silence after which a connection in use is considered dead
	IdlePingInterval time.Duration // PingInterval of a connection that has not been used for some time; at least PingInterval
	IdleTime         time.Duration // time without streams or control messages after which a connection is closed
	RetryMin         time.Duration // first delay after a failed dial
	RetryMax         time.Duration // longest delay between dials
	FlushTime        time.Duration // limit for sending the queued frames on Close

	// OnConnect is called with the peer of each new connection, from either side. It must
	// not block. It may be nil.
	OnConnect func(ident.Member)

	Window int // bytes that a peer may send on a stream before it needs a grant
	// UnpacedBytes is the length of a body up to which peers may send it within a head. If it
	// is set, the link of this host is slow: a peer sends no byte of a body on a stream before
	// its reader has granted it, see PacedBody. Such a body is a lengthReader at its sender.
	UnpacedBytes int
	// SendRate is the rate of a slow link in bytes per second. Bodies that this daemon sends
	// leave room on it for short messages. Zero means that they need not.
	SendRate    float64
	Chunk       int // bytes of a body in one frame
	MaxHead     int // bytes of a request or answer head, or of a control message
	MaxStreams  int // open streams on one connection
	ControlRing int // queued control messages; further ones are dropped
	DataRing    int // queued items of streams; senders block while the ring is full

	// Version is the newest protocol version to use; zero means
	// ProtocolVersion.
	Version  uint16
	LinkHook LinkHook // nil: connections are not wrapped
	Logger   *zap.Logger
}

// Validate returns all problems of the configuration, joined into one error.
func (c Config) Validate() error {
	var problems []error
	if c.Self.Member.IsZero() {
		problems = append(problems, errors.New("mesh: Self.Member is not set"))
	}
	if c.TLS == nil && !c.Plain {
		problems = append(problems, errors.New("mesh: neither TLS nor Plain is set"))
	}
	if c.TLS != nil && c.Plain {
		problems = append(problems, errors.New("mesh: both TLS and Plain are set"))
	}
	times := min(c.DialTimeout, c.PingInterval, c.PingTimeout, c.IdlePingInterval, c.IdleTime, c.RetryMin, c.RetryMax, c.FlushTime)
	sizes := min(c.Window, c.UnpacedBytes, int(c.SendRate), c.Chunk, c.MaxHead, c.MaxStreams, c.ControlRing, c.DataRing)
	if times < 0 || sizes < 0 {
		problems = append(problems, errors.New("mesh: limits must not be negative"))
	}
	if c.Window > 0 && c.Window < smallestUsefulWindow {
		problems = append(problems, errors.New("mesh: window is below 1 KiB"))
	}
	return errors.Join(problems...)
}

// withDefaults returns a copy of c with defaults in place of zero limits.
func (c Config) withDefaults() Config {
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.PingInterval, DefaultPingInterval)
	setDefault(&c.PingTimeout, DefaultPingTimeout)
	setDefault(&c.IdlePingInterval, max(DefaultIdlePingInterval, c.PingInterval))
	setDefault(&c.IdleTime, DefaultIdleTime)
	setDefault(&c.RetryMin, DefaultRetryMin)
	setDefault(&c.RetryMax, DefaultRetryMax)
	setDefault(&c.FlushTime, DefaultFlushTime)
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.Chunk, DefaultChunk)
	setDefault(&c.MaxHead, DefaultMaxHead)
	setDefault(&c.MaxStreams, DefaultMaxStreams)
	setDefault(&c.ControlRing, DefaultControlRing)
	setDefault(&c.DataRing, DefaultDataRing)
	setDefault(&c.Version, ProtocolVersion)
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return c
}

func setDefault[T time.Duration | int | uint16](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// maxMessage is the largest WebSocket message: a full batch and one more item,
// which holds at most a head and a chunk.
func (c Config) maxMessage() int {
	return maxBatchBytes + c.MaxHead + c.Chunk + 4*frameHeaderBytes
}
