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

// Forward sends the request to the target's daemon and returns its answer. The
// errors are PeerUnreachable when no byte was sent, what the peer answered, and
// OutcomeUnknown for anything else.
func (c *Client) Forward(ctx context.Context, to pipeline.Target, r *pipeline.Request) (*pipeline.Response, error) {
	left := r.Deadline.Sub(c.clock.Now())
	if left < time.Millisecond {
		return nil, errkind.New(errkind.DeadlineBeforeStart, "no time left: %w", pipeline.ErrNotSent)
	}
	head, err := codec.Marshal(newRequestHead(r, left))
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

// ClassifyOpenError says what is known of a request whose stream failed.
func ClassifyOpenError(ctx context.Context, err error) error {
	var unsent *mesh.UnsentError
	if errors.As(err, &unsent) {
		if ctx.Err() != nil {
			return unsentInTime(ctx)
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

// unsentInTime is the error of a request that ended before it was sent.
func unsentInTime(ctx context.Context) error {
	kind := errkind.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = errkind.DeadlineBeforeStart
	}
	e := errkind.New(kind, "%w", pipeline.ErrNotSent)
	e.Truth = errkind.NotRun
	return e
}

// answerBody checks that the answer has its declared length, and names what
// goes wrong in between AnswerCut.
type answerBody struct {
	io.ReadCloser
	declared bool
	left     int64 // bytes, when the length is declared
	truth    errkind.Truth
}

func newAnswerBody(body io.ReadCloser, method string, resp *pipeline.Response) io.ReadCloser {
	b := &answerBody{ReadCloser: body, truth: resp.Truth}
	if pipeline.Bodyless(method, resp.Status) {
		b.declared = true
		return b
	}
	b.declared = resp.ContentLength >= 0
	b.left = resp.ContentLength
	return b
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.declared {
		b.left -= int64(n)
	}
	switch {
	case b.declared && b.left < 0:
		return 0, b.cut(errors.New("more bytes than declared"))
	case b.declared && err == io.EOF && b.left > 0:
		return n, b.cut(io.ErrUnexpectedEOF)
	case err != nil && err != io.EOF:
		return n, b.cut(err)
	}
	return n, err
}

func (b *answerBody) cut(err error) error {
	e := errkind.New(errkind.AnswerCut, "%w", err)
	e.Truth = b.truth
	return e
}
