// Command oddkeys lets another writer than the backend server send one heartbeat to a daemon beside
// a server that holds keys. Fields are missing in it. Clients send requests for keys meanwhile.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockfold/burdockfold/review/rig-2/rig"
)

const (
	calmTime  = 5 * time.Second
	judgeTime = 12 * time.Second
	wait      = time.Second
	work      = 40 * time.Millisecond
	step      = 5 * time.Millisecond   // between two looks at what the servers hold
	bound     = 500 * time.Millisecond // for which two servers may hold a key at most
	maxKey    = 65535
)

func main() {
	folder := flag.String("folder", ".", "where record.txt is written")
	state := flag.String("state", "draining", "state in the odd heartbeat")
	flag.Parse()
	os.Exit(play(*folder, *state, os.Getenv("TROUBLE") != "0"))
}

func play(folder, state string, trouble bool) int {
	rec, err := rig.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return cannot(err)
	}
	var hosts []*rig.Host
	for i, zone := range []string{"bkk-a", "bkk-b", "bkk-a"} {
		hosts = append(hosts, &rig.Host{Name: fmt.Sprint("h", i), Zone: zone, Region: "central", Service: "catalog", Sharded: true})
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
	c.Configure(1, []rig.Route{{Name: "view", Host: "a.example", Prefix: "/view/", Kind: "idempotent", Service: "catalog", TimeoutMS: 1000, TargetMS: 400, MaxAttempts: 2}})
	for _, h := range hosts {
		if !rig.Await(20*time.Second, func() bool {
			s, _, _ := h.Ask("GET", "a.example", "/view/1", "start-"+h.Name, rand.IntN(maxKey+1), 2*time.Second, nil)
			return s == http.StatusOK && len(h.Worker.Holds()) > 0
		}) {
			return cannot(fmt.Errorf("no request through %s is served", h.Name))
		}
	}
	time.Sleep(calmTime)
	for _, h := range hosts {
		rec.Printf("server of %s holds %v", h.Name, h.Worker.Holds())
	}

	var over atomic.Bool
	var asked, served atomic.Int64
	var wg sync.WaitGroup
	for i, h := range hosts {
		for j := range 6 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; !over.Load(); n++ {
					s, _, _ := h.Ask("GET", "a.example", "/view/2", fmt.Sprintf("r%d-%d-%d", i, j, n), rand.IntN(maxKey+1), wait, nil)
					asked.Add(1)
					if s == http.StatusOK {
						served.Add(1)
					} else {
						rec.Printf("request r%d-%d-%d: status %d", i, j, n, s)
					}
				}
			}()
		}
	}
	began := time.Now()
	if trouble {
		// Between two heartbeats of the server, which holds its keys by the answer to the last one.
		time.Sleep(100 * time.Millisecond)
		oddHeartbeat(hosts[0], c.Ports.Control, state, rec)
	}
	var longest, since time.Duration
	var worst string
	for at := time.Now(); at.Sub(began) < judgeTime; at = time.Now() {
		if two := doubleHeld(hosts); two != "" {
			if since == 0 {
				rec.Printf("two servers begin to hold the same keys: %s", two)
				since = at.Sub(began)
			}
			if d := at.Sub(began) - since; d > longest {
				longest, worst = d, two
			}
		} else if since != 0 {
			rec.Printf("no longer; it lasted %s", (at.Sub(began) - since).Round(time.Millisecond))
			since = 0
		}
		time.Sleep(step)
	}
	over.Store(true)
	wg.Wait()
	for _, h := range hosts {
		rec.Printf("at the end the server of %s holds %v", h.Name, h.Worker.Holds())
	}
	c.RecordRuns()
	rec.Printf("%d requests, %d served", asked.Load(), served.Load())
	rec.Printf("two servers held the same keys for at most %s at a time: %s", longest.Round(time.Millisecond), worst)
	if longest > bound {
		rec.Printf("BROKEN: OWNER")
		return 1
	}
	rec.Printf("held")
	return 0
}

// doubleHeld returns keys that two servers hold now, or "".
func doubleHeld(hosts []*rig.Host) string {
	for i, a := range hosts {
		for _, b := range hosts[i+1:] {
			for _, x := range a.Worker.Holds() {
				for _, y := range b.Worker.Holds() {
					if from, to := max(x[0], y[0]), min(x[1], y[1]); from <= to {
						return fmt.Sprintf("%d to %d, %s with generation %d and %s with generation %d", from, to, a.Worker.ID, x[2], b.Worker.ID, y[2])
					}
				}
			}
		}
	}
	return ""
}

// oddHeartbeat sends one heartbeat without zone, version and cold_left_ms.
func oddHeartbeat(h *rig.Host, port int, state string, rec *rig.Record) {
	body, _ := json.Marshal(map[string]any{
		"service": h.Service, "address": h.Addr(port + 5), "slots": 18, "state": state,
		"sequence": 1, "born": time.Now().UnixMilli(), "holds": []any{}, "freed": []any{},
	})
	req, err := http.NewRequest(http.MethodPut, "http://"+h.Addr(port)+"/burdockfold/instances/i-odd", bytes.NewReader(body))
	if err != nil {
		rec.Printf("odd heartbeat: %v", err)
		return
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		rec.Printf("odd heartbeat: %v", err)
		return
	}
	_ = resp.Body.Close()
	rec.Printf("heartbeat of another writer at %s: %s: status %d", h.Name, body, resp.StatusCode)
}

func cannot(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}
