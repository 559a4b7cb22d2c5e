package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/burdockfold/burdockfold/internal/codec"
	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// Client forwards requests to other daemons. It implements pipeline.Peers.
type Client struct {
	transport mesh.Transport
	clock     ident.Clock
}

// NewClient returns a client that sends over the transport.
func NewClient(t mesh.Transport, clock ident.Clock) *Client {
	return &Client{transport: t, clock: clock}
}

// Forward sends the request to the target daemon and returns the daemon's answer.
// The error is PeerUnreachable if no byte was sent because the connection failed,
// the peer's own error if the peer sent one, DeadlineBeforeStart,
// DeadlineAfterStart or Canceled if ctx or the deadline ended the request,
// PeerProtocol for an invalid answer, and OutcomeUnknown otherwise.
func (c *Client) Forward(ctx context.Context, to pipeline.Target, r *pipeline.Request) (*pipeline.Response, error) {
	remaining := r.Deadline.Sub(c.clock.Now())
	if remaining < time.Millisecond {
		return nil, errkind.New(errkind.DeadlineBeforeStart, "no time left: %w", pipeline.ErrNotSent)
	}
	head, err := codec.Marshal(newRequestHead(r, remaining))
	if err != nil {
		return nil, &errkind.Error{Kind: errkind.Internal, Truth: errkind.NotRun, Detail: err.Error(), Err: pipeline.ErrNotSent}
	}
	peer := mesh.Peer{Member: to.Member, Addr: to.Addr}
	stream, err := c.transport.Open(ctx, peer, head, r.Body)
	if err != nil {
		return nil, ClassifyOpenError(ctx, err)
	}
	resp, err := decodeResponse(stream.Head())
	if err != nil {
		_ = stream.Body().Close()
		return nil, err
	}
	resp.Body = newAnswerBody(stream.Body(), r.Method, resp)
	return resp, nil
}

// ClassifyOpenError maps an error of mesh.Transport.Open to an *errkind.Error that
// states whether the request may have run.
func ClassifyOpenError(ctx context.Context, err error) error {
	var unsent *mesh.UnsentError
	if errors.As(err, &unsent) {
		if ctx.Err() != nil {
			return endedBeforeSendError(ctx)
		}
		return errkind.New(errkind.PeerUnreachable, "%w", err)
	}
	var reset *mesh.ResetError
	if errors.As(err, &reset) {
		return decodeError(reset.Reason)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return errkind.New(errkind.DeadlineAfterStart, "%w", err)
	case ctx.Err() != nil:
		return errkind.New(errkind.Canceled, "%w", err)
	default:
		return errkind.New(errkind.OutcomeUnknown, "%w", err)
	}
}

// endedBeforeSendError returns the error of a request whose context ended before a
// byte was sent.
func endedBeforeSendError(ctx context.Context) error {
	kind := errkind.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = errkind.DeadlineBeforeStart
	}
	e := errkind.New(kind, "%w", pipeline.ErrNotSent)
	e.Truth = errkind.NotRun
	return e
}

// answerBody checks that the answer has its declared length. Every read error
// except io.EOF becomes an AnswerCut error.
type answerBody struct {
	io.ReadCloser
	declared bool
	unread   int64 // bytes still expected, if the length is declared
	truth    errkind.Truth
}

// newAnswerBody returns the body of resp, the answer to a request with the given
// method.
func newAnswerBody(body io.ReadCloser, method string, resp *pipeline.Response) io.ReadCloser {
	b := &answerBody{ReadCloser: body, truth: resp.Truth}
	if pipeline.Bodyless(method, resp.Status) {
		b.declared = true
		return b
	}
	b.declared = resp.ContentLength >= 0
	b.unread = resp.ContentLength
	return b
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.declared {
		b.unread -= int64(n)
	}
	switch {
	case b.declared && b.unread < 0:
		return 0, b.cutError(errors.New("more bytes than declared"))
	case b.declared && err == io.EOF && b.unread > 0:
		return n, b.cutError(io.ErrUnexpectedEOF)
	case err != nil && err != io.EOF:
		return n, b.cutError(err)
	}
	return n, err
}

// cutError returns an AnswerCut error with the execution status of the answer.
func (b *answerBody) cutError(err error) error {
	e := errkind.New(errkind.AnswerCut, "%w", err)
	e.Truth = b.truth
	return e
}
