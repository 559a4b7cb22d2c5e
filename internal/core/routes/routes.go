// Package routes decides which service a request goes to. NewTable builds a table
// of routes by host and path prefix from one version of the operators'
// configuration, Match finds the route of a request, and Splitter divides the
// requests of a route among services by weight. The package performs no I/O.
package routes

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/burdockfold/burdockfold/internal/core/ident"
)

// Version orders configurations; a greater version replaces a smaller one.
type Version uint64

// Share is the weight of one service in a route's traffic.
type Share struct {
	Service ident.Service
	Weight  int
}

// Route sends the requests for a host whose path begins with a prefix to one
// service, or to several services by weight.
type Route struct {
	Name          string
	Host          string
	Prefix        string
	Shares        []Share
	Idempotent    bool           // a request may run more than once
	Timeout       time.Duration  // longest time until the final answer; zero means no limit
	TargetLatency time.Duration  // time within which an answer is most valuable
	MaxAttempts   int            // maximum number of backend servers that one request may reach
	Priority      int            // 0 is the most urgent
	Regions       []ident.Region // the only regions where its requests may run; empty allows all
}

// Service is a set of backend servers that run the same program.
type Service struct {
	Name           ident.Service
	HealthPath     string
	MaxConnections int           // to one backend server, from all callers together
	Sharded        bool          // the service's data is divided by shard key
	GrantByCall    bool          // its servers receive grants of keys by calls, not in the answers to their heartbeats
	WarmupTime     time.Duration // time that keys are slow after a move without a transfer token
	ColdTime       time.Duration // time that a server is slow after its start
	ColdRate       float64       // requests per second that a cold server tolerates; zero means any number
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  Version
	Routes   []Route
	Services map[ident.Service]Service
	Limits   Limits
}

// Validate returns all problems of the routes, joined, or nil.
func (c Config) Validate() error {
	var problems []error
	for _, f := range c.invalidEntries() {
		problems = append(problems, fmt.Errorf("routes: %s: %s", f.Entry, f.Text))
	}
	return errors.Join(problems...)
}

// invalidEntries returns an error for each entry for which daemons refuse the configuration,
// the services by name, then the routes in their order.
func (c Config) invalidEntries() []Finding {
	var found []Finding
	for _, name := range c.serviceNames() {
		if rate := c.Services[name].ColdRate; rate < 0 || rate != rate {
			found = append(found, NewFinding(Error, ServiceEntry(name), "invalid rate %g of cold servers", rate))
		}
	}
	for _, r := range c.Routes {
		if err := c.validateRoute(r); err != nil {
			found = append(found, NewFinding(Error, RouteEntry(r.Name), "%s", err))
		}
	}
	return found
}

func (c Config) serviceNames() []ident.Service {
	return slices.Sorted(maps.Keys(c.Services))
}

func (c Config) validateRoute(r Route) error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin with a slash", r.Prefix)
	case len(r.Shares) == 0:
		return errors.New("no service")
	case slices.Contains(r.Regions, ""):
		return errors.New("an allowed region without a name")
	case r.Timeout < 0 || r.MaxAttempts < 0:
		return errors.New("timeout or maximum of attempts is negative")
	}
	total := 0
	for _, s := range r.Shares {
		if _, ok := c.Services[s.Service]; !ok {
			return fmt.Errorf("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("negative weight of service %q", s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.New("the weights of all services are zero")
	}
	return nil
}

// Allows reports whether requests of the route may run in a region.
func (r *Route) Allows(region ident.Region) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Table finds the route of a request. It is immutable.
type Table struct {
	Config
	byHost map[string][]*Route // longest prefix first
	byName map[string][]*Route
}

// NewTable returns the route table of a configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, byHost: make(map[string][]*Route), byName: make(map[string][]*Route)}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &c.Routes[i])
		t.byName[c.Routes[i].Name] = append(t.byName[c.Routes[i].Name], &c.Routes[i])
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route with the longest matching path prefix for a host. It
// ignores the port of the host and the query of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(host, ":")
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
