// Package mesh carries requests and control messages between daemons over
// WebSocket connections with CBOR frames. A daemon opens a stream for each
// request with Transport.Open and sends control messages with Transport.Send;
// the peer passes them to its StreamHandler and ControlHandler. All streams
// that one daemon opens to another share one connection, and each has flow
// control of its own, so that a slow reader delays only its own stream. A daemon
// with a slow link grants each long body by itself, see PacedBody. A
// reader of a body sees io.EOF only if the whole body arrived. An *UnsentError
// guarantees that no handler of the peer saw the request.
package mesh

import (
	"context"
	"io"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// ProtocolVersion is the newest protocol version that this build supports. Two
// daemons use the lower of their versions.
const ProtocolVersion = 2

// pacedVersion is the version from which daemons wait for credit if a hello asks for it.
const pacedVersion = 2

// Message is a control message: its type name and its encoded content.
type Message struct {
	Type string `codec:"t"`
	Data []byte `codec:"d"`
}

// Peer identifies another daemon and its mesh address.
type Peer struct {
	Member ident.Member
	Addr   string // host:port
}

// ControlHandler receives the control messages of peers. HandleControl runs in
// the goroutine that reads the connection and must not block.
type ControlHandler interface {
	HandleControl(from ident.Member, m Message)
}

// StreamHandler serves the streams that peers open. HandleStream is called once
// for each stream, in a goroutine of its own. It reads the request body from
// the stream and then answers with Respond or Reset.
type StreamHandler interface {
	HandleStream(ctx context.Context, from ident.Member, s ServerStream)
}

// ServerStream is the serving side of a stream.
type ServerStream interface {
	// Head returns the encoded request head.
	Head() []byte
	// Body returns a reader of the request body. The reader returns io.EOF only
	// after the end mark has arrived.
	Body() io.Reader
	// Respond sends the encoded head of the answer, then the body, then the end
	// mark. If reading body fails, Respond resets the stream, so that the peer
	// does not take the answer for complete.
	Respond(head []byte, body io.Reader) error
	// Reset ends the stream and sends the peer an encoded error.
	Reset(reason []byte)
}

// ClientStream is the opening side of a stream whose answer head has arrived.
type ClientStream interface {
	// Head returns the encoded head of the answer.
	Head() []byte
	// Body returns a reader of the answer body. The reader returns io.EOF only
	// after the end mark has arrived. Closing it earlier cancels the request at
	// the peer.
	Body() io.ReadCloser
}

// ResetError reports that the peer ended the stream with an encoded error.
type ResetError struct{ Reason []byte }

// Error implements error.
func (e *ResetError) Error() string { return "mesh: stream reset by peer" }

// UnsentError wraps a failure after which no handler of the peer can have seen
// the stream: either no byte of it was written, or the peer refused it before
// it called a handler.
type UnsentError struct{ Err error }

// Error implements error.
func (e *UnsentError) Error() string { return "mesh: not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// CutBodyError wraps a failure after which no handler of the peer can have read all of
// the body, because this side stopped before the end of it. A handler that needs the
// whole body has not begun its work.
type CutBodyError struct{ Err error }

// Error implements error.
func (e *CutBodyError) Error() string { return "mesh: body not sent whole: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CutBodyError) Unwrap() error { return e.Err }

// Transport sends requests and control messages to peers. It is safe for
// concurrent use.
type Transport interface {
	// Open sends a request head and body and waits for the head of the answer.
	// It fails with *UnsentError if no handler of the peer saw the stream, and
	// with *ResetError if the handler reset it, and with *CutBodyError if no
	// handler saw the whole body. After any other error the outcome of the request
	// is unknown.
	Open(ctx context.Context, to Peer, head []byte, body io.Reader) (ClientStream, error)
	// Send queues a control message. The message is dropped if the ring of
	// messages to the peer is full or the peer cannot be reached.
	Send(to Peer, m Message)
}
