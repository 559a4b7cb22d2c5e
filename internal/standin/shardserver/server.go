// Package shardserver is a stand-in for a backend server of the platform, for tests.
//
// It announces itself to the daemon on its host by heartbeats and holds the key
// ranges that it is granted, in the answers or by calls, for the granted time only. If it is sharded, it
// refuses requests for keys that it does not hold. It records the requests that it
// executed. A test can make it drain, lose its keys or stop its heartbeats.
package shardserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Config configures a server.
type Config struct {
	ID                string
	Service           string
	ControlAddr       string // address, host:port, at which the daemon receives heartbeats
	Sharded           bool
	HeartbeatInterval time.Duration // time between two heartbeats
	ServiceTime       time.Duration // time that each request takes
	GrantByCall       bool          // it receives grants by calls, and its heartbeats list no keys
}

// Server is the stand-in server. Use New to start one.
type Server struct {
	cfg    Config
	addr   string
	http   *http.Server
	born   int64 // Unix time of the start, in ms
	client *http.Client

	sending sync.Mutex // held while a heartbeat is under way; locked before mu

	mu          sync.Mutex // guards the fields below
	sequence    int
	state       string
	holds       []holding
	seenFences  []holding // ranges and the fencing tokens with which they were granted by call
	callFault   CallFault
	running     map[int]int // number of running requests by shard key
	freed       [][3]any    // ranges released by the last grant: from, to, transfer token
	executions  []Execution
	silent      bool // no heartbeats are sent
	serviceTime time.Duration
	limit       string        // value of the header field Server-Limit; "" sends none
	leaving     bool          // answers state that the server will stop
	deadlyPath  string        // a request for this path ends the server; "" for none
	crashes     int           // how often a request has ended it
	answer      string        // body of the answers; "" for one that names the request
	cut         *Cut          // answers are broken off; nil for none
	endless     *Endless      // bytes without end take the place of answers; nil for none
	rawAnswer   *RawAnswer    // its bytes take the place of answers; nil for none
	calls       Calls         // made while it runs a request; zero for none
	readPause   time.Duration // after each part of a request's body; see slow.go
	closed      chan struct{} // closed by Close
	closeOnce   sync.Once
}

// Execution records one request that the server executed.
type Execution struct {
	ID          string
	Key         int // -1 if the request has none
	Caller      string
	RemainingMS int // time left until the deadline, as the request states it
	StartedAt   time.Time
}

// New starts a server on a loopback port.
func New(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, addr: ln.Addr().String(), born: time.Now().UnixMilli(), state: "ready", serviceTime: cfg.ServiceTime,
		client: &http.Client{Timeout: time.Second}, running: make(map[int]int), closed: make(chan struct{}),
	}
	s.listen(ln)
	go s.sendHeartbeats()
	return s, nil
}

// listen serves requests that arrive on a listener. The caller holds s.mu, or is New.
func (s *Server) listen(ln net.Listener) {
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Second}
	go func(h *http.Server) { _ = h.Serve(ln) }(s.http)
}

// Close stops the server without announcing it, as a crash does.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.http.Close()
}

// DropKeys drops the held keys, as a server does whose grants have expired.
func (s *Server) DropKeys() { s.update(func() { s.holds = nil }) }

// SetServiceTime sets how long each request takes that arrives from now on.
func (s *Server) SetServiceTime(d time.Duration) { s.update(func() { s.serviceTime = d }) }

// SetLimit makes the following answers name a limit in requests per second, or none if
// it is "". The server does not enforce it.
func (s *Server) SetLimit(perSecond string) { s.update(func() { s.limit = perSecond }) }

// StateLeaving makes the following answers state that the server will stop. Heartbeats do
// not say so.
func (s *Server) StateLeaving() { s.update(func() { s.leaving = true }) }

// Drain makes the following heartbeats announce that the server is draining.
func (s *Server) Drain() { s.update(func() { s.state = "draining" }) }

// Resume makes the server another instance under its id, which holds no keys and sends
// heartbeats.
func (s *Server) Resume() {
	s.update(func() {
		s.state, s.silent, s.born, s.sequence, s.holds, s.freed = "ready", false, time.Now().UnixMilli(), 0, nil, nil
	})
}

// StopHeartbeats stops the heartbeats. The server still accepts requests.
func (s *Server) StopHeartbeats() { s.update(func() { s.silent = true }) }

// ResumeHeartbeats undoes StopHeartbeats.
func (s *Server) ResumeHeartbeats() { s.update(func() { s.silent = false }) }

// update calls f with s.mu locked.
func (s *Server) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Executions returns the requests that the server has executed.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// Sequence returns the sequence of the last heartbeat.
func (s *Server) Sequence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sequence
}

// HeldRanges returns the key ranges that the server holds now, as [from, to, fence].
func (s *Server) HeldRanges() [][3]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldRows()
}

// heldRows returns the rows whose grants have not expired. The caller holds s.mu.
func (s *Server) heldRows() [][3]int64 {
	var rows [][3]int64
	for _, h := range s.holds {
		if !time.Now().After(h.until) {
			rows = append(rows, h.row)
		}
	}
	return rows
}

// sendHeartbeats sends heartbeats until the server is closed. After one that made
// the server release keys it sends the next one early, to report them.
func (s *Server) sendHeartbeats() {
	for {
		released := s.sendHeartbeat()
		wait := s.cfg.HeartbeatInterval
		if released {
			wait = s.cfg.HeartbeatInterval / 8
		}
		select {
		case <-s.closed:
			return
		case <-time.After(wait):
		}
	}
}

