package hop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/bootclock"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/core/linkroom"
	"github.com/burdockfold/burdockfold/internal/core/transit"
	"github.com/burdockfold/burdockfold/internal/duty"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/forward"
	"github.com/burdockfold/burdockfold/internal/held"
	"github.com/burdockfold/burdockfold/internal/mesh"
)

// maxBodyBytes limits the size of a body that a peer announces. It is the highest body
// limit that operators can configure.
const maxBodyBytes = 64 << 20

// Client sends requests to other daemons.
type Client struct {
	transport mesh.Transport
	clock     ident.Clock
	link      *LinkRoom    // for the bodies of answers
	memory    *held.Memory // of the answers
}

// NewClient returns a client that opens its streams on transport t.
func NewClient(t mesh.Transport, c ident.Clock) *Client {
	return &Client{transport: t, clock: c, memory: &held.Memory{}}
}

// UseMemory makes the client hold its answers in a memory that others share. It must be called
// before Send.
func (c *Client) UseMemory(m *held.Memory) { c.memory = m }

// SetLinkRoom sets the room for the bodies of answers on the link of this host. It must be
// called before Send.
func (c *Client) SetLinkRoom(l *LinkRoom) { c.link = l }

// unpacedTo is implemented by a transport that knows the links of peers.
type unpacedTo interface {
	UnpacedBytes(to mesh.Peer) (bytes int, ok bool)
}

// inlineTo returns the length up to which a body is sent to a peer within the head.
func (c *Client) inlineTo(to mesh.Peer, body []byte) int {
	if t, ok := c.transport.(unpacedTo); ok && len(body) > linkroom.MinUnpaced {
		if n, limited := t.UnpacedBytes(to); limited {
			return min(n, inlineBytes)
		}
	}
	return inlineBytes
}

// Send sends a request to another daemon and returns that daemon's answer. If sending
// fails, the answer holds a failure whose Truth says whether the request may have been
// executed.
func (c *Client) Send(ctx context.Context, to mesh.Peer, r *Request) *Answer {
	r.SentAt = bootclock.Clock{}.Now()
	head, rest, err := encodeRequest(r, c.clock.Now(), c.inlineTo(to, r.Body))
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
	if err == nil {
		err = checkHead(a)
	}
	if err != nil {
		return &Answer{Failure: errkind.New(errkind.PeerProtocol, "%w", err), ReachedBackend: true}
	}
	if err := c.readAnswerBody(ctx, stream.Body(), to.Member.Host, a, size, r); err != nil {
		a.Memory.Release()
		return &Answer{Failure: errkind.New(errkind.AnswerCut, "%w", err), ReachedBackend: a.ReachedBackend}
	}
	a.Memory.DoneReading()
	return a
}

// readAnswerBody reads the body of size bytes that follows the head of the answer to r, or
// counts the one in the head.
func (c *Client) readAnswerBody(ctx context.Context, body io.Reader, from ident.Host, a *Answer, size int, r *Request) error {
	a.Memory = c.memory.NewAnswer()
	if size <= 0 {
		return a.Memory.Count(len(a.Body))
	}
	if err := checkBodySize(size); err != nil {
		return err
	}
	read := readBody
	if c.memory.Known() {
		if err := c.awaitMemory(ctx, &a.Memory, size); err != nil {
			return err
		}
		read = readExactly
	}
	b := bodyOf(r, from, size)
	b.Kept, b.Class = true, "" // no work is left once it has arrived
	paced, e := c.link.open(body, b)
	if e != nil {
		return e
	}
	defer func() { _ = paced.Close() }()
	var err error
	a.Body, err = read(paced, size)
	return err
}

// awaitMemory reserves the bytes of a body that follows the head of an answer.
func (c *Client) awaitMemory(ctx context.Context, m *held.Answer, size int) error {
	if size < held.LongBytes {
		return m.Count(size)
	}
	arrived := 0 // is received meanwhile: nothing if the link grants the credit, afterwards
	if c.link == nil {
		arrived = min(size, mesh.DefaultWindow)
	}
	if err := m.Count(arrived); err != nil {
		return err
	}
	if err := m.Grow(ctx, size); err != nil {
		return err
	}
	m.Uncount(arrived)
	return nil
}

// bodyOf describes a body of a request or of the answer to it.
func bodyOf(r *Request, from ident.Host, size int) linkroom.Body {
	return linkroom.Body{From: from, Size: size, Class: r.Route, Priority: r.Priority, Target: r.TargetTime, Deadline: r.Deadline}
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
	link   *LinkRoom    // for the bodies of requests
	load   func() Load  // for answers of requests that do not reach next; may be nil

	delaysMu sync.Mutex // guards delays
	delays   *transit.Delays
}

// NewServer returns a server that passes requests to next. budget bounds their bodies.
func NewServer(next Handler, budget *BodyBudget, c ident.Clock, log *zap.Logger) *Server {
	return &Server{next: next, budget: budget, clock: c, log: log, delays: transit.NewDelays()}
}

// SetLinkRoom sets the room for the bodies of requests on the link of this host, and what
// tells the load of the backend server to those who are refused. It must be called before
// the first request.
func (s *Server) SetLinkRoom(l *LinkRoom, load func() Load) { s.link, s.load = l, load }

// unpaced is implemented by a stream that knows the links of both ends.
type unpaced interface{ UnpacedBytes() (bytes int, ok bool) }

