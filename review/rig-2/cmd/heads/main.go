// Command tokens plays clients that nobody controls, at one host of a deployment: each keeps one
// connection and sends one request after the other whose head, inside the limits of the
// configuration, has many short fields and a Connection field that lists many names. Ordinary
// callers send requests at all hosts meanwhile.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockfold/burdockfold/review/rig-2/rig"
)

const (
	warmTime  = 5 * time.Second  // of the crowd, before anything is judged
	judgeTime = 20 * time.Second // in which ordinary requests and questions for readiness count
	wait      = 1200 * time.Millisecond
	pause     = 3 * time.Second // from one request of a client of the crowd to its next one
	share     = 0.32            // of a core, for each daemon
)

func main() {
	folder := flag.String("folder", ".", "where record.txt is written")
	clients := flag.Int("clients", 60, "of the crowd")
	plain := flag.Bool("plain", false, "the crowd sends heads of the same length, with one long field")
	flag.Parse()
	os.Exit(play(*folder, *clients, *plain, os.Getenv("TROUBLE") != "0"))
}

// tally counts ordinary requests of one host in the judged time. late are those without an answer
// at the timeout of their route, and unanswered those without one lateness after it.
type tally struct{ asked, served, late, unanswered atomic.Int64 }

// lateness and leastLate are the bounds of the rule CONFIG for answers at a route's timeout.
const (
	lateness  = 500 * time.Millisecond
	leastLate = 8
)

func play(folder string, clients int, plain, trouble bool) int {
	rec, err := rig.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return cannot(err)
	}
	var hosts []*rig.Host
	for i, service := range []string{"bidding", "payments", "payments"} {
		hosts = append(hosts, &rig.Host{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i), Region: "central", Service: service})
	}
	c, err := rig.New(rec, hosts)
	if err != nil {
		return cannot(err)
	}
	defer c.Close()
	for _, h := range hosts {
		w := &rig.Worker{ID: "i-" + h.Name, Slots: 18, Queue: 72, Work: func(*http.Request) time.Duration { return 54 * time.Millisecond }}
		if err := h.StartWorker(w); err != nil {
			return cannot(err)
		}
		if err := h.Start(); err != nil {
			return cannot(err)
		}
	}
	for _, h := range hosts {
		h.Limit(share)
	}
	c.Configure(1, []rig.Route{{Name: "pay", Host: "pay.example", Prefix: "/pay/", Kind: "non_idempotent", Service: "payments", TimeoutMS: int(wait.Milliseconds()), TargetMS: 500, MaxAttempts: 2}})
	for _, h := range hosts {
		if !rig.Await(15*time.Second, func() bool {
			s, _, _ := h.Ask("POST", "pay.example", "/pay/1", "start-"+h.Name, -1, 2*time.Second, nil)
			return s == 200 && h.Ready()
		}) {
			return cannot(fmt.Errorf("no request through %s is served", h.Name))
		}
	}

	head := "Connection: " + strings.Repeat("a,", 4000) + "b\r\n" + strings.Repeat("c:\r\n", 2000)
	if plain {
		head = "X: " + strings.Repeat("a", len(head)-len("X: \r\n")) + "\r\n"
	}
	began := time.Now()
	judged := func() bool { return time.Since(began) > warmTime && time.Since(began) < warmTime+judgeTime }
	over := func() bool { return time.Since(began) > warmTime+judgeTime }
	var wg sync.WaitGroup
	var sent, got atomic.Int64
	if trouble {
		rec.Printf("the head of the crowd begins %.60q and goes on for %d bytes", head, len(head))
		rec.Printf("%d clients come to h0, with heads of %d bytes", clients, len(head)+120)
		for i := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; !over(); n++ {
					crowdMember(hosts[0], fmt.Sprintf("crowd-%d-%d", i, n), head, over, &sent, &got)
				}
			}()
		}
	}
	tallies := make([]tally, len(hosts))
	for i, h := range hosts {
		for j := range 5 { // ordinary callers
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; !over(); n++ {
					counts := judged()
					at := time.Now()
					s, text, _ := h.Ask("POST", "pay.example", "/pay/2", fmt.Sprintf("calm-%s-%d-%d", h.Name, j, n), -1, wait, nil)
					took := time.Since(at)
					if counts {
						tallies[i].count(s, took)
					}
					rec.Printf("ordinary request calm-%s-%d-%d: status %d after %s %.80s", h.Name, j, n, s, took.Round(time.Millisecond), text)
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}
	}
	var probes, ready atomic.Int64
	wg.Add(1)
	go func() { // the platform
		defer wg.Done()
		for !over() {
			at := time.Now()
			counts := judged()
			ok := hosts[0].Ready()
			if counts {
				probes.Add(1)
				if ok {
					ready.Add(1)
				}
			}
			time.Sleep(time.Until(at.Add(time.Second)))
		}
	}()
	wg.Wait()
	rec.Printf("the crowd sent %d requests in all (%.0f a second) and got %d answers", sent.Load(), float64(sent.Load())/(warmTime+judgeTime).Seconds(), got.Load())
	rec.Printf("the platform asked h0 whether it is ready %d times, and got 200 within a second %d times", probes.Load(), ready.Load())
	c.RecordRuns()
	code := 0
	for i, h := range hosts {
		t := &tallies[i]
		rec.Printf("ordinary requests at %s: %d sent, %d served; %d without an answer at their route's timeout, %d of these without one half a second later",
			h.Name, t.asked.Load(), t.served.Load(), t.late.Load(), t.unanswered.Load())
		if t.asked.Load() == 0 || t.late.Load() >= leastLate && 2*t.unanswered.Load() > t.late.Load() {
			rec.Printf("BROKEN: CONFIG, at %s", h.Name)
			code = 1
		}
	}
	if code == 0 {
		rec.Printf("held")
	}
	return code
}

func (t *tally) count(status int, took time.Duration) {
	t.asked.Add(1)
	if status == http.StatusOK {
		t.served.Add(1)
	}
	if status == 0 || took > wait {
		t.late.Add(1)
	}
	if status == 0 || took > wait+lateness {
		t.unanswered.Add(1)
	}
}

// crowdMember sends requests on one connection until it ends.
func crowdMember(h *rig.Host, id, head string, over func() bool, sent, got *atomic.Int64) {
	conn, err := net.DialTimeout("tcp4", h.Caller(), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	time.Sleep(rand.N(pause))
	for n := 0; !over(); n++ {
		at := time.Now()
		_ = conn.SetDeadline(time.Now().Add(wait + 4*time.Second))
		if _, err := fmt.Fprintf(conn, "POST /pay/3 HTTP/1.1\r\nHost: pay.example\r\nX-Attempt-Id: %s-%d\r\nX-Request-Deadline-Ms: %d\r\n%sContent-Length: 0\r\n\r\n", id, n, wait.Milliseconds(), head); err != nil {
			return
		}
		sent.Add(1)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		got.Add(1)
		if resp.Close {
			return
		}
		time.Sleep(time.Until(at.Add(pause)))
	}
}

func cannot(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}
