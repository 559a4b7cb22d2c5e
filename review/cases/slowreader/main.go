// Command slowreader: a daemon gets SIGTERM while clients read answers that have begun to
// arrive. Rule LOST.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/burdockfold/burdockfold/review/rig"
)

// routes has the bounds of a site with long answers: 10 s for a request, at most.
const routes = `
{"resource_kind":"routes","metadata":{"name":"photo"},"spec":{"host":"shop.example","path_prefix":"/photo/","kind":"idempotent","timeout_ms":12000,"target_latency_ms":5000,"priority":2,"service":"photos","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"photos"},"spec":{"health_path":"/h","max_connections":1800}},
{"resource_kind":"limits","metadata":{"name":"l"},"spec":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	graceS      = 10 // the pages' grace_s of the large site
	answerBytes = 7 << 20
	clientRate  = 1_000_000 // bytes a second, less than the 10 Mbit/s of the slowest links of the pages
	clients     = 4
	budget      = 12 * time.Second
	signalAfter = 300 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	cfg := rig.Config{Services: []string{"photos", "photos", "photos"}, Routes: routes, DrainMS: 4000, GraceS: graceS}
	r, err := rig.Start(cfg, "record.txt")
	if r != nil {
		defer r.Close()
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return rig.Failed
	}
	body := make([]byte, answerBytes)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	for _, n := range r.Nodes {
		n.Worker.SetAnswer(func(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
			w.Header().Set("X-Server-Signature", "sig")
			w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
			_, _ = w.Write(body)
			return true
		})
	}
	time.Sleep(3 * time.Second)
	entry := r.Nodes[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, got, announced := entry.SlowGet(fmt.Sprintf("photo%d", c), "/photo/1", budget, clientRate)
			mu.Lock()
			defer mu.Unlock()
			if a.Status != http.StatusOK || got != announced {
				cut++
			}
		}()
	}
	time.Sleep(signalAfter)
	if trouble {
		entry.Signal(syscall.SIGTERM)
	}
	wg.Wait()
	ran := 0
	for _, n := range r.Nodes {
		for _, x := range n.Worker.Runs() {
			ran++
			r.Rec.Printf("worker %s ran %s from %.3f to %.3f", x.Worker, x.ID, x.At.Seconds(), x.End.Seconds())
		}
	}
	if trouble && !entry.Wait(graceS*time.Second) {
		r.Rec.Printf("the daemon did not end within grace_s")
	}
	if ran < clients {
		r.Rec.Result("the case could not run: %d of %d requests ran", ran, clients)
		return rig.Failed
	}
	if cut > 0 {
		r.Rec.Result("LOST broken: %d of %d answers were cut off", cut, clients)
		return rig.Broken
	}
	r.Rec.Result("LOST held: %d answers arrived whole", clients)
	return rig.Held
}
