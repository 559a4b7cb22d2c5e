package rig

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

// Run is a request that a worker has begun.
type Run struct {
	ID, Method, URI, Caller string
	Key                     int
	Body                    int
	At                      time.Time
}

type hold struct {
	from, to int
	fence    int64
	until    time.Time
}

// Worker is a backend server: it runs up to Slots requests at once, queues Queue more, sheds the
// rest, and holds keys that it was granted in the answers to its heartbeats.
type Worker struct {
	ID    string
	Slots int
	Queue int
	Work  func(r *http.Request) time.Duration
	Beat  time.Duration

	h    *Host
	srv  *http.Server
	born int64
	stop chan struct{}
	once sync.Once
	sem  chan struct{}

	mu      sync.Mutex
	seq     int
	state   string
	silent  bool
	holds   []hold
	freed   [][3]any
	waiting int
	running int
	Runs    []Run
	Acked   map[string]time.Time // states by the first confirmation
	Rows    int                  // of the last grant
	Answer  int                  // bytes of the last answer to a heartbeat
	fail    func(w http.ResponseWriter, r *http.Request) bool
}

// StartWorker starts a worker on the host's application address.
func (h *Host) StartWorker(w *Worker) error {
	ln, err := net.Listen("tcp4", h.Addr(h.c.Ports.App))
	if err != nil {
		return err
	}
	w.h, w.born, w.stop, w.state = h, time.Now().UnixMilli(), make(chan struct{}), "ready"
	w.sem, w.Acked = make(chan struct{}, w.Slots), map[string]time.Time{}
	if w.Beat == 0 {
		w.Beat = 870 * time.Millisecond
	}
	w.srv = &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	h.Worker = w
	go func() { _ = w.srv.Serve(ln) }()
	go w.beats()
	return nil
}

// Close ends the worker as a crash does.
func (w *Worker) Close() {
	w.once.Do(func() { close(w.stop); _ = w.srv.Close() })
}

// SetState changes the state in the next heartbeats.
func (w *Worker) SetState(s string) { w.mu.Lock(); w.state = s; w.mu.Unlock() }

// Fail sets a function that may answer requests that the worker has begun to run in its place; it
// reports whether it has.
func (w *Worker) Fail(f func(w http.ResponseWriter, r *http.Request) bool) {
	w.mu.Lock()
	w.fail = f
	w.mu.Unlock()
}

// Holds returns what the worker holds now.
func (w *Worker) Holds() [][3]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rows()
}

func (w *Worker) rows() [][3]int64 {
	out := [][3]int64{}
	for _, h := range w.holds {
		if time.Now().Before(h.until) {
			out = append(out, [3]int64{int64(h.from), int64(h.to), h.fence})
		}
	}
	return out
}

func (w *Worker) holdsKey(k int) bool {
	for _, r := range w.Holds() {
		if int64(k) >= r[0] && int64(k) <= r[1] {
			return true
		}
	}
	return false
}

func (w *Worker) beats() {
	for {
		wait := w.Beat
		if w.beat() {
			wait = 100 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-time.After(wait):
		}
	}
}

func (w *Worker) beat() (again bool) {
	w.mu.Lock()
	if w.silent {
		w.mu.Unlock()
		return false
	}
	w.seq++
	state := w.state
	body := map[string]any{"service": w.h.Service, "address": w.h.Addr(w.h.c.Ports.App), "zone": w.h.Zone, "version": "v1", "slots": w.Slots,
		"state": state, "cold_left_ms": 0, "sequence": w.seq, "born": w.born}
	if w.h.Sharded {
		body["holds"], body["freed"] = w.rows(), append([][3]any{}, w.freed...)
	}
	w.mu.Unlock()
	data, _ := json.Marshal(body)
	sent := time.Now()
	req, err := http.NewRequest("PUT", "http://"+w.h.Addr(w.h.c.Ports.Control)+"/burdockfold/instances/"+w.ID, bytes.NewReader(data))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode/100 != 2 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.Answer = len(text)
	if len(text) > 4<<10 { // no confirmation
		return false
	}
	if _, ok := w.Acked[state]; !ok {
		w.Acked[state] = time.Now()
	}
	var a struct {
		Holds  *[][4]any `json:"holds"`
		HoldMS int64     `json:"hold_ms"`
	}
	if json.Unmarshal(text, &a) != nil || a.Holds == nil || !w.h.Sharded {
		return false
	}
	until := sent.Add(time.Duration(a.HoldMS) * time.Millisecond)
	before := w.holds
	w.holds, w.freed, w.Rows = nil, nil, len(*a.Holds)
	for _, r := range *a.Holds {
		w.holds = append(w.holds, hold{int(r[0].(float64)), int(r[1].(float64)), int64(r[2].(float64)), until})
	}
	for _, b := range before {
		for _, p := range subtract([2]int{b.from, b.to}, w.holds) {
			w.freed = append(w.freed, [3]any{p[0], p[1], fmt.Sprintf("%016x", time.Now().UnixNano())})
		}
	}
	return len(w.freed) > 0
}

