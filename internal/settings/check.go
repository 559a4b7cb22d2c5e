package settings

import (
	"fmt"
	"math"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const maxPort = 65535

// minRenewalsPerLease is the least number of renewal intervals in one lease, so
// that a single failed renewal does not end it.
const minRenewalsPerLease = 3

// Validate checks the settings as a whole. It returns all problems found as
// Problems, or nil.
func (s Settings) Validate() error {
	var p Problems
	s.checkHost(&p)
	s.checkAddresses(&p)
	s.checkLogService(&p)
	checkTLS(&p, "mesh", s.Mesh.TLS, s.Mesh.PlainText, true)
	s.checkAdmin(&p)
	s.checkLease(&p)
	s.checkLimits(&p)
	s.checkTenantKeys(&p)
	s.checkTelemetry(&p)
	checkDuration(&p, "shutdown.drain_timeout", s.Shutdown.DrainTimeout)
	checkDuration(&p, "usage.statement_every", s.Usage.StatementEvery)
	return p.errOrNil()
}

func (s Settings) checkHost(p *Problems) {
	checkName(p, "host.name", string(s.Host.Name))
	checkName(p, "host.region", string(s.Host.Region))
	checkName(p, "host.failure_domain", string(s.Host.FailureDomain))
}

// checkName requires a name that is not empty and has no white space or slash.
func checkName(p *Problems, path, name string) {
	if name == "" {
		p.add(path, "is missing")
		return
	}
	if strings.ContainsAny(name, " \t\r\n/") {
		p.add(path, "must not contain spaces or slashes")
	}
}

func (s Settings) checkAddresses(p *Problems) {
	listen := []struct{ path, addr string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.mesh", s.Listen.Mesh},
		{"listen.local", s.Listen.Local},
		{"listen.admin", s.Listen.Admin},
	}
	seen := map[string]string{}
	for _, l := range listen {
		port := checkAddr(p, l.path, l.addr, true)
		other, taken := seen[l.addr]
		if taken && port > 0 {
			p.add(l.path, "is the same address as %s", other)
		}
		seen[l.addr] = l.path
	}
	checkOptionalAddr(p, "advertise.caller", s.Advertise.Caller)
	checkOptionalAddr(p, "advertise.mesh", s.Advertise.Mesh)
	checkOptionalAddr(p, "advertise.local", s.Advertise.Local)
	checkOptionalAddr(p, "advertise.admin", s.Advertise.Admin)
}

func checkOptionalAddr(p *Problems, path, addr string) {
	if addr != "" {
		checkAddr(p, path, addr, false)
	}
}

// checkAddr checks an address of the form host:port and returns the port, or 0 if
// the address is invalid. With allowWildcard, as for listen addresses, the host may
// be empty and the port 0.
func checkAddr(p *Problems, path, addr string, allowWildcard bool) int {
	if addr == "" {
		p.add(path, "is missing")
		return 0
	}
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		p.add(path, "must be host:port")
		return 0
	}
	if !allowWildcard && host == "" {
		p.add(path, "must name the host")
	}
	port, err := strconv.Atoi(portText)
	if err != nil || port < 0 || port > maxPort {
		p.add(path, "port must be a number up to %d", maxPort)
		return 0
	}
	if port == 0 && !allowWildcard {
		p.add(path, "port must not be 0")
	}
	return port
}

func (s Settings) checkLogService(p *Problems) {
	checkURL(p, "log_service.url", s.LogService.URL)
	checkDuration(p, "log_service.timeout", s.LogService.Timeout)
	checkDuration(p, "log_service.poll_time", s.LogService.PollTime)
}

func checkURL(p *Problems, path, raw string) {
	if raw == "" {
		p.add(path, "is missing")
		return
	}
	u, err := url.Parse(raw)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		p.add(path, "must be a URL that starts with http:// or https://")
	}
}

func checkDuration(p *Problems, path string, d time.Duration) {
	if d <= 0 {
		p.add(path, "must be longer than zero")
	}
}

