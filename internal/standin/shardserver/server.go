// Package shardserver is a small stand-in of a backend server of the platform: it
// announces itself by heartbeats, holds the keys that it is granted for as long as
// it is told, runs requests on them and refuses the others.
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

// Config describes a server.
type Config struct {
	ID                string
	Service           string
	ControlAddr       string // address of the daemon's local port
	Sharded           bool
	HeartbeatInterval time.Duration // between two heartbeats
	ServiceTime       time.Duration // of one request
}

// Server is the stand-in. Use New.
type Server struct {
	cfg    Config
	addr   string
	http   *http.Server
	born   int64
	client *http.Client

	mu       sync.Mutex // guards the fields below
	sequence int
	state    string
	holds    [][3]int64 // from, to, fence
	until    time.Time
	freed    [][3]any
	runs     []Execution
	cut      bool // heartbeats are not sent
	work     time.Duration
	stop     chan struct{}
	ended    sync.Once
}

// Execution is one request that the server ran.
type Execution struct {
	ID          string
	Key         int // -1 without one
	Caller      string
	RemainingMS int // ms, as told
	StartedAt   time.Time
}

// New starts a server on a loopback port.
func New(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, addr: ln.Addr().String(), born: time.Now().UnixMilli(), state: "ready", work: cfg.ServiceTime,
		client: &http.Client{Timeout: time.Second}, stop: make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(ln) }()
	go s.beats()
	return s, nil
}

// Close ends the server without a word, as a crash does.
func (s *Server) Close() error {
	s.ended.Do(func() { close(s.stop) })
	return s.http.Close()
}

// DropKeys drops the held keys, as a server does whose grants have run out.
func (s *Server) DropKeys() { s.set(func() { s.holds = nil }) }

// SetServiceTime sets the service time of the requests from now on.
func (s *Server) SetServiceTime(d time.Duration) { s.set(func() { s.work = d }) }

// Drain announces that the server leaves.
func (s *Server) Drain() { s.set(func() { s.state = "draining" }) }

// StopHeartbeats stops the heartbeats; requests still arrive.
func (s *Server) StopHeartbeats() { s.set(func() { s.cut = true }) }

func (s *Server) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Executions returns the requests that the server ran.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.runs...)
}

// HeldRanges returns the ranges held now, as [from, to, fence].
func (s *Server) HeldRanges() [][3]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.until) {
		return nil
	}
	return append([][3]int64(nil), s.holds...)
}

func (s *Server) beats() {
	for {
		again := s.beat()
		wait := s.cfg.HeartbeatInterval
		if again {
			wait = s.cfg.HeartbeatInterval / 8
		}
		select {
		case <-s.stop:
			return
		case <-time.After(wait):
		}
	}
}

// beat sends one heartbeat and takes in what it orders. It reports whether
// something was released.
func (s *Server) beat() (released bool) {
	s.mu.Lock()
	if s.cut {
		s.mu.Unlock()
		return false
	}
	s.sequence++
	holds := s.holds
	if time.Now().After(s.until) {
		holds = nil
	}
	body := map[string]any{
		"service": s.cfg.Service, "address": s.addr, "zone": "z", "version": "v1", "slots": 8, "state": s.state,
		"cold_left_ms": 0, "sequence": s.sequence, "born": s.born, "holds": holds, "freed": s.freed,
	}
	s.mu.Unlock()
	sent := time.Now()
	var answer struct {
		Holds  *[][4]any `json:"holds"`
		HoldMS int64     `json:"hold_ms"`
	}
	if err := s.put(body, &answer); err != nil || answer.Holds == nil {
		return false
	}
	return s.take(*answer.Holds, sent.Add(time.Duration(answer.HoldMS)*time.Millisecond))
}

func (s *Server) put(body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+s.cfg.ControlAddr+"/burdockfold/instances/"+s.cfg.ID, bytes.NewReader(data))
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

// take holds the rows until an instant and frees all others.
func (s *Server) take(rows [][4]any, until time.Time) (released bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.holds
	s.holds, s.until, s.freed = nil, until, nil
	for _, r := range rows {
		s.holds = append(s.holds, [3]int64{int64(r[0].(float64)), int64(r[1].(float64)), int64(r[2].(float64))})
	}
	for _, b := range before {
		for _, left := range without(b, s.holds) {
			s.freed = append(s.freed, [3]any{left[0], left[1], "handover-" + s.cfg.ID})
			released = true
		}
	}
	return released
}

// without returns the parts of a row that no other row covers.
func without(row [3]int64, others [][3]int64) [][2]int64 {
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

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := Execution{ID: r.Header.Get("X-Attempt-Id"), Key: -1, Caller: r.Header.Get("X-Caller-Service"), StartedAt: time.Now()}
	run.RemainingMS, _ = strconv.Atoi(r.Header.Get("X-Request-Deadline-Ms")) // zero if it is missing
	if key, err := strconv.Atoi(r.Header.Get("X-Shard-Key")); err == nil {
		run.Key = key
	}
	w.Header().Set("X-Attempt-Id", run.ID)
	if r.Header.Get("X-Target-Instance") != s.cfg.ID || s.cfg.Sharded && !s.has(int64(run.Key)) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var work time.Duration
	s.set(func() { s.runs, work = append(s.runs, run), s.work })
	time.Sleep(work)
	w.Header().Set("X-Server-Signature", "by-"+s.cfg.ID)
	_, _ = fmt.Fprintf(w, "%s %s %s", s.cfg.ID, r.URL.RequestURI(), body)
}

func (s *Server) has(key int64) bool {
	for _, h := range s.HeldRanges() {
		if h[0] <= key && key <= h[1] {
			return true
		}
	}
	return false
}