// sendHeartbeat sends one heartbeat and applies the grant in the answer. It reports
// whether the server released keys.
func (s *Server) sendHeartbeat() (released bool) {
	s.sending.Lock()
	defer s.sending.Unlock()
	s.mu.Lock()
	if s.silent {
		s.mu.Unlock()
		return false
	}
	body := s.nextHeartbeat()
	s.mu.Unlock()
	sent := time.Now()
	var answer struct {
		Holds  *[][4]any `json:"holds"`
		HoldMS int64     `json:"hold_ms"`
	}
	if err := s.putHeartbeat(s.cfg.ID, body, &answer); err != nil || answer.Holds == nil || s.cfg.GrantByCall {
		return false
	}
	return s.applyGrant(*answer.Holds, sent.Add(time.Duration(answer.HoldMS)*time.Millisecond))
}

// nextHeartbeat returns the next heartbeat. The caller holds s.mu.
func (s *Server) nextHeartbeat() map[string]any {
	s.sequence++
	body := map[string]any{
		"service": s.cfg.Service, "address": s.addr, "zone": "z", "version": "v1", "slots": 8, "state": s.state,
		"cold_left_ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if !s.cfg.GrantByCall {
		body["holds"] = append([][3]int64{}, s.heldRows()...)
		body["freed"] = append([][3]any{}, s.freed...)
	}
	return body
}

// putHeartbeat sends a heartbeat under an id to the daemon and decodes the answer.
func (s *Server) putHeartbeat(id string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+s.cfg.ControlAddr+"/burdockfold/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("heartbeat: status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}

// applyGrant replaces the held ranges by rows, which expire at until, and releases
// the keys that rows do not cover. It reports whether it released any.
func (s *Server) applyGrant(rows [][4]any, until time.Time) (released bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.holds
	s.holds, s.freed = nil, nil
	var granted [][3]int64
	for _, r := range rows {
		row := [3]int64{int64(r[0].(float64)), int64(r[1].(float64)), int64(r[2].(float64))}
		granted = append(granted, row)
		s.holds = append(s.holds, holding{row, until})
	}
	for _, b := range before {
		for _, left := range uncoveredParts(b.row, granted) {
			s.freed = append(s.freed, [3]any{left[0], left[1], "handover-" + s.cfg.ID})
			released = true
		}
	}
	return released
}

// uncoveredParts returns the parts of a row that none of the others covers.
func uncoveredParts(row [3]int64, others [][3]int64) [][2]int64 {
	parts := [][2]int64{{row[0], row[1]}}
	for _, o := range others {
		var rest [][2]int64
		for _, p := range parts {
			if o[1] < p[0] || p[1] < o[0] {
				rest = append(rest, p)
				continue
			}
			if p[0] < o[0] {
				rest = append(rest, [2]int64{p[0], o[0] - 1})
			}
			if o[1] < p[1] {
				rest = append(rest, [2]int64{o[1] + 1, p[1]})
			}
		}
		parts = rest
	}
	return parts
}

// serve executes a request, or refuses it with status 421 if it is addressed to
// another server or its key is not held here.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/burdockfold/grant", "/burdockfold/release":
		s.serveGrantCall(w, r)
		return
	}
	if s.writeRaw(w, r) {
		return
	}
	body, err := s.readBody(r.Body)
	if err != nil {
		return
	}
	execution := Execution{ID: r.Header.Get("X-Attempt-Id"), Key: -1, Caller: r.Header.Get("X-Caller-Service"), StartedAt: time.Now()}
	execution.RemainingMS, _ = strconv.Atoi(r.Header.Get("X-Request-Deadline-Ms")) // zero if it is missing
	if key, err := strconv.Atoi(r.Header.Get("X-Shard-Key")); err == nil {
		execution.Key = key
	}
	w.Header().Set("X-Attempt-Id", execution.ID)
	s.addStatements(w.Header())
	if r.Header.Get("X-Target-Instance") != s.cfg.ID || s.cfg.Sharded && !s.holdsKey(int64(execution.Key)) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var serviceTime time.Duration
	s.update(func() {
		s.executions, serviceTime = append(s.executions, execution), s.serviceTime
		s.running[execution.Key]++
	})
	time.Sleep(serviceTime)
	whole := s.callSucceeds(execution.ID)
	s.update(func() { s.running[execution.Key]-- })
	if s.endIfDeadly(r.URL.Path) {
		return
	}
	answer := s.answerTo(r, body)
	if s.writeCut(w, execution.ID, answer) || s.writeEndless(w, execution.ID) {
		return
	}
	w.Header().Set("X-Server-Signature", "by-"+s.cfg.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if !whole {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, answer)
}

// SetAnswer sets the body of the following answers; "" stands for one that names the request.
func (s *Server) SetAnswer(body string) { s.update(func() { s.answer = body }) }

func (s *Server) answerTo(r *http.Request, body []byte) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer != "" {
		return s.answer
	}
	return fmt.Sprintf("%s %s %s", s.cfg.ID, r.URL.RequestURI(), body)
}

// addStatements adds the header fields in which the server states its limit and that it
// will stop.
func (s *Server) addStatements(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit != "" {
		h.Set("Server-Limit", s.limit)
	}
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
}

// holdsKey reports whether the server holds a key now.
func (s *Server) holdsKey(key int64) bool {
	for _, h := range s.HeldRanges() {
		if h[0] <= key && key <= h[1] {
			return true
		}
	}
	return false
}