// checkTLS requires the TLS files, unless plainText disables TLS; then no file may
// be given. The CA file is required only with needCA.
func checkTLS(p *Problems, path string, files TLSFiles, plainText, needCA bool) {
	if plainText {
		if files != (TLSFiles{}) {
			p.add(path+".plain_text", "must be false when tls files are given")
		}
		return
	}
	const hint = "is missing; without TLS, set %s.plain_text: true"
	if files.CertFile == "" {
		p.add(path+".tls.cert_file", hint, path)
	}
	if files.KeyFile == "" {
		p.add(path+".tls.key_file", hint, path)
	}
	if needCA && files.CAFile == "" {
		p.add(path+".tls.ca_file", hint, path)
	}
}

func (s Settings) checkAdmin(p *Problems) {
	checkTLS(p, "admin", s.Admin.TLS, s.Admin.PlainText, false)
	if !(s.Admin.RatePerSecond > 0) || math.IsInf(s.Admin.RatePerSecond, 0) {
		p.add("admin.rate_per_second", "must be greater than zero")
	}
	checkPositive(p, "admin.burst", s.Admin.Burst)
}

func checkPositive(p *Problems, path string, n int) {
	if n <= 0 {
		p.add(path, "must be greater than zero")
	}
}

func (s Settings) checkLease(p *Problems) {
	checkDuration(p, "lease.ttl", s.Lease.TTL)
	checkDuration(p, "lease.renew_every", s.Lease.RenewEvery)
	if s.Lease.RenewEvery > 0 && s.Lease.TTL < minRenewalsPerLease*s.Lease.RenewEvery {
		p.add("lease.renew_every", "must be at most a third of lease.ttl")
	}
	if s.Lease.DriftPerMille < 0 || s.Lease.DriftPerMille > 500 {
		p.add("lease.drift_per_mille", "must be from 0 to 500")
	}
	if s.Lease.ClaimStagger < 0 {
		p.add("lease.claim_stagger", "must not be negative")
	}
}

func (s Settings) checkLimits(p *Problems) {
	checkPositive(p, "limits.header_bytes", s.Limits.HeaderBytes)
	checkDuration(p, "limits.header_time", s.Limits.HeaderTime)
	checkDuration(p, "limits.body_time", s.Limits.BodyTime)
	checkDuration(p, "limits.idle_time", s.Limits.IdleTime)
	checkPositive(p, "limits.connections", s.Limits.Connections)
	checkPositive(p, "limits.queued_requests", s.Limits.QueuedRequests)
}

func (s Settings) checkTenantKeys(p *Problems) {
	if len(s.TenantKeys) == 0 {
		p.add("tenant_keys", "must list at least one public key")
	}
	names := map[string]int{}
	for i, k := range s.TenantKeys {
		path := fmt.Sprintf("tenant_keys[%d]", i)
		checkName(p, path+".name", k.Name)
		checkName(p, path+".tenant", string(k.Tenant))
		if _, ok := k.Ed25519(); !ok {
			p.add(path+".public_key", "must be an Ed25519 public key in base64")
		}
		if first, ok := names[k.Name]; ok {
			p.add(path+".name", "is also the name of tenant_keys[%d]", first)
		}
		names[k.Name] = i
	}
}

func (s Settings) checkTelemetry(p *Problems) {
	switch s.Telemetry.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		p.add("telemetry.log_level", "must be debug, info, warn or error")
	}
	switch s.Telemetry.TraceExporter {
	case TraceNone, TraceStdout:
	case TraceOTLP:
		checkURL(p, "telemetry.otlp_endpoint", s.Telemetry.OTLPEndpoint)
	default:
		p.add("telemetry.trace_exporter", "must be none, stdout or otlp")
	}
	if !(s.Telemetry.TraceRatio >= 0 && s.Telemetry.TraceRatio <= 1) {
		p.add("telemetry.trace_ratio", "must be from 0 to 1")
	}
}
