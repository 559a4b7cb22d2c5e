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

// heartbeatInterval is the time between two heartbeats of a server.
const heartbeatInterval = 870 * time.Millisecond

// clockSlow is how much slower than the true time the servers' clocks run.
const clockSlow = 0.02

// Row is a range of keys with its generation number.
type Row struct{ From, To, Fence int64 }

// Hold is a time in which a server held a range.
type Hold struct {
	Row
	Worker  string // id and start
	Since   time.Duration
	Until   time.Duration // of the last grant, or when it was released
	Granted time.Duration // when the last grant arrived
}

// Run is a request that a server began to work on.
type Run struct {
	ID, Worker, Caller, Method, URI string
	Key                             int64
	At, End                         time.Duration
	Body                            int
}

// Worker is a backend server. It holds the keys that it is granted for the granted time, by a
// clock that is slow.
type Worker struct {
	rec     *Recorder
	node    *Node
	sharded bool
	client  *http.Client

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	up       bool
	beats    bool
	holds    []*Hold
	fences   []Row // greatest seen on each range
	freed    [][3]any
	busy     map[int64]int
	all      []*Hold
	runs     []*Run
	work     time.Duration
	answer   func(w http.ResponseWriter, r *http.Request, body []byte) bool
	server   *http.Server
	stop     chan struct{}
	wake     chan struct{}
	granted  time.Duration // when the last heartbeat was sent that was answered with a grant
}

func newWorker(rec *Recorder, n *Node, id string, sharded bool) (*Worker, error) {
	w := &Worker{rec: rec, node: n, id: id, sharded: sharded, work: 20 * time.Millisecond, busy: map[int64]int{},
		client: &http.Client{Timeout: time.Second}, stop: make(chan struct{}), wake: make(chan struct{}, 1)}
	if err := w.Start(id); err != nil {
		return nil, err
	}
	go w.heartbeats()
	return w, nil
}

// Start starts a new life of the server.
func (w *Worker) Start(id string) error {
	ln, err := net.Listen("tcp4", w.node.Addr(workerPort))
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id, w.born, w.sequence, w.state, w.up, w.beats = id, time.Now().UnixMilli(), 0, "ready", true, true
	w.holds, w.fences, w.freed, w.busy = nil, nil, nil, map[int64]int{}
	life := w.name()
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, life) })}
	go func(s *http.Server) { _ = s.Serve(ln) }(w.server)
	w.rec.Printf("worker %s: start at %s", life, w.node.IP)
	return nil
}

// name identifies the life of the server. The caller holds w.mu.
func (w *Worker) name() string { return fmt.Sprintf("%s/%d", w.id, w.born) }

// Name identifies the present life of the server.
func (w *Worker) Name() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.name()
}

// Crash ends the server without a word.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up, w.beats = false, false
	now := w.rec.Now()
	for _, h := range w.holds {
		h.Until = min(h.Until, now)
	}
	w.holds = nil
	_ = w.server.Close()
	w.rec.Printf("worker %s: crash", w.name())
}

// Leave sends the call that announces the end of the server, and no heartbeats from then on.
// It returns the status of the answer. The server goes on serving until Crash is called.
func (w *Worker) Leave() int {
	w.mu.Lock()
	w.beats = false
	id, name := w.id, w.name()
	w.mu.Unlock()
	req, err := http.NewRequest(http.MethodDelete, "http://"+w.node.Addr(localPort)+"/burdockfold/instances/"+id, nil)
	if err != nil {
		return 0
	}
	resp, err := w.client.Do(req)
	if err != nil {
		w.rec.Printf("worker %s: DELETE failed: %v", name, err)
		return 0
	}
	_ = resp.Body.Close()
	w.rec.Printf("worker %s: DELETE answered %d", name, resp.StatusCode)
	return resp.StatusCode
}

