package hop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/forward"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// maxBodyBytes limits the size of a body that a peer announces. It is the highest body
// limit that operators can configure.
const maxBodyBytes = 64 << 20

// Client sends requests to other daemons.
type Client struct {
	transport mesh.Transport
	clock     ident.Clock
}

// NewClient returns a client that opens its streams on transport t.
func NewClient(t mesh.Transport, c ident.Clock) *Client { return &Client{transport: t, clock: c} }

// Send sends a request to another daemon and returns that daemon's answer. If sending
// fails, the answer holds a failure whose Truth says whether the request may have been
// executed.
func (c *Client) Send(ctx context.Context, to mesh.Peer, r *Request) *Answer {
	head, rest, err := encodeRequest(r, c.clock.Now())
	if err != nil {
		return FailedAnswer(&errkind.Error{Kind: errkind.Internal, Truth: errkind.NotRun, Detail: err.Error(), Err: err})
	}
	var body io.Reader
	if len(rest) > 0 {
		body = bytes.NewReader(rest)
	}
	stream, err := c.transport.Open(ctx, to, head, body)
	if err != nil {
		return streamFailure(ctx, err)
	}
	defer func() { _ = stream.Body().Close() }()
	a, size, err := decodeAnswer(stream.Head(), c.clock.Now())
	if err != nil {
		return FailedAnswer(errkind.New(errkind.PeerProtocol, "%w", err))
	}
	if size > 0 {
		a.Body, err = readBody(stream.Body(), size)
	}
	if err != nil {
		return FailedAnswer(errkind.New(errkind.AnswerCut, "%w", err))
	}
	return a
}

// streamFailure returns the answer for a request whose stream failed. It assumes that
// the request reached a backend server unless the request was certainly not executed.
func streamFailure(ctx context.Context, err error) *Answer {
	var cut *mesh.CutBodyError
	if errors.As(err, &cut) { // the peer's daemon reads all of a body before it passes the request on
		err = &mesh.UnsentError{Err: err}
	}
	e := errkind.As(forward.ClassifyOpenError(ctx, err))
	return &Answer{Failure: e, ReachedBackend: e.Answer().Truth != errkind.NotRun}
}

// checkBodySize returns an error if a peer announces a body that no request or answer has.
func checkBodySize(size int) error {
	if size < 0 || size > maxBodyBytes {
		return fmt.Errorf("hop: body of %d bytes", size)
	}
	return nil
}

// readBody reads a body of size bytes. It returns an error if size exceeds
// maxBodyBytes or the body ends early.
func readBody(r io.Reader, size int) ([]byte, error) {
	if err := checkBodySize(size); err != nil {
		return nil, err
	}
	var body bytes.Buffer
	body.Grow(min(size, inlineBytes)) // more only as bytes arrive: the size is the peer's word
	n, err := body.ReadFrom(io.LimitReader(r, int64(size)))
	if err == nil && n < int64(size) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("hop: body: %w", err)
	}
	return body.Bytes(), nil
}

// readExactly reads a body for which room is reserved. Unlike readBody it does not copy it.
func readExactly(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, fmt.Errorf("hop: body: %w", err)
	}
	return body, nil
}

// Server serves requests from other daemons. It implements mesh.StreamHandler.
type Server struct {
	next   Handler
	budget *BodyBudget
	clock  ident.Clock
	log    *zap.Logger
	open   atomic.Int64 // see OpenRequests
}

// NewServer returns a server that passes requests to next. budget bounds their bodies.
func NewServer(next Handler, budget *BodyBudget, c ident.Clock, log *zap.Logger) *Server {
	return &Server{next: next, budget: budget, clock: c, log: log}
}

// OpenRequests returns the number of requests of other daemons that are being served, or
// whose answer is being sent.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// HandleStream implements mesh.StreamHandler. It serves the request in the head of the
// stream and responds with the answer.
func (s *Server) HandleStream(ctx context.Context, from ident.Member, stream mesh.ServerStream) {
	s.open.Add(1)
	defer s.open.Add(-1)
	a := s.serve(ctx, stream)
	head, rest, err := encodeAnswer(a, s.clock.Now())
	if err == nil {
		err = stream.Respond(head, bytes.NewReader(rest))
	}
	if err != nil && ctx.Err() == nil {
		s.log.Warn("hop_answer_failed", zap.Stringer("peer", from), zap.Error(err))
	}
}

// serve decodes the request of a stream and passes it to the next handler. A request
// that cannot be read is answered with PeerProtocol and has not been executed.
func (s *Server) serve(ctx context.Context, stream mesh.ServerStream) *Answer {
	r, size, err := decodeRequest(stream.Head(), s.clock.Now())
	if err == nil {
		err = checkBodySize(size)
	}
	if err == nil && size > 0 {
		if !s.budget.Reserve(size) {
			return FailedAnswer(errkind.New(errkind.Overloaded, "no room for a body of %d bytes", size))
		}
		defer s.budget.Release(size)
		r.Body, err = readExactly(stream.Body(), size)
	}
	if err != nil {
		return FailedAnswer(&errkind.Error{Kind: errkind.PeerProtocol, Truth: errkind.NotRun, Detail: err.Error(), Err: err})
	}
	var a *Answer
	if err := duty.Contain(func() { a = s.next.Serve(ctx, r) }); err != nil {
		s.log.Error("request_panicked", zap.String("request_id", r.ID), zap.Error(err))
		return &Answer{Failure: errkind.New(errkind.Internal, "a panic while the request was served"), ReachedBackend: true}
	}
	return a
}
