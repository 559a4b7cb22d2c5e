// Package rig starts a small deployment of the product's own program for the cases of the second
// review: a stand-in of the platform's store, backend servers, and one daemon process beside each
// of them, on loopback addresses.
package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/burdockfold/burdockfold/internal/standin/metastore"
)

// Record writes what happens to a file, with the time since its creation.
type Record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{f: f, start: time.Now()}, err
}

// Printf writes a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.f, format+"\n", args...)
}

// Host is a machine of the deployment.
type Host struct {
	Name, Zone, Region, Service string
	IP                          string
	MemoryMB                    int
	Sharded                     bool

	Worker *Worker
	cmd    *exec.Cmd
	done   chan struct{}
	dir    string
	c      *Cluster
}

// Cluster is a deployment.
type Cluster struct {
	Record *Record
	Store  *metastore.Store
	Hosts  []*Host
	Values map[string]string // what the platform fills into the template, without the parts of a host
	Ports  struct{ Outbound, Control, Ready, App, Internal int }

	root string // of the repository
	tmp  string
}

// New starts a store and prepares hosts; their daemons are not started yet.
func New(rec *Record, hosts []*Host) (*Cluster, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	store, err := metastore.New()
	if err != nil {
		return nil, err
	}
	c := &Cluster{Record: rec, Store: store, Hosts: hosts, root: root, tmp: tmp, Values: map[string]string{
		"bounds.budget_window_s": "10", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "56", "bounds.drain_ms": "2500",
		"bounds.grace_s": "6", "limits.link_mbps": "1000", "limits.cpu_share": "0.32", "platform.address": store.Addr(),
	}}
	base := 20000 + rand.IntN(8000)
	c.Ports.Outbound, c.Ports.Control, c.Ports.Ready, c.Ports.App, c.Ports.Internal = base, base+1, base+2, base+3, base+4
	net2, net3 := 64+rand.IntN(60), rand.IntN(250)
	for i, h := range hosts {
		h.IP = fmt.Sprintf("127.%d.%d.%d", net2, net3, 10+i)
		h.c = c
		if h.MemoryMB == 0 {
			h.MemoryMB = 284
		}
		h.dir = filepath.Join(tmp, h.Name)
		if err := os.MkdirAll(h.dir, 0o755); err != nil {
			return nil, err
		}
		for p := base; p <= base+5; p++ {
			ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", h.IP, p))
			if err != nil {
				return nil, err
			}
			_ = ln.Close()
		}
	}
	return c, nil
}

// Addr returns an address of a host.
func (h *Host) Addr(port int) string { return h.IP + ":" + strconv.Itoa(port) }

// Caller returns the address for clients.
func (h *Host) Caller() string { return h.Addr(h.c.Ports.Outbound) }

// fill renders the template of the settings as the platform does, as far as the template needs it.
func (h *Host) fill(text string) string {
	c := h.c
	v := map[string]string{
		"ip": h.IP, "region": h.Region, "zone": h.Zone, "service": h.Service,
		"listen.outbound": h.Caller(), "listen.control": h.Addr(c.Ports.Control), "listen.ready_addr": h.Addr(c.Ports.Ready),
		"internal_port_range.0": strconv.Itoa(c.Ports.Internal), "internal_port_range.1": strconv.Itoa(c.Ports.Internal + 1),
		"limits.memory_mb": strconv.Itoa(h.MemoryMB),
	}
	for k, x := range c.Values {
		v[k] = x
	}
	for k, x := range v {
		text = strings.ReplaceAll(text, "{{"+k+"}}", x)
	}
	for { // sections
		i := strings.Index(text, "{{#")
		j := strings.Index(text, "{{^")
		if i < 0 || j >= 0 && j < i {
			i = j
		}
		if i < 0 {
			return text
		}
		name, rest, _ := strings.Cut(text[i+3:], "}}")
		body, after, _ := strings.Cut(rest, "{{/"+name+"}}")
		_, set := v[name]
		if set != (text[i+2] == '#') {
			body = ""
		}
		text = text[:i] + body + after
	}
}

// Start starts the daemon with the command of the deploy file.
func (h *Host) Start() error {
	deploy, err := os.ReadFile(filepath.Join(h.c.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	field := func(name string) string {
		for line := range strings.Lines(string(deploy)) {
			if k, x, ok := strings.Cut(line, " = "); ok && k == name {
				return strings.Trim(strings.TrimSpace(x), `"`)
			}
		}
		return ""
	}
	template, err := os.ReadFile(filepath.Join(h.c.root, field("template")))
	if err != nil {
		return err
	}
	settings := filepath.Join(h.dir, "settings.yaml")
	if err := os.WriteFile(settings, []byte(h.fill(string(template))), 0o644); err != nil {
		return err
	}
	args := strings.Fields(strings.ReplaceAll(field("run"), "/etc/burdockfold/local.json", settings))
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(h.c.root, args[0]), args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	h.cmd, h.done = cmd, done
	h.c.Record.Printf("daemon of %s started, process %d", h.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		h.c.Record.Printf("daemon of %s, process %d, ended: %v", h.Name, cmd.Process.Pid, err)
		close(done)
	}()
	return nil
}

// Signal sends a signal to the daemon.
func (h *Host) Signal(s syscall.Signal) {
	h.c.Record.Printf("signal %s to the daemon of %s", s, h.Name)
	_ = h.cmd.Process.Signal(s)
}

// PID returns the process id of the daemon.
func (h *Host) PID() int { return h.cmd.Process.Pid }

// Ended returns a channel that is closed at the end of the daemon.
func (h *Host) Ended() <-chan struct{} { return h.done }

// LogPath returns the path of the daemon's log.
func (h *Host) LogPath() string { return filepath.Join(h.dir, "log") }

// Status returns a field in kB of the daemon's process status.
func (h *Host) Status(field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == field+":" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// Close ends all processes and the store.
func (c *Cluster) Close() {
	for _, h := range c.Hosts {
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.done
		}
		if h.Worker != nil {
			h.Worker.Close()
		}
	}
	_ = c.Store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.tmp)
	} else {
		fmt.Println("kept:", c.tmp)
	}
}
