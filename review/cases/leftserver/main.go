// Command leftserver: a server leaves, the daemon beside it is restarted, and a heartbeat that
// was sent before the leave arrives late. Rule DRAIN.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/burdockfold/burdockfold/review/rig"
)

const routes = `
{"resource_kind":"routes","metadata":{"name":"order"},"spec":{"host":"shop.example","path_prefix":"/o/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":500,"priority":1,"service":"bidding","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"bidding"},"spec":{"health_path":"/h","max_connections":110}},
{"resource_kind":"limits","metadata":{"name":"l"},"spec":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	drain     = 2500 * time.Millisecond // drain_ms of the pages
	contact   = 4000 * time.Millisecond // contact_ms of the pages
	late      = 5500 * time.Millisecond // how late the heartbeat arrives
	staysFor  = 8 * time.Second         // how long the server serves on after its leave
	restart   = 500 * time.Millisecond  // from the end of a daemon to its start
	killAfter = 300 * time.Millisecond  // from the confirmation to the kill
)

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	cfg := rig.Config{Services: []string{"bidding", "bidding", "bidding"}, Routes: routes, DrainMS: int(drain.Milliseconds()), GraceS: 6}
	r, err := rig.Start(cfg, "record.txt")
	if r != nil {
		defer r.Close()
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return rig.Failed
	}
	for _, n := range r.Nodes {
		n.Worker.SetWork(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]rig.Answer{}
	for c, n := range r.Nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := n.Send(fmt.Sprintf("o%d-%04d", c, i), "POST", "/o/1", -1, []byte("order"), 1200*time.Millisecond)
				mu.Lock()
				answers[a.ID] = a
				mu.Unlock()
			}
		}()
	}
	time.Sleep(6 * time.Second)
	v := r.Nodes[1]
	name := v.Worker.Name()
	v.Worker.AwaitIdle()
	deliver := v.Worker.LateHeartbeat()
	sent := r.Rec.Now()
	if v.Worker.Leave() != 200 {
		r.Rec.Result("the case could not run: the leave was not confirmed")
		return rig.Failed
	}
	confirmed := r.Rec.Now()
	time.Sleep(killAfter)
	var back time.Duration
	if trouble {
		v.Signal(syscall.SIGKILL)
		v.Wait(time.Second)
		time.Sleep(restart)
		if err := v.StartDaemon(); err != nil {
			return rig.Failed
		}
		back = r.Rec.Now()
	}
	time.Sleep(sent + late - r.Rec.Now())
	deliver()
	time.Sleep(confirmed + staysFor - r.Rec.Now())
	v.Worker.Crash()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	after, inTouch, lost := 0, 0, 0
	for _, x := range v.Worker.Runs() {
		if x.Worker != name || x.At <= confirmed+drain {
			continue
		}
		after++
		a := answers[x.ID]
		if x.At > back+contact {
			inTouch++
		}
		if a.Status != 200 {
			lost++
		}
		r.Rec.Printf("%s reached the server %.3f s after the confirmation, %.3f s after the start of the daemon; the client got %d", x.ID, (x.At - confirmed).Seconds(), (x.At - back).Seconds(), a.Status)
	}
	if inTouch > 0 {
		r.Rec.Result("DRAIN broken: %d requests reached the server later than drain_ms after its confirmed leave, %d of them sent on by machines in touch; %d of them were not served", after, inTouch, lost)
		return rig.Broken
	}
	r.Rec.Result("DRAIN held: %d requests later than drain_ms, none by a machine in touch", after)
	return rig.Held
}
