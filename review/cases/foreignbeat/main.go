// Command foreignbeat: heartbeats that lack fields come from another writer. Rule OWNER.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/burdockfold/burdockfold/review/rig"
)

const routes = `
{"resource_kind":"routes","metadata":{"name":"view"},"spec":{"host":"shop.example","path_prefix":"/v/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"catalog","max_attempts":2}},
{"resource_kind":"services","metadata":{"name":"catalog"},"spec":{"health_path":"/h","max_connections":110,"sharded":true,"warm_s":2}},
{"resource_kind":"limits","metadata":{"name":"l"},"spec":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	maxOverlap = 500 * time.Millisecond // of OWNER
	foreign    = 3                      // heartbeats of the other writer
	apart      = 250 * time.Millisecond
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
	v := r.Nodes[1]
	if len(v.Worker.Holds()) == 0 {
		r.Rec.Result("the case could not run: the server holds no keys")
		return rig.Failed
	}
	last := v.Worker.LastBeat()
	for v.Worker.LastBeat() == last {
		time.Sleep(time.Millisecond)
	}
	for i := range foreign {
		if trouble {
			v.Worker.ForeignHeartbeat("draining", i+1)
		}
		time.Sleep(apart)
	}
	time.Sleep(6 * time.Second)
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
