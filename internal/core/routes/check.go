package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// FindingKind tells how much a finding of a check matters.
type FindingKind string

// The kinds of a Finding, the gravest first.
const (
	Error      FindingKind = "error"      // daemons refuse the configuration, or an entry can never do what it says
	Warning    FindingKind = "warning"    // daemons accept it, but it hardly says what was meant
	Difference FindingKind = "difference" // from the version in force
)

var findingKinds = []FindingKind{Error, Warning, Difference}

// Finding is what a check says about one entry of a configuration. Field, Old and New are
// set only if one field of the entry differs.
type Finding struct {
	Kind  FindingKind `json:"kind"`
	Entry string      `json:"entry"` // such as `route "a"`
	Text  string      `json:"text"`
	Field string      `json:"field,omitempty"`
	Old   string      `json:"old,omitempty"`
	New   string      `json:"new,omitempty"`
}

// String formats the finding for people.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Kind, f.Entry, f.Text) }

// NewFinding returns a finding with a formatted text.
func NewFinding(k FindingKind, entry, format string, args ...any) Finding {
	return Finding{Kind: k, Entry: entry, Text: fmt.Sprintf(format, args...)}
}

// Entries that have no name of their own.
const (
	WholeEntry  = "configuration"
	LimitsEntry = "limits"
)

// RouteEntry returns the entry of a route in findings.
func RouteEntry(name string) string { return fmt.Sprintf("route %q", name) }

// ServiceEntry returns the entry of a service in findings.
func ServiceEntry(name ident.Service) string { return fmt.Sprintf("service %q", name) }

// Document is a decoded configuration with what its decoder found that Config cannot show,
// such as an unknown field.
type Document struct {
	Config
	Found   []Finding
	Broken  bool // it has no readable version or entries: there is nothing more to check
	Refused bool // an entry cannot be decoded: daemons refuse the whole
}

// Deployment is what is known of the hosts that will serve a configuration. Nil maps mean
// that it is not known.
type Deployment struct {
	Regions map[ident.Region]bool                   // with a host
	Servers map[ident.Service]map[ident.Region]bool // with a backend server of the service
}

// CheckInput is what a configuration is checked against.
type CheckInput struct {
	Deployment
	Port    Limits  // the most that the daemons' port for callers takes
	InForce *Config // the version in force, nil if it is not known
}

// Report is the result of a check, the gravest findings first.
type Report struct {
	Findings   []Finding `json:"findings"`
	NotChecked []string  `json:"not_checked"` // what would have needed more input
}

// Worst returns the gravest kind of the findings, Difference if there are none.
func (r Report) Worst() FindingKind {
	if len(r.Findings) == 0 {
		return Difference
	}
	return r.Findings[0].Kind
}

// Count returns the number of findings of a kind.
func (r Report) Count(k FindingKind) int {
	n := 0
	for _, f := range r.Findings {
		if f.Kind == k {
			n++
		}
	}
	return n
}

// Check returns what is wrong with a configuration, what is suspect and what it changes.
func Check(d Document, in CheckInput) Report {
	c := &checker{Document: d, in: in, report: Report{Findings: slices.Clone(d.Found), NotChecked: []string{}}}
	if c.report.Findings == nil {
		c.report.Findings = []Finding{}
	}
	if !d.Broken {
		c.report.Findings = append(c.report.Findings, d.invalidEntries()...)
		c.checkMatches()
		c.checkRoutes()
		c.checkPriorities()
		c.checkServices()
		c.checkLimits()
		c.checkRegions()
		c.checkServers()
		c.checkChange()
	}
	slices.SortStableFunc(c.report.Findings, func(a, b Finding) int {
		return cmp.Compare(slices.Index(findingKinds, a.Kind), slices.Index(findingKinds, b.Kind))
	})
	return c.report
}

type checker struct {
	Document
	in     CheckInput
	report Report
}

func (c *checker) add(k FindingKind, entry, format string, args ...any) {
	c.report.Findings = append(c.report.Findings, NewFinding(k, entry, format, args...))
}

// checkMatches finds routes that no request can match. It asks the table of the daemons
// itself: a request for exactly the host and prefix of a route must find the route.
func (c *checker) checkMatches() {
	t := NewTable(c.Config)
	names := map[string]int{}
	for i := range c.Routes {
		r := &c.Routes[i]
		entry := RouteEntry(r.Name)
		if names[r.Name]++; names[r.Name] == 2 {
			c.add(Warning, entry, "the name is used twice: a request may run only in regions that both allow, and metrics add them up")
		}
		if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
			continue // invalid
		}
		switch found, _ := t.Match(r.Host, r.Prefix); {
		case strings.Contains(r.Host, ":"):
			c.add(Error, entry, "never matches: host %q has a port, and hosts are compared without it", r.Host)
		case strings.Contains(r.Prefix, "?"):
			c.add(Error, entry, "never matches: prefix %q has a query, and paths are compared without it", r.Prefix)
		case strings.ContainsAny(r.Host, "/?#@*\t\r\n ") || strings.ContainsAny(r.Prefix, "#\t\r\n "):
			c.add(Error, entry, "never matches: no request has host %q and a path under %q", r.Host, r.Prefix)
		case found != r:
			c.add(Error, entry, "never matches: route %q has the same host and prefix and comes first", found.Name)
		}
	}
}

