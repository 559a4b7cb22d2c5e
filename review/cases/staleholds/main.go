// Command staleholds: the daemon beside a server is restarted, a heartbeat that the server sent
// before it got its keys arrives late, and the server leaves. Rule OWNER.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/burdockfold/burdockfold/review/rig"
)

const routes = `
{"resource_kind":"routes","metadata":{"name":"view"},"spec":{"host":"shop.example","path_prefix":"/v/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"catalog","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"catalog"},"spec":{"health_path":"/h","max_connections":110,"sharded":true,"warm_s":2}},
{"resource_kind":"limits","metadata":{"name":"l"},"spec":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	maxOverlap = 500 * time.Millisecond // of OWNER
	restart    = 150 * time.Millisecond // from the end of the daemon to its start
	arrives    = 350 * time.Millisecond // from the start to the late heartbeat
	staysFor   = 5 * time.Second        // how long the server serves on after its leave
)

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	cfg := rig.Config{Services: []string{"catalog", "catalog", "catalog"}, Sharded: "catalog", Routes: routes, DrainMS: 2500, GraceS: 6}
	r, err := rig.Start(cfg, "record.txt")
	if r != nil {
		defer r.Close()
	}
	if err != nil {
		fmt.Println("the case could not run:", err)
		return rig.Failed
	}
	time.Sleep(7 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c, n := range r.Nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				n.Send(fmt.Sprintf("v%d-%04d", c, i), "GET", "/v/1", rand.IntN(65536), nil, time.Second)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	v, err := r.AddNode("catalog")
	if err != nil {
		fmt.Println("the case could not run:", err)
		return rig.Failed
	}
	deliver := v.Worker.LateHeartbeat()
	sent := r.Rec.Now()
	held := func() bool {
		for _, h := range v.Worker.Holds() {
			if h.Until > r.Rec.Now()+2*time.Second {
				return true
			}
		}
		return false
	}
	for end := r.Rec.Now() + 15*time.Second; !held(); time.Sleep(5 * time.Millisecond) {
		if r.Rec.Now() > end {
			r.Rec.Result("the case could not run: the new server got no keys")
			return rig.Failed
		}
	}
	if trouble {
		last := v.Worker.LastBeat()
		for v.Worker.LastBeat() == last {
			time.Sleep(time.Millisecond)
		}
		v.Signal(syscall.SIGKILL)
		v.Wait(time.Second)
		time.Sleep(restart)
		if err := v.StartDaemon(); err != nil {
			return rig.Failed
		}
		time.Sleep(arrives)
		for deliver() != 200 {
			time.Sleep(5 * time.Millisecond)
		}
		r.Rec.Printf("the heartbeat arrived %.3f s late", (r.Rec.Now() - sent).Seconds())
	}
	if v.Worker.Leave() != 200 {
		r.Rec.Result("the case could not run: the leave was not confirmed")
		return rig.Failed
	}
	time.Sleep(staysFor)
	v.Worker.Crash()
	close(stop)
	wg.Wait()
	var all []rig.Hold
	for _, n := range r.Nodes {
		all = append(all, n.Worker.Holds()...)
	}
	longest := rig.LongestOverlap(r.Rec, all)
	if longest > maxOverlap {
		r.Rec.Result("OWNER broken: two servers held the same keys for %v", longest)
		return rig.Broken
	}
	r.Rec.Result("OWNER held: two servers held the same keys for %v", longest)
	return rig.Held
}
