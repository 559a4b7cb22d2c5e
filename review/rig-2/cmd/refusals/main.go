// Command refusals lets a backend server fail part of the requests that it has begun to run, with
// status 503, which promises to clients that a request has not run, but without the header field by
// which a server states that. Clients send requests that may run once.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockfold/burdockfold/review/rig-2/rig"
)

const (
	length = 10 * time.Second
	work   = 54 * time.Millisecond
	wait   = 800 * time.Millisecond
	every  = 4 // of so many requests, one fails
)

func main() {
	folder := flag.String("folder", ".", "where record.txt is written")
	flag.Parse()
	os.Exit(play(*folder, os.Getenv("TROUBLE") != "0"))
}

func play(folder string, trouble bool) int {
	rec, err := rig.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return cannot(err)
	}
	hosts := []*rig.Host{
		{Name: "h0", Zone: "bkk-a", Region: "central", Service: "payments"},
		{Name: "h1", Zone: "bkk-b", Region: "central", Service: "bidding"},
	}
	c, err := rig.New(rec, hosts)
	if err != nil {
		return cannot(err)
	}
	defer c.Close()
	for _, h := range hosts {
		if err := h.StartWorker(&rig.Worker{ID: "i-" + h.Name, Slots: 18, Queue: 72, Work: func(*http.Request) time.Duration { return work }}); err != nil {
			return cannot(err)
		}
		if err := h.Start(); err != nil {
			return cannot(err)
		}
	}
	c.Configure(1, []rig.Route{{Name: "pay", Host: "pay.example", Prefix: "/pay/", Kind: "non_idempotent", Service: "payments", TimeoutMS: int(wait.Milliseconds()), TargetMS: 300, MaxAttempts: 2}})
	for _, h := range hosts {
		if !rig.Await(15*time.Second, func() bool {
			s, _, _ := h.Ask("PUT", "pay.example", "/pay/1", "start-"+h.Name, -1, 2*time.Second, nil)
			return s == http.StatusOK
		}) {
			return cannot(fmt.Errorf("no request through %s is served", h.Name))
		}
	}
	if trouble {
		rec.Printf("the server of h0 begins to fail one request of %d", every)
		var n atomic.Int64
		status := http.StatusServiceUnavailable
		hosts[0].Worker.Fail(func(w http.ResponseWriter, r *http.Request) bool {
			k := n.Add(1)
			if k%every != 0 {
				return false
			}
			time.Sleep(work) // the deposit is booked, and then something else fails
			w.Header().Set("X-Server-Signature", "sig-"+r.Header.Get("X-Attempt-Id"))
			w.WriteHeader(status)
			rec.Printf("the server has run %s and answers %d", r.Header.Get("X-Attempt-Id"), status)
			return true
		})
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{} // status by request
	end := time.Now().Add(length)
	for _, h := range hosts {
		for i := range 4 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("%s-%d-%d", h.Name, i, n)
					s, _, _ := h.Ask("PUT", "pay.example", "/pay/2", id, -1, wait, nil)
					mu.Lock()
					answers[id] = s
					mu.Unlock()
					if s != http.StatusOK {
						rec.Printf("the client gets %d for %s", s, id)
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}
	wg.Wait()
	c.RecordRuns()
	runs := c.RunsOf()
	counts, broken := map[int]int{}, 0
	for id, s := range answers {
		counts[s]++
		promise := s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests || s == http.StatusRequestTimeout || s == http.StatusMisdirectedRequest
		if promise && runs[id] > 0 {
			broken++
		}
	}
	rec.Printf("%d requests; answers by status: %v", len(answers), counts)
	if broken > 0 {
		rec.Printf("BROKEN: REFUSED, %d requests were answered 503, 429, 408 or 421 and have run", broken)
		return 1
	}
	rec.Printf("held")
	return 0
}

func cannot(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}