// checkRoutes finds fields of a route that contradict each other.
func (c *checker) checkRoutes() {
	for i := range c.Routes {
		r := &c.Routes[i]
		entry := RouteEntry(r.Name)
		if r.Timeout > 0 && r.TargetLatency > r.Timeout {
			c.add(Warning, entry, "the target latency of %s is above the timeout of %s: no answer can be late", r.TargetLatency, r.Timeout)
		}
		if r.MaxAttempts == 0 {
			c.add(Warning, entry, "no attempts are allowed, which counts as one")
		}
		if r.MaxAttempts > 1 && r.Timeout == 0 && !r.Idempotent {
			c.add(Warning, entry, "%d attempts without a timeout, but its requests may run only once: only those that did not run are sent again, as long as the caller waits", r.MaxAttempts)
		}
		if r.Priority < 0 {
			c.add(Warning, entry, "priority %d is above 0, the most urgent", r.Priority)
		}
		for _, s := range r.Shares {
			if s.Weight == 0 {
				c.add(Warning, entry, "service %q has weight zero and gets no requests of it", s.Service)
			}
		}
	}
}

// checkPriorities finds a priority that no route has although some are less urgent.
func (c *checker) checkPriorities() {
	used := map[int]bool{}
	least := 0
	for i := range c.Routes {
		used[c.Routes[i].Priority] = true
		least = max(least, c.Routes[i].Priority)
	}
	for p := 0; p < least; p++ {
		if !used[p] {
			c.add(Warning, WholeEntry, "no route has priority %d, but some have up to %d", p, least)
			return
		}
	}
}

// checkServices finds services without requests, and fields that need each other.
func (c *checker) checkServices() {
	named := map[ident.Service]bool{}
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			named[s.Service] = true
		}
	}
	for _, name := range c.serviceNames() {
		s, entry := c.Services[name], ServiceEntry(name)
		if !named[name] {
			c.add(Warning, entry, "no route names it: it gets no requests")
		}
		if s.ColdRate > 0 && s.ColdTime == 0 {
			c.add(Warning, entry, "a rate of %g requests a second while cold, but its servers are cold for no time", s.ColdRate)
		}
		if s.ColdTime > 0 && s.ColdRate == 0 {
			c.add(Warning, entry, "its servers are cold for %s, but no rate bounds their requests meanwhile", s.ColdTime)
		}
		if s.GrantByCall && !s.Sharded {
			c.add(Warning, entry, "grants of keys by calls, but it is not sharded: there are no keys to grant")
		}
	}
}

// checkLimits compares the limits with each other and with the daemons' port.
func (c *checker) checkLimits() {
	l, port := c.Limits, c.in.Port
	if port.HeaderBytes > 0 && l.HeaderBytes > port.HeaderBytes {
		c.add(Warning, LimitsEntry, "headers of up to %d bytes are allowed, but the daemons' port reads %d", l.HeaderBytes, port.HeaderBytes)
	}
	if port.BodyBytes > 0 && l.BodyBytes > port.BodyBytes {
		c.add(Warning, LimitsEntry, "bodies of up to %d bytes are allowed, but the daemons' port reads %d", l.BodyBytes, port.BodyBytes)
	}
	if port.HeaderTimeout > 0 && l.HeaderTimeout > port.HeaderTimeout {
		c.add(Warning, LimitsEntry, "a header may take %s, but the daemons' port waits %s", l.HeaderTimeout, port.HeaderTimeout)
	}
	if port.IdleTimeout > 0 && l.IdleTimeout > port.IdleTimeout {
		c.add(Warning, LimitsEntry, "connections may be idle for %s, but the daemons' port closes them after %s", l.IdleTimeout, port.IdleTimeout)
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		c.add(Warning, LimitsEntry, "the idle timeout of %s is below the header timeout of %s", l.IdleTimeout, l.HeaderTimeout)
	}
}

// checkRegions finds allowed regions without a host.
func (c *checker) checkRegions() {
	if c.in.Regions == nil {
		c.report.NotChecked = append(c.report.NotChecked, "whether the allowed regions exist: the regions of the hosts are not known")
		return
	}
	for i := range c.Routes {
		var missing []ident.Region
		for _, r := range c.Routes[i].Regions {
			if !c.in.Regions[r] {
				missing = append(missing, r)
			}
		}
		kind, effect := Warning, ""
		if len(missing) == len(c.Routes[i].Regions) {
			kind, effect = Error, ": all its requests are refused"
		}
		if len(missing) > 0 {
			c.add(kind, RouteEntry(c.Routes[i].Name), "no host is in the allowed regions %q%s", missing, effect)
		}
	}
}

// checkServers finds services of routes without a backend server where they may run.
func (c *checker) checkServers() {
	if c.in.Servers == nil {
		c.report.NotChecked = append(c.report.NotChecked, "whether the services have servers: the services of the hosts are not known")
		return
	}
	for _, g := range NewTable(c.Config).Gaps(c.in.Regions, c.in.Servers) {
		if _, known := c.Services[g.Service]; known && g.Reason == NoServer {
			c.add(Warning, RouteEntry(g.Route), "service %q: %s", g.Service, g.Reason)
		}
	}
	for _, name := range c.serviceNames() {
		if len(c.in.Servers[name]) == 0 {
			c.add(Warning, ServiceEntry(name), "no host has a backend server of it")
		}
	}
}

// checkChange compares the configuration with the version in force.
func (c *checker) checkChange() {
	if c.in.InForce == nil {
		c.report.NotChecked = append(c.report.NotChecked, "what it changes: the version in force is not known")
		return
	}
	if c.Version <= c.in.InForce.Version {
		c.add(Error, WholeEntry, "version %d is not above version %d in force: daemons ignore it", c.Version, c.in.InForce.Version)
	}
	c.report.Findings = append(c.report.Findings, Differences(*c.in.InForce, c.Config)...)
}
