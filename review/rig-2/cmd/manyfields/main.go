// Command manyfields plays clients that nobody controls, at one host of a deployment: each sends
// requests whose heads, inside the limits of the configuration, have as many fields as fit in. A
// stand-in of the platform looks at the memory of the daemons and kills one that has more than its
// machine.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/burdockfold/burdockfold/review/rig-2/rig"
)

const (
	length = 70 * time.Second // of the crowd, unless it ends a process sooner
	look   = 5 * time.Millisecond
	wait   = 1200 * time.Millisecond
	answer = 4 * time.Second

	callers  = 40 // ordinary clients, each with one connection that it keeps
	mostLost = 3  // of the rule LOST
)

func main() {
	folder := flag.String("folder", ".", "where record.txt is written")
	clients := flag.Int("clients", 3000, "of the crowd")
	flag.Parse()
	os.Exit(play(*folder, *clients, os.Getenv("TROUBLE") != "0"))
}

func play(folder string, clients int, trouble bool) int {
	rec, err := rig.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return cannot(err)
	}
	var hosts []*rig.Host
	for i, service := range []string{"payments", "bidding", "payments"} {
		hosts = append(hosts, &rig.Host{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i), Region: "central", Service: service})
	}
	c, err := rig.New(rec, hosts)
	if err != nil {
		return cannot(err)
	}
	defer c.Close()
	for _, h := range hosts {
		if err := h.StartWorker(&rig.Worker{ID: "i-" + h.Name, Slots: 18, Queue: 72, Work: func(*http.Request) time.Duration { return 54 * time.Millisecond }}); err != nil {
			return cannot(err)
		}
		if err := h.Start(); err != nil {
			return cannot(err)
		}
	}
	c.Configure(1, []rig.Route{{Name: "pay", Host: "pay.example", Prefix: "/pay/", Kind: "non_idempotent", Service: "payments", TimeoutMS: int(wait.Milliseconds()), TargetMS: 500, MaxAttempts: 2}})
	for _, h := range hosts {
		if !rig.Await(15*time.Second, func() bool {
			s, _, _ := h.Ask("POST", "pay.example", "/pay/1", "start-"+h.Name, -1, 2*time.Second, nil)
			return s == http.StatusOK
		}) {
			return cannot(fmt.Errorf("no request through %s is served", h.Name))
		}
	}
	began := time.Now()
	var stop atomic.Bool
	over := func() bool { return stop.Load() || time.Since(began) > length }
	var wg sync.WaitGroup
	var sent, got atomic.Int64
	if trouble {
		head := strings.Repeat("a:\r\n", 4000)
		rec.Printf("%d clients come to h1, with heads of %d bytes", clients, len(head)+120)
		for i := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; !over(); n++ {
					one(hosts[1], fmt.Sprintf("crowd-%d-%d", i, n), head, &sent, &got)
				}
			}()
		}
	}
	var asked, served atomic.Int64
	var mu sync.Mutex
	unanswered := map[string]bool{} // requests on kept connections that ended without an answer
	for j := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !over(); n++ {
				ordinary(hosts[1], fmt.Sprintf("calm-%d-%d", j, n), over, func(id string, kept bool, status int) {
					asked.Add(1)
					if status == http.StatusOK {
						served.Add(1)
					}
					rec.Printf("ordinary request %s: status %d, on a kept connection: %t", id, status, kept)
					if status == 0 && kept {
						mu.Lock()
						unanswered[id] = true
						mu.Unlock()
					}
				})
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	killed := false
	most := make([]int, len(hosts))
	for !over() {
		for i, h := range hosts {
			mb := h.Status("VmRSS") * 1024 / 1_000_000
			most[i] = max(most[i], mb)
			if mb > h.MemoryMB {
				rec.Printf("the daemon of %s has %d MB, its machine %d: the platform kills it", h.Name, mb, h.MemoryMB)
				h.Signal(syscall.SIGKILL)
				killed = true
				stop.Store(true)
			}
		}
		time.Sleep(look)
	}
	wg.Wait()
	c.RecordRuns()
	for i, h := range hosts {
		rec.Printf("the daemon of %s had at most %d MB of %d", h.Name, most[i], h.MemoryMB)
	}
	rec.Printf("the crowd sent %d requests and got %d answers; ordinary requests: %d, %d served", sent.Load(), got.Load(), asked.Load(), served.Load())
	lost := 0
	for id, n := range c.RunsOf() {
		if n > 0 && unanswered[id] {
			lost++
		}
	}
	rec.Printf("%d ordinary requests from kept connections had begun to run at a server and got no answer", lost)
	if killed {
		rec.Printf("BROKEN: a process was ended for its memory after %s", time.Since(began).Round(time.Millisecond))
		return 1
	}
	if lost > mostLost {
		rec.Printf("BROKEN: LOST")
		return 1
	}
	rec.Printf("held")
	return 0
}

// ordinary sends requests on one connection until it ends.
func ordinary(h *rig.Host, prefix string, over func() bool, report func(id string, kept bool, status int)) {
	conn, err := net.DialTimeout("tcp4", h.Caller(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := 0; !over(); n++ {
		id := fmt.Sprintf("%s-%d", prefix, n)
		_ = conn.SetDeadline(time.Now().Add(wait + time.Second))
		_, err := fmt.Fprintf(conn, "POST /pay/2 HTTP/1.1\r\nHost: pay.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", id, wait.Milliseconds())
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(r, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			report(id, n > 0, 0)
			return
		}
		report(id, n > 0, resp.StatusCode)
		if resp.Close {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// one sends one request of the crowd on a connection of its own.
func one(h *rig.Host, id, head string, sent, got *atomic.Int64) {
	conn, err := net.DialTimeout("tcp4", h.Caller(), time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answer))
	if _, err := fmt.Fprintf(conn, "POST /pay/3 HTTP/1.1\r\nHost: pay.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline-Ms: %d\r\n%sContent-Length: 0\r\n\r\n", id, wait.Milliseconds(), head); err != nil {
		return
	}
	sent.Add(1)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	got.Add(1)
}

func cannot(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}
