package backendserver

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/burdockfold/burdockfold/internal/backend"
)

// nextCount counts the requests of a key; the empty key counts all.
func (s *Server) nextCount(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[key]++
	return s.counts[key]
}

func (s *Server) track(id string, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceled[id] = cancel
}

func (s *Server) untrack(id string, cancel context.CancelFunc) {
	s.mu.Lock()
	delete(s.canceled, id)
	s.mu.Unlock()
	cancel()
}

func (s *Server) handleCancel(c *fasthttp.RequestCtx) {
	var m backend.CancelMessage
	if err := json.Unmarshal(c.PostBody(), &m); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	cancel := s.canceled[m.RequestID]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	c.SetStatusCode(fasthttp.StatusNoContent)
}

// pathSegment returns the n-th segment of a path, empty when there is none.
func pathSegment(path string, n int) string {
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	if n >= len(parts) {
		return ""
	}
	return parts[n]
}
