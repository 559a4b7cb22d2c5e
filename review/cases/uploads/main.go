// Command uploads: clients send bodies within the operator's limit, and a daemon exceeds its
// memory. Rule LOST.
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

// routes has the limits of the sites: bodies of up to 64 MiB.
const routes = `
{"resource_kind":"routes","metadata":{"name":"order"},"spec":{"host":"shop.example","path_prefix":"/o/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"bidding","max_attempts":2}},
{"resource_kind":"routes","metadata":{"name":"photo"},"spec":{"host":"shop.example","path_prefix":"/photo/","kind":"non_idempotent","timeout_ms":10000,"target_latency_ms":5000,"priority":2,"service":"bidding","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"bidding"},"spec":{"health_path":"/h","max_connections":110}},
{"resource_kind":"limits","metadata":{"name":"l"},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	memoryMB  = 284             // limits.memory_mb of the pages
	bodyBytes = 60 << 20        // of an upload, below max_body_bytes
	linkBytes = 125 << 20 / 100 // bytes in 10 ms over a link of 1,000 Mbit/s
	linkStep  = 10 * time.Millisecond
	clients   = 40
	pause     = 300 * time.Millisecond // between two orders of a client
	work      = 400 * time.Millisecond // of an order
	rounds    = 2
	atOnce    = 2 // uploads in each round
	restart   = 500 * time.Millisecond
	maxLost   = 3 // of LOST
)

func main() { os.Exit(run()) }

// request is one order as its client saw it.
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
}

func run() int {
	size := bodyBytes
	if os.Getenv("TROUBLE") == "0" {
		size = 1 << 10
	}
	cfg := rig.Config{Services: []string{"bidding", "bidding", "bidding"}, Routes: routes, DrainMS: 2500, GraceS: 6}
	r, err := rig.Start(cfg, "record.txt")
	if r != nil {
		defer r.Close()
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return rig.Failed
	}
	for _, n := range r.Nodes {
		n.Worker.SetWork(work)
	}
	time.Sleep(3 * time.Second)
	stop, enforced := make(chan struct{}), make(chan struct{})
	var wg sync.WaitGroup
	var seen record
	kills, peak := 0, 0
	go func() { // the platform limits the memory of each process
		defer close(enforced)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			for _, n := range r.Nodes {
				mb := n.MemoryMB()
				peak = max(peak, mb)
				if mb <= memoryMB {
					continue
				}
				kills++
				r.Rec.Printf("platform: daemon %s has %d MB, %d allowed, and is killed", n.IP, mb, memoryMB)
				n.Signal(syscall.SIGKILL)
				n.Wait(time.Second)
				time.Sleep(restart)
				if err := n.StartDaemon(); err != nil {
					r.Rec.Printf("start: %v", err)
				}
			}
		}
	}()
	entry := r.Nodes[0]
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			order(r, entry, fmt.Sprintf("order%d", c), &seen, stop)
		}()
	}
	time.Sleep(4 * time.Second)
	for u := range rounds {
		var both sync.WaitGroup
		for v := range atOnce {
			both.Add(1)
			go func() {
				defer both.Done()
				id := fmt.Sprintf("photo%d-%d", u, v)
				status, err := upload(r, entry, id, size)
				r.Rec.Printf("client at %s: %s of %d bytes: status %d (%v)", entry.IP, id, size, status, err)
			}()
		}
		both.Wait()
		time.Sleep(2 * time.Second)
	}
	close(stop)
	<-enforced
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
			r.Rec.Printf("%s: sent at %.3f on a kept connection, ran from %.3f on at %s, connection closed without an answer at %.3f", q.id, q.sent.Seconds(), x.At.Seconds(), x.Worker, q.ended.Seconds())
		}
	}
	if lost > maxLost {
		r.Rec.Result("LOST broken: %d daemons exceeded their memory, and %d requests from kept connections that servers had begun got no answer (%d served, peak %d MB)", kills, lost, served, peak)
		return rig.Broken
	}
	r.Rec.Result("LOST held: %d requests without an answer, %d served, peak %d MB", lost, served, peak)
	return rig.Held
}

// upload sends one long body over a link of 1,000 Mbit/s and returns the status of the answer.
func upload(r *rig.Rig, n *rig.Node, id string, size int) (int, error) {
	c, err := net.DialTimeout("tcp4", n.CallerAddr(), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	r.Rec.Printf("client at %s: %s of %d bytes begins", n.IP, id, size)
	if _, err := fmt.Fprintf(c, "POST /photo/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", id, size); err != nil {
		return 0, err
	}
	part := make([]byte, linkBytes)
	for sent := 0; sent < size; time.Sleep(linkStep) {
		k, err := c.Write(part[:min(len(part), size-sent)])
		sent += k
		if err != nil {
			return 0, err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// order sends orders over a connection that it keeps open. It connects anew when the daemon has
// closed it.
func order(r *rig.Rig, n *rig.Node, name string, s *record, stop <-chan struct{}) {
	var conn net.Conn
	var answers *bufio.Reader
	used := 0
	for i := 0; ; i++ {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		if conn == nil {
			c, err := net.DialTimeout("tcp4", n.CallerAddr(), time.Second)
			if err != nil {
				continue
			}
			conn, answers, used = c, bufio.NewReaderSize(c, 1024), 0
		}
		q := request{id: fmt.Sprintf("%s-%d", name, i), sent: r.Rec.Now(), kept: used > 0}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		_, err := fmt.Fprintf(conn, "POST /o/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline-Ms: 2500\r\nContent-Length: 5\r\n\r\norder", q.id)
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
		r.Rec.Printf("client at %s: %s POST /o/1: status %d (%v) after %v", n.IP, q.id, q.status, err, q.ended-q.sent)
		s.mu.Lock()
		s.requests = append(s.requests, q)
		s.mu.Unlock()
		if err != nil || resp.Close {
			_ = conn.Close()
			conn = nil
		}
	}
}
