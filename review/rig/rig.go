// Package rig starts a small deployment for the cases of the review: the daemons as separate
// processes, with the command of the deploy file, over stand-ins of the platform's store, of
// the backend servers and of the clients. All addresses are loopback addresses.
package rig

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/burdockfold/burdockfold/internal/standin/metastore"
)

// Exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2 // the case could not run
)

// Config describes a deployment.
type Config struct {
	Services []string // service of each host
	Sharded  string   // service that is divided by key, "" for none
	Routes   string   // resources of the operators' configuration, joined by commas
	DrainMS  int
	GraceS   int
}

// Rig is a running deployment.
type Rig struct {
	Store *metastore.Store
	Nodes []*Node
	Rec   *Recorder

	cfg     Config
	dir     string
	version int
}

// Node is a host with its daemon and its backend server.
type Node struct {
	IP      string
	Service string
	Worker  *Worker

	rig    *Rig
	mu     sync.Mutex
	daemon *exec.Cmd
	ended  chan struct{}
	log    *os.File
}

// Ports of a host, below those of outgoing connections.
const (
	callerPort  = 20304
	localPort   = 20306
	readyPort   = 20302
	workerPort  = 20301
	meshPort    = 17620
	metricsPort = 17621
)

// Root returns the root of the repository, the parent of the folder review.
func Root() string {
	wd, err := os.Getwd()
	if err != nil {
		return "."
	}
	for d := wd; d != "/"; d = filepath.Dir(d) {
		if _, err := os.Stat(filepath.Join(d, "go.mod")); err == nil {
			return d
		}
	}
	return wd
}

// Start starts a deployment and waits until its daemons are ready.
func Start(cfg Config, record string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	store, err := metastore.New()
	if err != nil {
		return nil, err
	}
	r := &Rig{Store: store, Rec: rec, cfg: cfg, dir: dir}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		r.Close()
		os.Exit(Failed)
	}()
	r.Configure(cfg.Routes)
	for _, s := range cfg.Services {
		if _, err := r.AddNode(s); err != nil {
			return r, err
		}
	}
	for _, n := range r.Nodes {
		if !n.WaitReady(10 * time.Second) {
			return r, fmt.Errorf("daemon %s is not ready", n.IP)
		}
	}
	return r, nil
}

// AddNode starts another host with its daemon and its server.
func (r *Rig) AddNode(service string) (*Node, error) {
	pid, i := os.Getpid(), len(r.Nodes)
	n := &Node{IP: fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%200, 1+pid%250, 1+i), Service: service, rig: r}
	r.Nodes = append(r.Nodes, n)
	var err error
	if n.Worker, err = newWorker(r.Rec, n, fmt.Sprintf("i-%04d", i), service == r.cfg.Sharded); err != nil {
		return n, err
	}
	return n, n.StartDaemon()
}

// Configure writes the next version of the configuration to the store, as the operator does.
func (r *Rig) Configure(resources string) int {
	r.version++
	r.Store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":"r%d","resources":[%s]}`, r.version, resources))
	r.Rec.Printf("operator: version r%d", r.version)
	return r.version
}

// Close ends all processes that the rig started.
func (r *Rig) Close() {
	for _, n := range r.Nodes {
		n.Signal(syscall.SIGCONT)
		n.Kill()
		if n.Worker != nil {
			n.Worker.close()
		}
	}
	_ = r.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
	r.Rec.Close()
}

// Addr returns the address of the host with a port.
func (n *Node) Addr(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }

// CallerAddr returns the address at which the daemon takes requests of clients.
func (n *Node) CallerAddr() string { return n.Addr(callerPort) }

const settings = `host:
  name: "%[1]s"
  region: "central"
  failure_domain: "zone-a"
service: "%[2]s"
listen:
  caller: "%[1]s:%[3]d"
  local: "%[1]s:%[4]d"
  ready: "%[1]s:%[5]d"
  mesh: "%[1]s:%[6]d"
  metrics: "%[1]s:%[7]d"
store:
  addr: "%[8]s"
retries:
  window: "10s"
  ratio: 0.2
  allowance: 56
drain:
  server_time: "%[9]dms"
  grace_time: "%[10]ds"
`

// StartDaemon starts the daemon of the host with the command of the deploy file.
func (n *Node) StartDaemon() error {
	file := filepath.Join(n.rig.dir, n.IP+".yaml")
	text := fmt.Sprintf(settings, n.IP, n.Service, callerPort, localPort, readyPort, meshPort, metricsPort, n.rig.Store.Addr(), n.rig.cfg.DrainMS, n.rig.cfg.GraceS)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.IP+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/burdockd", "sidecar", "-settings", file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = Root(), log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.rig.Rec.Printf("daemon %s: start", n.IP)
	ended := make(chan struct{})
	go func() {
		err := cmd.Wait()
		n.rig.Rec.Printf("daemon %s: ended (%v)", n.IP, err)
		_ = log.Close()
		close(ended)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.daemon, n.ended, n.log = cmd, ended, log
	return nil
}

// Signal sends a signal to the daemon, if it runs.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.daemon == nil {
		return
	}
	select {
	case <-n.ended:
		return
	default:
	}
	_ = n.daemon.Process.Signal(s)
	n.rig.Rec.Printf("daemon %s: signal %v", n.IP, s)
}

// MemoryMB returns the resident memory of the daemon, 0 if it does not run.
func (n *Node) MemoryMB() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.daemon == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.daemon.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb)
	return kb / 1024
}

// Wait waits until the daemon has ended.
func (n *Node) Wait(limit time.Duration) bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill ends the daemon at once.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	n.Wait(5 * time.Second)
}

// Ready reports whether the daemon says that it is ready.
func (n *Node) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + n.Addr(readyPort) + "/burdockfold/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the daemon is ready.
func (n *Node) WaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.Ready() {
			return true
		}
	}
	return false
}

// Recorder writes what was sent, answered and run to a file, with the time.
type Recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecorder(path string) (*Recorder, error) {
	f, err := os.Create(path)
	return &Recorder{start: time.Now(), file: f}, err
}

// Now returns the time since the start of the case.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Printf records a line.
func (r *Recorder) Printf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.Now().Seconds(), line)
}

// Result records the last line, and prints it.
func (r *Recorder) Result(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Println(strings.TrimSpace(fmt.Sprintf(format, args...)))
}

// Close closes the file.
func (r *Recorder) Close() { _ = r.file.Close() }
