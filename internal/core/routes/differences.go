package routes

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// entry is an entry of a configuration with its fields as text.
type entry struct {
	name   string
	fields [][2]string // name and value
}

// Differences returns what changes from one configuration to another: entries that are
// removed, added, and each changed field of the others. The version is no difference.
func Differences(before, after Config) []Finding {
	var found []Finding
	olds, news := before.entries(), after.entries()
	byName := func(list []entry) map[string]entry {
		m := make(map[string]entry, len(list))
		for _, e := range list {
			m[e.name] = e
		}
		return m
	}
	was, is := byName(olds), byName(news)
	for _, e := range olds {
		if _, ok := is[e.name]; !ok {
			found = append(found, NewFinding(Difference, e.name, "removed"))
		}
	}
	for _, e := range news {
		old, ok := was[e.name]
		if !ok {
			found = append(found, NewFinding(Difference, e.name, "added"))
			continue
		}
		for k, f := range e.fields {
			if v := old.fields[k][1]; v != f[1] {
				d := NewFinding(Difference, e.name, "%s changes from %s to %s", f[0], v, f[1])
				d.Field, d.Old, d.New = f[0], v, f[1]
				found = append(found, d)
			}
		}
	}
	return found
}

// entries returns the entries in the order of the routes, then the services by name. A
// further route of the same name has its number added.
func (c Config) entries() []entry {
	var list []entry
	count := map[string]int{}
	for i := range c.Routes {
		r := &c.Routes[i]
		e := entry{RouteEntry(r.Name), r.fields()}
		if count[r.Name]++; count[r.Name] > 1 {
			e.name += fmt.Sprintf(" (%d)", count[r.Name])
		}
		list = append(list, e)
	}
	for _, name := range c.serviceNames() {
		s := c.Services[name]
		list = append(list, entry{ServiceEntry(name), s.fields()})
	}
	return append(list, entry{LimitsEntry, c.Limits.fields()})
}

func (r *Route) fields() [][2]string {
	shares, regions := make([]string, 0, len(r.Shares)), make([]string, 0, len(r.Regions))
	for _, s := range r.Shares {
		shares = append(shares, fmt.Sprintf("%s:%d", s.Service, s.Weight))
	}
	for _, region := range r.Regions {
		regions = append(regions, string(region))
	}
	slices.Sort(regions)
	return [][2]string{
		{"host", orNone(strings.ToLower(r.Host))},
		{"prefix", orNone(r.Prefix)},
		{"shares", orNone(strings.Join(shares, ","))},
		{"idempotent", strconv.FormatBool(r.Idempotent)},
		{"timeout", r.Timeout.String()},
		{"target latency", r.TargetLatency.String()},
		{"attempts", strconv.Itoa(r.MaxAttempts)},
		{"priority", strconv.Itoa(r.Priority)},
		{"allowed regions", orNone(strings.Join(regions, ","))},
	}
}

func (s Service) fields() [][2]string {
	return [][2]string{
		{"health path", orNone(s.HealthPath)},
		{"connections", strconv.Itoa(s.MaxConnections)},
		{"sharded", strconv.FormatBool(s.Sharded)},
		{"grants by call", strconv.FormatBool(s.GrantByCall)},
		{"warm-up time", s.WarmupTime.String()},
		{"cold time", s.ColdTime.String()},
		{"cold rate", strconv.FormatFloat(s.ColdRate, 'g', -1, 64)},
	}
}

func (l Limits) fields() [][2]string {
	return [][2]string{
		{"header bytes", strconv.Itoa(l.HeaderBytes)},
		{"body bytes", strconv.Itoa(l.BodyBytes)},
		{"header timeout", l.HeaderTimeout.String()},
		{"idle timeout", l.IdleTimeout.String()},
	}
}

func orNone(v string) string {
	if v == "" {
		return "none"
	}
	return v
}