// inlineOn returns the length up to which a body is sent on a stream within the head.
func inlineOn(stream mesh.ServerStream, body []byte) int {
	if t, ok := stream.(unpaced); ok && len(body) > linkroom.MinUnpaced {
		if n, limited := t.UnpacedBytes(); limited {
			return min(n, inlineBytes)
		}
	}
	return inlineBytes
}

// OpenRequests returns the number of requests of other daemons that are being served, or
// whose answer is being sent.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// HandleStream implements mesh.StreamHandler. It serves the request in the head of the
// stream and responds with the answer.
func (s *Server) HandleStream(ctx context.Context, from ident.Member, stream mesh.ServerStream) {
	s.open.Add(1)
	defer s.open.Add(-1)
	arrived := s.clock.Now()
	a := s.serve(ctx, from, stream)
	defer a.Memory.Release()
	a.Held = max(s.clock.Now().Sub(arrived), time.Millisecond)
	a.Load.LinkWait = s.link.Wait()
	head, rest, err := encodeAnswer(a, s.clock.Now(), inlineOn(stream, a.Body))
	if err == nil {
		err = s.respond(stream, head, rest)
	}
	if err != nil && ctx.Err() == nil {
		s.log.Warn("hop_answer_failed", zap.Stringer("peer", from), zap.Error(err))
	}
}

// respond sends an answer. A long one may be cut while the other daemon takes it slowly.
func (s *Server) respond(stream mesh.ServerStream, head, rest []byte) error {
	body := bytes.NewReader(rest)
	aborter, ok := stream.(interface{ Abort() })
	if len(rest) == 0 || !ok {
		return stream.Respond(head, body)
	}
	reader := s.budget.Track(int64(len(rest)), time.Now(), aborter.Abort)
	defer reader.End()
	return stream.Respond(head, &takenBody{body, reader})
}

// takenBody is a body that records how much of it was taken.
type takenBody struct {
	*bytes.Reader
	by *held.Reader
}

// Read implements io.Reader.
func (b *takenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.by.Take(n)
	return n, err
}

// subtractDelay subtracts the time that a request was held up on its way from the times left
// that it states. It returns a failure if none is left: its caller does not wait any more.
func (s *Server) subtractDelay(r *Request, from ident.Member) *errkind.Error {
	if r.SentAt == 0 {
		return nil
	}
	s.delaysMu.Lock()
	delay := s.delays.Observe(from, r.SentAt, bootclock.Clock{}.Now())
	s.delaysMu.Unlock()
	r.Deadline = r.Deadline.Add(-delay)
	if r.TargetTime > 0 {
		r.TargetTime = max(r.TargetTime.Add(-delay), 1)
	}
	if left := r.TimeLeft(s.clock.Now()); left <= 0 && delay > 0 {
		e := errkind.New(errkind.DeadlineBeforeStart, "%s on the way, %s ago", delay, -left)
		e.Truth = errkind.NotRun
		return e
	}
	return nil
}

// serve decodes the request of a stream and passes it to the next handler. A request
// that cannot be read is answered with PeerProtocol and has not been executed.
func (s *Server) serve(ctx context.Context, from ident.Member, stream mesh.ServerStream) *Answer {
	r, size, err := decodeRequest(stream.Head(), s.clock.Now())
	if err == nil {
		err = checkBodySize(size)
	}
	if err == nil {
		if e := s.subtractDelay(r, from); e != nil {
			return s.refuse(r, e)
		}
	}
	if err == nil {
		room := max(size, len(r.Body)) // the body follows the head or is in it
		if !s.budget.Reserve(room) {
			return s.refuse(r, errkind.New(errkind.Overloaded, "no room for a body of %d bytes", room))
		}
		defer s.budget.Release(room)
	}
	if err == nil && size > 0 {
		body, e := s.link.open(stream.Body(), bodyOf(r, from.Host, size))
		if e != nil {
			return s.refuse(r, e)
		}
		r.Body, err = readExactly(body, size)
		_ = body.Close()
	}
	if errors.Is(err, errLinkLate) {
		return s.refuse(r, errkind.New(errkind.Overloaded, "%w", err))
	}
	if err != nil {
		return FailedAnswer(&errkind.Error{Kind: errkind.PeerProtocol, Truth: errkind.NotRun, Detail: err.Error(), Err: err})
	}
	var a *Answer
	if err := duty.Contain(func() { a = s.next.Serve(ctx, r) }); err != nil {
		s.log.Error("request_panicked", zap.String("request_id", r.ID), zap.Error(err))
		return &Answer{Failure: errkind.New(errkind.Internal, "a panic while the request was served"), ReachedBackend: true}
	}
	if size > 0 {
		s.link.RecordWork(r.Route, a.ServiceTime)
	}
	return a
}

// refuse returns the answer for a request that is refused before its body has been taken.
func (s *Server) refuse(r *Request, e *errkind.Error) *Answer {
	s.log.Info("body_refused", zap.String("request_id", r.ID), zap.String("service", string(r.Service)),
		zap.Duration("left", r.TimeLeft(s.clock.Now())), zap.Duration("retry_after", e.RetryAfter), zap.String("detail", e.Detail))
	a := FailedAnswer(e)
	if s.load != nil {
		a.Load = s.load()
	}
	return a
}
