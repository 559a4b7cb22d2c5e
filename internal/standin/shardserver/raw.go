package shardserver

import (
	"io"
	"net"
	"net/http"
	"strings"
)

// RawAnswer describes bytes that the server sends in place of an answer before it closes the
// connection.
type RawAnswer struct {
	Text      string // the id of the request takes the place of RequestIDMark
	ReadBytes int64  // of the request's body, before the answer; WholeBody for all of it
	Reset     bool   // the connection is reset instead of closed
}

// WholeBody is the value of RawAnswer.ReadBytes that stands for the whole body of a request.
const WholeBody = -1

// SetRawAnswer makes the server send raw answers, nil none.
func (s *Server) SetRawAnswer(a *RawAnswer) { s.update(func() { s.rawAnswer = a }) }

// writeRaw sends the raw answer to a request if the server is to do so, and reports that.
func (s *Server) writeRaw(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	a := s.rawAnswer
	s.mu.Unlock()
	return a != nil && a.write(w, r)
}

// write sends the answer and ends the connection. It returns false if nothing could be sent.
func (a *RawAnswer) write(w http.ResponseWriter, r *http.Request) bool {
	if a.ReadBytes == WholeBody {
		_, _ = io.Copy(io.Discard, r.Body)
	} else {
		_, _ = io.CopyN(io.Discard, r.Body, a.ReadBytes)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(a.Text, RequestIDMark, r.Header.Get("X-Attempt-Id")))
	if tcp, ok := conn.(*net.TCPConn); ok && a.Reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	return true
}
