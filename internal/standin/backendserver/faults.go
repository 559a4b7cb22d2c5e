package backendserver

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// pathFaults sets the faults of a running server (POST, JSON).
const pathFaults = "/standin/v1/faults"

// Faults are the ways in which the server misbehaves.
type Faults struct {
	SilentAnnounce bool  `json:"silent_announce"` // announcements stop
	FalseLoad      bool  `json:"false_load"`      // the load hint says idle
	ShedAll        bool  `json:"shed_all"`        // every request is refused as not run
	StallMS        int64 `json:"stall_ms"`        // added before each answer
	CutAnswers     bool  `json:"cut_answers"`     // answers end in the middle
	Drain          bool  `json:"drain"`           // announce that the server leaves
}

type faultSet struct {
	mu sync.Mutex // guards f
	f  Faults
}

func (s *faultSet) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f
}

func (s *faultSet) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
}

// SetFaults replaces the faults of the server.
func (s *Server) SetFaults(f Faults) {
	s.faults.set(f)
	if f.Drain {
		s.Drain()
	}
}

func (s *Server) handleFaults(c *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(c.PostBody(), &f); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	c.SetStatusCode(fasthttp.StatusNoContent)
}
