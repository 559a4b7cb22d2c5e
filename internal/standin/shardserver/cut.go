package shardserver

import (
	"fmt"
	"net/http"
	"strings"
)

// CutForm is how the server frames an answer that it breaks off.
type CutForm int

// The forms of cut answers.
const (
	WithLength CutForm = iota
	Chunked
	Unframed // the answer ends with the connection
)

// Cut describes answers that the server breaks off: it closes the connection after some bytes.
type Cut struct {
	Form  CutForm
	After int // bytes
}

// SetCut makes the server break off its answers, nil none.
func (s *Server) SetCut(c *Cut) { s.update(func() { s.cut = c }) }

// HeadBytes returns the length of the head of a cut answer to the request with an id, and the
// length of all of it.
func (s *Server) HeadBytes(f CutForm, id, body string) (head, all int) {
	text := s.answerText(f, id, body)
	return strings.Index(text, "\r\n\r\n") + 4, len(text)
}

func (s *Server) answerText(f CutForm, id, body string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: by-%s\r\n", id, s.cfg.ID)
	switch f {
	case Chunked:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case Unframed:
		return head + "Connection: close\r\n\r\n" + body
	default:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// writeCut writes the part of an answer that comes before its end, and closes the connection.
// It reports whether answers are broken off.
func (s *Server) writeCut(w http.ResponseWriter, id, body string) bool {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut == nil {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	text := s.answerText(cut.Form, id, body)
	_, _ = conn.Write([]byte(text[:min(cut.After, len(text))])) // the connection ends in any case
	_ = conn.Close()
	return true
}
