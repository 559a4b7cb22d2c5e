package shardserver

import (
	"net/http"
	"strings"
)

// Endless describes bytes without end that the server sends in place of an answer, until its
// client closes the connection.
type Endless struct {
	Start string // the id of the request takes the place of RequestIDMark
	Part  string // repeated after Start
}

// RequestIDMark stands for the id of the request in Endless.Start.
const RequestIDMark = "{id}"

// SetEndless makes the server send bytes without end, nil none.
func (s *Server) SetEndless(e *Endless) { s.update(func() { s.endless = e }) }

// writeEndless sends bytes without end if the server is to do so, and reports that.
func (s *Server) writeEndless(w http.ResponseWriter, id string) bool {
	s.mu.Lock()
	e := s.endless
	s.mu.Unlock()
	return e != nil && e.write(w, id)
}

// write sends the bytes until the client closes the connection. It returns false if nothing
// could be sent.
func (e *Endless) write(w http.ResponseWriter, id string) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte(strings.ReplaceAll(e.Start, RequestIDMark, id)))
	for err == nil {
		_, err = conn.Write([]byte(e.Part))
	}
	return true
}
