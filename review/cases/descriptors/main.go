// Command descriptors: more clients keep connections open than a daemon has descriptors for.
// Rule LOST.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/burdockfold/burdockfold/review/rig"
)

const routes = `
{"resource_kind":"routes","metadata":{"name":"order"},"spec":{"host":"shop.example","path_prefix":"/o/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"bidding","max_attempts":2}},
{"resource_kind":"routes","metadata":{"name":"view"},"spec":{"host":"shop.example","path_prefix":"/v/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"bidding","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"bidding"},"spec":{"health_path":"/h","max_connections":110}},
{"resource_kind":"limits","metadata":{"name":"l"},"spec":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":60000}}`

const (
	maxFDs       = 4100 // limits.max_fds of the pages
	busyClients  = 120
	busyPause    = 2 * time.Second
	quietClients = 4000
	fewQuiet     = 400
	arrivals     = 50 * time.Second // in which the quiet clients come, one after the other
	quietPause   = 45 * time.Second // between two requests, less than four fifths of idle_timeout_ms
	limit        = 75 * time.Second
	work         = 1000 * time.Millisecond // of an order; the sheets have up to 1,100 ms
	maxLost      = 3                       // of LOST
	ownFDsNeeded = busyClients + quietClients + 1000
)

func main() { os.Exit(run()) }

// request is one request as its client saw it.
type request struct {
	id     string
	sent   time.Duration
	ended  time.Duration
	status int  // 0 if the connection ended without a whole answer
	kept   bool // the connection had carried a request before
}

type record struct {
	mu       sync.Mutex
	requests []request
	open     int
}

func run() int {
	var own syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own) != nil || own.Cur < ownFDsNeeded {
		fmt.Println("the case could not run: the clients need more descriptors than this process may open")
		return rig.Failed
	}
	quiet := quietClients
	if os.Getenv("TROUBLE") == "0" {
		quiet = fewQuiet
	}
	cfg := rig.Config{Services: []string{"bidding", "bidding", "bidding"}, Routes: routes, DrainMS: 2500, GraceS: 6, MaxFDs: maxFDs}
	r, err := rig.Start(cfg, "record.txt")
	if r != nil {
		defer r.Close()
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return rig.Failed
	}
	r.Rec.Quiet = true // of each run at a server
	for _, n := range r.Nodes {
		n.Worker.SetWork(0)
		n.Worker.SetAnswer(func(_ http.ResponseWriter, q *http.Request, _ []byte) bool {
			if q.Method == http.MethodPost {
				select {
				case <-time.After(work):
				case <-q.Context().Done():
				}
			}
			return false
		})
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var seen record
	entry := r.Nodes[0]
	start := func(name, method string, first, pause time.Duration) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client(r, entry, name, method, first, pause, &seen, stop)
		}()
	}
	for c := range busyClients {
		start(fmt.Sprintf("busy%d", c), http.MethodPost, rand.N(busyPause), busyPause)
	}
	for c := range quiet {
		start(fmt.Sprintf("quiet%d", c), http.MethodGet, arrivals*time.Duration(c)/time.Duration(quiet), quietPause)
	}
	ended := false
	for begin := time.Now(); time.Since(begin) < limit && !ended; ended = entry.Wait(time.Second) {
		seen.mu.Lock()
		r.Rec.Printf("%d connections open, %d requests ended", seen.open, len(seen.requests))
		seen.mu.Unlock()
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	runs := map[string]rig.Run{}
	for _, n := range r.Nodes {
		for _, x := range n.Worker.Runs() {
			runs[x.ID] = x
		}
	}
	lost, served := 0, 0
	for _, q := range seen.requests {
		if q.status == http.StatusOK {
			served++
		}
		if x, ran := runs[q.id]; ran && q.kept && q.status == 0 {
			lost++
			r.Rec.Printf("%s: sent at %.3f on a kept connection, ran from %.3f on, connection closed without an answer at %.3f", q.id, q.sent.Seconds(), x.At.Seconds(), q.ended.Seconds())
		}
	}
	if lost > maxLost {
		r.Rec.Result("LOST broken: the daemon ended by itself, and %d requests from kept connections that servers had begun got no answer (%d served)", lost, served)
		return rig.Broken
	}
	r.Rec.Result("LOST held: %d requests without an answer, %d served; the daemon ended by itself: %v", lost, served, ended)
	return rig.Held
}

// client sends requests over a connection that it keeps open, with a pause between them. It
// connects anew when the daemon has closed it.
func client(r *rig.Rig, n *rig.Node, name, method string, first, pause time.Duration, s *record, stop <-chan struct{}) {
	var conn net.Conn
	var answers *bufio.Reader
	used := 0
	drop := func() {
		if conn != nil {
			_ = conn.Close()
			conn, used = nil, 0
			s.mu.Lock()
			s.open--
			s.mu.Unlock()
		}
	}
	defer drop()
	for i, wait := 0, first; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		wait = pause
		if conn == nil {
			c, err := net.DialTimeout("tcp4", n.CallerAddr(), time.Second)
			if err != nil {
				wait = time.Second
				continue
			}
			conn, answers = c, bufio.NewReaderSize(c, 1024)
			s.mu.Lock()
			s.open++
			s.mu.Unlock()
		}
		q := request{id: fmt.Sprintf("%s-%d", name, i), sent: r.Rec.Now(), kept: used > 0}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		path := "/v/1"
		if method == http.MethodPost {
			path = "/o/1"
		}
		_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n", method, path, q.id)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(answers, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		used++
		if err == nil {
			q.status = resp.StatusCode
		}
		q.ended = r.Rec.Now()
		s.mu.Lock()
		s.requests = append(s.requests, q)
		s.mu.Unlock()
		if err != nil || resp.Close {
			drop()
		}
	}
}
