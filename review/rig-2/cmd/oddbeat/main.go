// Command oddbeat ends all daemons of a deployment at once and starts them again. Another writer
// than the backend server sends one heartbeat to each of them then, of a service that no
// configuration names. ODD=0 leaves that heartbeat out.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/burdockfold/burdockfold/review/rig-2/rig"
)

const (
	calmTime  = 6 * time.Second
	downTime  = 1500 * time.Millisecond
	recovery  = 15 * time.Second // recovery_s
	judgeTime = 10 * time.Second
	wait      = 800 * time.Millisecond
	work      = 54 * time.Millisecond
)

func main() {
	folder := flag.String("folder", ".", "where record.txt is written")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	os.Exit(play(*folder, trouble, trouble && os.Getenv("ODD") != "0"))
}

func play(folder string, kill, odd bool) int {
	rec, err := rig.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return cannot(err)
	}
	hosts := []*rig.Host{
		{Name: "h0", Zone: "bkk-a", Region: "central", Service: "payments"},
		{Name: "h1", Zone: "bkk-b", Region: "central", Service: "bidding"},
		{Name: "h2", Zone: "bkk-a", Region: "central", Service: "payments"},
		{Name: "h3", Zone: "bkk-b", Region: "central", Service: "bidding"},
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
	c.Configure(1, []rig.Route{
		{Name: "pay", Host: "a.example", Prefix: "/pay/", Kind: "non_idempotent", Service: "payments", TimeoutMS: 800, TargetMS: 300, MaxAttempts: 2},
		{Name: "bid", Host: "a.example", Prefix: "/bid/", Kind: "non_idempotent", Service: "bidding", TimeoutMS: 800, TargetMS: 300, MaxAttempts: 2},
	})
	paths := []string{"/pay/1", "/bid/1"}
	for _, h := range hosts {
		for _, p := range paths {
			if !rig.Await(15*time.Second, func() bool {
				s, _, _ := h.Ask("POST", "a.example", p, "start-"+h.Name, -1, 2*time.Second, nil)
				return s == http.StatusOK
			}) {
				return cannot(fmt.Errorf("no request through %s is served", h.Name))
			}
		}
	}

	began := time.Now()
	var backAt atomic.Int64 // Unix nanoseconds; zero until the machines are back
	var over atomic.Bool
	var before, beforeServed, after, afterServed atomic.Int64
	var wg sync.WaitGroup
	for i, h := range hosts {
		for _, p := range paths {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; !over.Load(); n++ {
					sent := time.Now()
					s, _, _ := h.Ask("POST", "a.example", p, fmt.Sprintf("r%d%s-%d", i, p, n), -1, wait, nil)
					rec.Printf("request r%d%s-%d at %s: status %d", i, p, n, h.Name, s)
					back := backAt.Load()
					switch {
					case back == 0 && sent.Sub(began) < calmTime:
						before.Add(1)
						if s == http.StatusOK {
							beforeServed.Add(1)
						}
					case back != 0 && sent.Sub(time.Unix(0, back)) > recovery:
						after.Add(1)
						if s == http.StatusOK {
							afterServed.Add(1)
						}
					}
					time.Sleep(100 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(calmTime + wait)
	if kill {
		for _, h := range hosts {
			h.Signal(syscall.SIGKILL)
		}
		for _, h := range hosts {
			<-h.Ended()
		}
		time.Sleep(downTime)
		for _, h := range hosts {
			if err := h.Start(); err != nil {
				return cannot(err)
			}
			if odd {
				wg.Add(1)
				go func() {
					defer wg.Done()
					oddHeartbeat(h, c.Ports.Control, rec)
				}()
			}
		}
	}
	backAt.Store(time.Now().UnixNano())
	rec.Printf("the machines are back")
	time.Sleep(recovery + judgeTime)
	over.Store(true)
	wg.Wait()
	c.RecordRuns()
	rec.Printf("before the end of all daemons: %d requests, %d served; later than %s after their return: %d requests, %d served",
		before.Load(), beforeServed.Load(), recovery, after.Load(), afterServed.Load())
	if 4*beforeServed.Load() >= before.Load() && (after.Load() == 0 || 4*afterServed.Load() < after.Load()) {
		rec.Printf("BROKEN: RECOVER")
		return 1
	}
	rec.Printf("held")
	return 0
}

// oddHeartbeat sends one heartbeat of a service that no configuration names, as soon as the daemon
// takes it.
func oddHeartbeat(h *rig.Host, port int, rec *rig.Record) {
	body, _ := json.Marshal(map[string]any{
		"service": "nobody", "address": h.Addr(port + 2), "zone": h.Zone, "version": "v1", "slots": 4, "state": "ready",
		"cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(), "holds": []any{}, "freed": []any{},
	})
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPut, "http://"+h.Addr(port)+"/burdockfold/instances/i-odd", bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		rec.Printf("heartbeat of another writer at %s: status %d", h.Name, resp.StatusCode)
		return
	}
}

func cannot(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}
