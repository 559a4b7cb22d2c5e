// Command stalled plays clients that nobody controls, at one host of a deployment: each announces a
// body inside the limits of the configuration, sends the beginning of it and nothing more, and
// comes back when its connection ends. Ordinary callers send short requests and uploads at the
// same host.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockfold/burdockfold/review/rig-2/rig"
)

const (
	warmTime  = 6 * time.Second  // of the stalled clients, before anything is judged
	judgeTime = 24 * time.Second // in which ordinary requests count
	wait      = 4 * time.Second
	upload    = 200 << 10 // bytes of an ordinary upload
	begun     = 9000      // bytes of a body that a stalled client sends
	back      = 20 * time.Millisecond
)

func main() {
	folder := flag.String("folder", ".", "where record.txt is written")
	clients := flag.Int("clients", 0, "stalled clients with bodies of 20,000 bytes")
	long := flag.String("long", "", "bytes of the bodies of further stalled clients, with commas between them")
	chunked := flag.Bool("chunked", false, "bodies come in chunks, and not even the first chunk is sent")
	judged := flag.String("judged", "short", "the ordinary requests that are judged: short or uploads")
	flag.Parse()
	var sizes []int
	for range *clients {
		sizes = append(sizes, 20_000)
	}
	for _, s := range strings.FieldsFunc(*long, func(r rune) bool { return r == ',' }) {
		n, err := strconv.Atoi(s)
		if err != nil {
			os.Exit(cannot(err))
		}
		sizes = append(sizes, n)
	}
	if os.Getenv("TROUBLE") == "0" {
		sizes = nil
	}
	os.Exit(play(*folder, sizes, *chunked, *judged))
}

// tally counts ordinary requests of one kind in the judged time.
type tally struct{ asked, answered, served atomic.Int64 }

func (t *tally) count(status int) {
	t.asked.Add(1)
	if status != 0 {
		t.answered.Add(1)
	}
	if status == http.StatusOK {
		t.served.Add(1)
	}
}

func play(folder string, sizes []int, chunked bool, judged string) int {
	rec, err := rig.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return cannot(err)
	}
	hosts := []*rig.Host{
		{Name: "h0", Zone: "muc-a", Region: "oberbayern", Service: "archiv"},
		{Name: "h1", Zone: "muc-b", Region: "oberbayern", Service: "buchung"},
	}
	c, err := rig.New(rec, hosts)
	if err != nil {
		return cannot(err)
	}
	defer c.Close()
	for _, h := range hosts {
		if err := h.StartWorker(&rig.Worker{ID: "i-" + h.Name, Slots: 18, Queue: 72, Work: func(*http.Request) time.Duration { return 50 * time.Millisecond }}); err != nil {
			return cannot(err)
		}
		if err := h.Start(); err != nil {
			return cannot(err)
		}
	}
	c.Configure(1, []rig.Route{
		{Name: "archive", Host: "a.example", Prefix: "/archive/", Kind: "upload", Service: "archiv", TimeoutMS: 5000, TargetMS: 1500, MaxAttempts: 2},
		{Name: "post", Host: "a.example", Prefix: "/post/", Kind: "non_idempotent", Service: "buchung", TimeoutMS: 4000, TargetMS: 600, MaxAttempts: 2},
	})
	for _, h := range hosts {
		if !rig.Await(15*time.Second, func() bool {
			s, _, _ := h.Ask("POST", "a.example", "/archive/1", "start-"+h.Name, -1, 2*time.Second, strings.NewReader("x"))
			return s == http.StatusOK
		}) {
			return cannot(fmt.Errorf("no request through %s is served", h.Name))
		}
	}
	began := time.Now()
	over := func() bool { return time.Since(began) > warmTime+judgeTime }
	var wg sync.WaitGroup
	rec.Printf("%d stalled clients come to h1", len(sizes))
	for i, size := range sizes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; !over(); n++ {
				stall(hosts[1], fmt.Sprintf("stalled-%d-%d", i, n), start(size, chunked), over, rec)
				time.Sleep(back)
			}
		}()
	}
	var uploads, short tally
	ordinary := func(t *tally, path, body string) {
		defer wg.Done()
		for n := 0; !over(); n++ {
			counts := time.Since(began) > warmTime
			id := fmt.Sprintf("calm%s-%p-%d", path, &n, n)
			s, text, _ := hosts[1].Ask("POST", "a.example", path, id, -1, wait, strings.NewReader(body))
			if counts {
				t.count(s)
			}
			rec.Printf("ordinary request %s of %d bytes: status %d %.80s", id, len(body), s, text)
			time.Sleep(300 * time.Millisecond)
		}
	}
	body := strings.Repeat("u", upload)
	for range 3 {
		wg.Add(2)
		go ordinary(&uploads, "/archive/2", body)
		go ordinary(&short, "/post/2", "short")
	}
	var probes, ready int
	for !over() {
		time.Sleep(time.Second)
		probes++
		if hosts[1].Ready() {
			ready++
		}
	}
	wg.Wait()
	c.RecordRuns()
	rec.Printf("h1 said that it is ready %d of %d times; its daemon had at most %d kB resident", ready, probes, hosts[1].Status("VmHWM"))
	rec.Printf("ordinary uploads of %d bytes: %d sent, %d answered at all, %d served", upload, uploads.asked.Load(), uploads.answered.Load(), uploads.served.Load())
	rec.Printf("ordinary short requests: %d sent, %d answered at all, %d served", short.asked.Load(), short.answered.Load(), short.served.Load())
	t := &short
	if judged == "uploads" {
		t = &uploads
	}
	if t.asked.Load() == 0 || 4*t.served.Load() < t.asked.Load() {
		rec.Printf("BROKEN: less than a quarter of the ordinary requests was served (judged: %s)", judged)
		return 1
	}
	rec.Printf("held")
	return 0
}

// start returns what a stalled client sends of a body, after the field that announces it.
func start(size int, chunked bool) string {
	if chunked {
		return "Transfer-Encoding: chunked\r\n\r\n"
	}
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("u", begun))
}

// stall sends the beginning of a request and waits for the end of the connection.
func stall(h *rig.Host, id, start string, over func() bool, rec *rig.Record) {
	conn, err := net.DialTimeout("tcp4", h.Caller(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	at := time.Now()
	_, _ = fmt.Fprintf(conn, "POST /archive/3 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Request-Deadline-Ms: 5000\r\n%s", id, start)
	answer := make([]byte, 64)
	for !over() {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		n, err := conn.Read(answer)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if strings.HasPrefix(id, "stalled-0-") || strings.HasPrefix(id, "stalled-1-") {
			if took := time.Since(at); took > time.Second {
				rec.Printf("%s ended by the daemon after %s: %.28q %v", id, took.Round(time.Millisecond), answer[:n], err)
			}
		}
		return
	}
}

func cannot(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}
