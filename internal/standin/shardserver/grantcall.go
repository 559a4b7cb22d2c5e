package shardserver

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// holding is a key range that was granted to the server.
type holding struct {
	row   [3]int64 // from, to, fence
	until time.Time
}

// CallFault is a fault of the calls that grant keys to the server or take them back.
type CallFault int

// The faults of calls.
const (
	NoCallFault       CallFault = iota
	LoseCallAnswer              // the call is carried out and not answered
	DelayCall                   // the call is not answered and is carried out after callDelay
	IgnoreCall                  // the call is neither answered nor carried out
	EndlessCallAnswer           // the call is not carried out, and its answer has no end
)

// endlessCallAnswer is the answer of the fault EndlessCallAnswer.
var endlessCallAnswer = Endless{Start: "HTTP/1.1 200 OK\r\n\r\n", Part: strings.Repeat("x", 64<<10)}

// callDelay is how late a call is carried out under the fault DelayCall.
const callDelay = 2 * time.Second

// releasePoll is the time between checks for work that runs on released keys.
const releasePoll = 5 * time.Millisecond

// SetCallFault sets the fault of the calls that arrive from now on.
func (s *Server) SetCallFault(f CallFault) { s.update(func() { s.callFault = f }) }

// grantCall is the body of a call.
type grantCall struct {
	From   int64 `json:"from"`
	To     int64 `json:"to"`
	Fence  int64 `json:"fence"`
	HoldMS int64 `json:"hold_ms"`
}

// serveGrantCall carries out a grant or a release.
func (s *Server) serveGrantCall(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var c grantCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.From < 0 || c.From > c.To || c.To > 65535 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Target-Instance") != s.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	apply := func() int { return s.applyGrantCall(c, arrived) }
	if r.URL.Path == "/burdockfold/release" {
		apply = func() int { return s.applyRelease(c) }
	}
	s.mu.Lock()
	fault := s.callFault
	s.mu.Unlock()
	if fault == NoCallFault {
		w.Header().Set("X-Handover", "handover-"+s.cfg.ID)
		w.WriteHeader(apply())
		return
	}
	switch fault {
	case LoseCallAnswer:
		apply()
	case DelayCall:
		time.AfterFunc(callDelay, func() { apply() })
	case EndlessCallAnswer:
		endlessCallAnswer.write(w, "")
		return
	case NoCallFault, IgnoreCall:
	}
	select { // the caller gives up first
	case <-r.Context().Done():
	case <-s.closed:
	}
}

// applyGrantCall lets the server hold a range from the arrival of the call on. It
// returns the status of the answer.
func (s *Server) applyGrantCall(c grantCall, arrived time.Time) int {
	row := [3]int64{c.From, c.To, c.Fence}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seen := range s.seenFences {
		if seen.row[2] > c.Fence && seen.row[0] <= c.To && c.From <= seen.row[1] {
			return http.StatusConflict
		}
	}
	s.seenFences = append(withoutRow(s.seenFences, row), holding{row: row})
	s.holds = append(withoutRow(s.holds, row), holding{row, arrived.Add(time.Duration(c.HoldMS) * time.Millisecond)})
	return http.StatusOK
}

// applyRelease takes a range back and waits until the work on its keys has ended.
func (s *Server) applyRelease(c grantCall) int {
	s.update(func() { s.holds = withoutRow(s.holds, [3]int64{c.From, c.To}) })
	for s.isWorkingOn(c) {
		time.Sleep(releasePoll)
	}
	return http.StatusOK
}

func (s *Server) isWorkingOn(c grantCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.running {
		if n > 0 && c.From <= int64(key) && int64(key) <= c.To {
			return true
		}
	}
	return false
}

// withoutRow returns the holdings without the keys of a row.
func withoutRow(hs []holding, row [3]int64) []holding {
	var out []holding
	for _, h := range hs {
		for _, left := range uncoveredParts(h.row, [][3]int64{row}) {
			out = append(out, holding{[3]int64{left[0], left[1], h.row[2]}, h.until})
		}
	}
	return out
}