// AwaitIdle waits until the server works on no request.
func (w *Worker) AwaitIdle() {
	for {
		w.mu.Lock()
		running := 0
		for _, n := range w.busy {
			running += n
		}
		w.mu.Unlock()
		if running == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// LateHeartbeat takes a heartbeat of the server as of now, to be sent later.
func (w *Worker) LateHeartbeat() func() int {
	w.mu.Lock()
	w.sequence++
	id, name, seq := w.id, w.name(), w.sequence
	body, _ := json.Marshal(map[string]any{"service": w.node.Service, "address": w.node.Addr(workerPort), "zone": "zone-a", "version": "v1", "slots": 18,
		"state": w.state, "cold_left_ms": 0, "sequence": seq, "born": w.born, "holds": w.rows(), "freed": [][3]any{}})
	w.mu.Unlock()
	w.rec.Printf("worker %s: heartbeat %d is sent and held up on its way", name, seq)
	return func() int {
		req, err := http.NewRequest(http.MethodPut, "http://"+w.node.Addr(localPort)+"/burdockfold/instances/"+id, bytes.NewReader(body))
		if err != nil {
			return 0
		}
		resp, err := w.client.Do(req)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		w.rec.Printf("worker %s: heartbeat %d arrives, answered %d", name, seq, resp.StatusCode)
		return resp.StatusCode
	}
}

// ForeignHeartbeat sends a heartbeat under the name of the server that another writer made: it
// lacks the lists of keys. ahead is by how much its sequence is greater than the server's last.
func (w *Worker) ForeignHeartbeat(state string, ahead int) int {
	w.mu.Lock()
	id, name, seq, born := w.id, w.name(), w.sequence+ahead, w.born
	w.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"service": w.node.Service, "address": w.node.Addr(workerPort), "zone": "zone-a", "version": "v1", "slots": 18,
		"state": state, "cold_left_ms": 0, "sequence": seq, "born": born})
	req, err := http.NewRequest(http.MethodPut, "http://"+w.node.Addr(localPort)+"/burdockfold/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0
	}
	text, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	w.rec.Printf("another writer: heartbeat %d of %s, state %s, without holds and freed: answered %d %s", seq, name, state, resp.StatusCode, text)
	return resp.StatusCode
}

// SetWork sets how long requests take.
func (w *Worker) SetWork(d time.Duration) { w.mu.Lock(); defer w.mu.Unlock(); w.work = d }

// SetAnswer sets what answers the requests that have run. It returns false to leave that to
// the server.
func (w *Worker) SetAnswer(f func(http.ResponseWriter, *http.Request, []byte) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer = f
}

func (w *Worker) close() {
	close(w.stop)
	w.Crash()
}

// Runs returns the requests that the server has run.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Run, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
	}
	return out
}

// Holds returns all times in which the server held ranges.
func (w *Worker) Holds() []Hold {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Hold, len(w.all))
	for i, h := range w.all {
		out[i] = *h
	}
	return out
}

func (w *Worker) heartbeats() {
	for {
		wait := heartbeatInterval
		if w.beat() {
			wait = 90 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-w.wake:
		case <-time.After(wait):
		}
	}
}

// expire drops the holds that have ended. The caller holds w.mu.
func (w *Worker) expire(now time.Duration) {
	kept := w.holds[:0:0]
	for _, h := range w.holds {
		if h.Until > now {
			kept = append(kept, h)
		}
	}
	w.holds = kept
}

