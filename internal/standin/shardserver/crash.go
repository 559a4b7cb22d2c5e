package shardserver

import (
	"net"
	"time"
)

// restartDelay is how long a server is gone after a request has ended it.
const restartDelay = 300 * time.Millisecond

// SetDeadlyPath makes a request for a path end the server when it has run for the service
// time. The server starts again, as another instance that holds no keys.
func (s *Server) SetDeadlyPath(path string) { s.update(func() { s.deadlyPath = path }) }

// Crashes returns how often a request has ended the server.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// endIfDeadly ends the server if a request for the path does so. It reports whether the
// connection of the request has been closed.
func (s *Server) endIfDeadly(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadlyPath == "" || path != s.deadlyPath {
		return false
	}
	if s.silent { // another one has ended it just now
		return true
	}
	s.crashes++
	s.silent, s.holds, s.seenFences, s.freed = true, nil, nil, nil
	_ = s.http.Close() // its listener is closed in any case
	time.AfterFunc(restartDelay, s.restart)
	return true
}

// restart starts an ended server as another instance.
func (s *Server) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		return
	default:
	}
	ln, err := net.Listen("tcp4", s.addr)
	if err != nil {
		time.AfterFunc(restartDelay, s.restart)
		return
	}
	s.listen(ln)
	s.silent, s.born, s.sequence = false, time.Now().UnixMilli(), 0
}
