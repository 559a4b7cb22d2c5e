package shardserver

import (
	"net/http"
	"strconv"
	"time"
)

// Calls are what the server asks for while it runs a request.
type Calls struct {
	Addr     string // of the daemon on its host, for callers
	Host     string
	Path     string
	TimeLeft time.Duration
}

// SetCalls makes the server make a call for each of the following requests, and fail those whose
// call fails.
func (s *Server) SetCalls(c Calls) { s.update(func() { s.calls = c }) }

// callSucceeds makes the call for the request with an id, and reports whether it was answered
// with a success. Without calls it returns true.
func (s *Server) callSucceeds(id string) bool {
	s.mu.Lock()
	c := s.calls
	s.mu.Unlock()
	if c == (Calls{}) {
		return true
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+c.Addr+c.Path, nil)
	if err != nil {
		return false
	}
	req.Host = c.Host
	req.Header.Set("X-Attempt-Id", id+"-call")
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(c.TimeLeft.Milliseconds(), 10))
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}