func subtract(s [2]int, hs []hold) [][2]int {
	parts := [][2]int{s}
	for _, h := range hs {
		var rest [][2]int
		for _, p := range parts {
			if h.to < p[0] || p[1] < h.from {
				rest = append(rest, p)
				continue
			}
			if p[0] < h.from {
				rest = append(rest, [2]int{p[0], h.from - 1})
			}
			if h.to < p[1] {
				rest = append(rest, [2]int{h.to + 1, p[1]})
			}
		}
		parts = rest
	}
	return parts
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Instance-Id", w.ID)
	w.mu.Lock()
	rw.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.Slots))
	w.mu.Unlock()
	refuse := func(status int) {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(status)
	}
	if r.URL.Path == "/healthz" {
		return
	}
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != w.ID {
		refuse(421)
		return
	}
	key := -1
	if k, err := strconv.Atoi(r.Header.Get("X-Shard-Key")); err == nil {
		key = k
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	left, _ := strconv.Atoi(r.Header.Get("X-Request-Deadline-Ms"))
	deadline := time.After(time.Duration(left) * time.Millisecond)
	w.mu.Lock()
	if w.waiting >= w.Queue && w.running >= w.Slots {
		w.mu.Unlock()
		refuse(503)
		return
	}
	w.waiting++
	w.mu.Unlock()
	entered := false
	select {
	case w.sem <- struct{}{}:
		entered = true
	case <-deadline:
	case <-r.Context().Done():
	}
	w.mu.Lock()
	w.waiting--
	w.mu.Unlock()
	if !entered {
		refuse(503)
		return
	}
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
		<-w.sem
	}()
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	if w.h.Sharded && !w.holdsKey(key) {
		refuse(421)
		return
	}
	w.mu.Lock()
	w.Runs = append(w.Runs, Run{ID: id, Method: r.Method, URI: r.RequestURI, Caller: r.Header.Get("X-Caller-Service"), Key: key, Body: len(body), At: time.Now()})
	w.mu.Unlock()
	w.mu.Lock()
	fail := w.fail
	w.mu.Unlock()
	if fail != nil && fail(rw, r) {
		return
	}
	var work time.Duration
	if w.Work != nil {
		work = w.Work(r)
	}
	select {
	case <-time.After(work):
	case <-deadline:
		rw.Header().Set("X-Server-Signature", "late-"+id)
		rw.WriteHeader(504)
		return
	case <-r.Context().Done():
		return
	}
	answer := "ran " + id + " at " + w.ID
	rw.Header().Set("X-Server-Signature", "sig-"+id+"-"+w.ID)
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(rw, answer)
}

// RecordRuns writes how many requests each worker has run, and the first and the last of them.
func (c *Cluster) RecordRuns() {
	for _, h := range c.Hosts {
		if h.Worker == nil {
			continue
		}
		h.Worker.mu.Lock()
		if n := len(h.Worker.Runs); n > 0 {
			first, last := h.Worker.Runs[0], h.Worker.Runs[n-1]
			c.Record.Printf("server %s of %s ran %d requests, from %s (%s %s) to %s, the last at %.3f", h.Worker.ID, h.Service, n,
				first.ID, first.Method, first.URI, last.ID, last.At.Sub(c.Record.start).Seconds())
		} else {
			c.Record.Printf("server %s of %s ran no request", h.Worker.ID, h.Service)
		}
		h.Worker.mu.Unlock()
	}
}

// RunsOf returns how often each request was run.
func (c *Cluster) RunsOf() map[string]int {
	out := map[string]int{}
	for _, h := range c.Hosts {
		if h.Worker == nil {
			continue
		}
		h.Worker.mu.Lock()
		for _, r := range h.Worker.Runs {
			out[r.ID]++
		}
		h.Worker.mu.Unlock()
	}
	return out
}
