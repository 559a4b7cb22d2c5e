package forward

import (
	"context"
	"io"

	"go.uber.org/zap"

	"github.com/burdockfold/burdockfold/internal/core/ident"
	"github.com/burdockfold/burdockfold/internal/errkind"
	"github.com/burdockfold/burdockfold/internal/mesh"
	"github.com/burdockfold/burdockfold/internal/pipeline"
)

// Server serves requests that other daemons forward. It implements
// mesh.StreamHandler.
type Server struct {
	handler pipeline.Handler
	clock   ident.Clock
	log     *zap.Logger
}

// NewServer returns a server that passes each request to h, the pipeline's chain
// for requests from peers.
func NewServer(h pipeline.Handler, clock ident.Clock, log *zap.Logger) *Server {
	return &Server{handler: h, clock: clock, log: log}
}

// HandleStream serves one forwarded request. It answers a failed request by a reset
// that carries the encoded error.
func (s *Server) HandleStream(ctx context.Context, from ident.Member, st mesh.ServerStream) {
	r, err := decodeRequest(st.Head(), s.clock.Now())
	if err != nil {
		s.log.Warn("forward_head_invalid", zap.Stringer("peer", from), zap.Error(err))
		st.Reset(encodeError(err))
		return
	}
	r.Peer = from
	if r.ContentLength != 0 {
		r.Body = &requestBody{r: st.Body(), unread: r.ContentLength}
	}
	resp, err := s.handler.Handle(pipeline.ExtractTrace(ctx, r), r)
	if err != nil {
		st.Reset(encodeError(err))
		return
	}
	s.respond(st, r, resp)
}

// respond sends the answer to the peer and closes its body.
func (s *Server) respond(st mesh.ServerStream, r *pipeline.Request, resp *pipeline.Response) {
	head, err := encodeResponse(resp)
	if err != nil {
		e := errkind.New(errkind.AnswerCut, "%w", err)
		e.Truth = resp.Truth
		st.Reset(encodeError(e))
		_ = resp.Body.Close()
		return
	}
	err = st.Respond(head, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		s.log.Info("forward_answer_cut", zap.String("request_id", r.ID), zap.Stringer("peer", r.Peer), zap.Error(err))
	}
}

// requestBody checks that the request's body has its declared length.
type requestBody struct {
	r      io.Reader
	unread int64 // bytes still expected; -1 if the length is not declared
}

func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.unread < 0 {
		return n, err
	}
	if int64(n) > b.unread {
		return 0, errkind.New(errkind.PeerProtocol, "the body is longer than declared")
	}
	b.unread -= int64(n)
	if err == io.EOF && b.unread > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