// beat sends a heartbeat and applies its answer. It reports whether another one is due at
// once.
func (w *Worker) beat() bool {
	w.mu.Lock()
	if !w.up || !w.beats {
		w.mu.Unlock()
		return false
	}
	sent := w.rec.Now()
	w.expire(sent)
	w.sequence++
	rows := w.rows()
	freed := w.freed
	if freed == nil {
		freed = [][3]any{}
	}
	life, id := w.name(), w.id
	body := map[string]any{"service": w.node.Service, "address": w.node.Addr(workerPort), "zone": "zone-a", "version": "v1", "slots": 18,
		"state": w.state, "cold_left_ms": 0, "sequence": w.sequence, "born": w.born}
	if w.sharded {
		body["holds"], body["freed"] = rows, freed
	}
	w.mu.Unlock()
	data, _ := json.Marshal(body)
	req, err := http.NewRequest(http.MethodPut, "http://"+w.node.Addr(localPort)+"/burdockfold/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return false
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return false
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	var a struct {
		Holds  *[][]any `json:"holds"`
		HoldMS float64  `json:"hold_ms"`
	}
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(text, &a) != nil || w.rec.Now()-sent > time.Second {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.name() != life || !w.up {
		return false
	}
	if len(freed) > 0 {
		w.freed = w.freed[len(freed):]
	}
	if !w.sharded || a.Holds == nil {
		return false
	}
	w.granted = sent
	hold := time.Duration(a.HoldMS * (1 + clockSlow) * float64(time.Millisecond))
	return w.apply(*a.Holds, sent+hold)
}

// rows returns the rows that the server holds or still works on. The caller holds w.mu.
func (w *Worker) rows() [][3]int64 {
	w.expire(w.rec.Now())
	rows := [][3]int64{}
	for _, h := range w.holds {
		rows = append(rows, [3]int64{h.From, h.To, h.Fence})
	}
	for k, n := range w.busy {
		if n > 0 && k >= 0 && !w.held(k) {
			rows = append(rows, [3]int64{k, k, w.fenceOf(k)})
		}
	}
	return rows
}

// LastBeat returns when the server sent its last heartbeat that was answered with a grant.
func (w *Worker) LastBeat() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.granted
}

func (w *Worker) held(k int64) bool {
	for _, h := range w.holds {
		if h.From <= k && k <= h.To {
			return true
		}
	}
	return false
}

func (w *Worker) fenceOf(k int64) (f int64) {
	for _, s := range w.fences {
		if s.From <= k && k <= s.To {
			f = max(f, s.Fence)
		}
	}
	return f
}

// apply makes the server hold the rows of a grant and nothing else. It reports whether keys
// were released. The caller holds w.mu.
func (w *Worker) apply(rows [][]any, until time.Duration) bool {
	now := w.rec.Now()
	old := w.holds
	w.holds = nil
	var spans []Row
	for _, x := range rows {
		r := Row{int64(x[0].(float64)), int64(x[1].(float64)), int64(x[2].(float64))}
		refused := false
		for _, s := range w.fences {
			if s.From <= r.To && r.From <= s.To && s.Fence > r.Fence {
				refused = true
			}
		}
		if refused {
			w.rec.Printf("worker %s: refuses %v", w.name(), r)
			continue
		}
		w.fences = append(w.fences, r)
		spans = append(spans, r)
		var h *Hold
		for _, o := range old {
			if o.Row == r && o.Until >= now {
				h = o
			}
		}
		if h == nil {
			h = &Hold{Row: r, Worker: w.name(), Since: now}
			w.all = append(w.all, h)
			w.rec.Printf("worker %s: takes %d-%d generation %d for %v", w.name(), r.From, r.To, r.Fence, until-now)
		}
		h.Until, h.Granted = until, now
		w.holds = append(w.holds, h)
	}
	if len(w.fences) > 400 {
		w.fences = w.fences[len(w.fences)-400:]
	}
	released := false
	for _, o := range old {
		kept := false
		for _, h := range w.holds {
			kept = kept || h == o
		}
		if kept || o.Until <= now {
			continue
		}
		o.Until = now
		for _, p := range without(o.Row, spans) {
			w.freed = append(w.freed, [3]any{p.From, p.To, fmt.Sprintf("h-%s-%d", w.id, w.sequence)})
			released = true
		}
		w.rec.Printf("worker %s: releases of %d-%d generation %d", w.name(), o.From, o.To, o.Fence)
	}
	return released
}

// without returns the parts of a row that no span covers.
func without(r Row, spans []Row) []Row {
	parts := []Row{r}
	for _, s := range spans {
		var rest []Row
		for _, p := range parts {
			if s.To < p.From || s.From > p.To {
				rest = append(rest, p)
				continue
			}
			if p.From < s.From {
				rest = append(rest, Row{p.From, s.From - 1, p.Fence})
			}
			if p.To > s.To {
				rest = append(rest, Row{s.To + 1, p.To, p.Fence})
			}
		}
		parts = rest
	}
	return parts
}

// serve runs a request, or rejects it.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request, life string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	key, err := strconv.ParseInt(r.Header.Get("X-Shard-Key"), 10, 64)
	if err != nil {
		key = -1
	}
	w.mu.Lock()
	w.expire(w.rec.Now())
	if w.name() != life || r.Header.Get("X-Target-Instance") != w.id || w.sharded && !w.held(key) {
		w.mu.Unlock()
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := &Run{ID: id, Worker: life, Caller: r.Header.Get("X-Caller-Service"), Key: key, At: w.rec.Now(), Body: len(body), Method: r.Method, URI: r.RequestURI}
	w.runs = append(w.runs, run)
	w.busy[key]++
	work, answer := w.work, w.answer
	w.mu.Unlock()
	w.rec.Printf("worker %s: begins %s %s %s key %d", life, id, r.Method, r.RequestURI, key)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	w.mu.Lock()
	run.End = w.rec.Now()
	if w.name() == life {
		w.busy[key]--
	}
	w.mu.Unlock()
	if answer != nil && answer(rw, r, body) {
		return
	}
	rw.Header().Set("X-Server-Signature", "sig-"+life)
	_, _ = fmt.Fprintf(rw, "%s %s %d", id, r.RequestURI, len(body))
}
