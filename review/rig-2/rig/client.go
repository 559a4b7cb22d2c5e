package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Route is a route of the configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutMS, TargetMS, Priority     int
	MaxAttempts                       int
}

// Configure writes a version of the configuration as the operator does.
func (c *Cluster) Configure(version int, routes []Route) {
	var res []any
	services := map[string]bool{}
	for _, r := range routes {
		res = append(res, map[string]any{"resource_kind": "routes", "metadata": map[string]any{"name": r.Name}, "spec": map[string]any{
			"host": r.Host, "path_prefix": r.Prefix, "kind": r.Kind, "timeout_ms": r.TimeoutMS, "target_latency_ms": r.TargetMS, "priority": r.Priority, "service": r.Service, "max_attempts": r.MaxAttempts}})
	}
	for _, h := range c.Hosts {
		if services[h.Service] {
			continue
		}
		services[h.Service] = true
		spec := map[string]any{"health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
		if h.Sharded {
			spec["sharded"], spec["warm_s"], spec["grants"] = true, 2.0, "heartbeat"
		}
		res = append(res, map[string]any{"resource_kind": "services", "metadata": map[string]any{"name": h.Service}, "spec": spec})
	}
	res = append(res, map[string]any{"resource_kind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	doc, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "base_version": fmt.Sprintf("r%d", version-1), "resources": res})
	c.Store.Put("keyed.op", "config", doc)
	c.Record.Printf("configuration r%d written", version)
}

// Ask sends one request on a connection of its own and returns the status, the body and the
// header; status zero without an answer.
func (h *Host) Ask(method, host, path, id string, key int, wait time.Duration, body io.Reader) (int, string, http.Header) {
	req, err := http.NewRequest(method, "http://"+h.Caller()+path, body)
	if err != nil {
		return 0, err.Error(), nil
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if key >= 0 {
		req.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: wait + time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(b), resp.Header
}

// Ready reports whether the daemon says that it is ready.
func (h *Host) Ready() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	resp, err := client.Get("http://" + h.Addr(h.c.Ports.Ready) + "/burdockfold/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// Await waits until a condition holds, at most for a time.
func Await(most time.Duration, f func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}
